package spender_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/spender"
)

var (
	start   = time.Now()
	request = [32]byte{1}
)

func newSpender(incarnation uint64) *spender.Spender {
	return spender.New(start, spender.Config{Name: "entry-1", Incarnation: incarnation, TicketTTL: time.Minute, MaxAnswerBytes: 100, Secret: []byte("secret")})
}

func issue(t testing.TB, s *spender.Spender) spender.Ticket {
	text, err := s.Issue(start)
	if err != nil {
		t.Fatal(err)
	}
	ticket, err := spender.ParseTicket(text)
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

func Example() {
	s := newSpender(1)
	text, _ := s.Issue(start)
	ticket, _ := spender.ParseTicket(text)
	for range 2 {
		result, _, _ := s.Spend(start, ticket, request)
		fmt.Println(result)
	}
	s.Finish(start, ticket, &spender.Answer{Body: []byte("done")})
	result, answer, _ := s.Spend(start, ticket, request)
	fmt.Println(result, string(answer.Body))
	// Output:
	// Spent
	// InProgress
	// Repeat done
}

func TestSpendResults(t *testing.T) {
	is := is.New(t)
	s := newSpender(1)
	resultOf := func(s *spender.Spender, after time.Duration, ticket spender.Ticket) spender.SpendResult {
		result, _, _ := s.Spend(start.Add(after), ticket, request)
		return result
	}
	// A ticket is rejected by another incarnation of the same entry.
	is.Equal(resultOf(newSpender(2), 0, issue(t, s)), spender.Forged)
	// A ticket that was not spent within its TTL gives Expired, not Ran.
	is.Equal(resultOf(s, 2*time.Minute, issue(t, s)), spender.Expired)
	// A spent ticket remains spent for the whole incarnation, even after its answer has expired.
	ran := issue(t, s)
	is.Equal(resultOf(s, 0, ran), spender.Spent)
	s.Finish(start, ran, &spender.Answer{Body: []byte("x")})
	is.Equal(resultOf(s, time.Hour, ran), spender.Ran)
	// A ticket whose request did not run can be spent again.
	again := issue(t, s)
	is.Equal(resultOf(s, 0, again), spender.Spent)
	s.Unspend(again)
	is.Equal(resultOf(s, 0, again), spender.Spent)
	// A spent ticket is rejected for another request.
	s.Finish(start, again, nil)
	_, _, err := s.Spend(start, again, [32]byte{2})
	is.True(err != nil)
}

// The total size of the kept answers is bounded, and tickets whose answers were evicted stay spent.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	s := newSpender(1)
	var first spender.Ticket
	for i := range 50 {
		ticket := issue(t, s)
		if i == 0 {
			first = ticket
		}
		_, _, _ = s.Spend(start, ticket, request)
		s.Finish(start, ticket, &spender.Answer{Body: make([]byte, 10)})
	}
	_, bytes := s.KeptRecords()
	is.True(bytes <= 100)
	result, _, _ := s.Spend(start, first, request)
	is.Equal(result, spender.Ran)
	_, _, _ = s.Spend(start.Add(time.Hour), first, request)
	records, bytes := s.KeptRecords()
	is.Equal(records, 0)
	is.Equal(bytes, 0)
}

func FuzzParse(f *testing.F) {
	text, _ := newSpender(1).Issue(start)
	f.Add(text)
	f.Add("entry-1.")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		ticket, err := spender.ParseTicket(text)
		if err != nil {
			return
		}
		result, _, _ := newSpender(9).Spend(start, ticket, request)
		if result != spender.Forged {
			t.Fatalf("%q was accepted as a ticket: %s", text, result)
		}
	})
}

// ticket stays spent when its record is removed.
func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	const most, count = 1 << 17, 1<<17 + 1000
	s := newSpender(1)
	var first spender.Ticket
	for n := range count {
		ticket := issue(t, s)
		if n == 0 {
			first = ticket
		}
		result, _, err := s.Spend(start, ticket, request)
		is.NoErr(err)
		is.Equal(result, spender.Spent)
		s.Finish(start, ticket, &spender.Answer{Body: []byte("x")})
	}
	records, bytes := s.KeptRecords()
	is.Equal(records, most)
	is.True(bytes <= 100)
	result, _, err := s.Spend(start, first, request)
	is.NoErr(err)
	is.Equal(result, spender.Ran)
}

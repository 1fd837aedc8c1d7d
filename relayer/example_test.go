package relayer_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/relayer"
)

func chunk(request, attempt string, offset int, text string) api.CompletionChunk {
	return api.CompletionChunk{ID: request, AttemptID: attempt, Offset: offset, Choices: []api.CompletionChoice{{Text: text, Tokens: 1}}}
}

func end(request, attempt string, offset int) api.CompletionChunk {
	c := chunk(request, attempt, offset, "")
	c.Choices[0].Tokens, c.Choices[0].FinishReason = 0, "stop"
	c.Usage = &api.CompletionUsage{CompletionTokens: offset}
	return c
}

func Example() {
	r := relayer.New("request")
	r.BeginAttempt("first")
	fmt.Println(r.Accept(chunk("request", "first", 0, "a")))
	fmt.Println(r.Accept(chunk("other", "first", 1, "x")))
	// The engine fails and another one resumes the answer after the tokens delivered.
	fmt.Println(r.BeginAttempt("second"))
	fmt.Println(r.Accept(chunk("request", "first", 1, "late")))
	fmt.Println(r.Accept(chunk("request", "second", 1, "b")))
	fmt.Println(r.Accept(end("request", "second", 2)))
	fmt.Println(r.IsWhole())
	// Output:
	// a Deliver
	//  Drop
	// 1
	//  Drop
	// b Deliver
	//  Whole
	// true
}

// Whatever chunks arrive, in whatever order, the delivered text is a prefix of the right answer,
// and the relayer reports a complete answer only when all of it was delivered.
func TestDeliveredTextIsPrefixOfAnswer(t *testing.T) {
	const length = 6
	rapid.Check(t, func(t *rapid.T) {
		r := relayer.New("request")
		var got strings.Builder
		attempt := 0
		r.BeginAttempt("attempt-0")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				attempt++
				r.BeginAttempt(fmt.Sprint("attempt-", attempt))
			}
			from := fmt.Sprint("attempt-", rapid.IntRange(0, attempt).Draw(t, "attempt"))
			request := rapid.SampledFrom([]string{"request", "request", "request", "other"}).Draw(t, "request")
			offset := rapid.IntRange(-1, length).Draw(t, "offset")
			if rapid.Bool().Draw(t, "next") {
				offset = r.DeliveredTokens()
			}
			c := chunk(request, from, offset, fmt.Sprint(offset))
			if offset >= length {
				c = end(request, from, length)
			}
			if request != "request" {
				c.Choices[0].Text = "foreign"
			}
			text, result := r.Accept(c)
			if result == relayer.Deliver || result == relayer.Whole {
				got.WriteString(text)
			}
		}
		want := "012345"[:r.DeliveredTokens()]
		if got.String() != want {
			t.Fatalf("delivered %q, want %q", got.String(), want)
		}
		if r.IsWhole() && r.DeliveredTokens() != length {
			t.Fatalf("answer reported as complete after %d tokens", r.DeliveredTokens())
		}
	})
}

package dispatcher

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sapphireramp/sapphireramp/matcher"
)

// Shares come through a message as they were, whatever their number.
func TestSharesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var shares []Share
		for range rapid.IntRange(0, 40).Draw(t, "shares") {
			s := Share{Request: Token(rapid.Uint32().Draw(t, "request")), Ended: rapid.Bool().Draw(t, "ended")}
			if s.Ended {
				s.Outcome = rapid.SampledFrom([]Outcome{OutcomeUnknown, OutcomeAnswered, OutcomeFailed}).Draw(t, "outcome")
			}
			if s.Outcome == OutcomeFailed {
				s.Parts = []SharePart{{Upstream: Token(rapid.Uint32().Draw(t, "failed")), Answers: true}}
			}
			if !s.Ended {
				s.Waited = time.Duration(rapid.IntRange(0, 60000).Draw(t, "waited")) * time.Millisecond
				s.Left = time.Duration(rapid.IntRange(0, 60000).Draw(t, "left")) * time.Millisecond
				s.Begun = rapid.Bool().Draw(t, "begun")
				s.Age = time.Duration(rapid.IntRange(0, 60000).Draw(t, "age")) * time.Millisecond
				s.Prompt, s.Answer = rapid.IntRange(0, 1<<20).Draw(t, "prompt"), rapid.IntRange(0, 1<<16).Draw(t, "answer")
				s.Target = time.Duration(rapid.IntRange(0, 60000).Draw(t, "target")) * time.Millisecond
				s.Pause = time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond
				for range rapid.IntRange(1, 17).Draw(t, "parts") {
					s.Parts = append(s.Parts, SharePart{
						Upstream: TokenOf(rapid.String().Draw(t, "id")), Held: heldUnit * rapid.IntRange(0, 1<<14).Draw(t, "held"), Answers: len(s.Parts) == 0,
					})
				}
			}
			shares = append(shares, s)
		}
		var got []Share
		for _, m := range EncodeShares(TokenOf("entry-1"), shares) {
			if len(m) > maxShare {
				t.Fatalf("message of %d bytes", len(m))
			}
			from, part, err := DecodeShares(m)
			if err != nil || from != TokenOf("entry-1") {
				t.Fatalf("from %d: %v", from, err)
			}
			got = append(got, part...)
		}
		if len(got) != len(shares) {
			t.Fatalf("%d shares of %d", len(got), len(shares))
		}
		for i, s := range shares {
			if !reflect.DeepEqual(got[i], s) {
				t.Fatalf("got %+v, want %+v", got[i], s)
			}
		}
	})
}

func TestMalformedShares(t *testing.T) {
	is := is.New(t)
	for _, m := range [][]byte{nil, {0}, {shareFormat}, {shareFormat, 200}, {shareFormat, 1, 0, 0, 0, 9}} {
		_, _, err := DecodeShares(m)
		is.Equal(err, ErrShare)
	}
}

// In an upgrade entries hear messages of the format before: those are no relayed ones, and an
// entry of that format takes none of ours for its own.
func TestFormatBeforeIsNoRelay(t *testing.T) {
	is := is.New(t)
	message := EncodeShares(1, []Share{{Request: 2, Parts: []SharePart{{Upstream: 3}}}})[0]
	for _, before := range []byte{6, 8} {
		old := append([]byte{before}, message[1:]...)
		r, rest := Relayed(old)
		is.Equal(r, RelayToNone)
		_, _, err := DecodeShares(rest)
		is.Equal(err, ErrShare)
		for _, r := range []Relay{RelayToPlacing, RelayToAll} {
			is.True(ForRelay(r, message)[0] != before)
		}
	}
	for _, r := range []Relay{RelayToPlacing, RelayToAll} {
		got, rest := Relayed(ForRelay(r, message))
		is.Equal(got, r)
		is.Equal(rest, message)
	}
}

func FuzzDecodeShares(f *testing.F) {
	f.Add(EncodeShares(1, []Share{{Request: 2, Parts: []SharePart{{Upstream: 3}}}})[0])
	f.Add(EncodeShares(1, []Share{{Request: 2, Ended: true, Outcome: OutcomeFailed, Parts: []SharePart{{Upstream: 3}}}})[0])
	f.Fuzz(func(_ *testing.T, m []byte) { _, _, _ = DecodeShares(m) })
}

// A board that tells nobody would keep what it has to tell for ever.
func TestLocalBoardKeepsNothingForPeers(t *testing.T) {
	is := is.New(t)
	b := NewLocal("dc", rand.New(rand.NewPCG(1, 2)))
	b.Update(&matcher.Table{}, []Instance{{ID: "i-1", Service: "plain", Slots: 4}})
	for range 100 {
		p, refusal := b.Place(time.Now(), Demand{Service: "plain"})
		is.True(refusal == nil)
		p.Began(time.Now())
		p.End(time.Now(), Answered)
	}
	is.Equal(len(b.Changed), 0)
	is.Equal(len(b.Export(time.Now(), true)), 0)
}

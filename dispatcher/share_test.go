package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Shares come through a message as they were, whatever their number.
func TestSharesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var shares []Share
		for range rapid.IntRange(0, 40).Draw(t, "shares") {
			s := Share{Upstream: TokenOf(rapid.String().Draw(t, "id"))}
			s.Load.Running = rapid.IntRange(0, 100).Draw(t, "running")
			s.Load.Prefill = time.Duration(rapid.IntRange(0, 60000).Draw(t, "reading")) * time.Millisecond
			s.Load.Tokens = rapid.IntRange(0, 1<<20).Draw(t, "tokens")
			for range rapid.IntRange(0, 3).Draw(t, "streams") {
				s.Load.Streams = append(s.Load.Streams, Streams{Pause: time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause")) * time.Millisecond, Count: rapid.IntRange(1, 16).Draw(t, "count")})
			}
			for range rapid.IntRange(0, 3).Draw(t, "waits") {
				s.Load.Waits = append(s.Load.Waits, Wait{Expected: time.Duration(rapid.IntRange(0, 9000).Draw(t, "expected")) * time.Millisecond, Target: time.Second})
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
			if got[i].Upstream != s.Upstream || got[i].Load.Running != s.Load.Running || got[i].Load.Prefill != s.Load.Prefill ||
				len(got[i].Load.Streams) != len(s.Load.Streams) || len(got[i].Load.Waits) != len(s.Load.Waits) {
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

func FuzzDecodeShares(f *testing.F) {
	f.Add(EncodeShares(1, []Share{{Upstream: 2, Load: Load{Running: 1, Streams: []Streams{{Count: 1}}}}})[0])
	f.Fuzz(func(_ *testing.T, m []byte) { _, _, _ = DecodeShares(m) })
}

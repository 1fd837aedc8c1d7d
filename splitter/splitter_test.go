package splitter_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sapphireramp/sapphireramp/splitter"
)

// event returns the bytes of a complete event with an id.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: word\n\n", id) }

func Example() {
	s := splitter.New("")
	events, _ := s.Feed([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	fmt.Println(len(events), s.LastID(), s.HasPartial())
	// Output: 1 1 true
}

// However a stream is divided into reads, Feed returns its complete events with unchanged bytes.
func TestBytesUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 6).Draw(t, "events")
		whole := ""
		for id := range n {
			whole += event(id)
		}
		text := whole + rapid.SampledFrom([]string{"", "id: 9", "id: 9\ndata: x\n"}).Draw(t, "tail")
		s := splitter.New("")
		got := ""
		for text != "" {
			size := rapid.IntRange(1, len(text)).Draw(t, "size")
			events, err := s.Feed([]byte(text[:size]))
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range events {
				got += string(e.Raw)
			}
			text = text[size:]
		}
		if got != whole {
			t.Fatalf("got %q, want %q", got, whole)
		}
	})
}

// An upstream that resumes a stream may repeat events, which are dropped; a missing event is an
// error.
func TestResumedStreamDropsRepeatsAndDetectsMissingEvents(t *testing.T) {
	is := is.New(t)
	s := splitter.New("4")
	events, err := s.Feed([]byte(event(3) + event(4) + event(5)))
	is.NoErr(err)
	is.Equal(len(events), 1)
	is.Equal(events[0].ID, int64(5))
	_, err = s.Feed([]byte(event(7)))
	var missing splitter.MissingEventsError
	is.True(errors.As(err, &missing))
	is.Equal(missing, splitter.MissingEventsError{After: 5, Got: 7})
}

func TestDiscardPartialDropsIncompleteEvent(t *testing.T) {
	is := is.New(t)
	s := splitter.New("")
	_, err := s.Feed([]byte(event(1) + "id: 2\nda"))
	is.NoErr(err)
	s.DiscardPartial()
	events, err := s.Feed([]byte(event(2)))
	is.NoErr(err)
	is.Equal(string(events[0].Raw), event(2))
}

func TestTooLargeEventIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := splitter.New("").Feed([]byte(strings.Repeat("x", 2<<20)))
	is.True(errors.Is(err, splitter.ErrEventTooLarge))
}

func FuzzFeed(f *testing.F) {
	f.Add([]byte("id: 1\r\n\r\n\n\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = splitter.New("0").Feed(data)
	})
}

// Package splitter cuts a text/event-stream into whole events, byte for byte,
// and checks that their ids follow each other.
package splitter

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// maxEvent is the largest event in bytes; the largest seen are under 1 KB.
const maxEvent = 1 << 20

// ErrEventTooLarge says that an event has no end within the size limit.
var ErrEventTooLarge = errors.New("event is too large")

// GapError says that events are missing.
type GapError struct {
	After, Got int64
}

func (e GapError) Error() string {
	return fmt.Sprintf("event %d follows event %d", e.Got, e.After)
}

// Event is one whole event with the blank line that ends it.
type Event struct {
	Raw []byte
	// ID is that of the event; Numbered is false where it has none, or none
	// that is a number.
	ID    int64
	HasID bool
}

// Splitter cuts one stream. It is not safe for concurrent use.
type Splitter struct {
	rest []byte
	// last is the id of the last event passed on; started is false before the
	// first is known.
	last    int64
	started bool
}

// New returns a splitter of a stream that goes on after an event id; empty
// for a stream from its beginning.
func New(after string) *Splitter {
	last, err := strconv.ParseInt(after, 10, 64)
	return &Splitter{last: last, started: err == nil}
}

// Feed takes in bytes and returns the events that they complete. An event
// that was passed on before is dropped; one that leaves a gap is an error.
func (s *Splitter) Feed(p []byte) ([]Event, error) {
	s.rest = append(s.rest, p...)
	var out []Event
	for {
		end := eventEnd(s.rest)
		if end < 0 {
			if len(s.rest) > maxEvent {
				return out, ErrEventTooLarge
			}
			return out, nil
		}
		e := parse(bytes.Clone(s.rest[:end]))
		s.rest = s.rest[end:]
		fresh, err := s.follows(e)
		if err != nil {
			return out, err
		}
		if fresh {
			out = append(out, e)
		}
	}
}

func (s *Splitter) follows(e Event) (bool, error) {
	if !e.HasID {
		return true, nil
	}
	if s.started && e.ID <= s.last {
		return false, nil
	}
	if s.started && e.ID != s.last+1 {
		return false, GapError{After: s.last, Got: e.ID}
	}
	s.last, s.started = e.ID, true
	return true, nil
}

// LastID is the id of the last event passed on, as text; empty before the first.
func (s *Splitter) LastID() string {
	if !s.started {
		return ""
	}
	return strconv.FormatInt(s.last, 10)
}

// HasPartial reports whether bytes of an unfinished event are left.
func (s *Splitter) HasPartial() bool { return len(s.rest) > 0 }

// DiscardPartial drops an unfinished event, where the stream goes on from another
// source.
func (s *Splitter) DiscardPartial() { s.rest = nil }

// eventEnd is the length of the first whole event, or -1.
func eventEnd(p []byte) int {
	end := -1
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		at := bytes.Index(p, blank)
		if at >= 0 && (end < 0 || at+len(blank) < end) {
			end = at + len(blank)
		}
	}
	return end
}

func parse(raw []byte) Event {
	e := Event{Raw: raw}
	for line := range bytes.Lines(raw) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		e.ID, e.HasID = id, err == nil
	}
	return e
}

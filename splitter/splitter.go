// Package splitter cuts a text/event-stream into whole events, byte for byte,
// and checks that their ids follow each other.
package splitter

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// maxEventBytes is the largest event in bytes; the largest seen are under 1 KB.
const maxEventBytes = 1 << 20

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
	buffer []byte
	// lastID is the id of the last event passed on; started is false before the
	// first is known.
	lastID    int64
	hasLastID bool
}

// New returns a splitter of a stream that goes on after an event id; empty
// for a stream from its beginning.
func New(lastEventID string) *Splitter {
	lastID, err := strconv.ParseInt(lastEventID, 10, 64)
	return &Splitter{lastID: lastID, hasLastID: err == nil}
}

// Feed takes in bytes and returns the events that they complete. An event
// that was passed on before is dropped; one that leaves a gap is an error.
func (s *Splitter) Feed(p []byte) ([]Event, error) {
	s.buffer = append(s.buffer, p...)
	var out []Event
	for {
		end := eventEnd(s.buffer)
		if end < 0 {
			if len(s.buffer) > maxEventBytes {
				return out, ErrEventTooLarge
			}
			return out, nil
		}
		e := parseEvent(bytes.Clone(s.buffer[:end]))
		s.buffer = s.buffer[end:]
		isNew, err := s.checkOrder(e)
		if err != nil {
			return out, err
		}
		if isNew {
			out = append(out, e)
		}
	}
}

func (s *Splitter) checkOrder(e Event) (bool, error) {
	if !e.HasID {
		return true, nil
	}
	if s.hasLastID && e.ID <= s.lastID {
		return false, nil
	}
	if s.hasLastID && e.ID != s.lastID+1 {
		return false, GapError{After: s.lastID, Got: e.ID}
	}
	s.lastID, s.hasLastID = e.ID, true
	return true, nil
}

// LastID is the id of the last event passed on, as text; empty before the first.
func (s *Splitter) LastID() string {
	if !s.hasLastID {
		return ""
	}
	return strconv.FormatInt(s.lastID, 10)
}

// HasPartial reports whether bytes of an unfinished event are left.
func (s *Splitter) HasPartial() bool { return len(s.buffer) > 0 }

// DiscardPartial drops an unfinished event, where the stream goes on from another
// source.
func (s *Splitter) DiscardPartial() { s.buffer = nil }

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

func parseEvent(raw []byte) Event {
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

// Package splitter splits a text/event-stream (server-sent events) into complete events, whose bytes stay
// unchanged, and checks that their ids are consecutive.
package splitter

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// maxEventBytes is the number of bytes without the end of an event above which Feed returns
// ErrEventTooLarge. A usual event is smaller than 1 KB.
const maxEventBytes = 1 << 20

// ErrEventTooLarge is returned by Splitter.Feed for an event that does not end within 1 MiB.
var ErrEventTooLarge = errors.New("event exceeds 1 MiB")

// MissingEventsError is returned by Splitter.Feed if the event after the one with id After has the id Got
// instead of After+1.
type MissingEventsError struct {
	After, Got int64
}

func (e MissingEventsError) Error() string {
	return fmt.Sprintf("event %d follows event %d: events are missing", e.Got, e.After)
}

// Event is one complete event of a stream.
type Event struct {
	// Raw holds the bytes of the event, including the blank line that ends it.
	Raw []byte
	// ID is the numeric id of the event, valid if HasID is true. HasID is false if the event has no
	// id or one that is not a number.
	ID    int64
	HasID bool
}

// Splitter splits one stream into events. It is not safe for concurrent use.
type Splitter struct {
	// buffer holds the bytes of the stream that are not yet part of a complete event.
	buffer []byte
	// lastID is the id of the last event with an id that Feed returned or, before there is one, the id
	// given to New. It is valid if hasLastID is true.
	lastID    int64
	hasLastID bool
}

// New returns a Splitter for a stream that resumes after the event with id lastEventID, or for a
// whole stream if lastEventID is empty or not a whole number. A whole stream may begin with any id.
func New(lastEventID string) *Splitter {
	lastID, err := strconv.ParseInt(lastEventID, 10, 64)
	return &Splitter{lastID: lastID, hasLastID: err == nil}
}

// Feed adds the next bytes of the stream, and returns the events that are complete now and were not
// before. Events whose id is not above LastID are repeats and are dropped. The error is a
// MissingEventsError if ids are not consecutive, or ErrEventTooLarge; it comes with the events before
// the faulty one.
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
		if len(s.buffer) == 0 {
			s.buffer = nil
		}
		isNew, err := s.checkOrder(e)
		if err != nil {
			return out, err
		}
		if isNew {
			out = append(out, e)
		}
	}
}

// checkOrder reports whether an event is new: it has no id, or one above lastID. It returns a
// MissingEventsError if the id is above lastID+1, and otherwise sets lastID to the id of a new event.
func (s *Splitter) checkOrder(e Event) (bool, error) {
	if !e.HasID {
		return true, nil
	}
	if s.hasLastID && e.ID <= s.lastID {
		return false, nil
	}
	if s.hasLastID && e.ID != s.lastID+1 {
		return false, MissingEventsError{After: s.lastID, Got: e.ID}
	}
	s.lastID, s.hasLastID = e.ID, true
	return true, nil
}

// LastID returns, as text, the id of the last event with an id that Feed returned, or the one given to
// New, for a request that resumes the stream after that event. It is empty if there is none.
func (s *Splitter) LastID() string {
	if !s.hasLastID {
		return ""
	}
	return strconv.FormatInt(s.lastID, 10)
}

// PartialBytes returns the size of the memory that is held for an incomplete event.
func (s *Splitter) PartialBytes() int { return cap(s.buffer) }

// HasPartial reports whether the bytes fed so far end with an incomplete event.
func (s *Splitter) HasPartial() bool { return len(s.buffer) > 0 }

// DiscardPartial drops the bytes of an incomplete event, so that another upstream can resume the
// stream after LastID.
func (s *Splitter) DiscardPartial() { s.buffer = nil }

// eventEnd returns the length of the event at the start of p, including the blank line that ends it, or
// -1 if p does not contain that line.
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

// parseEvent returns the event with the bytes raw. If the event has several id lines, the last one sets
// its id.
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

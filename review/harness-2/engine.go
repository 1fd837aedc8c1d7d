//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// engine is a stand-in for a sound model engine: it reads a request whole, runs it, and streams the answer.
type engine struct {
	id, service string
	record      *record
	// firstEvent is the time from the arrival of a request to its first event, eventGap that between two events.
	firstEvent, eventGap time.Duration
	events               int
	slots                chan struct{}

	lock sync.Mutex
	// ran holds when each request was begun, by its ID.
	ran map[string]time.Time
}

func newEngine(r *record, id, service string, slots int) *engine {
	return &engine{id: id, service: service, record: r, slots: make(chan struct{}, slots), ran: map[string]time.Time{}}
}

func (e *engine) hasRun(id string) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	_, ok := e.ran[id]
	return ok
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", e.id)
		return
	case r.URL.Path == "/report":
		_, _ = io.WriteString(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq-no":0,"waiting":0,"running":0,"kv-used":0,"kv-total":315000,"handles":0,"pace":1,"tickets":[]}`)
		return
	case r.Header.Get("X-Expect-Instance") != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the sender broke off, nothing has run
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.lock.Lock()
	e.ran[id] = time.Now()
	e.lock.Unlock()
	e.record.add("%s runs %s", e.id, id)
	w.Header().Set("X-Engine-Stamp", e.id+"."+id)
	if e.events == 0 {
		time.Sleep(e.firstEvent)
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	e.stream(w, r)
}

// stream answers with events.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	wait := e.firstEvent
	for n := 1; n <= e.events; n++ {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
		wait = e.eventGap
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", n, n, e.events); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

package connector

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Busy holds the connections of a server of callers that a request is being served on,
// or may be on its way on: those just accepted count until their first answer. It is
// safe for concurrent use.
type Busy struct {
	lock  sync.Mutex
	conns map[net.Conn]bool
}

// NewBusy returns one that holds no connection.
func NewBusy() *Busy { return &Busy{conns: map[net.Conn]bool{}} }

// State is a http.Server's ConnState.
func (b *Busy) State(c net.Conn, s http.ConnState) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if s == http.StateNew || s == http.StateActive {
		b.conns[c] = true
		return
	}
	delete(b.conns, c)
}

// Count is how many connections it holds.
func (b *Busy) Count() int {
	b.lock.Lock()
	defer b.lock.Unlock()
	return len(b.conns)
}

// Await returns once none is held or it is past a time, zero for none. It looks each poll.
// A server's Shutdown drops what it reads once it has begun, so that it
// comes after this.
func (b *Busy) Await(by time.Time, poll time.Duration) {
	for b.Count() > 0 && (by.IsZero() || time.Now().Before(by)) {
		time.Sleep(poll)
	}
}

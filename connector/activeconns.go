package connector

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// ActiveConns tracks the active connections of an http.Server: those in http.StateActive, and those
// in http.StateNew, whose first request may be on its way. It is safe for concurrent use.
type ActiveConns struct {
	lock sync.Mutex
	// conns is the set of active connections.
	conns map[net.Conn]bool
}

// NewActiveConns returns an ActiveConns that tracks no connection yet.
func NewActiveConns() *ActiveConns { return &ActiveConns{conns: map[net.Conn]bool{}} }

// OnStateChange updates the set of active connections. It must be set as ConnState of the
// http.Server before the server starts.
func (a *ActiveConns) OnStateChange(c net.Conn, s http.ConnState) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if s == http.StateNew || s == http.StateActive {
		a.conns[c] = true
		return
	}
	delete(a.conns, c)
}

// Count returns the number of active connections.
func (a *ActiveConns) Count() int {
	a.lock.Lock()
	defer a.lock.Unlock()
	return len(a.conns)
}

// WaitIdle blocks until no connection is active or the deadline has passed; with a zero deadline it
// waits without limit. It checks at intervals of poll. Call http.Server.Shutdown only after it has
// returned, because from then on the server drops the requests that it reads.
func (a *ActiveConns) WaitIdle(deadline time.Time, poll time.Duration) {
	for a.Count() > 0 && (deadline.IsZero() || time.Now().Before(deadline)) {
		time.Sleep(poll)
	}
}

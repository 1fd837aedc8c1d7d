package connector

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// ActiveConns holds the connections of a server of callers that a request is being served on,
// or may be on its way on: those just accepted count until their first answer. It is
// safe for concurrent use.
type ActiveConns struct {
	lock  sync.Mutex
	conns map[net.Conn]bool
}

// NewActiveConns returns one that holds no connection.
func NewActiveConns() *ActiveConns { return &ActiveConns{conns: map[net.Conn]bool{}} }

// OnStateChange is a http.Server's ConnState.
func (b *ActiveConns) OnStateChange(c net.Conn, s http.ConnState) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if s == http.StateNew || s == http.StateActive {
		b.conns[c] = true
		return
	}
	delete(b.conns, c)
}

// Count is how many connections it holds.
func (b *ActiveConns) Count() int {
	b.lock.Lock()
	defer b.lock.Unlock()
	return len(b.conns)
}

// WaitIdle returns once none is held or it is past a time, zero for none. It looks each poll.
// A server's Shutdown drops what it reads once it has begun, so that it
// comes after this.
func (b *ActiveConns) WaitIdle(deadline time.Time, poll time.Duration) {
	for b.Count() > 0 && (deadline.IsZero() || time.Now().Before(deadline)) {
		time.Sleep(poll)
	}
}

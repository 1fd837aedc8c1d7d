package server

import (
	"net"
	"net/http"
	"sync"
)

// busyConns holds the callers' connections that a request is being served on,
// or may be on its way on: those just accepted count until their first answer.
type busyConns struct {
	lock  sync.Mutex
	conns map[net.Conn]bool
}

// state is a http.Server's ConnState.
func (b *busyConns) state(c net.Conn, s http.ConnState) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if s == http.StateNew || s == http.StateActive {
		b.conns[c] = true
		return
	}
	delete(b.conns, c)
}

func (b *busyConns) count() int {
	b.lock.Lock()
	defer b.lock.Unlock()
	return len(b.conns)
}

package connector

import (
	"errors"
	"net"
	"sync"
)

// maxPendingWrites is the maximum number of writes queued on one connection to a peer; one write is
// one net/rpc message. A write beyond it closes the connection.
const maxPendingWrites = 1024

// errQueueFull is returned by queuedConn.Write if maxPendingWrites are queued already, because the
// peer reads too slowly or not at all.
var errQueueFull = errors.New("write queue of peer connection is full")

// queuedConn is a connection whose writes never block. net/rpc holds a lock while it writes, so
// that a peer that does not read would otherwise block every call to it beyond the call's timeout.
type queuedConn struct {
	net.Conn
	lock sync.Mutex
	// pending holds the queued writes in order, at most maxPendingWrites.
	pending [][]byte
	// wake holds an element if pending may not be empty.
	wake chan struct{}
	// closed is closed by the first call of Close, which once detects.
	closed chan struct{}
	once   sync.Once
}

// NewQueuedConn wraps a connection so that its writes never block. A goroutine writes the queued
// data until the connection is closed or a write fails. A failed read closes the connection too.
func NewQueuedConn(c net.Conn) net.Conn {
	q := &queuedConn{Conn: c, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	go q.writePending()
	return q
}

// Write queues a copy of p and returns len(p); a later failure to send it is not reported. It
// returns net.ErrClosed if the connection is closed. If maxPendingWrites (1024) writes are queued, it
// closes the connection and returns an error.
func (q *queuedConn) Write(p []byte) (int, error) {
	select {
	case <-q.closed:
		return 0, net.ErrClosed
	default:
	}
	if !q.enqueue(append([]byte(nil), p...)) {
		_ = q.Close()
		return 0, errQueueFull
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// enqueue appends a message to the queue and returns true, or returns false if the queue is full.
func (q *queuedConn) enqueue(message []byte) bool {
	q.lock.Lock()
	defer q.lock.Unlock()
	if len(q.pending) >= maxPendingWrites {
		return false
	}
	q.pending = append(q.pending, message)
	return true
}

// takePending returns all queued messages and empties the queue. It frees the slice, so that an
// idle connection uses no memory for it.
func (q *queuedConn) takePending() [][]byte {
	q.lock.Lock()
	defer q.lock.Unlock()
	pending := q.pending
	q.pending = nil
	return pending
}

// Read reads from the connection and closes it after any error, since a net/rpc client does not
// close its connection when the peer has closed the other end.
func (q *queuedConn) Read(p []byte) (int, error) {
	n, err := q.Conn.Read(p)
	if err != nil {
		_ = q.Close()
	}
	return n, err
}

// writePending writes queued messages to the connection until it is closed or a write fails.
func (q *queuedConn) writePending() {
	for {
		select {
		case <-q.closed:
			return
		case <-q.wake:
		}
		for _, p := range q.takePending() {
			if _, err := q.Conn.Write(p); err != nil {
				_ = q.Close()
				return
			}
		}
	}
}

// Close closes the connection; writes that are still queued may be dropped. Only the first call has
// an effect; later ones return nil.
func (q *queuedConn) Close() error {
	var err error
	q.once.Do(func() {
		close(q.closed)
		err = q.Conn.Close()
	})
	return err
}

package connector

import (
	"errors"
	"net"
	"sync"
)

// maxPendingWrites is how many writes wait on a connection to a peer before it is
// given up as dead; a write is one message.
const maxPendingWrites = 1024

// errQueueFull is a connection whose peer takes nothing.
var errQueueFull = errors.New("peer takes no more messages")

// queuedConn is a connection whose writes never block. net/rpc writes while it
// holds a lock, so that one peer that takes nothing would hold up every caller
// past its time.
type queuedConn struct {
	net.Conn
	lock sync.Mutex
	// pending has at most maxQueued messages.
	pending [][]byte
	// wake has an element where pending may not be empty.
	wake   chan struct{}
	closed chan struct{}
	once   sync.Once
}

// NewQueuedConn returns a connection whose writes never block.
func NewQueuedConn(c net.Conn) net.Conn {
	q := &queuedConn{Conn: c, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	go q.writePending()
	return q
}

// Write queues a copy of the bytes, or fails at once.
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

// enqueue queues a message, unless the queue is full.
func (q *queuedConn) enqueue(message []byte) bool {
	q.lock.Lock()
	defer q.lock.Unlock()
	if len(q.pending) >= maxPendingWrites {
		return false
	}
	q.pending = append(q.pending, message)
	return true
}

// takePending empties the queue. An idle connection keeps no memory for one.
func (q *queuedConn) takePending() [][]byte {
	q.lock.Lock()
	defer q.lock.Unlock()
	pending := q.pending
	q.pending = nil
	return pending
}

// Read closes the connection where the peer has: a net/rpc client does not.
func (q *queuedConn) Read(p []byte) (int, error) {
	n, err := q.Conn.Read(p)
	if err != nil {
		_ = q.Close()
	}
	return n, err
}

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

// Close drops what is queued and closes the connection.
func (q *queuedConn) Close() error {
	var err error
	q.once.Do(func() {
		close(q.closed)
		err = q.Conn.Close()
	})
	return err
}

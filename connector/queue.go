package connector

import (
	"errors"
	"net"
	"sync"
)

// maxQueued is how many writes wait on a connection to a peer before it is
// given up as dead; a write is one message.
const maxQueued = 1024

// errBacklog is a connection whose peer takes nothing.
var errBacklog = errors.New("peer takes no more messages")

// queuedConn is a connection whose writes never block. net/rpc writes while it
// holds a lock, so that one peer that takes nothing would hold up every caller
// past its time.
type queuedConn struct {
	net.Conn
	queue  chan []byte
	closed chan struct{}
	once   sync.Once
}

// NewQueued returns a connection whose writes never block.
func NewQueued(c net.Conn) net.Conn {
	q := &queuedConn{Conn: c, queue: make(chan []byte, maxQueued), closed: make(chan struct{})}
	go q.drain()
	return q
}

// Write queues a copy of the bytes, or fails at once.
func (q *queuedConn) Write(p []byte) (int, error) {
	select {
	case <-q.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case q.queue <- append([]byte(nil), p...):
		return len(p), nil
	default:
		_ = q.Close()
		return 0, errBacklog
	}
}

// Read closes the connection where the peer has: a net/rpc client does not.
func (q *queuedConn) Read(p []byte) (int, error) {
	n, err := q.Conn.Read(p)
	if err != nil {
		_ = q.Close()
	}
	return n, err
}

func (q *queuedConn) drain() {
	for {
		select {
		case <-q.closed:
			return
		case p := <-q.queue:
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

package connector

import (
	"errors"
	"net"
	"sync"

	"github.com/sapphireramp/sapphireramp/accountant"
)

const (
	// maxPendingWrites is the maximum number of writes queued on one connection to a peer; one write is
	// one net/rpc message. A write beyond it closes the connection.
	maxPendingWrites = 1024
	// maxPendingBytes is the size of the queued writes with which no further one is queued.
	maxPendingBytes = 2 * MaxFrameBytes
)

// errQueueFull is returned by queuedConn.Write if maxPendingWrites or maxPendingBytes are queued already, because the
// peer reads too slowly or not at all.
var errQueueFull = errors.New("write queue of peer connection is full")

// queuedConn is a connection whose writes never block. net/rpc holds a lock while it writes, so
// that a peer that does not read would otherwise block every call to it beyond the call's timeout.
type queuedConn struct {
	net.Conn
	lock sync.Mutex
	// pending holds the queued writes in order, at most maxPendingWrites, and pendingBytes is their size together with
	// those that are being written. written holds as much in the account of the entry.
	pending      [][]byte
	pendingBytes int
	written      *accountant.Holding
	// frames follows the messages that are read. read holds the current one, if it is large, in the account.
	frames frameScanner
	read   *accountant.Holding
	// limits are those of the messages that are read.
	limits FrameLimits
	// isServed is true for a connection that was accepted: on which nobody is known to be an entry.
	isServed bool
	// wake holds an element if pending may not be empty.
	wake chan struct{}
	// closed is closed by the first call of Close, which once detects.
	closed chan struct{}
	once   sync.Once
}

// NewQueuedConn wraps a connection so that its writes never block. A goroutine writes the queued
// data until the connection is closed or a write fails. A failed read closes the connection too, and so does a message
// above MaxFrameBytes. What is held of messages counts in the account; nil is allowed.
func NewQueuedConn(c net.Conn, account *accountant.Account) net.Conn {
	return newQueuedConn(c, account, FrameLimits{FrameBytes: MaxFrameBytes, FreeBytes: freeFrameBytes, Copies: 1}, false)
}

// FrameLimits limits the messages that are read from a connection.
type FrameLimits struct {
	// FrameBytes is the maximum size of a message, at most MaxFrameBytes.
	FrameBytes uint64
	// FreeBytes is the size up to which a message does not count in the account, and Copies the number of times that the
	// bytes of a larger one count, as they came and decoded. Lists of small elements take many times their bytes.
	FreeBytes, Copies int64
}

// DefaultServedLimits returns the limits of accepted connections on which messages of all sizes come.
func DefaultServedLimits() FrameLimits {
	return FrameLimits{FrameBytes: MaxFrameBytes, FreeBytes: freeFrameBytes, Copies: frameCopies}
}

// NewServedConn is NewQueuedConn for a connection that was accepted. It fails if the account grants no memory for a message,
// or for what is written and not read by the peer.
func NewServedConn(c net.Conn, account *accountant.Account, limits FrameLimits) net.Conn {
	return newQueuedConn(c, account, limits, true)
}

func newQueuedConn(c net.Conn, account *accountant.Account, limits FrameLimits, isServed bool) net.Conn {
	q := &queuedConn{
		Conn: c, written: account.Open("", accountant.Request), read: account.Open("", accountant.Request), limits: limits, isServed: isServed, frames: frameScanner{max: limits.FrameBytes},
		wake: make(chan struct{}, 1), closed: make(chan struct{}),
	}
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

// grow makes a holding grow by n bytes and reports whether that is granted. It always is on a connection that this entry
// has opened.
func (q *queuedConn) grow(h *accountant.Holding, n int64) bool {
	if q.isServed {
		return h.Grow(n)
	}
	h.Force(n)
	return true
}

// enqueue appends a message to the queue and returns true, or returns false if the queue is full or, on an accepted
// connection, the account grants no memory.
func (q *queuedConn) enqueue(message []byte) bool {
	q.lock.Lock()
	defer q.lock.Unlock()
	if len(q.pending) >= maxPendingWrites || q.pendingBytes >= maxPendingBytes {
		return false
	}
	if !q.grow(q.written, int64(len(message))) {
		return false
	}
	q.pending = append(q.pending, message)
	q.pendingBytes += len(message)
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

// recordWritten subtracts a write from the queued ones.
func (q *queuedConn) recordWritten(size int) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.pendingBytes -= size
	q.written.Shrink(int64(size))
}

// Read reads from the connection and closes it after any error, since a net/rpc client does not
// close its connection when the peer has closed the other end. Its error is a FrameTooLargeError if a message is too large.
func (q *queuedConn) Read(p []byte) (int, error) {
	n, err := q.Conn.Read(p)
	if n > 0 {
		largest, frameErr := q.frames.scan(p[:n])
		if frameErr == nil && !q.holdFrame(int64(largest)) {
			frameErr = accountant.ErrNoMemory
		}
		if frameErr != nil {
			n, err = 0, frameErr
		}
	}
	if err != nil {
		_ = q.Close()
	}
	return n, err
}

// holdFrame makes a message of a size count in the account while it is read, if it is large, and reports whether its memory
// is granted. The replies to calls of this entry are always granted it.
func (q *queuedConn) holdFrame(size int64) bool {
	if size < q.limits.FreeBytes {
		size = 0
	}
	size *= q.limits.Copies
	if held := q.read.Bytes(); size > held {
		return q.grow(q.read, size-held)
	}
	return q.read.Resize(size)
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
			_, err := q.Conn.Write(p)
			q.recordWritten(len(p))
			if err != nil {
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
		q.written.Close()
		q.read.Close()
		err = q.Conn.Close()
	})
	return err
}

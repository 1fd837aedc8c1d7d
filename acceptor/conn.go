package acceptor

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphireramp/sapphireramp/accountant"
)

// bodyBuffer is the receive buffer of a connection on which more than smallBuffer bytes of a body have arrived.
const bodyBuffer = 64 << 10

// errRefused is the error of reading from a connection that was refused.
var errRefused = errors.New("connection refused by a limit of this process")

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	// holding is the memory of the connection and of the head that arrives on it.
	holding *accountant.Holding

	// The lock of the acceptor guards these fields. list is the list of the listener that holds the connection, with
	// element, since the time since; nil while a request is served. isForgotten is true once the connection does not count
	// any more. hasCompleted is true once a request was answered.
	list                      *connList
	element                   *list.Element
	since                     time.Time
	isForgotten, hasCompleted bool

	// writes is the number of writes in progress.
	writes   atomic.Int32
	response response
	// headLock guards the fields below. isReadingHead is true from the beginning of a connection, or the end of a request,
	// until the next head is complete. bodyBytes is the number of bytes that have arrived after it.
	headLock      sync.Mutex
	isReadingHead bool
	head          accountant.HeadScanner
	bodyBytes     int64
	// body is the memory of a receive buffer of bodyBuffer bytes; nil while it is smaller.
	body *accountant.Holding
}

// connOf returns the Conn in a connection of a server; nil if there is none.
func connOf(c net.Conn) *Conn {
	for {
		if own, ok := c.(*Conn); ok {
			return own
		}
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapped.NetConn()
	}
}

// isBefore reports whether the connection is to be closed before another one.
func (c *Conn) isBefore(other *Conn) bool {
	if c.hasCompleted != other.hasCompleted {
		return other.hasCompleted
	}
	return c.since.Before(other.since)
}

// patience returns the time since the connection was added to its list from which another one may take its place. The lock
// of the acceptor must be held.
func (c *Conn) patience() time.Duration {
	if hasUnread(c.Conn) || c.list == &c.listener.ending {
		return maxPatience
	}
	if c.list == &c.listener.reading {
		return headPatience
	}
	return silentPatience
}

// isWriting reports whether a write is in progress.
func (c *Conn) isWriting() bool { return c.writes.Load() > 0 }

// leaveList removes the connection from its list. The lock of the acceptor must be held.
func (c *Conn) leaveList() {
	if c.list != nil {
		c.list.conns.Remove(c.element)
		c.list, c.element = nil, nil
	}
}

// moveTo adds the connection to a list of its listener, or to none if that is nil.
func (c *Conn) moveTo(l *connList) {
	a := c.listener.acceptor
	a.lock.Lock()
	defer a.lock.Unlock()
	switch {
	case c.isForgotten:
	case l == nil:
		c.leaveList()
	default:
		l.add(c, time.Now())
	}
}

// onStateChange follows the state that an HTTP server gives the connection.
func (c *Conn) onStateChange(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.moveTo(nil)
	case http.StateIdle:
		c.finishResponse()
		c.headLock.Lock()
		c.isReadingHead, c.head, c.bodyBytes = true, accountant.HeadScanner{}, 0
		c.holding.Resize(c.listener.config.connectionBytes())
		c.headLock.Unlock()
		c.complete()
	}
}

// complete notes that a request was answered.
func (c *Conn) complete() {
	a := c.listener.acceptor
	a.lock.Lock()
	defer a.lock.Unlock()
	if !c.isForgotten {
		c.hasCompleted = true
		c.listener.idle.add(c, time.Now())
	}
}

// endRequest notes that a handler has returned. If the client may still send a part of the body, which has a length or a
// negative one if it is chunked, the server waits for it.
func (c *Conn) endRequest(length int64) {
	c.headLock.Lock()
	isBodyRead := length >= 0 && c.bodyBytes >= length
	c.headLock.Unlock()
	if !isBodyRead {
		c.moveTo(&c.listener.ending)
	}
}

// Read reads from the connection, and counts the head of a request. If the head exceeds a limit, or there is no memory for
// it, the request is refused.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 || !c.listener.config.IsHTTP {
		return n, err
	}
	c.headLock.Lock()
	defer c.headLock.Unlock()
	if !c.isReadingHead {
		c.countBody(int64(n))
		return n, err
	}
	if c.head.Size() == 0 {
		c.moveTo(&c.listener.reading)
	}
	c.countBody(int64(n - c.head.Scan(p[:n])))
	if refusal := c.checkHead(); refusal != nil {
		return 0, refusal
	}
	if c.head.IsComplete() {
		c.isReadingHead = false
		c.moveTo(nil)
	}
	return n, err
}

// checkHead refuses the connection if the head so far is too large or takes too much memory, and returns an error then.
// headLock must be held.
func (c *Conn) checkHead() error {
	a := c.listener.acceptor
	reason, status := reasonNoMemory, http.StatusServiceUnavailable
	if c.head.Size() > a.config.Limits().maxHead() {
		reason, status = reasonHeadTooLarge, http.StatusRequestHeaderFieldsTooLarge
	} else if c.growTo(c.listener.config.connectionBytes() + max(0, c.head.Memory()-includedHead)) {
		return nil
	}
	a.lock.Lock()
	defer a.lock.Unlock()
	a.end(c, reason, status)
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errRefused} // http.Server sends no answer of its own
}

// growTo makes the connection count with a number of bytes, for which others may be closed, and reports whether these are
// granted.
func (c *Conn) growTo(bytes int64) bool {
	more := bytes - c.holding.Bytes()
	if more <= 0 || c.holding.Grow(more) {
		return true
	}
	a := c.listener.acceptor
	a.lock.Lock()
	defer a.lock.Unlock()
	_, ok := a.grow(c.listener, c.holding, more, c)
	return ok
}

// countBody counts bytes that have arrived after a head. If they are many, the receive buffer grows where there is memory
// for it. headLock must be held.
func (c *Conn) countBody(n int64) {
	c.bodyBytes += n
	if c.body != nil || c.bodyBytes <= smallBuffer {
		return
	}
	body := c.listener.acceptor.config.Account.Open("", accountant.Buffer)
	if body.Grow(int64(unreadFactor * (bodyBuffer - smallBuffer))) {
		c.body = body
		growReceiveBuffer(c.Conn, bodyBuffer)
	}
}

// Write writes to the connection. On a connection that is not one of an HTTP server, it completes a request.
func (c *Conn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	defer c.writes.Add(-1)
	n, err := c.Conn.Write(p)
	c.response.hasFailed.Store(err != nil)
	if err == nil && !c.listener.config.IsHTTP {
		c.complete()
	}
	return n, err
}

// CloseWrite closes the connection for writes where that is possible.
func (c *Conn) CloseWrite() error {
	if !c.finishResponse() {
		return errUnfinished
	}
	return closeWrite(c.Conn)
}

// Close gives back what the connection takes, and closes it. A connection that was refused is closed once its client has
// read the refusal.
func (c *Conn) Close() error {
	a := c.listener.acceptor
	a.lock.Lock()
	isOpen := a.forget(c)
	a.lock.Unlock()
	c.headLock.Lock()
	c.body.Close()
	c.headLock.Unlock()
	if !isOpen {
		return nil
	}
	c.finishResponse()
	return c.Conn.Close()
}

package launcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/accountant"
)

const (
	// connectionBytes is the memory that counts for a caller's connection: its buffers and its goroutine. What the
	// header of a request takes is added while it is read.
	connectionBytes = 16 << 10
	// refusalTime is the time for which a connection for which there is no memory is kept, so that its caller gets
	// the refusal. maxRefusals is the number of such connections; further ones are closed without a refusal.
	refusalTime = time.Second
	maxRefusals = 64
)

// errHeadMemory is the error of reading a request header for which there is no memory.
var errHeadMemory = errors.New("no memory for the request header at this entry")

// countingListener accepts connections of callers, whose memory counts in the account of the entry. If there is none
// left, it closes idle connections, and then refuses new ones.
type countingListener struct {
	net.Listener
	account *accountant.Account
	// closeIdle closes the connection that has been idle longest, and reports whether there was one.
	closeIdle func() bool
	// refusals holds an element for each connection that is being refused.
	refusals chan struct{}
}

func newCountingListener(l net.Listener, account *accountant.Account, closeIdle func() bool) countingListener {
	return countingListener{Listener: l, account: account, closeIdle: closeIdle, refusals: make(chan struct{}, maxRefusals)}
}

func (l countingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err // http.Server compares it
		}
		holding := l.account.Open("", accountant.Connection)
		if holding.Grow(connectionBytes) || l.closeIdle() && holding.Grow(connectionBytes) {
			return &countedConn{Conn: c, holding: holding}, nil
		}
		holding.Close()
		select {
		case l.refusals <- struct{}{}:
			go l.refuse(c)
		default:
			_ = c.Close()
		}
	}
}

// refuse answers a connection with status 503 whatever request comes on it, which is not run.
func (l countingListener) refuse(c net.Conn) {
	defer func() { <-l.refusals }()
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(refusalTime))
	_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.3f\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", l.account.RetryAfter(connectionBytes).Seconds())
	if err == nil {
		_ = closeWrite(c)
	}
	_, _ = io.Copy(io.Discard, c) // closing a connection with unread bytes resets it
}

// countedConn is a connection of a countingListener.
type countedConn struct {
	net.Conn
	holding *accountant.Holding
	// lock guards the other fields. isReadingHead is true while the header of a request is read, of which headBytes
	// have arrived.
	lock          sync.Mutex
	isReadingHead bool
	headBytes     int64
}

// Read reads, and counts what belongs to the header of a request. It fails if there is no memory for it.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.isReadingHead || n <= 0 {
		return n, err
	}
	if !c.holding.Grow(int64(n)) {
		return 0, errHeadMemory
	}
	c.headBytes += int64(n)
	return n, err
}

// setReadingHead sets whether the header of a request is read from now on. One that was read before does not count any
// more.
func (c *countedConn) setReadingHead(isReading bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.holding.Shrink(c.headBytes)
	c.isReadingHead, c.headBytes = isReading, 0
}

// Close releases the memory of the connection and closes it.
func (c *countedConn) Close() error {
	c.holding.Close()
	return c.Conn.Close()
}

// CloseWrite closes the connection for writes where that is possible.
func (c *countedConn) CloseWrite() error { return closeWrite(c.Conn) }

// closeWrite closes a connection for writes where that is possible.
func closeWrite(c net.Conn) error {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// countedConnOf returns the countedConn in a connection of the server for callers; nil if there is none.
func countedConnOf(c net.Conn) *countedConn {
	if u, ok := c.(*unreadConn); ok {
		c = u.Conn
	}
	counted, _ := c.(*countedConn)
	return counted
}

// beginHead makes what is read from a connection count as the header of a request.
func beginHead(c net.Conn) {
	if counted := countedConnOf(c); counted != nil {
		counted.setReadingHead(true)
	}
}

type callerConnKey struct{}

// withCallerConn returns a context that holds the connection on which a request arrives.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, countedConnOf(c))
}

// headCounter is a handler whose requests count themselves: the header does not count for the connection any more.
type headCounter struct{ http.Handler }

func (h headCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(callerConnKey{}).(*countedConn); ok && c != nil {
		c.setReadingHead(false)
	}
	h.Handler.ServeHTTP(w, r)
}

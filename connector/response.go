package connector

import (
	"net"
	"sync"

	"github.com/sapphireramp/sapphireramp/accountant"
)

// responseConn is a connection of a Transport. It passes on only valid heads of responses.
type responseConn struct {
	net.Conn
	// dialled is the connection that was opened.
	dialled net.Conn
	// holding holds the memory of the largest head.
	holding *accountant.Holding
	// lock guards the fields below. head is that of the current response, headErr why it is invalid; nil if it is not.
	lock    sync.Mutex
	head    responseHead
	headErr error
	// ended is closed once Read has returned an error, or Close was called; endOnce closes it.
	ended   chan struct{}
	endOnce sync.Once
}

// newResponseConn returns a connection whose heads count in an account.
func newResponseConn(dialled net.Conn, account *accountant.Account) *responseConn {
	return &responseConn{Conn: DetectReset(dialled), dialled: dialled, holding: account.Open("", accountant.Request), ended: make(chan struct{})}
}

// beginResponse makes the next bytes the head of another response.
func (c *responseConn) beginResponse() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.head = responseHead{}
}

// Read reads from the connection. If the head of a response is invalid, it returns an InvalidResponseError or a
// TooManyLinesError from then on, and no more bytes: http.Transport reads again after an error in the middle of a line.
func (c *responseConn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if err != nil {
		c.end()
	}
	return n, err
}

// read reads from the connection, and checks what belongs to a head.
func (c *responseConn) read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.headErr != nil {
		return 0, c.headErr
	}
	if c.head.isComplete {
		return n, err
	}
	if c.headErr = c.head.add(p[:n]); c.headErr != nil {
		return 0, c.headErr
	}
	if more := c.head.memory() - c.holding.Bytes(); more > 0 {
		c.holding.Force(more)
	}
	return n, err
}

// Write writes to the connection. If that fails, it returns once all that has arrived was read: http.Transport closes the
// connection then, and an upstream may have answered before it closed its end.
func (c *responseConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		<-c.ended
	}
	return n, err
}

// end makes a Write that has failed return.
func (c *responseConn) end() { c.endOnce.Do(func() { close(c.ended) }) }

// invalidHead returns why the head of the current response is invalid; nil if it is not.
func (c *responseConn) invalidHead() error {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.headErr
}

// Close closes the connection, and gives back the memory of the head.
func (c *responseConn) Close() error {
	c.end()
	c.holding.Close()
	return c.Conn.Close()
}

// Unwrap returns the connection that was opened, from one that an HTTP client uses.
func Unwrap(c net.Conn) net.Conn {
	if wrapped, ok := c.(*responseConn); ok {
		return wrapped.dialled
	}
	return c
}

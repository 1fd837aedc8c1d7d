package network

import (
	"cmp"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Order is the order in which a Write and the Reads of a PlayedConn return. On a real connection the kernel decides it.
type Order int

const (
	// WriteBeforeResponse means that the Write returns before anything is read.
	WriteBeforeResponse Order = iota
	// WriteBeforeEnd means that the Write returns once the response was read, and before Read returns the end.
	WriteBeforeEnd
	// WriteAfterEnd means that the Write, which has its error first, returns some time after Read has returned the end.
	WriteAfterEnd
	// WriteBlocks means that the Write has no error, and returns once its deadline has passed.
	WriteBlocks
)

// playedTime is the time between two events of a PlayedConn.
const playedTime = 10 * time.Millisecond

// PlayedConn is an end of a connection whose other end sends a response and ends the connection while the first Write, of
// the request, is in progress. It implements [net.Conn].
type PlayedConn struct {
	order    Order
	response []byte
	// writeErr is the error of the Write, readErr that of the first Read after the response; later ones return io.EOF.
	writeErr, readErr error
	once              sync.Once
	// begun, failed and ended happen when the response may be read, when the Write has its error, and when Read has
	// returned the end; interrupted when the deadline of writes has passed; closed when Close is called, with which ended
	// and interrupted happen.
	begun, failed, ended, interrupted, closed event
}

// event is a channel that is closed once.
type event struct {
	happened chan struct{}
	once     sync.Once
}

func (e *event) happen() { e.once.Do(func() { close(e.happened) }) }

// NewPlayedConn returns a connection that plays an order. A nil readErr stands for io.EOF.
func NewPlayedConn(order Order, response string, writeErr, readErr error) *PlayedConn {
	c := &PlayedConn{order: order, response: []byte(response), writeErr: writeErr, readErr: cmp.Or(readErr, io.EOF)}
	for _, e := range []*event{&c.begun, &c.failed, &c.ended, &c.interrupted, &c.closed} {
		e.happened = make(chan struct{})
	}
	return c
}

// Write fails, and writes nothing.
func (c *PlayedConn) Write([]byte) (int, error) {
	c.once.Do(func() {
		switch c.order {
		case WriteBeforeResponse:
			c.failed.happen()
			time.AfterFunc(playedTime, c.begun.happen)
		case WriteBeforeEnd:
			c.begun.happen()
			time.Sleep(playedTime)
			c.failed.happen()
		case WriteAfterEnd:
			c.failed.happen()
			c.begun.happen()
			<-c.ended.happened
			time.Sleep(playedTime)
		case WriteBlocks:
			c.failed.happen()
			c.begun.happen()
			<-c.interrupted.happened
			c.writeErr = os.ErrDeadlineExceeded
		}
	})
	return 0, c.writeErr
}

func (c *PlayedConn) Read(p []byte) (int, error) {
	select {
	case <-c.begun.happened:
	case <-c.closed.happened:
		return 0, net.ErrClosed
	}
	if len(c.response) > 0 {
		n := copy(p, c.response)
		c.response = c.response[n:]
		return n, nil
	}
	<-c.failed.happened
	c.ended.happen()
	err := c.readErr
	c.readErr = io.EOF
	return 0, err
}

// SetWriteDeadline makes a Write return if t has passed.
func (c *PlayedConn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		c.interrupted.happen()
	}
	return nil
}

// SetReadDeadline has no effect.
func (c *PlayedConn) SetReadDeadline(time.Time) error { return nil }

// SetDeadline is SetWriteDeadline.
func (c *PlayedConn) SetDeadline(t time.Time) error { return c.SetWriteDeadline(t) }

// Close makes a Write return, and a Read before the response.
func (c *PlayedConn) Close() error {
	c.closed.happen()
	c.interrupted.happen()
	c.ended.happen()
	return nil
}

// LocalAddr returns no address.
func (c *PlayedConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr returns no address.
func (c *PlayedConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

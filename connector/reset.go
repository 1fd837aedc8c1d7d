package connector

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// DetectReset returns a connection whose Read returns io.EOF only if the other end has closed the connection in order. The
// kernel reports the failure of a connection once, to the call that comes first. If that is a Write, a Read afterwards
// returns io.EOF, as if the other end had sent all that it had to send; Read of the returned connection then returns the
// error of the Write. At its end, Read interrupts a Write in progress, since the error may be on its way there, and later
// ones fail: the connection is for protocols in which nothing is sent to an end that has closed.
func DetectReset(c net.Conn) net.Conn {
	return &resetDetector{Conn: c, writing: make(chan struct{}, 1)}
}

// resetDetector is a connection of DetectReset.
type resetDetector struct {
	net.Conn
	// writing, of capacity 1, holds an element during each Write, and while failure is used: the error with which a Write
	// found the connection failed; nil if none has.
	writing chan struct{}
	failure error
	// deadline is held while the write deadline is set. hasEnded, which it guards, is true once Read has reached the end;
	// the deadline has passed from then on.
	deadline sync.Mutex
	hasEnded bool
}

// Write writes to the connection.
func (c *resetDetector) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	if c.failure == nil && isConnectionFailure(err) {
		c.failure = err
	}
	return n, err
}

// isConnectionFailure reports whether the error of a Write shows that the connection has failed. One that the other end
// has closed, from which all that it sent before can be read, has not.
func isConnectionFailure(err error) bool {
	for _, harmless := range []error{syscall.EPIPE, io.ErrClosedPipe, net.ErrClosed, os.ErrDeadlineExceeded} {
		if errors.Is(err, harmless) {
			return false
		}
	}
	return err != nil
}

// Read reads from the connection.
func (c *resetDetector) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.interruptWrites()
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	if c.failure != nil {
		return n, c.failure
	}
	return n, err
}

// interruptWrites makes writes fail that are in progress or follow.
func (c *resetDetector) interruptWrites() {
	c.deadline.Lock()
	defer c.deadline.Unlock()
	c.hasEnded = true
	_ = c.Conn.SetWriteDeadline(time.Now()) // fails on a closed connection, on which no Write blocks
}

// SetWriteDeadline sets the deadline of writes. It has no effect once Read has reached the end.
func (c *resetDetector) SetWriteDeadline(t time.Time) error {
	c.deadline.Lock()
	defer c.deadline.Unlock()
	if c.hasEnded {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *resetDetector) SetDeadline(t time.Time) error {
	if err := c.Conn.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

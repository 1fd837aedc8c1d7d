package launcher

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// stallTime is the time without a byte written after which a connection counts as stalled. It is twice the
	// timeout of routes that set none.
	stallTime = time.Minute
	// unreadTimeout is the time without a byte written after which a connection is closed. It is long because a
	// caller that reads slowly may show no progress for minutes: its kernel opens the receive window again only
	// once a sixteenth of its buffer is free, up to several hundred kilobytes.
	unreadTimeout = 10 * stallTime
	// maxStalled is the number of stalled connections that an entry keeps. Beyond it, the one that has been stalled
	// longest is closed. Each takes 0.1 MB, so all take 13 MB of the 184 MB of the smallest instances.
	maxStalled = 128
)

// errUnread is the error of a write to a caller that does not read.
var errUnread = errors.New("caller does not read")

// stalledConns holds the connections that are stalled. It is safe for concurrent use.
type stalledConns struct {
	lock sync.Mutex
	// since holds the time of the last progress of each.
	since map[*unreadConn]time.Time
}

// add adds a connection that has made no progress since a time, and closes the one that has been stalled longest if
// there are too many.
func (s *stalledConns) add(c *unreadConn, since time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.since[c] = since
	if len(s.since) <= maxStalled {
		return
	}
	oldest := c
	for other, at := range s.since {
		if at.Before(s.since[oldest]) {
			oldest = other
		}
	}
	delete(s.since, oldest)
	_ = oldest.Close()
}

func (s *stalledConns) remove(c *unreadConn) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.since, c)
}

// unreadListener accepts connections of callers, of which it closes those that read nothing (see unreadTimeout and
// maxStalled).
type unreadListener struct {
	net.Listener
	stalled *stalledConns
}

func newUnreadListener(l net.Listener) unreadListener {
	return unreadListener{Listener: l, stalled: &stalledConns{since: map[*unreadConn]time.Time{}}}
}

func (l unreadListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err // http.Server compares it
	}
	return &unreadConn{Conn: c, stalled: l.stalled}, nil
}

// unreadConn is a connection of an unreadListener.
type unreadConn struct {
	net.Conn
	stalled *stalledConns
	// lock guards deadline, which is the write deadline that was set by SetWriteDeadline; zero if none is.
	lock     sync.Mutex
	deadline time.Time
}

// SetWriteDeadline sets a deadline for writes that applies besides unreadTimeout.
func (c *unreadConn) SetWriteDeadline(t time.Time) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.deadline = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline sets the deadlines for reads and writes.
func (c *unreadConn) SetDeadline(t time.Time) error {
	if err := c.Conn.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// extend sets the deadline of the next write, and reports whether that is stallTime from now, and not one that was set
// by SetWriteDeadline.
func (c *unreadConn) extend() (bool, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	next := time.Now().Add(stallTime)
	if !c.deadline.IsZero() && c.deadline.Before(next) {
		return false, c.Conn.SetWriteDeadline(c.deadline)
	}
	return true, c.Conn.SetWriteDeadline(next)
}

// Write writes all of p, unless nothing of it is written for unreadTimeout or the connection is closed.
func (c *unreadConn) Write(p []byte) (int, error) {
	written, lastProgress, isStalled := 0, time.Now(), false
	defer func() {
		if isStalled {
			c.stalled.remove(c)
		}
	}()
	for {
		isExtendable, err := c.extend()
		if err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !isExtendable {
			return written, err
		}
		switch {
		case n > 0:
			lastProgress = time.Now()
			if isStalled {
				c.stalled.remove(c)
				isStalled = false
			}
		case time.Since(lastProgress) >= unreadTimeout:
			return written, fmt.Errorf("%w: %w", errUnread, err)
		case !isStalled:
			isStalled = true
			c.stalled.add(c, lastProgress)
		}
	}
}

// CloseWrite closes the connection for writes where that is possible. http.Server does so after a response to a request
// whose body it has not read; closing all of the connection at once could lose the response.
func (c *unreadConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// NetConn returns the connection that is wrapped.
func (c *unreadConn) NetConn() net.Conn { return c.Conn }

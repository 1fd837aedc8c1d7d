package acceptor

import (
	"container/list"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// connectionBytes is the memory of a connection besides what its kernel holds: buffers, a goroutine, and a head of up
	// to includedHead bytes.
	connectionBytes, includedHead = 16 << 10, 8 << 10
	// unreadFactor is the number of bytes that the kernel holds unread for a byte of its receive buffer, which it doubles
	// for its own use, at most.
	unreadFactor = 1.5
	// lingerTime is the time for which a refused connection is kept, so that its client gets the refusal. maxLingering is
	// the number of such connections; further ones are closed at once.
	lingerTime   = time.Second
	maxLingering = 64
)

// ListenerConfig configures a Listener.
type ListenerConfig struct {
	// Name names the address in logs and metrics.
	Name string
	// Share is the part of all places that is reserved for the address, MaxReserved the number of reserved places at
	// most; 0 for no maximum. IsPrivate is true if it may use no others.
	Share       float64
	MaxReserved int
	IsPrivate   bool
	// IsHTTP is true if an HTTP server reads from the connections, to which Attach was applied. Otherwise connections
	// are those of package connector, on which every write completes a request.
	IsHTTP bool
	// ReceiveBuffer is the size in bytes of the kernel's receive buffer of each connection, Backlog the number of
	// connections that wait to be accepted, each with such a buffer.
	ReceiveBuffer, Backlog int
	// ExtraBytes is memory that counts for each connection in addition.
	ExtraBytes int64
}

// connectionBytes returns the memory that counts for each connection.
func (c ListenerConfig) connectionBytes() int64 {
	return connectionBytes + c.ExtraBytes + int64(unreadFactor*float64(c.ReceiveBuffer))
}

// Configurations of the listeners of an entry. Readiness and Metrics are for the platform and operators, Peers for other
// entries, whose messages of up to 32 KiB count with their connection.
var (
	Callers   = ListenerConfig{Name: "callers", Share: 0.1, IsHTTP: true, ReceiveBuffer: smallBuffer, Backlog: 512}
	Directory = ListenerConfig{Name: "directory", Share: 0.1, IsHTTP: true, ReceiveBuffer: smallBuffer, Backlog: 256}
	Readiness = ListenerConfig{Name: "readiness", Share: 0.1, MaxReserved: 32, IsPrivate: true, IsHTTP: true, ReceiveBuffer: smallBuffer, Backlog: 64}
	Metrics   = ListenerConfig{Name: "metrics", Share: 0.1, MaxReserved: 32, IsPrivate: true, IsHTTP: true, ReceiveBuffer: smallBuffer, Backlog: 64}
	Peers     = ListenerConfig{Name: "peers", Share: 0.25, ReceiveBuffer: smallBuffer, Backlog: 256, ExtraBytes: 32 << 10}
)

// smallBuffer is the receive buffer of a connection on which no large body arrives.
const smallBuffer = 16 << 10

// Listener accepts connections within the limits of an Acceptor.
type Listener struct {
	net.Listener
	acceptor *Acceptor
	config   ListenerConfig
	// freed holds an element if a connection has ended since it was emptied.
	freed chan struct{}
	// count is the number of open connections. Those that serve no request are in one of the lists: nothing has arrived
	// yet, a head is incomplete, idle after a request, or answered while their client may still send a body. The lock of
	// the acceptor guards these fields.
	count                         int
	silent, reading, idle, ending connList
}

// Listen makes the connections of a listener count. It must be called before the acceptor accepts any connection.
func (a *Acceptor) Listen(l net.Listener, c ListenerConfig) *Listener {
	counted := &Listener{Listener: l, acceptor: a, config: c, freed: make(chan struct{}, 1)}
	setReceiveBuffer(l, c.ReceiveBuffer) // inherited by connections, also by those not accepted yet
	control(l, func(fd int) { _ = unix.Listen(fd, c.Backlog) })
	a.lock.Lock()
	defer a.lock.Unlock()
	a.listeners = append(a.listeners, counted)
	return counted
}

// Accept returns the next connection for which there is room. The type of the connection is *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err // http.Server compares it
		}
		if c := l.acceptor.admit(l, raw); c != nil {
			return c, nil
		}
	}
}

// awaitPlace waits until a connection has ended, for a time at most.
func (l *Listener) awaitPlace(limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-l.freed:
	case <-timer.C:
	}
}

// setReceiveBuffer sets the size of the receive buffer of a socket, if it is one. A failure leaves the default, which is
// larger.
func setReceiveBuffer(socket any, bytes int) {
	setOption(socket, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
}

// growReceiveBuffer makes the receive buffer of a connection larger, and its window with it.
func growReceiveBuffer(socket any, bytes int) {
	setReceiveBuffer(socket, bytes)
	setOption(socket, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, 2*bytes)
}

// setOption sets an option of a socket.
func setOption(socket any, level, option, value int) {
	control(socket, func(fd int) { _ = unix.SetsockoptInt(fd, level, option, value) })
}

// control calls f with the descriptor of a socket, and reports whether it did; there is none in simulated networks.
func control(socket any, f func(fd int)) bool {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// hasUnread reports whether the kernel holds bytes of a connection that have not been read, and true if that is unknown.
func hasUnread(connection net.Conn) bool {
	unread, err := 0, error(nil)
	hasSocket := control(connection, func(fd int) { unread, err = unix.IoctlGetInt(fd, unix.TIOCINQ) })
	return !hasSocket || err != nil || unread > 0
}

// answer sends a refusal on a connection that the caller has given up, and closes it once its client has read that, or
// soon after.
func (a *Acceptor) answer(l *Listener, raw net.Conn, status int) {
	if !l.config.IsHTTP {
		_ = raw.Close()
		return
	}
	select {
	case a.lingering <- struct{}{}:
	default:
		_ = raw.Close()
		return
	}
	retryAfter := ""
	if status == http.StatusServiceUnavailable {
		retryAfter = fmt.Sprintf("Retry-After: %.3f\r\n", a.config.Account.RetryAfter(l.config.connectionBytes()).Seconds())
	}
	go func() {
		defer func() { <-a.lingering }()
		defer func() { _ = raw.Close() }()
		_ = raw.SetDeadline(time.Now().Add(lingerTime))
		_, err := fmt.Fprintf(raw, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retryAfter)
		if err == nil {
			_ = closeWrite(raw)
		}
		_, _ = io.Copy(io.Discard, raw) // closing a connection with unread bytes resets it
	}()
}

// closeWrite closes a connection for writes where that is possible.
func closeWrite(c net.Conn) error {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// connList holds connections in the order in which they were added, with that time.
type connList struct{ conns list.List }

// add moves a connection to the end of the list.
func (l *connList) add(c *Conn, now time.Time) {
	c.leaveList()
	c.since, c.list, c.element = now, l, l.conns.PushBack(c)
}

// oldest returns the connection that was added first, of those to which nothing is being written; nil if there is none.
func (l *connList) oldest() *Conn {
	for e := l.conns.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); !c.isWriting() {
			return c
		}
	}
	return nil
}

type connKey struct{}

// Attach makes an HTTP server tell the acceptor of its connections. It must be called before the server starts, and once
// its other fields are set.
func (a *Acceptor) Attach(s *http.Server) {
	onStateChange, handler := s.ConnState, s.Handler
	s.MaxHeaderBytes = maxHeadBytes
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if own := connOf(c); own != nil {
			own.onStateChange(state)
		}
		if onStateChange != nil {
			onStateChange(c, state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, connOf(c))
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*Conn)
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		defer c.endRequest(r.ContentLength)
		if r.ProtoAtLeast(1, 1) {
			handler.ServeHTTP(w, r)
			return
		}
		c.serveHTTP10(handler, w, r)
	})
}

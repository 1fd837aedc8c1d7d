// Package relay forwards TCP connections to a process and delays, stalls or closes them
// as a test requires, to emulate network faults on a real network.
package relay

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Modes of a relay, set for each source address. The empty mode forwards
// everything without delay.
const (
	// ModeRefuse closes open connections and resets new ones.
	ModeRefuse = "refuse"
	// ModeStall forwards nothing in either direction and keeps connections
	// open.
	ModeStall = "stall"
	// ModeDropAnswers forwards what the source sends, but none of the answers.
	ModeDropAnswers = "answers"
	// ModeDelay forwards everything, each read delayed by DelayTime.
	ModeDelay = "late"
)

// DelayTime is the delay of each read in ModeDelay.
const DelayTime = 150 * time.Millisecond

// Relay forwards TCP connections to one process. Each source, an IP address that
// connections come from, has a mode that determines how its connections are
// forwarded. A Relay is safe for concurrent use.
type Relay struct {
	listenAddress, targetAddress netip.AddrPort
	// OnBytes, if not nil, is called whenever bytes are forwarded, in either
	// direction, with the source's address and the number of bytes. It must be set
	// before the first connection.
	OnBytes func(from netip.Addr, n int)

	// lock guards the fields below.
	lock     sync.Mutex
	listener net.Listener
	// modes holds the mode of each source; sources without one have the empty mode.
	modes map[netip.Addr]string
	// connections holds the open connections from sources, with the source's
	// address.
	connections map[net.Conn]netip.Addr
}

// New returns a relay that listens at listenAddress and forwards connections to
// targetAddress. It returns an error if it can't listen.
func New(listenAddress, targetAddress netip.AddrPort) (*Relay, error) {
	l, err := net.Listen("tcp", listenAddress.String())
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, listenAddress: listenAddress, targetAddress: targetAddress, modes: map[netip.Addr]string{}, connections: map[net.Conn]netip.Addr{}}
	go r.acceptConnections(l)
	return r, nil
}

// Close stops listening and closes all connections, like Stop.
func (r *Relay) Close() { r.Stop() }

// Stop stops listening and closes all connections, as if the target process had
// exited. Resume undoes it.
func (r *Relay) Stop() {
	r.lock.Lock()
	listener := r.listener
	r.lock.Unlock()
	_ = listener.Close()
	r.CloseConnections(func(netip.Addr) bool { return true })
}

// Resume listens at the same address again after Stop. It returns an error if it
// can't listen.
func (r *Relay) Resume() error {
	l, err := net.Listen("tcp", r.listenAddress.String())
	if err != nil {
		return fmt.Errorf("listen again: %w", err)
	}
	r.lock.Lock()
	r.listener = l
	r.lock.Unlock()
	go r.acceptConnections(l)
	return nil
}

// CloseConnections closes the open connections of the sources for which selected
// returns true.
func (r *Relay) CloseConnections(selected func(netip.Addr) bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for c, source := range r.connections {
		if selected(source) {
			_ = c.Close()
		}
	}
}

// SetMode sets the mode of a source, one of the Mode constants or "" to forward
// normally. ModeRefuse, and the return to "", close the source's open connections:
// a connection doesn't survive a real network fault either.
func (r *Relay) SetMode(source netip.Addr, mode string) {
	r.lock.Lock()
	before := r.modes[source]
	r.modes[source] = mode
	r.lock.Unlock()
	if mode == ModeRefuse || mode == "" && before != "" {
		r.CloseConnections(func(a netip.Addr) bool { return a == source })
	}
}

// mode returns the mode of a source.
func (r *Relay) mode(source netip.Addr) string {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.modes[source]
}

// acceptConnections forwards the connections that l accepts, until l is closed.
func (r *Relay) acceptConnections(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.relayConnection(c)
	}
}

// relayConnection forwards one connection until either side closes it. It resets
// the connection if the source's mode is ModeRefuse or the target can't be reached
// within a second.
func (r *Relay) relayConnection(c net.Conn) {
	defer func() { _ = c.Close() }()
	source := c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	if r.mode(source) == ModeRefuse {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	target, err := net.DialTimeout("tcp", r.targetAddress.String(), time.Second)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	defer func() { _ = target.Close() }()
	r.lock.Lock()
	r.connections[c] = source
	r.lock.Unlock()
	defer func() {
		r.lock.Lock()
		delete(r.connections, c)
		r.lock.Unlock()
	}()
	done := make(chan struct{}, 2)
	go r.copyBytes(c, target, source, func(mode string) bool { return mode == ModeStall }, done)
	go r.copyBytes(target, c, source, func(mode string) bool { return mode == ModeStall || mode == ModeDropAnswers }, done)
	<-done
}

// copyBytes copies bytes from one connection to the other until either is closed,
// and then sends to done. While isHeld returns true for the mode of the source,
// copyBytes withholds the bytes that it has read and reads no more.
func (r *Relay) copyBytes(from, to net.Conn, source netip.Addr, isHeld func(string) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if r.mode(source) == ModeDelay {
			time.Sleep(DelayTime)
		}
		for isHeld(r.mode(source)) {
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 {
			if r.OnBytes != nil {
				r.OnBytes(source, n)
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Package relay stands before a process on a real network and breaks its
// connections as tests order.
package relay

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Ways to cut the cable between two processes.
const (
	// ModeRefuse resets connections and refuses new ones.
	ModeRefuse = "refuse"
	// ModeStall carries nothing either way, and says nothing.
	ModeStall = "stall"
	// ModeDropAnswers carries what the caller sends and none of the answers.
	ModeDropAnswers = "answers"
	// ModeDelay carries everything, each read after LateTime.
	ModeDelay = "late"
)

// DelayTime is by how much a late cable delays each read.
const DelayTime = 150 * time.Millisecond

// Relay stands before one process. It tells who connects by the address that
// the connection comes from, and treats each as the cable to it is set.
type Relay struct {
	listenAddress, targetAddress netip.AddrPort
	// OnBytes, where not nil, is told of all bytes carried; it is set before the
	// first connection.
	OnBytes func(from netip.Addr, n int)

	lock        sync.Mutex
	listener    net.Listener
	modes       map[netip.Addr]string
	connections map[net.Conn]netip.Addr
}

// New returns a relay that listens at front and connects to back.
func New(listenAddress, targetAddress netip.AddrPort) (*Relay, error) {
	l, err := net.Listen("tcp", listenAddress.String())
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, listenAddress: listenAddress, targetAddress: targetAddress, modes: map[netip.Addr]string{}, connections: map[net.Conn]netip.Addr{}}
	go r.acceptConnections(l)
	return r, nil
}

// Close ends the relay and all its connections.
func (r *Relay) Close() { r.Stop() }

// Stop ends all connections, and nobody listens any more until Up, as where the process has
// ended.
func (r *Relay) Stop() {
	r.lock.Lock()
	listener := r.listener
	r.lock.Unlock()
	_ = listener.Close()
	r.CloseConnections(func(netip.Addr) bool { return true })
}

// Resume listens again.
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

// CloseConnections closes the connections of the callers that which names.
func (r *Relay) CloseConnections(selected func(netip.Addr) bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for c, source := range r.connections {
		if selected(source) {
			_ = c.Close()
		}
	}
}

// SetMode cuts or, with an empty way, mends the cable to an address. Mending
// resets what was stalled, as a real break outlasts any connection.
func (r *Relay) SetMode(source netip.Addr, mode string) {
	r.lock.Lock()
	before := r.modes[source]
	r.modes[source] = mode
	r.lock.Unlock()
	if mode == ModeRefuse || mode == "" && before != "" {
		r.CloseConnections(func(a netip.Addr) bool { return a == source })
	}
}

func (r *Relay) mode(source netip.Addr) string {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.modes[source]
}

func (r *Relay) acceptConnections(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.relayConnection(c)
	}
}

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

// copyBytes carries bytes until either end closes; while stalled it holds them.
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

// Package network is a network in memory whose cables can be cut, for runs in
// virtual time.
package network

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/sapphireramp/sapphireramp/connector"
)

// dialTimeout bounds a connection where the caller sets no limit.
const dialTimeout = time.Second

// Network joins hosts, told apart by address. A cable joins two of them. It is
// safe for concurrent use.
type Network struct {
	// OnDatagram, where not nil, is told of each datagram; it is set before the first and
	// must not use the network.
	OnDatagram func(from, to netip.Addr, size int)

	lock        sync.Mutex
	changed     *sync.Cond
	listeners   map[netip.AddrPort]*listener
	cuts        map[[2]netip.Addr]bool
	links       map[*link]bool
	packetConns map[netip.AddrPort]*packetConn
	// sendRates are what hosts send at most, in bytes a second; freeAt is when a
	// host has sent what it was given.
	sendRates map[netip.Addr]int
	idleAt    map[netip.Addr]time.Time
}

type link struct {
	from, to netip.Addr
	ends     [4]net.Conn
}

type listener struct {
	network  *Network
	address  netip.AddrPort
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

var errRefused = fmt.Errorf("network: %w", syscall.ECONNREFUSED)

// New returns a network without hosts.
func New() *Network {
	n := &Network{
		listeners: map[netip.AddrPort]*listener{}, cuts: map[[2]netip.Addr]bool{}, links: map[*link]bool{},
		packetConns: map[netip.AddrPort]*packetConn{}, sendRates: map[netip.Addr]int{}, idleAt: map[netip.Addr]time.Time{},
	}
	n.changed = sync.NewCond(&n.lock)
	return n
}

// Listen opens a listener at an address.
func (n *Network) Listen(address netip.AddrPort) (net.Listener, error) {
	n.lock.Lock()
	defer n.lock.Unlock()
	l := &listener{network: n, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// Dialer returns the way to connect from a host.
func (n *Network) Dialer(from netip.Addr) connector.DialFunc {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to := netip.MustParseAddrPort(address)
		n.lock.Lock()
		l, cut := n.listeners[to], n.cuts[[2]netip.Addr{from, to.Addr()}]
		n.lock.Unlock()
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if cut { // nothing says that nobody is there
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if l == nil {
			return nil, errRefused
		}
		callerEnd, callerPipe := net.Pipe()
		acceptorPipe, acceptorEnd := net.Pipe()
		select {
		case l.accepted <- acceptorEnd:
		case <-l.closed:
			return nil, errRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		opened := &link{from: from, to: to.Addr(), ends: [4]net.Conn{callerEnd, callerPipe, acceptorPipe, acceptorEnd}}
		n.lock.Lock()
		n.links[opened] = true
		n.lock.Unlock()
		go n.copyBytes(opened, opened.from, callerPipe, acceptorPipe)
		go n.copyBytes(opened, opened.to, acceptorPipe, callerPipe)
		return callerEnd, nil
	}
}

// LimitSendRate bounds what a host sends over connections, in bytes a second.
func (n *Network) LimitSendRate(host netip.Addr, rate int) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.sendRates[host] = rate
}

// sendDelay is how long a host takes until it has sent so many bytes more.
func (n *Network) sendDelay(host netip.Addr, size int) time.Duration {
	n.lock.Lock()
	defer n.lock.Unlock()
	rate, ok := n.sendRates[host]
	if !ok {
		return 0
	}
	now := time.Now()
	if n.idleAt[host].Before(now) {
		n.idleAt[host] = now
	}
	n.idleAt[host] = n.idleAt[host].Add(time.Duration(size) * time.Second / time.Duration(rate))
	return n.idleAt[host].Sub(now)
}

// copyBytes moves bytes one way; while the cable is cut it holds them.
func (n *Network) copyBytes(l *link, sender netip.Addr, from, to net.Conn) {
	defer n.closeLink(l)
	buffer := make([]byte, 64<<10)
	for {
		size, err := from.Read(buffer)
		n.lock.Lock()
		for n.cuts[[2]netip.Addr{l.from, l.to}] && n.links[l] {
			n.changed.Wait()
		}
		n.lock.Unlock()
		if wait := n.sendDelay(sender, size); wait > 0 {
			time.Sleep(wait)
		}
		if size > 0 {
			if _, err := to.Write(buffer[:size]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (n *Network) closeLink(l *link) {
	n.lock.Lock()
	delete(n.links, l)
	n.changed.Broadcast()
	n.lock.Unlock()
	for _, c := range l.ends {
		_ = c.Close()
	}
}

// Disconnect parts two hosts, both ways.
func (n *Network) Disconnect(a, b netip.Addr) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.cuts[[2]netip.Addr{a, b}], n.cuts[[2]netip.Addr{b, a}] = true, true
}

// Reconnect joins two hosts and breaks what hung.
func (n *Network) Reconnect(a, b netip.Addr) {
	n.lock.Lock()
	delete(n.cuts, [2]netip.Addr{a, b})
	delete(n.cuts, [2]netip.Addr{b, a})
	n.changed.Broadcast()
	n.lock.Unlock()
	n.closeLinks(func(l *link) bool { return l.from == a && l.to == b || l.from == b && l.to == a })
}

// KillHost ends a host: its listeners and every link to or from it.
func (n *Network) KillHost(host netip.Addr) {
	n.lock.Lock()
	for address, l := range n.listeners {
		if address.Addr() == host {
			_ = l.Close()
			delete(n.listeners, address)
		}
	}
	for address, p := range n.packetConns {
		if address.Addr() == host {
			p.closeLocked()
		}
	}
	n.lock.Unlock()
	n.closeLinks(func(l *link) bool { return l.from == host || l.to == host })
}

func (n *Network) closeLinks(matches func(*link) bool) {
	n.lock.Lock()
	var found []*link
	for l := range n.links {
		if matches(l) {
			found = append(found, l)
		}
	}
	n.lock.Unlock()
	for _, l := range found {
		n.closeLink(l)
	}
}

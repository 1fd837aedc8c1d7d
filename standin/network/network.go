// Package network emulates a network in memory, for tests in virtual time. Tests can
// disconnect hosts from each other, kill hosts and limit the rate at which they send.
package network

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/sapphireramp/sapphireramp/connector"
)

// dialTimeout limits the time for opening a connection, if the context of the dial has no
// earlier deadline.
const dialTimeout = time.Second

// Network connects hosts, which are identified by their IP addresses. All hosts can reach
// each other at first. It is safe for concurrent use.
type Network struct {
	// OnDatagram, if not nil, is called for each datagram to an open socket that can be
	// reached, with the size in bytes, also if the socket's queue is full and the datagram
	// is lost. It must be set before the first datagram and must not call methods of the
	// network, whose lock is held.
	OnDatagram func(from, to netip.Addr, size int)

	lock sync.Mutex
	// changed is signalled when a link is closed or hosts are reconnected.
	changed   *sync.Cond
	listeners map[netip.AddrPort]*listener
	// cuts has the pairs of hosts that are disconnected, in both orders. refusals has those of which
	// either refuses new connections from the other, while open ones go on.
	cuts, refusals map[[2]netip.Addr]bool
	// links has the open connections.
	links       map[*link]bool
	packetConns map[netip.AddrPort]*packetConn
	// sendRates are the maximum rates at which hosts send over connections, in bytes per
	// second; hosts without one are not limited. idleAt is the time at which a host with
	// a rate will have sent all data passed to it so far.
	sendRates map[netip.Addr]int
	idleAt    map[netip.Addr]time.Time
}

// link is an open connection from one host to another.
type link struct {
	from, to netip.Addr
	// ends are the ends of two pipes, between which copyBytes moves data: the dialer's,
	// the two inner ones and the acceptor's.
	ends [4]net.Conn
}

// listener implements [net.Listener] for one address.
type listener struct {
	network  *Network
	address  netip.AddrPort
	accepted chan net.Conn
	// closed is closed by Close.
	closed chan struct{}
	once   sync.Once
}

// errRefused is the error of a connection to an address at which nothing listens.
var errRefused = fmt.Errorf("network: %w", syscall.ECONNREFUSED)

// New returns a network without listeners and datagram sockets, on which all hosts can
// reach each other.
func New() *Network {
	n := &Network{
		listeners: map[netip.AddrPort]*listener{}, cuts: map[[2]netip.Addr]bool{}, refusals: map[[2]netip.Addr]bool{}, links: map[*link]bool{},
		packetConns: map[netip.AddrPort]*packetConn{}, sendRates: map[netip.Addr]int{}, idleAt: map[netip.Addr]time.Time{},
	}
	n.changed = sync.NewCond(&n.lock)
	return n
}

// Listen opens a listener at an address, replacing any previous one. The error is
// always nil.
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

// Dialer returns a function that opens connections from a host. Connections to a host
// that is disconnected from it time out; those to an address without a listener are
// refused.
func (n *Network) Dialer(from netip.Addr) connector.DialFunc {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to := netip.MustParseAddrPort(address)
		n.lock.Lock()
		pair := [2]netip.Addr{from, to.Addr()}
		l, cut, refused := n.listeners[to], n.cuts[pair], n.refusals[pair]
		n.lock.Unlock()
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if cut { // packets are lost without a reply, so the connection times out
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if l == nil || refused {
			return nil, errRefused
		}
		dialerEnd, dialerPipe := net.Pipe()
		acceptorPipe, acceptorEnd := net.Pipe()
		select {
		case l.accepted <- acceptorEnd:
		case <-l.closed:
			return nil, errRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		opened := &link{from: from, to: to.Addr(), ends: [4]net.Conn{dialerEnd, dialerPipe, acceptorPipe, acceptorEnd}}
		n.lock.Lock()
		n.links[opened] = true
		n.lock.Unlock()
		go n.copyBytes(opened, opened.from, dialerPipe, acceptorPipe)
		go n.copyBytes(opened, opened.to, acceptorPipe, dialerPipe)
		return dialerEnd, nil
	}
}

// LimitSendRate limits the data that a host sends over all connections together, in
// bytes per second.
func (n *Network) LimitSendRate(host netip.Addr, rate int) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.sendRates[host] = rate
}

// sendDelay returns the time until a host has sent size more bytes, after all data passed
// to it before; 0 if its rate is not limited.
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

// copyBytes copies the bytes of a link in one direction, at the sender's rate, until an
// end is closed. While the hosts are disconnected, it holds the bytes back.
func (n *Network) copyBytes(l *link, sender netip.Addr, from, to net.Conn) {
	ends := l.ends[:]
	defer func() { n.closeLink(l, ends) }()
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
			if errors.Is(err, io.EOF) {
				ends = l.ends[1:3] // the other host reads the end, as of a connection that was closed
			}
			return
		}
	}
}

// closeLink removes a link and closes ends of it, unless it was removed before. If the ends of the hosts are
// among them, reads there fail as on a connection that was reset.
func (n *Network) closeLink(l *link, ends []net.Conn) {
	n.lock.Lock()
	isOpen := n.links[l]
	delete(n.links, l)
	n.changed.Broadcast()
	n.lock.Unlock()
	if !isOpen {
		return
	}
	for _, c := range ends {
		_ = c.Close()
	}
}

// Disconnect cuts all traffic between two hosts, in both directions. Open connections
// stall, new connections time out, and datagrams are lost.
func (n *Network) Disconnect(a, b netip.Addr) { n.DisconnectAll([]netip.Addr{a}, []netip.Addr{b}) }

// DisconnectAll is Disconnect of each of some hosts from each of others, at one moment.
func (n *Network) DisconnectAll(some, others []netip.Addr) {
	n.lock.Lock()
	defer n.lock.Unlock()
	markPairs(n.cuts, some, others)
}

// markPairs adds each pair of two lists of hosts, in both orders.
func markPairs(pairs map[[2]netip.Addr]bool, some, others []netip.Addr) {
	for _, a := range some {
		for _, b := range others {
			pairs[[2]netip.Addr{a, b}], pairs[[2]netip.Addr{b, a}] = true, true
		}
	}
}

// Reconnect restores the traffic between two hosts and closes their open connections,
// which have stalled.
func (n *Network) Reconnect(a, b netip.Addr) {
	n.lock.Lock()
	delete(n.cuts, [2]netip.Addr{a, b})
	delete(n.cuts, [2]netip.Addr{b, a})
	n.changed.Broadcast()
	n.lock.Unlock()
	n.ResetConnections(a, b)
}

// RefuseConnections makes two hosts refuse new connections from each other until
// AllowConnections. Open connections go on.
func (n *Network) RefuseConnections(a, b netip.Addr) {
	n.RefuseAll([]netip.Addr{a}, []netip.Addr{b})
}

// RefuseAll is RefuseConnections of each of some hosts and each of others, at one moment.
func (n *Network) RefuseAll(some, others []netip.Addr) {
	n.lock.Lock()
	defer n.lock.Unlock()
	markPairs(n.refusals, some, others)
}

// AllowConnections ends RefuseConnections of two hosts.
func (n *Network) AllowConnections(a, b netip.Addr) {
	n.lock.Lock()
	defer n.lock.Unlock()
	delete(n.refusals, [2]netip.Addr{a, b})
	delete(n.refusals, [2]netip.Addr{b, a})
}

// ResetConnections closes the open connections between two hosts.
func (n *Network) ResetConnections(a, b netip.Addr) {
	n.closeLinks(func(l *link) bool { return l.from == a && l.to == b || l.from == b && l.to == a })
}

// KillHost closes all listeners and datagram sockets of a host and every connection to or
// from it.
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

// closeLinks closes the links for which matches returns true.
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
		n.closeLink(l, l.ends[:])
	}
}

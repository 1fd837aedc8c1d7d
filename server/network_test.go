package server

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/sapphireramp/sapphireramp/connector"
)

// testNet is a network in memory whose cables can be cut, for runs in virtual
// time. A cable joins two hosts, told apart by address.
type testNet struct {
	lock      sync.Mutex
	moved     *sync.Cond
	listeners map[netip.AddrPort]*testListener
	cuts      map[[2]netip.Addr]bool
	open      map[*testLink]bool
}

type testLink struct {
	from, to netip.Addr
	ends     [4]net.Conn
}

type testListener struct {
	net     *testNet
	address netip.AddrPort
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

var errRefused = errors.New("connection refused")

func newTestNet() *testNet {
	n := &testNet{listeners: map[netip.AddrPort]*testListener{}, cuts: map[[2]netip.Addr]bool{}, open: map[*testLink]bool{}}
	n.moved = sync.NewCond(&n.lock)
	return n
}

func (n *testNet) listen(address netip.AddrPort) (net.Listener, error) {
	n.lock.Lock()
	defer n.lock.Unlock()
	l := &testListener{net: n, address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

func (l *testListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *testListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *testListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// dialer returns the way to connect from a host.
func (n *testNet) dialer(from netip.Addr) connector.DialFunc {
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
		near, nearEnd := net.Pipe()
		farEnd, far := net.Pipe()
		select {
		case l.accept <- far:
		case <-l.closed:
			return nil, errRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		link := &testLink{from: from, to: to.Addr(), ends: [4]net.Conn{near, nearEnd, farEnd, far}}
		n.lock.Lock()
		n.open[link] = true
		n.lock.Unlock()
		go n.carry(link, nearEnd, farEnd)
		go n.carry(link, farEnd, nearEnd)
		return near, nil
	}
}

// carry moves bytes one way; while the cable is cut it holds them.
func (n *testNet) carry(link *testLink, from, to net.Conn) {
	defer n.drop(link)
	buffer := make([]byte, 64<<10)
	for {
		size, err := from.Read(buffer)
		n.lock.Lock()
		for n.cuts[[2]netip.Addr{link.from, link.to}] && n.open[link] {
			n.moved.Wait()
		}
		n.lock.Unlock()
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

func (n *testNet) drop(link *testLink) {
	n.lock.Lock()
	delete(n.open, link)
	n.moved.Broadcast()
	n.lock.Unlock()
	for _, c := range link.ends {
		_ = c.Close()
	}
}

// cut parts two hosts, both ways; mend joins them and breaks what hung.
func (n *testNet) cut(a, b netip.Addr) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.cuts[[2]netip.Addr{a, b}], n.cuts[[2]netip.Addr{b, a}] = true, true
}

func (n *testNet) mend(a, b netip.Addr) {
	n.lock.Lock()
	delete(n.cuts, [2]netip.Addr{a, b})
	delete(n.cuts, [2]netip.Addr{b, a})
	n.moved.Broadcast()
	n.lock.Unlock()
	n.breakLinks(func(l *testLink) bool { return l.from == a && l.to == b || l.from == b && l.to == a })
}

// kill ends a host: its listeners and every link to or from it.
func (n *testNet) kill(host netip.Addr) {
	n.lock.Lock()
	for address, l := range n.listeners {
		if address.Addr() == host {
			_ = l.Close()
			delete(n.listeners, address)
		}
	}
	n.lock.Unlock()
	n.breakLinks(func(l *testLink) bool { return l.from == host || l.to == host })
}

func (n *testNet) breakLinks(which func(*testLink) bool) {
	n.lock.Lock()
	var found []*testLink
	for l := range n.open {
		if which(l) {
			found = append(found, l)
		}
	}
	n.lock.Unlock()
	for _, l := range found {
		n.drop(l)
	}
}

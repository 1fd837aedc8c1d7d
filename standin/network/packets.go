package network

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// queuedPackets is how many datagrams wait for a reader; more are lost.
const queuedPackets = 256

type packet struct {
	from netip.AddrPort
	data []byte
}

// packetConn is a socket for datagrams.
type packetConn struct {
	net     *Network
	address netip.AddrPort
	queue   chan packet
	closed  chan struct{}
	once    sync.Once
}

// ListenPacket opens a socket for datagrams at an address.
func (n *Network) ListenPacket(address netip.AddrPort) (net.PacketConn, error) {
	n.lock.Lock()
	defer n.lock.Unlock()
	p := &packetConn{net: n, address: address, queue: make(chan packet, queuedPackets), closed: make(chan struct{})}
	n.packets[address] = p
	return p, nil
}

func (p *packetConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case got := <-p.queue:
		return copy(buffer, got.data), net.UDPAddrFromAddrPort(got.from), nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a datagram, which is lost where nobody listens.
func (p *packetConn) WriteTo(data []byte, to net.Addr) (int, error) {
	address, err := netip.ParseAddrPort(to.String())
	if err != nil {
		return 0, err
	}
	p.net.lock.Lock()
	defer p.net.lock.Unlock()
	receiver, ok := p.net.packets[address]
	if !ok || p.net.cuts[[2]netip.Addr{p.address.Addr(), address.Addr()}] {
		return len(data), nil
	}
	if p.net.OnDatagram != nil {
		p.net.OnDatagram(p.address.Addr(), address.Addr(), len(data))
	}
	select {
	case receiver.queue <- packet{from: p.address, data: append([]byte(nil), data...)}:
	default:
	}
	return len(data), nil
}

func (p *packetConn) Close() error {
	p.net.lock.Lock()
	defer p.net.lock.Unlock()
	p.closeLocked()
	return nil
}

func (p *packetConn) closeLocked() {
	if p.net.packets[p.address] == p {
		delete(p.net.packets, p.address)
	}
	p.once.Do(func() { close(p.closed) })
}

func (p *packetConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(p.address) }

// Deadlines are not kept: the product sets none on these sockets.

func (p *packetConn) SetDeadline(time.Time) error      { return nil }
func (p *packetConn) SetReadDeadline(time.Time) error  { return nil }
func (p *packetConn) SetWriteDeadline(time.Time) error { return nil }

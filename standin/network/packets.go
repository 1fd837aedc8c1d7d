package network

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// maxQueuedPackets is how many datagrams wait for a reader; more are lost.
const maxQueuedPackets = 256

type packet struct {
	from netip.AddrPort
	data []byte
}

// packetConn is a socket for datagrams.
type packetConn struct {
	network *Network
	address netip.AddrPort
	queue   chan packet
	closed  chan struct{}
	once    sync.Once
}

// ListenPacket opens a socket for datagrams at an address.
func (n *Network) ListenPacket(address netip.AddrPort) (net.PacketConn, error) {
	n.lock.Lock()
	defer n.lock.Unlock()
	p := &packetConn{network: n, address: address, queue: make(chan packet, maxQueuedPackets), closed: make(chan struct{})}
	n.packetConns[address] = p
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
	p.network.lock.Lock()
	defer p.network.lock.Unlock()
	receiver, ok := p.network.packetConns[address]
	if !ok || p.network.cuts[[2]netip.Addr{p.address.Addr(), address.Addr()}] {
		return len(data), nil
	}
	if p.network.OnDatagram != nil {
		p.network.OnDatagram(p.address.Addr(), address.Addr(), len(data))
	}
	select {
	case receiver.queue <- packet{from: p.address, data: append([]byte(nil), data...)}:
	default:
	}
	return len(data), nil
}

func (p *packetConn) Close() error {
	p.network.lock.Lock()
	defer p.network.lock.Unlock()
	p.closeLocked()
	return nil
}

func (p *packetConn) closeLocked() {
	if p.network.packetConns[p.address] == p {
		delete(p.network.packetConns, p.address)
	}
	p.once.Do(func() { close(p.closed) })
}

func (p *packetConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(p.address) }

// Deadlines are not kept: the product sets none on these sockets.

func (p *packetConn) SetDeadline(time.Time) error      { return nil }
func (p *packetConn) SetReadDeadline(time.Time) error  { return nil }
func (p *packetConn) SetWriteDeadline(time.Time) error { return nil }

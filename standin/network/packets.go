package network

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// maxQueuedPackets is the number of unread datagrams that a socket buffers; further ones
// are lost.
const maxQueuedPackets = 256

// packet is a datagram with the address of its sender.
type packet struct {
	from netip.AddrPort
	data []byte
}

// packetConn implements [net.PacketConn] for one address.
type packetConn struct {
	network *Network
	address netip.AddrPort
	// queue has the datagrams received and not yet read.
	queue chan packet
	// closed is closed by Close.
	closed chan struct{}
	once   sync.Once
}

// ListenPacket opens a datagram socket at an address, replacing any previous one. The
// error is always nil.
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

// WriteTo sends a datagram. It is lost without an error if no socket is open at the
// address, the hosts are disconnected or the receiver's queue is full.
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

// closeLocked closes the socket. The lock of the network must be held.
func (p *packetConn) closeLocked() {
	if p.network.packetConns[p.address] == p {
		delete(p.network.packetConns, p.address)
	}
	p.once.Do(func() { close(p.closed) })
}

func (p *packetConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(p.address) }

// Deadlines are ignored, as the product sets none on datagram sockets.

func (p *packetConn) SetDeadline(time.Time) error      { return nil }
func (p *packetConn) SetReadDeadline(time.Time) error  { return nil }
func (p *packetConn) SetWriteDeadline(time.Time) error { return nil }

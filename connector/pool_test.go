package connector

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Echo is a net/rpc service that replies after a given time.
type Echo struct{}

// Call replies after a time, with that time.
func (Echo) Call(after time.Duration, reply *time.Duration) error {
	time.Sleep(after)
	*reply = after
	return nil
}

// fakePeers opens connections in memory to peers with an Echo service, and counts the open ones.
type fakePeers struct{ open atomic.Int64 }

func (f *fakePeers) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	calls := rpc.NewServer()
	if err := calls.Register(Echo{}); err != nil {
		return nil, err
	}
	f.open.Add(1)
	go func() {
		calls.ServeConn(far)
		f.open.Add(-1)
	}()
	return near, nil
}

// call calls a peer that replies after the given time.
func call(p *Pool, peer int, after, timeout time.Duration) error {
	var reply time.Duration
	return p.Call(peerAddress(peer), "Echo.Call", after, &reply, timeout)
}

func peerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
}

// In a fleet of a thousand entries each calls another one every 0.1 s. When connections were never
// closed, each entry had one to every other, with a queue, buffers and codecs of some 50 KB at
// either end, which was most of its memory.
func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var peers fakePeers
		p := NewPool(peers.dial, nil)
		defer p.Close()
		const size, period = 1000, 100 * time.Millisecond
		for i := range 2 * size {
			is.NoErr(call(p, i%size, 0, time.Second))
			time.Sleep(period)
			synctest.Wait()
			is.True(peers.open.Load() <= int64(idleTimeout/period)+1) // those called within idleTimeout
		}
	})
}

// A connection is not closed while a call on it takes longer than idleTimeout.
func TestConnectionInUseStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var peers fakePeers
		p := NewPool(peers.dial, nil)
		defer p.Close()
		ended := make(chan error)
		go func() { ended <- call(p, 0, 3*idleTimeout, 4*idleTimeout) }()
		for i := range 20 {
			time.Sleep(idleTimeout / 10)
			is.NoErr(call(p, 1+i, 0, time.Second))
		}
		is.NoErr(<-ended)
	})
}

// Package connector keeps net/rpc connections to other entries, with a timeout for
// every call. It also tracks the active connections of a server, and detects whether
// the process behind a broken connection has exited.
package connector

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"
)

// ErrTimeout is returned by Pool.Call if the peer did not reply before the timeout.
var ErrTimeout = errors.New("peer did not reply before the timeout")

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// idleTimeout is how long a connection without a call is kept. Entries call peers chosen at
// random, so that otherwise every two entries would end up with a connection between them.
const idleTimeout = 30 * time.Second

// Pool holds one connection to each peer called within idleTimeout. It is safe for
// concurrent use.
type Pool struct {
	dial DialFunc
	lock sync.Mutex
	// clients are the open connections by the address of the peer.
	clients map[netip.AddrPort]*client
	closed  bool
}

// client is one connection of a pool. The lock of the pool guards its fields.
type client struct {
	*rpc.Client
	// inFlight is the number of calls in progress, lastUsed is when the last one ended.
	inFlight int
	lastUsed time.Time
}

// NewPool returns a pool without connections, which opens them by dial.
func NewPool(dial DialFunc) *Pool {
	return &Pool{dial: dial, clients: map[netip.AddrPort]*client{}}
}

// Call calls a method of a peer and waits for the reply or the timeout. It connects first if
// there is no connection. A connection that fails or times out is closed and not reused. An
// error of the called method is returned as an rpc.ServerError.
func (p *Pool) Call(address netip.AddrPort, method string, args, reply any, timeout time.Duration) error {
	c, err := p.client(address, timeout)
	if err != nil {
		return fmt.Errorf("connect to peer: %w", err)
	}
	defer p.release(c)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-timer.C:
		err = ErrTimeout
	}
	var serverError rpc.ServerError
	if err != nil && !errors.As(err, &serverError) {
		p.discard(address, c)
	}
	if err != nil {
		return fmt.Errorf("call peer: %w", err)
	}
	return nil
}

// client returns the connection to a peer, after opening one if there is none. It counts one more
// call on the connection, which must be ended with release.
func (p *Pool) client(address netip.AddrPort, timeout time.Duration) (*client, error) {
	if c := p.acquire(address); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	connection, err := p.dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	opened := &client{Client: rpc.NewClient(NewQueuedConn(connection)), inFlight: 1}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.closeIdle(time.Now())
	if existing, raced := p.clients[address]; raced || p.closed {
		_ = opened.Close()
		if raced {
			existing.inFlight++
			return existing, nil
		}
		return nil, net.ErrClosed
	}
	p.clients[address] = opened
	return opened, nil
}

// acquire counts one more call on the connection to a peer and returns it; nil if there is none.
func (p *Pool) acquire(address netip.AddrPort) *client {
	p.lock.Lock()
	defer p.lock.Unlock()
	c, ok := p.clients[address]
	if !ok {
		return nil
	}
	c.inFlight++
	return c
}

// release ends a call on a connection.
func (p *Pool) release(c *client) {
	p.lock.Lock()
	defer p.lock.Unlock()
	c.inFlight--
	c.lastUsed = time.Now()
}

// closeIdle closes connections on which no call ended within idleTimeout or is in progress. It is
// called before a connection is added, so that there are at most as many as peers called within
// idleTimeout. The caller must hold the lock.
func (p *Pool) closeIdle(now time.Time) {
	for address, c := range p.clients {
		if c.inFlight == 0 && now.Sub(c.lastUsed) >= idleTimeout {
			delete(p.clients, address)
			_ = c.Close()
		}
	}
}

// discard closes a connection and removes it from the pool, if the pool still has it.
func (p *Pool) discard(address netip.AddrPort, c *client) {
	p.lock.Lock()
	if p.clients[address] == c {
		delete(p.clients, address)
	}
	p.lock.Unlock()
	_ = c.Close()
}

// Close closes all connections. Later calls fail.
func (p *Pool) Close() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.closed = true
	for _, c := range p.clients {
		_ = c.Close()
	}
}

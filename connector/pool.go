// Package connector keeps net/rpc connections to other entries, with every
// call bounded in time, and counts the connections of callers that are in use.
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

// ErrTimeout is a call to a peer that took too long.
var ErrTimeout = errors.New("peer did not answer in time")

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// idleTimeout is how long a connection is kept without a call. A fleet whose entries call peers
// drawn at random would otherwise hold a connection between every two of them.
const idleTimeout = 30 * time.Second

// Pool holds a connection to each peer that was called lately. It is safe for
// concurrent use.
type Pool struct {
	dial    DialFunc
	lock    sync.Mutex
	clients map[netip.AddrPort]*client
	closed  bool
}

// client is one connection of a pool, whose lock guards its fields.
type client struct {
	*rpc.Client
	// inFlight is how many calls are in progress, used when the last one ended.
	inFlight int
	lastUsed time.Time
}

// NewPool returns a pool without connections.
func NewPool(dial DialFunc) *Pool {
	return &Pool{dial: dial, clients: map[netip.AddrPort]*client{}}
}

// Call makes a call bounded in time. A connection that failed or was silent
// is not used again.
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
	var refused rpc.ServerError
	if err != nil && !errors.As(err, &refused) {
		p.discard(address, c)
	}
	if err != nil {
		return fmt.Errorf("call peer: %w", err)
	}
	return nil
}

// client returns the connection to a peer, for one call. The caller releases it.
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
	if other, raced := p.clients[address]; raced || p.closed {
		_ = opened.Close()
		if raced {
			other.inFlight++
			return other, nil
		}
		return nil, net.ErrClosed
	}
	p.clients[address] = opened
	return opened, nil
}

// acquire returns the connection to a peer, for one more call; nil if there is none.
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

func (p *Pool) release(c *client) {
	p.lock.Lock()
	defer p.lock.Unlock()
	c.inFlight--
	c.lastUsed = time.Now()
}

// closeIdle closes connections that had no call for idleTime. It is called as others are opened, so that
// their number is bounded by the peers called in that time.
func (p *Pool) closeIdle(now time.Time) {
	for address, c := range p.clients {
		if c.inFlight == 0 && now.Sub(c.lastUsed) >= idleTimeout {
			delete(p.clients, address)
			_ = c.Close()
		}
	}
}

func (p *Pool) discard(address netip.AddrPort, c *client) {
	p.lock.Lock()
	if p.clients[address] == c {
		delete(p.clients, address)
	}
	p.lock.Unlock()
	_ = c.Close()
}

// Close closes all connections; later calls fail.
func (p *Pool) Close() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.closed = true
	for _, c := range p.clients {
		_ = c.Close()
	}
}

// Package connector keeps net/rpc connections to other entries, with a timeout for
// every call. It also tracks the active connections of an HTTP server, and detects
// whether the process at the other end of a broken connection has exited.
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

	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/watcher"
)

// ErrTimeout is returned by Pool.Call if the peer did not reply before the timeout.
var ErrTimeout = errors.New("peer did not reply before the timeout")

// DialFunc opens a connection. Its arguments and results are those of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// idleTimeout is the time after the end of its last call from which a connection may be closed.
// Entries call random peers, so without it each would end up with a connection to every other.
const idleTimeout = 30 * time.Second

// Pool holds at most one net/rpc connection to each peer. When it opens one, it closes those
// without a call for idleTimeout. It is safe for concurrent use.
type Pool struct {
	dial    DialFunc
	account *accountant.Account
	lock    sync.Mutex
	// clients holds the open connections by the address of the peer.
	clients map[netip.AddrPort]*client
	// closed is true once Close was called.
	closed bool
}

// client is one connection of a pool. The lock of the pool guards its fields.
type client struct {
	*rpc.Client
	// inFlight is the number of calls in progress. lastUsed is when the last call ended; zero if
	// none has.
	inFlight int
	lastUsed time.Time
}

// NewPool returns a pool without connections. It opens each with dial at the first call. What it holds of messages counts
// in the account; nil is allowed.
func NewPool(dial DialFunc, account *accountant.Account) *Pool {
	return &Pool{dial: dial, account: account, clients: map[netip.AddrPort]*client{}}
}

// Call calls a net/rpc method of the peer at an address and waits for the reply. It connects first
// if there is no connection; the timeout applies to the connecting and to the call separately, and
// does not count the time in which this process was suspended. If the method itself fails, the error
// wraps an rpc.ServerError. After any other error of the call, such as ErrTimeout, the connection is
// closed.
func (p *Pool) Call(address netip.AddrPort, method string, args, reply any, timeout time.Duration) error {
	c, err := p.client(address, timeout)
	if err != nil {
		return fmt.Errorf("connect to peer: %w", err)
	}
	defer p.release(c)
	late := make(chan struct{})
	timer := watcher.NewSilenceTimer(timeout, func() { close(late) })
	defer timer.Stop()
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-late:
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

// client returns the connection to a peer and opens one if there is none. It increments the
// connection's inFlight, which the caller must decrement with release after its call.
func (p *Pool) client(address netip.AddrPort, timeout time.Duration) (*client, error) {
	if c := p.acquire(address); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	timer := watcher.NewSilenceTimer(timeout, func() { cancel(ErrTimeout) })
	connection, err := p.dial(ctx, "tcp", address.String())
	timer.Stop()
	if err != nil && errors.Is(context.Cause(ctx), ErrTimeout) {
		return nil, ErrTimeout
	}
	if err != nil {
		return nil, err
	}
	opened := &client{Client: rpc.NewClient(NewQueuedConn(connection, p.account)), inFlight: 1}
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

// acquire returns the connection to a peer and increments its inFlight; nil if there is none.
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

// release decrements the inFlight of a connection after a call.
func (p *Pool) release(c *client) {
	p.lock.Lock()
	defer p.lock.Unlock()
	c.inFlight--
	c.lastUsed = time.Now()
}

// closeIdle closes the connections on which no call is in progress and none ended within
// idleTimeout. It runs before a connection is added, so that there are at most as many connections
// as peers called within idleTimeout. The lock must be held.
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

// Close closes all connections, so that calls in progress fail, and so do later calls.
func (p *Pool) Close() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.closed = true
	for _, c := range p.clients {
		_ = c.Close()
	}
}

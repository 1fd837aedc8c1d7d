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

// Pool holds a connection to each peer that was called. It is safe for
// concurrent use.
type Pool struct {
	dial    DialFunc
	lock    sync.Mutex
	clients map[netip.AddrPort]*rpc.Client
	closed  bool
}

// New returns a pool without connections.
func New(dial DialFunc) *Pool {
	return &Pool{dial: dial, clients: map[netip.AddrPort]*rpc.Client{}}
}

// Call makes a call bounded in time. A connection that failed or was silent
// is not used again.
func (p *Pool) Call(address netip.AddrPort, method string, args, reply any, timeout time.Duration) error {
	client, err := p.client(address, timeout)
	if err != nil {
		return fmt.Errorf("connect to peer: %w", err)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-timer.C:
		err = ErrTimeout
	}
	var refused rpc.ServerError
	if err != nil && !errors.As(err, &refused) {
		p.drop(address, client)
	}
	if err != nil {
		return fmt.Errorf("call peer: %w", err)
	}
	return nil
}

func (p *Pool) client(address netip.AddrPort, timeout time.Duration) (*rpc.Client, error) {
	p.lock.Lock()
	client, ok := p.clients[address]
	p.lock.Unlock()
	if ok {
		return client, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	connection, err := p.dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	client = rpc.NewClient(NewQueued(connection))
	p.lock.Lock()
	defer p.lock.Unlock()
	if other, raced := p.clients[address]; raced || p.closed {
		_ = client.Close()
		if raced {
			return other, nil
		}
		return nil, net.ErrClosed
	}
	p.clients[address] = client
	return client, nil
}

func (p *Pool) drop(address netip.AddrPort, client *rpc.Client) {
	p.lock.Lock()
	if p.clients[address] == client {
		delete(p.clients, address)
	}
	p.lock.Unlock()
	_ = client.Close()
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

package forwarder

import (
	"context"
	"net"
	"sync"

	"github.com/sapphireramp/sapphireramp/budgeter"
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/dispatcher"
)

// preparedRetry is a retry for which an attempt was cancelled.
type preparedRetry struct {
	// reservation reserves the retry in the retry budget.
	reservation *budgeter.Reservation
	connection  *preparedConnection
}

// release gives back the reservation and closes the connection; nil is allowed.
func (r *preparedRetry) release() {
	if r == nil {
		return
	}
	r.reservation.Release()
	r.connection.close()
}

// preparedConnection is a connection to an upstream that was opened before the attempt that uses it.
type preparedConnection struct {
	upstream dispatcher.Instance
	lock     sync.Mutex
	// connection is nil once take or close was called.
	connection net.Conn
}

// take returns the connection if it leads to the address, and leaves it to the caller; nil otherwise. It returns the
// connection once. A nil receiver is allowed.
func (c *preparedConnection) take(address string) net.Conn {
	if c == nil || c.upstream.Address.String() != address {
		return nil
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	taken := c.connection
	c.connection = nil
	return taken
}

// close closes the connection unless it was taken; nil is allowed.
func (c *preparedConnection) close() {
	if c == nil {
		return
	}
	if left := c.take(c.upstream.Address.String()); left != nil {
		_ = left.Close()
	}
}

type preparedConnectionKey struct{}

// withPreparedConnection returns a context in which dialPrepared returns the connection; nil is allowed.
func withPreparedConnection(ctx context.Context, c *preparedConnection) context.Context {
	return context.WithValue(ctx, preparedConnectionKey{}, c)
}

// dialPrepared returns a dial function that returns the prepared connection of its context, if there is one to the
// address, and calls dial otherwise.
func dialPrepared(dial connector.DialFunc) connector.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, _ := ctx.Value(preparedConnectionKey{}).(*preparedConnection)
		if taken := c.take(address); taken != nil {
			return taken, nil
		}
		return dial(ctx, network, address)
	}
}

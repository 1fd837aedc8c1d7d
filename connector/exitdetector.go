package connector

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/sapphireramp/sapphireramp/sleeper"
)

const (
	// probeDelay is the time from the call of HasExited, after a connection broke, until the probe
	// of its address. An exiting process may close its listener later than its connections.
	probeDelay = 50 * time.Millisecond
	// probeTimeout is the timeout of the connection attempt that probes an address.
	probeTimeout = 250 * time.Millisecond
	// dropTime is the time in which whatever else listens at the address of a process that has exited, such
	// as a proxy, closes a new connection. A server keeps an idle connection open for longer.
	dropTime = 100 * time.Millisecond
)

// ExitDetector detects, after a connection broke, whether the process at its other end has exited.
// It is safe for concurrent use.
type ExitDetector struct {
	dial DialFunc
	// probes holds the probes in progress by address, so that concurrent calls share one.
	probes singleflight.Group
}

// NewExitDetector returns an ExitDetector that opens its connections with dial.
func NewExitDetector(dial DialFunc) *ExitDetector { return &ExitDetector{dial: dial} }

// HasExited reports whether the process at an address has exited, that is, whether connections to
// the address are refused, or accepted and closed at once. It is called after a connection to the address
// broke, and blocks for at most probeDelay, probeTimeout and dropTime. Concurrent calls for one address share a
// probe.
func (d *ExitDetector) HasExited(address string) bool {
	exited, _, _ := d.probes.Do(address, func() (any, error) {
		sleeper.Sleep(context.Background(), probeDelay)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		connection, err := d.dial(ctx, "tcp", address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED), nil
		}
		defer func() { _ = connection.Close() }()
		return isDropped(connection), nil
	})
	return exited.(bool)
}

// isDropped reports whether the other end closes a new connection within dropTime.
func isDropped(connection net.Conn) bool {
	if err := connection.SetReadDeadline(time.Now().Add(dropTime)); err != nil {
		return true
	}
	_, err := connection.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

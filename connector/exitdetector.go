package connector

import (
	"context"
	"errors"
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
// the address are refused. It is called after a connection to the address broke, and blocks for at
// most probeDelay plus probeTimeout. Concurrent calls for one address share a probe.
func (d *ExitDetector) HasExited(address string) bool {
	refused, _, _ := d.probes.Do(address, func() (any, error) {
		sleeper.Sleep(context.Background(), probeDelay)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		connection, err := d.dial(ctx, "tcp", address)
		if err == nil {
			_ = connection.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED), nil
	})
	return refused.(bool)
}

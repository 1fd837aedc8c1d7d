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
	// probeDelay is the wait between the break of a connection and the probe of its address. An
	// exiting process closes its connections and its listener one after the other.
	probeDelay = 50 * time.Millisecond
	// probeTimeout bounds the connection attempt of a probe.
	probeTimeout = 250 * time.Millisecond
)

// ExitDetector detects whether the process behind a broken connection has exited. It is safe for
// concurrent use.
type ExitDetector struct {
	dial DialFunc
	// probes are the probes in progress, by address.
	probes singleflight.Group
}

// NewExitDetector returns an ExitDetector that connects by dial.
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

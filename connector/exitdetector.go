package connector

import (
	"context"
	"errors"
	"fmt"
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
	// probeTimeout is the timeout of the connection attempt that probes an address, and of the response to
	// the request for the health path.
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
// the address are refused, or accepted and closed without a response: at once, or after a GET request for
// healthPath, which a running process answers. An empty healthPath stands for none. HasExited is called after a
// connection to the address broke, and blocks for at most probeDelay, dropTime and twice probeTimeout. Concurrent
// calls for one address share a probe.
func (d *ExitDetector) HasExited(address, healthPath string) bool {
	exited, _, _ := d.probes.Do(address, func() (any, error) {
		sleeper.Sleep(context.Background(), probeDelay)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		connection, err := d.dial(ctx, "tcp", address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED), nil
		}
		defer func() { _ = connection.Close() }()
		if endsWithin(connection, dropTime) {
			return true, nil
		}
		if healthPath == "" {
			return false, nil
		}
		_, _ = fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", healthPath, address) // a failure shows in endsWithin
		return endsWithin(connection, probeTimeout), nil
	})
	return exited.(bool)
}

// endsWithin reports whether the other end closes a connection within a time, before it sends anything. A
// connection of which it is not known who ended it, which has a method IsLost that says so, does not count.
func endsWithin(connection net.Conn, limit time.Duration) bool {
	_ = connection.SetReadDeadline(time.Now().Add(limit)) // fails on a closed connection, as Read does
	_, err := connection.Read(make([]byte, 1))
	if lossy, ok := connection.(interface{ IsLost() bool }); ok && lossy.IsLost() {
		return false
	}
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

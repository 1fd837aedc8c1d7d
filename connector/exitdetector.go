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
	// probeDelay is how long after a connection broke its other end is asked whether it still listens: a
	// process that ends closes its connections and its listener one after the other.
	probeDelay = 50 * time.Millisecond
	// probeTimeout bounds the question.
	probeTimeout = 250 * time.Millisecond
)

// ExitDetector finds out whether processes have ended whose connections broke.
type ExitDetector struct {
	dial   DialFunc
	probes singleflight.Group
}

// NewExitDetector returns a Presence that connects by dial.
func NewExitDetector(dial DialFunc) *ExitDetector { return &ExitDetector{dial: dial} }

// HasExited reports whether nobody listens at an address any more, shortly after a connection
// to it broke. Those who ask at the same moment share one question.
func (p *ExitDetector) HasExited(address string) bool {
	refused, _, _ := p.probes.Do(address, func() (any, error) {
		sleeper.Sleep(context.Background(), probeDelay)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		connection, err := p.dial(ctx, "tcp", address)
		if err == nil {
			_ = connection.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED), nil
	})
	return refused.(bool)
}

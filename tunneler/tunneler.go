// Package tunneler opens the connections of an entry to upstreams, and tells whether the entry is cut off from
// all of them.
package tunneler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/connector"
)

// Config configures a Tunneler. Every field is required.
type Config struct {
	// Dial opens a direct connection.
	Dial connector.DialFunc
	Log  *zap.Logger
	// Scope receives the metrics.
	Scope tally.Scope
}

// Tunneler opens connections to upstreams. It is safe for concurrent use.
type Tunneler struct {
	config  Config
	monitor *monitor
	metrics metrics
}

// metrics are the counters and gauges of a Tunneler. cutOff is 1 while the entry is cut off, 0 otherwise.
type metrics struct {
	direct, failed tally.Counter
	cutOff         tally.Gauge
}

// New returns a Tunneler that has not connected to any upstream yet.
func New(c Config) *Tunneler {
	scope := c.Scope.SubScope("upstream_connections")
	return &Tunneler{config: c, monitor: newMonitor(), metrics: metrics{
		direct: scope.Counter("direct"), failed: scope.Counter("failed"), cutOff: c.Scope.Gauge("upstreams_cut_off"),
	}}
}

// SetUpstreams sets the addresses of the listed upstreams.
func (t *Tunneler) SetUpstreams(addresses []netip.AddrPort) {
	t.monitor.setUpstreamCount(len(addresses))
}

// Dial opens a connection to an upstream. Its arguments and results are those of net.Dialer.DialContext.
func (t *Tunneler) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	upstream, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("address of upstream: %w", err)
	}
	connection, err := t.config.Dial(ctx, network, address)
	switch {
	case err == nil:
		t.recordContact(upstream)
	case !errors.Is(err, context.Canceled):
		t.recordFailure(upstream, err)
	}
	return connection, err
}

// recordContact records that an upstream accepted a direct connection.
func (t *Tunneler) recordContact(upstream netip.AddrPort) {
	t.metrics.direct.Inc(1)
	if regained, lost := t.monitor.recordContact(time.Now(), upstream); regained {
		t.metrics.cutOff.Update(0)
		t.config.Log.Info("upstreams_regained", zap.Stringer("address", upstream), zap.Duration("lost_ms", lost))
	}
}

// recordFailure records that an upstream could not be reached directly.
func (t *Tunneler) recordFailure(upstream netip.AddrPort, cause error) {
	t.metrics.failed.Inc(1)
	now := time.Now()
	age := t.monitor.contactAge(now)
	if lost, failed := t.monitor.recordFailure(now, upstream); lost {
		t.metrics.cutOff.Update(1)
		t.config.Log.Warn("upstreams_lost", zap.Int("failed", failed), zap.Duration("contact_age_ms", age), zap.Stringer("address", upstream), zap.Error(cause))
	}
}

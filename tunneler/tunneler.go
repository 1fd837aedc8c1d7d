// Package tunneler opens the connections of an entry to upstreams. Where the entry's own links to an upstream
// fail, the connection goes through a tunnel of another entry, the relay, which forwards its bytes and decides
// nothing: the entry that received the request goes on placing, counting and judging it. A tunnel has one hop,
// as relays connect directly only.
//
// The package also tells a fault of an upstream from one of the entry's own links: an upstream is at fault only
// if whoever failed to connect to it reaches others.
package tunneler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/sleeper"
)

// Upstream is a listed upstream.
type Upstream struct {
	Address    netip.AddrPort
	DataCentre string
}

// Config configures a Tunneler. All fields but Account are required.
type Config struct {
	// Name and DataCentre are those of the entry.
	Name, DataCentre string
	// Dial opens a direct connection to an upstream or another entry.
	Dial connector.DialFunc
	// Relays returns the other entries that are believed to reach upstreams. It must be safe for concurrent
	// use.
	Relays func() []Relay
	// OnCutOff is called when the entry finds that it is cut off from all upstreams, with the time at which it
	// last reached one. What it has concluded about upstreams since then is unfounded.
	OnCutOff func(lastContact time.Time)
	// CloseIdle closes the connections of Dial that are kept open without a request. It is called when the entry,
	// which was cut off, reaches upstreams again, and when a relay of such connections stops.
	CloseIdle func()
	Log       *zap.Logger
	// Scope receives the metrics.
	Scope tally.Scope
	// Account grants memory for tunnels of other entries; nil for no limit.
	Account *accountant.Account
}

// Tunneler opens connections to upstreams, and serves as a relay to other entries. It is safe for concurrent
// use.
type Tunneler struct {
	config  Config
	monitor *monitor
	metrics metrics
	// calls holds the connections to relays.
	calls        *connector.Pool
	relayHealth  relayHealth
	connectTimes connectTimes
	served       servedTunnels
	// upstreams are the listed upstreams; never nil.
	upstreams atomic.Pointer[[]Upstream]
	// isConfirming is true while a connection of confirmReach is being opened.
	isConfirming atomic.Bool
	// closed is done once Close was called.
	closed context.Context
	close  context.CancelFunc
	lock   sync.Mutex
	// contact is done while the entry is cut off; see Contact.
	contact     context.Context
	loseContact context.CancelFunc
}

// metrics are the counters and gauges of a Tunneler. cutOff is 1 while the entry is cut off, 0 otherwise.
type metrics struct {
	direct, failed, tunnelled tally.Counter
	cutOff, served            tally.Gauge
}

// New returns a Tunneler that has not connected to any upstream yet. Close must be called at the end.
func New(c Config) *Tunneler {
	scope := c.Scope.SubScope("upstream_connections")
	t := &Tunneler{
		config: c, monitor: newMonitor(), calls: connector.NewPool(c.Dial, c.Account), relayHealth: relayHealth{avoidUntil: map[string]time.Time{}}, served: servedTunnels{open: map[uint64]*servedTunnel{}, most: maxServedTunnels},
		metrics: metrics{
			direct: scope.Counter("direct"), failed: scope.Counter("failed"), tunnelled: scope.Counter("tunnelled"),
			cutOff: c.Scope.Gauge("upstreams_cut_off"), served: c.Scope.Gauge("tunnels_served"),
		},
	}
	t.upstreams.Store(&[]Upstream{})
	t.closed, t.close = context.WithCancel(context.Background())
	t.contact, t.loseContact = context.WithCancel(context.Background())
	return t
}

// Close ends all tunnels, those served to other entries too. Later calls of Dial fail.
func (t *Tunneler) Close() {
	t.close()
	t.served.closeAll()
	t.calls.Close()
}

// SetUpstreams sets the listed upstreams. The slice must not be modified afterwards.
func (t *Tunneler) SetUpstreams(upstreams []Upstream) {
	t.upstreams.Store(&upstreams)
	t.monitor.setUpstreams(upstreams)
}

// dataCentreOf returns the data centre of the upstream at an address. It returns false if no such upstream is
// listed.
func (t *Tunneler) dataCentreOf(address netip.AddrPort) (string, bool) {
	for _, u := range *t.upstreams.Load() {
		if u.Address == address {
			return u.DataCentre, true
		}
	}
	return "", false
}

// likelyUpstreams returns the addresses of up to n listed upstreams, without one address: those that were last
// reached first, also through a relay, as they are likely to run, then others at random.
func (t *Tunneler) likelyUpstreams(n int, without netip.AddrPort) []netip.AddrPort {
	listed := *t.upstreams.Load()
	out := make([]netip.AddrPort, 0, len(listed))
	for _, i := range rand.Perm(len(listed)) {
		if listed[i].Address != without {
			out = append(out, listed[i].Address)
		}
	}
	t.monitor.sortLastSeenFirst(out)
	return out[:min(n, len(out))]
}

// IsCutOff reports whether the entry is cut off from all upstreams.
func (t *Tunneler) IsCutOff() bool {
	_, isCutOff := t.monitor.cutOffFor(time.Now())
	return isCutOff
}

// Contact returns a context that is done once the entry is cut off from all upstreams. While the entry is cut
// off, it is done already.
func (t *Tunneler) Contact() context.Context {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.contact
}

// IsUnavailable reports whether no upstream can be reached at present, neither directly nor through a relay.
func (t *Tunneler) IsUnavailable() bool { return t.IsCutOff() && len(t.config.Relays()) == 0 }

// minRetryAfter and maxRetryAfter bound the time that RetryAfter returns.
const minRetryAfter, maxRetryAfter = time.Second, 5 * time.Second

// RetryAfter returns the time after which a caller may try again to whom no upstream could be reached. A
// partition that has lasted for some time is expected to last as long again.
func (t *Tunneler) RetryAfter() time.Duration {
	age, isCutOff := t.monitor.cutOffFor(time.Now())
	if !isCutOff {
		return minRetryAfter
	}
	return min(maxRetryAfter, max(minRetryAfter, age))
}

// CutOffError is returned by Tunneler.Dial if neither the entry nor a relay could connect to an upstream, and
// nothing shows that the upstream is at fault rather than the links of the entry.
type CutOffError struct {
	Upstream netip.AddrPort
	// Cause is the error of the last attempt. It is not unwrapped, since a refused connection would mean that
	// the upstream has exited.
	Cause error
}

func (e CutOffError) Error() string {
	return fmt.Sprintf("connect to %s: no contact to upstreams: %v", e.Upstream, e.Cause)
}

type requestIDKey struct{}

// WithRequestID returns a context for Dial that holds the ID of the request for which the connection is opened,
// for the log of the relay.
func WithRequestID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestIDKey{}, id)
}

// requestID returns the ID that WithRequestID has set; empty if there is none.
func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// recordContact records that an upstream accepted a direct connection.
func (t *Tunneler) recordContact(upstream netip.AddrPort) {
	t.metrics.direct.Inc(1)
	regained, lost := t.monitor.recordContact(time.Now(), upstream)
	if !regained {
		return
	}
	t.lock.Lock()
	t.contact, t.loseContact = context.WithCancel(context.Background())
	t.lock.Unlock()
	t.metrics.cutOff.Update(0)
	t.config.Log.Info("upstreams_regained", zap.Stringer("address", upstream), zap.Duration("lost_ms", lost))
	t.config.CloseIdle()
}

// recordFailure records that an upstream could not be reached directly, for no known fault of its own.
func (t *Tunneler) recordFailure(upstream netip.AddrPort, cause error) {
	now := time.Now()
	lastContact := t.monitor.lastContactAt()
	lost, failed := t.monitor.recordFailure(now, upstream)
	if !lost {
		return
	}
	t.metrics.cutOff.Update(1)
	t.config.Log.Warn("upstreams_lost", zap.Int("failed", failed), zap.Duration("contact_age_ms", now.Sub(lastContact)), zap.Stringer("address", upstream), zap.Error(cause))
	t.config.OnCutOff(lastContact)
	t.lock.Lock()
	t.loseContact()
	t.lock.Unlock()
	go t.probe()
}

// probePeriod is the interval at which an entry that is cut off tries to reach upstreams directly.
const probePeriod = 500 * time.Millisecond

// probe tries to reach upstreams directly until the entry is in contact again.
func (t *Tunneler) probe() {
	for t.IsCutOff() && sleeper.Sleep(t.closed, probePeriod) {
		var probes sync.WaitGroup
		for _, upstream := range t.likelyUpstreams(minReachedUpstreams, netip.AddrPort{}) {
			probes.Add(1)
			go func() {
				defer probes.Done()
				if err := t.probeOne(upstream); err != nil && t.closed.Err() == nil {
					t.recordFailure(upstream, err)
				}
			}()
		}
		probes.Wait()
	}
}

// probeOne connects directly to one upstream, closes the connection, and records the contact.
func (t *Tunneler) probeOne(upstream netip.AddrPort) error {
	connection, err := t.dialDirect(t.closed, upstream)
	if err != nil {
		return err
	}
	_ = connection.Close()
	t.recordContact(upstream)
	return nil
}

// dialDirect opens a direct connection to an upstream within dialTimeout.
func (t *Tunneler) dialDirect(ctx context.Context, upstream netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return t.config.Dial(ctx, "tcp", upstream.String())
}

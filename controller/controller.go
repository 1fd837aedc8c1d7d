// Package controller holds the control state of an entry on the platform: the
// configuration and the upstreams that the store lists, and the other entries.
// One goroutine owns that state; it publishes views that requests are served
// by. Entries tell each other what they have read of the store, so that a few
// of them read it for all; one that hears nothing fresh reads for itself.
package controller

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/asserter"
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/follower"
	"github.com/sapphireramp/sapphireramp/forwarder"
	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/prober"
	"github.com/sapphireramp/sapphireramp/quarantiner"
	"github.com/sapphireramp/sapphireramp/sequencer"
)

// Store reads the platform's store. The functions fail where it can't be
// reached or refuses.
type Store struct {
	// Read returns the whole state.
	Read func(context.Context) (follower.State, error)
	// Watch waits for changes after a revision, for a time at most.
	Watch func(ctx context.Context, after int64, wait time.Duration) (follower.State, error)
	// DecodeConfig reads a configuration as the store holds it.
	DecodeConfig func([]byte) (*matcher.Table, error)
}

// Config of a controller. Every field is needed.
type Config struct {
	Name       string
	DataCentre string
	// Incarnation is greater than that of any earlier run under this name.
	Incarnation uint64
	// CallerAddress is the address that callers are told, PeerAddress and LoadAddress are where
	// other entries reach this one.
	CallerAddress, PeerAddress, LoadAddress netip.AddrPort
	Store                                   Store
	// MaxPropagation is how soon a change in the store has to be in force here.
	MaxPropagation time.Duration
	// Speed is that of this entry in processor cores; 0 where it is not known.
	Speed float64
	// SinceBoot is the time since the instance booted, with the time that it was
	// suspended; SinceBoot of this package, or a clock that tests advance.
	SinceBoot  func() time.Duration
	Dispatcher *dispatcher.Dispatcher
	// Quarantine is what entries tell each other of requests that crash upstreams.
	Quarantine *quarantiner.Quarantiner
	Dial       connector.DialFunc
	Log        *zap.Logger
	Scope      tally.Scope
	Asserter   *asserter.Asserter
}

// Controller is the control side of an entry.
type Controller struct {
	config    Config
	sequencer *sequencer.Sequencer[*state]
	current   atomic.Pointer[view]
	// heartbeatPool carries heartbeats, fetches carries states: a heartbeat behind a
	// large answer would be late.
	heartbeatPool, fetchPool *connector.Pool
	compressed               compressedConfig
	loadSenders              loadSenders
	loadCounts               loadCounts
	// heartbeatRequests asks for heartbeats to all peers at once, meetings for all load to be told
	// to entries that are new here.
	heartbeatRequests, newPeers chan struct{}
	background                  sync.WaitGroup

	metrics metrics
}

type metrics struct {
	storeCalls, storeFailures             tally.Counter
	revision, listAge, members, upstreams tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		storeCalls: scope.Counter("store_calls"), storeFailures: scope.Counter("store_failures"),
		revision: scope.Gauge("configuration_revision"), listAge: scope.Gauge("list_age_seconds"),
		members: scope.Gauge("members_live"), upstreams: scope.Gauge("upstreams"),
	}
}

// state is all control state. Only the control goroutine touches it.
type state struct {
	controller *Controller
	follower   *follower.Follower
	table      *matcher.Table
	prober     *prober.Prober
	contacts   map[string]contact
	// capacities are what other entries said of themselves, by name.
	capacities map[string]capacity
	lagMeter   lagMeter
	// diedAt is when other entries were last taken for dead, by name.
	diedAt   map[string]time.Time
	seeds    []netip.AddrPort
	stopping bool
	// exitAt is when a stopping entry ends, knownUntil until when callers may use its address.
	exitAt, addressValidUntil time.Time
	started                   time.Time
	lastTick                  time.Time
	lastSinceBoot             time.Duration
	// storeLost says that the last call to the store failed.
	storeLost bool
	// fetching is how many fetches from peers are in progress.
	fetching int
	dirty    bool
	// unreadableRevision is the revision of the newest configuration that could not be read.
	unreadableRevision int64
}

const (
	// tickPeriod is the period of the control goroutine's own clock.
	tickPeriod = 100 * time.Millisecond
	// suspendThreshold is a gap between ticks that means that this process stood
	// still: ten ticks.
	suspendThreshold = time.Second
	// viewRefreshAge is by how much the confirmation that views show may be
	// older than the newest.
	viewRefreshAge = 300 * time.Millisecond
	// settleTime is how long after its start an entry may not know all others
	// and their load: two heartbeats, and one round of shares.
	settleTime = 2*heartbeatPeriod + fullUpdatePeriod
	// heartbeatPeriod is the period of heartbeats: five in the time after which a
	// silent entry is suspected.
	heartbeatPeriod = 200 * time.Millisecond
	// deadTimeout is the silence after which an entry counts as dead: callers
	// that are told its address lose a second to it.
	deadTimeout = time.Second
	// deadUpdateTime is how long entries that died are told of load: processes that are killed
	// are back within seconds.
	deadUpdateTime = 10 * time.Second
	// neighbours is how many entries each entry sends heartbeats to.
	neighbours = 4
)

// New returns a controller that knows nothing yet.
func New(c Config) *Controller {
	ctl := &Controller{
		config: c, sequencer: sequencer.New[*state](), heartbeatPool: connector.NewPool(c.Dial), fetchPool: connector.NewPool(c.Dial),
		heartbeatRequests: make(chan struct{}, 1), newPeers: make(chan struct{}, 1), metrics: newMetrics(c.Scope),
	}
	ctl.loadCounts.registerMetrics(c.Scope)
	ctl.current.Store(&view{View: forwarder.View{MaxEntries: 1}})
	return ctl
}

// Run works until the context ends. Seeds are peer addresses to begin with;
// shares is the socket for other entries' loads.
func (c *Controller) Run(ctx context.Context, seeds []netip.AddrPort, peerListener net.Listener, loadSocket net.PacketConn) {
	now := time.Now()
	s := &state{
		controller: c, follower: follower.New(), contacts: map[string]contact{}, capacities: map[string]capacity{}, diedAt: map[string]time.Time{},
		seeds: seeds, started: now, lastTick: now, lastSinceBoot: c.config.SinceBoot(),
		prober: prober.New(prober.Config{Name: c.config.Name, Incarnation: c.config.Incarnation, DataCentre: c.config.DataCentre, Neighbours: neighbours, SuspectAfter: deadTimeout}),
	}
	s.follower.SetRemovalBound(c.config.MaxPropagation)
	c.goBackground(func() { c.followStore(ctx) })
	c.goBackground(func() { c.sendHeartbeats(ctx) })
	c.goBackground(func() { c.sendLoadUpdates(ctx, loadSocket) })
	go c.receiveLoadUpdates(loadSocket)
	go c.servePeers(peerListener)
	context.AfterFunc(ctx, func() {
		_ = peerListener.Close()
		_ = loadSocket.Close()
		c.heartbeatPool.Close()
		c.fetchPool.Close()
	})
	c.sequencer.Run(ctx, s, tickPeriod, s.tick, s.publishDirty)
	c.background.Wait()
}

func (c *Controller) goBackground(f func()) {
	c.background.Add(1)
	go func() {
		defer c.background.Done()
		f()
	}()
}

// do runs a command on the control goroutine and waits for it.
func (c *Controller) do(command func(*state)) { c.sequencer.Do(command) }

// publishDirty makes a new view where something changed.
func (s *state) publishDirty() {
	if s.dirty {
		s.publish()
	}
}

// tick looks for pauses of this process, silent members and held upstreams.
func (s *state) tick(now time.Time) {
	sinceBoot := s.controller.config.SinceBoot()
	// The monotonic clock stands still while an instance is suspended, the
	// clock since boot doesn't.
	suspended := sinceBoot - s.lastSinceBoot - now.Sub(s.lastTick)
	paused := now.Sub(s.lastTick) + max(0, suspended)
	s.lastTick, s.lastSinceBoot = now, sinceBoot
	if s.lagMeter.observe(max(0, paused-tickPeriod)) {
		s.dirty = true
		s.controller.config.Log.Info("strained", zap.Bool("strained", s.lagMeter.overloaded), zap.Duration("lag_ms", s.lagMeter.average))
	}
	if paused > suspendThreshold {
		s.controller.config.Log.Warn("woke", zap.Duration("paused_ms", paused))
		s.prober.ResetSilence(now)
		s.follower.ClearConfirmation()
		s.dirty = true
	}
	s.applyMemberChanges(s.prober.Tick(now))
	s.logStore(s.follower.Tick(now), "hold_ended")
	s.logQuarantined(now, s.controller.config.Quarantine.Evaluate(now), "own")
	if age, ok := s.follower.ConfirmationAge(now); ok {
		s.controller.metrics.listAge.Update(age.Seconds())
	}
	publishedAt := s.controller.current.Load().ConfirmedAt
	if s.follower.ConfirmedAt().Sub(publishedAt) > viewRefreshAge || now.Sub(s.started) < 2*settleTime {
		s.dirty = true
	}
}

// requestFullLoad has entries that are new here told of load.
func (c *Controller) requestFullLoad() {
	select {
	case c.newPeers <- struct{}{}:
	default:
	}
}

// incarnationToken names one run of an entry in messages of shares: what an earlier run told says
// nothing of a later one.
func incarnationToken(name string, incarnation uint64) dispatcher.WireID {
	return dispatcher.WireIDOf(name + " " + strconv.FormatUint(incarnation, 10))
}

// capacity is what this entry can do.
func (s *state) capacity() capacity {
	return capacity{speed: s.controller.config.Speed, overloaded: s.lagMeter.overloaded}
}

// View is what requests are served by.
func (c *Controller) View() *forwarder.View { return &c.current.Load().View }

// IsReady reports whether this entry takes callers.
func (c *Controller) IsReady() bool { return c.current.Load().ready }

// AnnounceShutdown tells callers and other entries that this entry ends at a time. Callers may use its
// address until knownUntil. When it returns, this entry is no longer ready.
func (c *Controller) AnnounceShutdown(addressValidUntil, exitAt time.Time) {
	c.do(func(s *state) {
		s.stopping, s.addressValidUntil, s.exitAt = true, addressValidUntil, exitAt
		s.publish()
	})
	c.requestHeartbeats()
}

// SetSeeds takes over new seeds.
func (c *Controller) SetSeeds(seeds []netip.AddrPort) {
	c.do(func(s *state) { s.seeds, s.dirty = seeds, true })
}

func (c *Controller) requestHeartbeats() {
	select {
	case c.heartbeatRequests <- struct{}{}:
	default:
	}
}

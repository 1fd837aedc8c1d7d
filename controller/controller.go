// Package controller keeps the control state of a gateway entry on the platform:
// the configuration and the upstreams listed in the platform's store, and the
// other entries. One goroutine owns that state and publishes immutable views,
// from which requests are served. Entries pass on to each other what they have
// read from the store, so that a few of them read it on behalf of all. An entry
// reads the store itself if no peer has confirmed its state recently.
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

// Store holds the functions that read the platform's store. Each returns an error
// if the store is unreachable or rejects the call.
type Store struct {
	// Read returns the complete state.
	Read func(context.Context) (follower.State, error)
	// Watch returns the changes after a revision. It waits for the first one for
	// at most the given time.
	Watch func(ctx context.Context, after int64, wait time.Duration) (follower.State, error)
	// DecodeConfig parses a configuration from the bytes that the store holds. It
	// returns an error if they are not a valid configuration.
	DecodeConfig func([]byte) (*matcher.Table, error)
}

// Config configures a Controller. All fields are required, except that Speed may be 0.
type Config struct {
	// Name identifies the entry among all entries.
	Name       string
	DataCentre string
	// Incarnation is greater than that of every earlier process under this name.
	Incarnation uint64
	// CallerAddress is the address announced to callers. Other entries send
	// heartbeats and fetches to PeerAddress and load updates to LoadAddress. The
	// two have the same IP address, and LoadAddress the same port at all entries.
	CallerAddress, PeerAddress, LoadAddress netip.AddrPort
	Store                                   Store
	// MaxPropagation is the longest time from a change in the store until this
	// entry must act on it.
	MaxPropagation time.Duration
	// Speed is the processor capacity of this entry in cores; 0 if unknown.
	Speed float64
	// SinceBoot returns the time since the instance booted, including the time it
	// was suspended. It is the SinceBoot of this package or a test clock.
	SinceBoot func() time.Duration
	// Dispatcher receives the usable upstreams and the load of other entries,
	// and provides this entry's own load to send to them.
	Dispatcher *dispatcher.Dispatcher
	// Quarantine exchanges reports of requests that crash upstreams with other
	// entries, as part of heartbeats.
	Quarantine *quarantiner.Quarantiner
	// Dial opens the connections to other entries.
	Dial  connector.DialFunc
	Log   *zap.Logger
	Scope tally.Scope
	// Asserter counts and reports violated invariants.
	Asserter *asserter.Asserter
}

// Controller runs the control goroutine of an entry, the exchange with other
// entries and the reads of the store. Its methods are safe for concurrent use.
type Controller struct {
	config    Config
	sequencer *sequencer.Sequencer[*state]
	// current is the view published last; never nil.
	current atomic.Pointer[view]
	// heartbeatPool carries heartbeats and fetchPool carries states: a heartbeat
	// queued behind a large reply on the same connection would arrive late.
	heartbeatPool, fetchPool *connector.Pool
	// compressed caches the configuration in the form in which it is sent to peers.
	compressed  compressedConfig
	loadSenders loadSenders
	loadCounts  loadCounts
	// heartbeatRequests holds an element while heartbeats to all peers at once are
	// requested. newPeers holds one while the view has peers to which this entry
	// has not sent its full load yet.
	heartbeatRequests, newPeers chan struct{}
	// background counts the goroutines that Run waits for before it returns.
	background sync.WaitGroup

	metrics metrics
}

// metrics are the counters and gauges of a Controller.
type metrics struct {
	storeCalls, storeFailures                           tally.Counter
	configRevision, confirmationAge, members, upstreams tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		storeCalls: scope.Counter("store_calls"), storeFailures: scope.Counter("store_failures"),
		configRevision: scope.Gauge("configuration_revision"), confirmationAge: scope.Gauge("list_age_seconds"),
		members: scope.Gauge("members_live"), upstreams: scope.Gauge("upstreams"),
	}
}

// state is the whole control state. Only the control goroutine accesses it.
type state struct {
	controller *Controller
	follower   *follower.Follower
	// table is the decoded configuration in force; nil before the first.
	table  *matcher.Table
	prober *prober.Prober
	// contacts are all other entries known, by name.
	contacts map[string]contact
	// capacities holds the capacity that each other entry reported, by name.
	capacities map[string]capacity
	lagMeter   lagMeter
	// diedAt holds the time at which each other entry was last declared dead, by name.
	diedAt map[string]time.Time
	// seeds are the configured peer addresses through which other entries are found.
	seeds []netip.AddrPort
	// stopping is true once the shutdown of this entry was announced.
	stopping bool
	// exitAt is when a stopping entry exits. Callers may use its address until
	// addressValidUntil. Both are zero while the entry is not stopping.
	exitAt, addressValidUntil time.Time
	// started is when Run was called.
	started time.Time
	// lastTick and lastSinceBoot are the time and the value of Config.SinceBoot at
	// the last tick.
	lastTick      time.Time
	lastSinceBoot time.Duration
	// storeLost is true if the last call to the store failed.
	storeLost bool
	// fetching counts the fetches from peers in progress.
	fetching int
	// dirty is true if a new view has to be published.
	dirty bool
	// unreadableRevision is the newest revision of the configuration that could
	// not be decoded; 0 if there was none.
	unreadableRevision int64
}

const (
	// tickPeriod is the interval between calls of state.tick.
	tickPeriod = 100 * time.Millisecond
	// suspendThreshold is the gap between two ticks, ten periods, from which on
	// this process counts as having been suspended.
	suspendThreshold = time.Second
	// viewRefreshAge is by how much the time of the last confirmation in the
	// published view may lag behind the follower's before a new view is published.
	viewRefreshAge = 300 * time.Millisecond
	// startupTime is how long after its start an entry may not yet know all other
	// entries and their load: two heartbeats and one full load update.
	startupTime = 2*heartbeatPeriod + fullUpdatePeriod
	// heartbeatPeriod is the interval between heartbeats: a fifth of deadTimeout.
	heartbeatPeriod = 200 * time.Millisecond
	// deadTimeout is the silence after which an entry is declared dead. Until then
	// callers may still be given its address, and each of them loses up to that time.
	deadTimeout = time.Second
	// deadUpdateTime is how long load updates are still sent to an entry that was
	// declared dead: killed processes restart within seconds.
	deadUpdateTime = 10 * time.Second
	// heartbeatNeighbours is the number of live entries that an entry sends heartbeats to in
	// each heartbeatPeriod.
	heartbeatNeighbours = 4
)

// New returns a controller that has no state yet. Run starts it.
func New(c Config) *Controller {
	ctl := &Controller{
		config: c, sequencer: sequencer.New[*state](), heartbeatPool: connector.NewPool(c.Dial), fetchPool: connector.NewPool(c.Dial),
		heartbeatRequests: make(chan struct{}, 1), newPeers: make(chan struct{}, 1), metrics: newMetrics(c.Scope),
	}
	ctl.loadCounts.registerMetrics(c.Scope)
	ctl.current.Store(&view{View: forwarder.View{RetryBudgetEntries: 1}})
	return ctl
}

// Run runs the controller until the context ends, then closes its connections and
// sockets. Seeds are the first peer addresses to contact, peerListener accepts
// heartbeats and fetches, and loadSocket carries load updates.
func (c *Controller) Run(ctx context.Context, seeds []netip.AddrPort, peerListener net.Listener, loadSocket net.PacketConn) {
	now := time.Now()
	s := &state{
		controller: c, follower: follower.New(), contacts: map[string]contact{}, capacities: map[string]capacity{}, diedAt: map[string]time.Time{},
		seeds: seeds, started: now, lastTick: now, lastSinceBoot: c.config.SinceBoot(),
		prober: prober.New(prober.Config{Name: c.config.Name, Incarnation: c.config.Incarnation, DataCentre: c.config.DataCentre, Neighbours: heartbeatNeighbours, SuspectAfter: deadTimeout}),
	}
	s.follower.SetMaxUseAfterRemoval(c.config.MaxPropagation)
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

// goBackground runs a function on a goroutine that Run waits for.
func (c *Controller) goBackground(f func()) {
	c.background.Add(1)
	go func() {
		defer c.background.Done()
		f()
	}()
}

// do runs a command on the control goroutine and waits until it has run.
func (c *Controller) do(command func(*state)) { c.sequencer.Do(command) }

// publishDirty publishes a new view if the state has changed.
func (s *state) publishDirty() {
	if s.dirty {
		s.publish()
	}
}

// tick detects overload and suspensions of this process, silent entries, upstreams whose
// retention has expired and requests to quarantine.
func (s *state) tick(now time.Time) {
	sinceBoot := s.controller.config.SinceBoot()
	// The monotonic clock stops while an instance is suspended; the time since
	// boot includes that time.
	suspended := sinceBoot - s.lastSinceBoot - now.Sub(s.lastTick)
	paused := now.Sub(s.lastTick) + max(0, suspended)
	s.lastTick, s.lastSinceBoot = now, sinceBoot
	if s.lagMeter.observe(max(0, paused-tickPeriod)) {
		s.dirty = true
		s.controller.config.Log.Info("strained", zap.Bool("strained", s.lagMeter.overloaded), zap.Duration("lag_ms", s.lagMeter.average))
	}
	if paused > suspendThreshold {
		s.controller.config.Log.Warn("woke", zap.Duration("paused_ms", paused))
		s.prober.RestartSilenceDetection(now)
		s.follower.ClearConfirmation()
		s.dirty = true
	}
	s.applyMemberChanges(s.prober.Tick(now))
	s.logStoreChanges(s.follower.Tick(now), "hold_ended")
	s.logQuarantined(now, s.controller.config.Quarantine.Evaluate(now), "own")
	if age, ok := s.follower.ConfirmationAge(now); ok {
		s.controller.metrics.confirmationAge.Update(age.Seconds())
	}
	publishedAt := s.controller.current.Load().ConfirmedAt
	if s.follower.ConfirmedAt().Sub(publishedAt) > viewRefreshAge || now.Sub(s.started) < 2*startupTime {
		s.dirty = true
	}
}

// requestFullLoad triggers sending all of this entry's load to new peers.
func (c *Controller) requestFullLoad() {
	select {
	case c.newPeers <- struct{}{}:
	default:
	}
}

// incarnationToken identifies one incarnation of an entry in load updates. It differs
// between incarnations because the load reported by an earlier one has ended with it.
func incarnationToken(name string, incarnation uint64) dispatcher.CompactID {
	return dispatcher.CompactIDOf(name + " " + strconv.FormatUint(incarnation, 10))
}

// capacity returns the capacity that this entry reports to the others.
func (s *state) capacity() capacity {
	return capacity{speed: s.controller.config.Speed, overloaded: s.lagMeter.overloaded}
}

// View returns the view published last, from which requests are served. The caller must
// not modify the view.
func (c *Controller) View() *forwarder.View { return &c.current.Load().View }

// IsReady reports whether this entry accepts callers: it has a configuration and is
// not stopping.
func (c *Controller) IsReady() bool { return c.current.Load().ready }

// AnnounceShutdown tells callers and other entries that this entry is shutting down and
// exits at exitAt. Callers may use its address until addressValidUntil. IsReady is false
// by the time it returns.
func (c *Controller) AnnounceShutdown(addressValidUntil, exitAt time.Time) {
	c.do(func(s *state) {
		s.stopping, s.addressValidUntil, s.exitAt = true, addressValidUntil, exitAt
		s.publish()
	})
	c.requestHeartbeats()
}

// SetSeeds replaces the seed addresses given to Run.
func (c *Controller) SetSeeds(seeds []netip.AddrPort) {
	c.do(func(s *state) { s.seeds, s.dirty = seeds, true })
}

// requestHeartbeats triggers heartbeats to all live peers at once, to announce a change.
func (c *Controller) requestHeartbeats() {
	select {
	case c.heartbeatRequests <- struct{}{}:
	default:
	}
}

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

	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/asserter"
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/follower"
	"github.com/sapphireramp/sapphireramp/forwarder"
	"github.com/sapphireramp/sapphireramp/isolator"
	"github.com/sapphireramp/sapphireramp/lender"
	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/prober"
	"github.com/sapphireramp/sapphireramp/quarantiner"
	"github.com/sapphireramp/sapphireramp/scheduler"
	"github.com/sapphireramp/sapphireramp/sequencer"
	"github.com/sapphireramp/sapphireramp/tunneler"
)

// Store holds the functions that read the platform's store. Each returns an error
// if the store is unreachable or rejects the call.
type Store struct {
	// Read returns the complete state.
	Read func(context.Context) (follower.State, error)
	// Watch returns the changes after a position in the store's history. It waits for the
	// first one for at most the given time.
	Watch func(ctx context.Context, after follower.Position, wait time.Duration) (follower.State, error)
	// DecodeConfig parses a configuration from the bytes that the store holds. It
	// returns an error if they are not a valid configuration.
	DecodeConfig func([]byte) (*matcher.Table, error)
}

// Config configures a Controller. All fields are required, except that Speed may be 0, and Scheduler, Ledger,
// PartStates and Account nil.
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
	// Regions holds the region of each data centre by its name; data centres that it lacks are of unknown region.
	Regions map[string]string
	// MaxPropagation is the maximum time from a change in the store until this entry
	// uses the changed configuration or upstreams for new requests.
	MaxPropagation time.Duration
	// RegistrationLease is how long the registration of an upstream lasts in the store after it was renewed,
	// RenewalInterval how often, approximately, upstreams renew it. Both are 0 if unknown.
	RegistrationLease, RenewalInterval time.Duration
	// Speed is the processor capacity of this entry in cores; 0 if unknown.
	Speed float64
	// IsFirstStart is true if no entry of the fleet has run before those that start now.
	IsFirstStart bool
	// SinceBoot returns the time since the instance booted, including the time it
	// was suspended. It is the SinceBoot of this package or a test clock.
	SinceBoot func() time.Duration
	// Dispatcher receives the usable upstreams and the load of other entries,
	// and provides this entry's own load to send to them.
	Dispatcher *dispatcher.Dispatcher
	// Scheduler receives the places that other entries reserved for returns of refused callers, and
	// provides this entry's. If it is nil, there are none.
	Scheduler *scheduler.Scheduler
	// Quarantine exchanges reports of requests that crash upstreams with other
	// entries, as part of heartbeats.
	Quarantine *quarantiner.Quarantiner
	// Isolator exchanges reports of parts of prompts that crash upstreams with other entries.
	Isolator *isolator.Isolator
	// Tunneler opens the connections to upstreams. It receives their addresses, and serves other entries as a
	// relay on the connections that they open to this one.
	Tunneler *tunneler.Tunneler
	// Ledger holds the parts of quantities that entries lend each other; nil if this entry neither lends nor borrows.
	// PartStates returns this entry's state of its parts, by the kind of resource.
	Ledger     *lender.Ledger
	PartStates map[string]PartStateFunc
	// Dial opens the connections to other entries.
	Dial  connector.DialFunc
	Log   *zap.Logger
	Scope tally.Scope
	// Asserter counts and reports violated invariants.
	Asserter *asserter.Asserter
	// Account counts what is held of messages of other entries.
	Account *accountant.Account
}

// Controller runs the control goroutine of an entry, the exchange with other
// entries and the reads of the store. Its methods are safe for concurrent use.
type Controller struct {
	config    Config
	sequencer *sequencer.Sequencer[*state]
	// current is the latest published view; never nil.
	current atomic.Pointer[view]
	// heartbeatPool holds the connections for heartbeats, fetchPool those for fetches
	// of the store's state from peers. They are separate because a heartbeat queued
	// behind a large reply on the same connection would arrive late.
	heartbeatPool, fetchPool *connector.Pool
	// lendPool holds the connections for requests for loans, to entries other than those that heartbeats go to.
	lendPool *connector.Pool
	lending  lending
	// configs caches the configuration in the form in which it is sent to peers.
	configs deflateCache
	// snapshots caches the complete list of upstreams in that form. fetchSlots limits the fetches of it
	// that are served at the same time.
	snapshots  deflateCache
	fetchSlots chan struct{}
	// heartbeatSlots has an element for each heartbeat that is being processed.
	heartbeatSlots chan struct{}
	loadSenders    loadSenders
	loadCounts     loadCounts
	// heartbeatRequests holds an element from a call of requestHeartbeats until
	// sendHeartbeats handles it. newPeers holds one from a call of requestFullLoad
	// until sendLoadUpdates handles it.
	heartbeatRequests, newPeers chan struct{}
	// background counts the goroutines that Run waits for before it returns.
	background sync.WaitGroup

	metrics metrics
}

// metrics are the counters and gauges of a Controller.
type metrics struct {
	storeCalls, storeFailures                                      tally.Counter
	configRevision, confirmationAge, members, upstreams, evacuated tally.Gauge
	storeEpoch                                                     tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		storeCalls: scope.Counter("store_calls"), storeFailures: scope.Counter("store_failures"),
		configRevision: scope.Gauge("configuration_revision"), confirmationAge: scope.Gauge("list_age_seconds"),
		members: scope.Gauge("members_live"), upstreams: scope.Gauge("upstreams"),
		evacuated: scope.Gauge("data_centres_evacuated"), storeEpoch: scope.Gauge("store_epoch"),
	}
}

// state is the whole control state. Only the control goroutine accesses it.
type state struct {
	controller *Controller
	follower   *follower.Follower
	// table is the decoded configuration in force; nil before the first.
	table  *matcher.Table
	prober *prober.Prober
	// capacities holds the newest known capacity of each other entry, by name.
	capacities map[string]reportedCapacity
	lagMeter   lagMeter
	// diedAt holds the time at which each other entry was last declared dead, by name.
	diedAt map[string]time.Time
	// lostAt holds the time at which each dead entry was declared dead that had not announced its shutdown, by name.
	lostAt map[string]time.Time
	// seeds are the configured peer addresses. Heartbeats to them discover other entries.
	seeds []netip.AddrPort
	// upCount is the number of other entries that are up, as of the latest view. upCountOfOthers is the
	// number that others reported (see recordUpCount).
	upCount, upCountOfOthers int
	// fleet is what is remembered of the size of the fleet.
	fleet fleetSize
	// hearsOthers is true once this entry has received a heartbeat of another one or a reply.
	hearsOthers bool
	// isCutOff is true if this entry reached no upstream directly at the last tick.
	isCutOff bool
	// stopping is true once the shutdown of this entry was announced.
	stopping bool
	// exitAt is when this entry exits. Callers may use its address until
	// addressValidUntil. Both are zero unless stopping is true.
	exitAt, addressValidUntil time.Time
	// started is when Run was called.
	started time.Time
	// lastTick and lastSinceBoot are the time and the value of Config.SinceBoot at
	// the last tick.
	lastTick      time.Time
	lastSinceBoot time.Duration
	// storeLost is true if the last call to the store failed.
	storeLost bool
	// fetching is the number of fetches from peers in progress; at most maxFetches.
	fetching int
	// incarnation is Config.Incarnation unless it was raised, incarnationRaises how often that was.
	incarnation       uint64
	incarnationRaises int
	// inheritedFetchedAt is when the last fetch because of Beat.InheritedFingerprint began; zero before
	// the first.
	inheritedFetchedAt time.Time
	// dirty is true if the state has changed since the latest view was published, at publishedAt.
	dirty       bool
	publishedAt time.Time
	// unreadableConfigs are the stamps, without versions, of the last configurations that this entry
	// could not decode, at most maxUnreadableConfigs.
	unreadableConfigs []follower.ConfigStamp
}

const (
	// tickPeriod is the interval between calls of state.tick.
	tickPeriod = 100 * time.Millisecond
	// suspendThreshold is the time between two ticks above which this entry assumes
	// that its process was suspended in between: ten times tickPeriod.
	suspendThreshold = time.Second
	// viewRefreshAge is the maximum difference between the follower's time of the last
	// confirmation and the one in the published view. If it is exceeded, a new view is
	// published.
	viewRefreshAge = 300 * time.Millisecond
	// startupTime is the time after its start in which an entry may not yet have
	// received the load of all other entries: two heartbeat periods, to find them, and
	// one period of full load updates.
	startupTime = 2*heartbeatPeriod + fullUpdatePeriod
	// heartbeatPeriod is the interval between heartbeats: a fifth of deadTimeout.
	heartbeatPeriod = 200 * time.Millisecond
	// deadTimeout is the time from the first unanswered heartbeat to an entry until
	// the entry is declared dead. Until then callers may still be given its address,
	// and a caller that tries it can lose as much time.
	deadTimeout = time.Second
	// deadUpdateTime is how long load updates are still sent to an entry after it was
	// declared dead: most killed processes restart within seconds.
	deadUpdateTime = 10 * time.Second
	// heartbeatNeighbours is the number of live entries to which an entry sends a heartbeat
	// in each heartbeatPeriod.
	heartbeatNeighbours = 4
)

// New returns a controller without configuration, upstreams or peers. It reads the store and
// exchanges heartbeats only while Run is running.
func New(c Config) *Controller {
	if c.Scheduler == nil {
		c.Scheduler = scheduler.New(scheduler.Config{})
	}
	ctl := &Controller{
		config: c, sequencer: sequencer.New[*state](), heartbeatPool: connector.NewPool(c.Dial, c.Account), fetchPool: connector.NewPool(c.Dial, c.Account), lendPool: connector.NewPool(c.Dial, c.Account), lending: lending{metrics: newLendingMetrics(c.Scope)},
		heartbeatRequests: make(chan struct{}, 1), newPeers: make(chan struct{}, 1), fetchSlots: make(chan struct{}, maxServedFetches), heartbeatSlots: make(chan struct{}, maxServedHeartbeats), metrics: newMetrics(c.Scope),
	}
	ctl.loadCounts.registerMetrics(c.Scope)
	ctl.current.Store(&view{incarnation: c.Incarnation})
	return ctl
}

// Run runs the controller until the context ends, then closes its connections and
// sockets. Seeds are the first peer addresses to contact, peerListener accepts
// heartbeats and fetches, and loadSocket carries load updates.
func (c *Controller) Run(ctx context.Context, seeds []netip.AddrPort, peerListener net.Listener, loadSocket net.PacketConn) {
	now := time.Now()
	s := &state{
		controller: c, follower: follower.New(), capacities: map[string]reportedCapacity{}, diedAt: map[string]time.Time{}, lostAt: map[string]time.Time{},
		seeds: seeds, started: now, incarnation: c.config.Incarnation, lastTick: now, lastSinceBoot: c.config.SinceBoot(),
		prober: prober.New(prober.Config{Name: c.config.Name, Incarnation: c.config.Incarnation, DataCentre: c.config.DataCentre, Neighbours: heartbeatNeighbours, SuspectAfter: deadTimeout}),
	}
	s.follower.SetMaxUseAfterRemoval(c.config.MaxPropagation)
	s.follower.SetRegistrationLease(c.config.RegistrationLease, c.config.RenewalInterval)
	c.goBackground(func() { c.followStore(ctx) })
	c.goBackground(func() { c.sendHeartbeats(ctx) })
	c.goBackground(func() { c.sendLoadUpdates(ctx, loadSocket) })
	if c.config.Ledger != nil {
		c.goBackground(func() { c.borrowParts(ctx) })
	}
	go c.receiveLoadUpdates(loadSocket)
	go c.servePeers(peerListener)
	context.AfterFunc(ctx, func() {
		_ = peerListener.Close()
		_ = loadSocket.Close()
		c.heartbeatPool.Close()
		c.fetchPool.Close()
		c.lendPool.Close()
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

// publishPeriodPerMember times the number of members is the minimum time between two views that
// publishDirty publishes. The work of making a view is proportional to the number of members, so the
// period limits its share of the processor time to the same in fleets of all sizes. In a fleet of
// ten the period is 3 ms, in one of 600 it is 180 ms.
const publishPeriodPerMember = 300 * time.Microsecond

// publishDirty publishes a new view if dirty is set, unless the latest one is too recent (see
// publishPeriodPerMember). It runs after every command and tick.
func (s *state) publishDirty() {
	if s.dirty && time.Since(s.publishedAt) >= publishPeriodPerMember*time.Duration(s.prober.Count()) {
		s.publish()
	}
}

// tick detects overload and suspensions of this process, a cut from all upstreams, entries that
// answer no heartbeats, upstreams that are no longer retained after an outage of the store, and
// requests to quarantine. It runs once per tickPeriod.
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
		s.controller.config.Dispatcher.DisownRateLimits()
		s.dirty = true
	}
	if isCutOff := s.controller.config.Tunneler.IsCutOff(); isCutOff != s.isCutOff {
		s.isCutOff, s.dirty = isCutOff, true
		s.controller.requestHeartbeats()
	}
	s.applyMemberChanges(s.prober.Tick(now))
	s.forgetFormerMembers()
	s.logStoreChanges(s.follower.Tick(now), "hold_ended")
	s.controller.config.Quarantine.SetOtherExplainedExits(s.controller.config.Isolator.ExplainedExits())
	s.logQuarantined(now, s.controller.config.Quarantine.Evaluate(now), "own")
	s.controller.config.Isolator.SetExplanations(s.controller.config.Quarantine.Explanations())
	isolator.LogDecisions(s.controller.config.Log, now, s.controller.config.Isolator.Evaluate(now))
	if age, ok := s.follower.ConfirmationAge(now); ok {
		s.controller.metrics.confirmationAge.Update(age.Seconds())
	}
	publishedAt := s.controller.current.Load().ConfirmedAt
	if s.follower.ConfirmedAt().Sub(publishedAt) > viewRefreshAge || now.Sub(s.started) < 2*startupTime {
		s.dirty = true
	}
}

// requestFullLoad makes sendLoadUpdates send all of this entry's load to the peers that are new
// in the published view. It does not block.
func (c *Controller) requestFullLoad() {
	select {
	case c.newPeers <- struct{}{}:
	default:
	}
}

// incarnationToken returns the ID of one incarnation of an entry in load updates. Each
// incarnation has its own because the requests of an earlier one ended when it exited.
func incarnationToken(name string, incarnation uint64) dispatcher.CompactID {
	return dispatcher.CompactIDOf(name + " " + strconv.FormatUint(incarnation, 10))
}

// capacity returns the capacity that this entry reports to the others.
func (s *state) capacity() capacity {
	return capacity{speed: s.controller.config.Speed, overloaded: s.lagMeter.overloaded, cutOff: s.isCutOff}
}

// View returns the latest published view, from which requests are served. It must not be
// modified.
func (c *Controller) View() *forwarder.View { return &c.current.Load().View }

// IsReady reports whether this entry accepts callers: whether it has a configuration and
// AnnounceShutdown was not called.
func (c *Controller) IsReady() bool { return c.current.Load().ready }

// AnnounceShutdown marks this entry as stopping in its view and its heartbeats, and requests
// heartbeats to other entries without waiting for the next period. The process is to exit at
// exitAt; callers may use its address until addressValidUntil. IsReady returns false once
// AnnounceShutdown has returned.
func (c *Controller) AnnounceShutdown(addressValidUntil, exitAt time.Time) {
	c.do(func(s *state) {
		s.stopping, s.addressValidUntil, s.exitAt = true, addressValidUntil, exitAt
		s.publish()
	})
	c.requestHeartbeats()
}

// SetSeeds replaces the seeds, the peer addresses given to Run by which other entries are found.
func (c *Controller) SetSeeds(seeds []netip.AddrPort) {
	c.do(func(s *state) { s.seeds, s.dirty = seeds, true })
}

// SpreadCrash makes this entry tell others of a crash without waiting for the next heartbeat. It does not block.
func (c *Controller) SpreadCrash() { c.requestHeartbeats() }

// requestHeartbeats makes sendHeartbeats send heartbeats to up to maxImmediateHeartbeats live
// peers without waiting for the next period, to spread a change. It does not block.
func (c *Controller) requestHeartbeats() {
	select {
	case c.heartbeatRequests <- struct{}{}:
	default:
	}
}

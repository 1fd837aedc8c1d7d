package server

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/admitter"
	"github.com/sapphireramp/sapphireramp/adopter"
	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/asserter"
	"github.com/sapphireramp/sapphireramp/drainer"
	"github.com/sapphireramp/sapphireramp/isolator"
	"github.com/sapphireramp/sapphireramp/keeper"
	"github.com/sapphireramp/sapphireramp/lister"
	"github.com/sapphireramp/sapphireramp/planner"
	"github.com/sapphireramp/sapphireramp/prober"
	"github.com/sapphireramp/sapphireramp/router"
	"github.com/sapphireramp/sapphireramp/sealer"
	"github.com/sapphireramp/sapphireramp/spender"
	"github.com/sapphireramp/sapphireramp/validator"
)

const (
	// maxKeptAnswerBytes is the maximum size of each kept answer of an at-most-once request, and of all
	// kept answers together.
	maxKeptAnswerBytes = 8 << 20
	// tickInterval is the period of the control goroutine's tick.
	tickInterval = 100 * time.Millisecond
	// suspendThreshold is the time between two ticks above which this process is assumed to have been
	// suspended.
	suspendThreshold = time.Second
	// orderRetryInterval is the time for which a keeper, after it sent an order to change what an engine
	// serves (model, version, adapters or role), waits for a load report that shows the change. It then
	// sends the order again.
	orderRetryInterval = 30 * time.Second
	// minWeightLoadInterval is the minimum mean time between two orders, over all entries, that make an
	// engine load weights from the weight store.
	minWeightLoadInterval = 500 * time.Millisecond
)

// listSlack is added to the setting Timing.Watch, the time for which a read waits at the platform for a
// change. An instance list that the platform has not confirmed for the sum is stale.
const listSlack = 2 * time.Second

// largeDocumentBytes is the size in bytes from which on a configuration document is parsed with more
// frequent garbage collections (see parseGCPercent) and free memory is returned to the operating system
// afterwards.
const largeDocumentBytes = 64 << 10

// parseGCPercent is the argument of debug.SetGCPercent while a document of at least largeDocumentBytes is
// parsed. It is lower than the default of 100, so that the heap grows less.
const parseGCPercent = 20

// sourcePlatform names the platform as a source of documents in the adopter and in logs.
const sourcePlatform = "platform"

// control holds all control state. Only the control goroutine accesses it.
type control struct {
	server   *Server
	adopter  *adopter.Adopter
	prober   *prober.Prober
	drainer  *drainer.Drainer
	admitter *admitter.Admitter
	spender  *spender.Spender
	planner  *planner.Planner
	// keepers holds the grants and reported holds of the engines that this entry is the keeper of, by engine
	// name.
	keepers map[string]*keeper.Keeper
	// lastSteps holds, by engine name, the step that the planner last decided on for an engine that this
	// entry is the keeper of.
	lastSteps map[string]planner.Step
	// instances holds the instances of the list in use that have a valid address, by name.
	instances map[string]api.Instance
	// lister decides which of the lists offered by the platform and by peers is in use.
	lister *lister.Lister
	// engineLoads holds the load of each engine, by engine name. Every view's engine index refers to these
	// loads, so measurements survive a new view.
	engineLoads map[string]*router.Load
	// ownHolds holds this entry's holds, by engine name and hold ID.
	ownHolds map[string]map[string]*ownHold
	// isCutOff is true if this entry reached no upstream directly at the last tick. cutOffMembers holds the
	// names of the other entries whose last heartbeat stated that of them.
	isCutOff      bool
	cutOffMembers map[string]bool
	// stopping is true once this entry is shutting down.
	stopping bool
	// lastTick is the time of the last call of tick, at first that of the start.
	lastTick time.Time
	// resumedAt is when this process last resumed after a suspension; zero if it never did.
	resumedAt time.Time
	// dirty is true if the published view is out of date.
	dirty bool
}

func newControl(s *Server, secret []byte) *control {
	now := time.Now()
	sources := []string{sourcePlatform}
	for _, p := range s.settings.Peers {
		sources = append(sources, p.String())
	}
	t := s.settings.Timing
	return &control{
		server:   s,
		adopter:  adopter.New(sources...),
		prober:   prober.New(prober.Config{Name: s.settings.Name, Incarnation: s.config.Incarnation, Neighbours: t.Neighbours, SuspectAfter: t.Suspect}),
		drainer:  drainer.New(),
		admitter: admitter.New(rand.New(rand.NewPCG(s.config.Incarnation, uint64(s.settings.Address.Port())))),
		spender: spender.New(now, spender.Config{
			Name: s.settings.Name, Incarnation: s.config.Incarnation, TicketTTL: s.settings.Callers.TicketLife,
			MaxAnswerBytes: maxKeptAnswerBytes, Secret: secret,
		}),
		planner:     planner.New(planner.Config{Keeper: s.settings.Name, SettleTime: t.Lease, RetryInterval: orderRetryInterval, WeightLoadInterval: minWeightLoadInterval}),
		keepers:     map[string]*keeper.Keeper{},
		lastSteps:   map[string]planner.Step{},
		instances:   map[string]api.Instance{},
		lister:      lister.New(t.Watch + listSlack),
		engineLoads: map[string]*router.Load{},
		ownHolds:    map[string]map[string]*ownHold{}, cutOffMembers: map[string]bool{},
		lastTick: now,
	}
}

// onControl runs a command on the control goroutine and waits for it to return. It does nothing once the
// control goroutine has ended.
func (s *Server) onControl(command func(*control)) { s.control.Do(command) }

// publishIfDirty publishes a new view if the last one is out of date.
func (c *control) publishIfDirty() {
	if c.dirty {
		c.publishView()
	}
}

func (c *control) tick(now time.Time) {
	if now.Sub(c.lastTick) > suspendThreshold {
		c.server.logs.entry.Warn("woke", zap.Duration("paused", now.Sub(c.lastTick)))
		c.resumedAt = now
		c.prober.RestartSilenceDetection(now)
	}
	c.lastTick = now
	if isCutOff := c.server.tunneler.IsCutOff(); isCutOff != c.isCutOff {
		c.isCutOff, c.dirty = isCutOff, true
	}
	c.recordMemberChanges(c.prober.Tick(now))
	c.server.quarantine.SetOtherExplainedExits(c.server.isolator.ExplainedExits())
	c.server.logQuarantineDecisions(now, c.server.quarantine.Evaluate(now), "own")
	c.server.isolator.SetExplanations(c.server.quarantine.Explanations())
	isolator.LogDecisions(c.server.logs.route, now, c.server.isolator.Evaluate(now))
	c.server.metrics.inFlight.Update(float64(c.admitter.InFlight()))
}

// hasJustResumed reports whether this process resumed from a suspension and tick has not run since or first
// ran less than deadlineSlack ago. Requests may then end later than their deadline allows.
func (c *control) hasJustResumed(now time.Time) bool {
	return now.Sub(c.lastTick) > suspendThreshold || now.Sub(c.resumedAt) < deadlineSlack
}

// recordMemberChanges logs state changes of members and marks the view as out of date.
func (c *control) recordMemberChanges(changes []prober.Change) {
	for _, change := range changes {
		c.server.logs.members.Info("member", zap.String("name", change.Name), zap.String("from", string(change.From)),
			zap.String("to", string(change.To)), zap.String("reason", change.Reason))
		c.dirty = true
	}
}

// offerDocument passes a parsed document, or the error that made it invalid, to the adopter, which decides
// whether it comes into force, and logs the result. Source names the platform or the peer that sent the
// document.
func (c *control) offerDocument(now time.Time, digest string, offered *validator.ValidDocument, err error, source string) {
	before := c.adopter.Version()
	result := c.adopter.OfferDocument(now, digest, offered, err)
	c.server.asserter.Check(!c.adopter.Version().Less(before), asserter.RevisionWentBack, "revision %d after %d", c.adopter.Version().Revision, before.Revision)
	fields := []zap.Field{
		zap.String("verdict", result.Status.String()), zap.Uint64("revision", result.Version.Revision),
		zap.String("digest", result.Version.Digest), zap.String("source", source),
	}
	if result.SupersededDigest != "" {
		fields = append(fields, zap.String("loser", result.SupersededDigest))
	}
	switch {
	case result.Err != nil:
		c.server.logs.document.Error("document", append(fields, zap.Error(result.Err))...)
	case result.Status == adopter.Adopted, result.Status == adopter.Superseded:
		c.server.logs.document.Info("document", fields...)
	default:
		c.server.logs.document.Debug("document", fields...)
	}
	if result.Status == adopter.Adopted {
		c.server.metrics.revision.Update(float64(result.Version.Revision))
		c.dirty = true
	}
}

// receiveDocument parses a configuration document, verifies its signature if seal keys are set, and offers it
// to the adopter, unless the adopter has a result for it already. It parses on the calling goroutine, as a
// large document would block the control goroutine for too long. Only one document is parsed at a time,
// since the platform and peers often deliver the same one at once.
func (s *Server) receiveDocument(data []byte, source string) {
	s.parseLock <- struct{}{}
	defer func() { <-s.parseLock }()
	digest := validator.Digest(data)
	seen := false
	s.onControl(func(c *control) { _, seen = c.adopter.ResultForDigest(digest) })
	if seen {
		return
	}
	if len(data) >= largeDocumentBytes {
		// Parsing allocates many times the document's size, which an entry on a small instance can't afford
		// to retain until the next collection.
		defer debug.FreeOSMemory()
		defer debug.SetGCPercent(debug.SetGCPercent(parseGCPercent))
	}
	offered, err := validator.Parse(data)
	if err == nil && len(s.sealKeys) > 0 {
		err = sealer.Verify(data, s.sealKeys)
	}
	s.onControl(func(c *control) { c.offerDocument(time.Now(), digest, offered, err, source) })
}

// recordSourceTried records that a source of documents (the platform or a peer) has answered or could not be
// reached. The entry is ready once all sources have been tried and a document is in force.
func (c *control) recordSourceTried(source string) {
	wasReady := c.adopter.IsReady()
	c.adopter.MarkSourceTried(source)
	if c.adopter.IsReady() != wasReady {
		c.dirty = true
	}
}

// recordHeartbeat updates, from another entry's heartbeat, the state of the members, which upstreams are
// leaving, and the loads of the engines that the sender is the keeper of.
func (c *control) recordHeartbeat(now time.Time, heartbeat api.Heartbeat) {
	before, wasKnown := c.prober.Find(heartbeat.From)
	c.recordMemberChanges(c.prober.ReceiveHeartbeat(now, heartbeat))
	after, _ := c.prober.Find(heartbeat.From)
	if !wasKnown || before.Ready != after.Ready || before.Incarnation != after.Incarnation || c.cutOffMembers[heartbeat.From] != heartbeat.CutOff {
		c.dirty = true
	}
	delete(c.cutOffMembers, heartbeat.From)
	if heartbeat.CutOff {
		c.cutOffMembers[heartbeat.From] = true
	}
	for _, n := range heartbeat.Notices {
		if n.Kind != api.KindEntry && n.State == api.NoticeLeaving && c.drainer.MarkLeaving(n.Name, n.Incarnation) {
			c.announceLeaving(n.Name, drainer.FromPeer)
		}
	}
	for _, load := range heartbeat.Loads {
		c.recordLoadDigest(now, load)
	}
}

// recordLoadDigest updates an engine's load, incarnation and leaving state from its keeper's report.
func (c *control) recordLoadDigest(now time.Time, load api.LoadDigest) {
	c.loadOf(load.Engine).RecordReport(now, queuedTokensFromWire(load.QueuedTokens), load.FreeTokens)
	c.recordIncarnation(load.Engine, load.Incarnation)
	if load.Leaving && c.drainer.MarkLeaving(load.Engine, load.Incarnation) {
		c.announceLeaving(load.Engine, drainer.FromPeer)
	}
}

// recordIncarnation records the incarnation that an engine reported. A new incarnation of an engine that
// was leaving may be used again.
func (c *control) recordIncarnation(engine string, incarnation uint64) {
	before, last := c.drainer.IsUsable(engine), c.drainer.LatestIncarnation(engine)
	c.drainer.ObserveIncarnation(engine, incarnation)
	if last != 0 && incarnation > last {
		for _, crash := range c.server.quarantine.ConfirmExit(time.Now(), upstreamHash(engine)) {
			c.server.logs.route.Warn("upstream_ended", zap.Stringer("content", crash.Fingerprint), zap.String("upstream", engine), zap.Duration("ran_ms", crash.Ended.Sub(crash.LastSent)))
		}
		for _, crash := range c.server.isolator.ConfirmExit(time.Now(), upstreamHash(engine)) {
			c.server.logs.route.Warn("upstream_ended", zap.String("upstream", engine), zap.Duration("ran_ms", crash.Ended.Sub(crash.Sent)), zap.String("parts", isolator.JoinParts(crash.Parts)))
		}
	}
	if c.drainer.IsUsable(engine) != before {
		c.dirty = true
	}
}

// announceLeaving logs that an upstream is leaving and queues a notice of it, which the next heartbeats carry
// to other entries. Source is how this entry found out.
func (c *control) announceLeaving(name string, source drainer.Source) {
	c.server.logs.keep.Info("upstream_leaving", zap.String("name", name), zap.String("source", string(source)))
	kind := api.KindEngine
	if i, ok := c.instances[name]; ok {
		kind = i.Kind
	}
	notice := api.Notice{Kind: kind, Name: name, Incarnation: c.drainer.LatestIncarnation(name), State: api.NoticeLeaving}
	c.prober.ReceiveNotice(time.Now(), notice)
	c.dirty = true
}

// offerInstanceList passes an encoded instance list to the lister and applies the list if it replaces the
// one in use. Data is nil if the platform reported no change. Age is the time since the platform confirmed
// the list.
func (c *control) offerInstanceList(now time.Time, data []byte, age time.Duration) {
	if !c.lister.Offer(now, data, age) {
		return
	}
	var list api.InstanceList
	if err := json.Unmarshal(data, &list); err != nil {
		c.server.logs.entry.Error("instances", zap.Error(err))
		return
	}
	c.applyInstanceList(now, list)
}

// applyInstanceList makes an instance list the one in use. It logs and leaves out instances whose address is
// not a valid IP:port, and announces upstreams that the list newly shows as leaving.
func (c *control) applyInstanceList(now time.Time, list api.InstanceList) {
	c.prober.ApplyInstanceList(now, list.Instances)
	instances := make(map[string]api.Instance, len(list.Instances))
	for _, i := range list.Instances {
		if _, err := netip.ParseAddrPort(i.Address); err != nil {
			c.server.logs.entry.Warn("instance_address", zap.String("name", i.Name), zap.Error(err))
			continue
		}
		instances[i.Name] = i
	}
	c.instances = instances
	for _, name := range c.drainer.UpdateList(list.Instances) {
		c.announceLeaving(name, drainer.FromList)
	}
	c.dirty = true
}

func (c *control) loadOf(engine string) *router.Load {
	l, ok := c.engineLoads[engine]
	if !ok {
		l = &router.Load{}
		c.engineLoads[engine] = l
	}
	return l
}

// buildHeartbeat returns this entry's heartbeat, without quarantine updates.
func (c *control) buildHeartbeat(now time.Time) api.Heartbeat {
	version := c.adopter.Version()
	heartbeat := api.Heartbeat{
		From: c.server.settings.Name, Incarnation: c.server.config.Incarnation,
		PeerAddress: c.server.settings.PeerAddress, Address: c.server.settings.Address,
		DataCentre: c.server.settings.DataCentre, Stopping: c.stopping, Ready: c.adopter.IsReady(), CutOff: c.isCutOff,
		Revision: version.Revision, Digest: validator.ShortenDigest(version.Digest), Notices: c.prober.TakeNotices(),
		ListDigest: validator.ShortenDigest(c.lister.Digest()), ListAge: c.lister.ConfirmationAge(now),
	}
	for _, k := range c.keepers {
		if !k.LastReportAt().IsZero() {
			heartbeat.Loads = append(heartbeat.Loads, loadEstimateToWire(k.EstimateLoad(now)))
		}
	}
	return heartbeat
}

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
	// maxAnswerBytes bounds the answers kept for calls that run at most once.
	maxAnswerBytes = 8 << 20
	// tickTime is the period of the control goroutine's own clock.
	tickTime = 100 * time.Millisecond
	// wokeAfter is a gap between ticks that means this process was paused.
	wokeAfter = time.Second
	// orderRetry is how long an order to an engine is awaited.
	orderRetry = 30 * time.Second
	// loadInterval is the least time between loads from the weight store.
	loadInterval = 500 * time.Millisecond
)

// listSlack is added to the length of a watch before a list that the platform
// did not confirm counts as old.
const listSlack = 2 * time.Second

// largeDocument is the size from which memory is given back after parsing.
const largeDocument = 64 << 10

// parsePercent is the growth of the heap between collections while a large
// document is parsed.
const parsePercent = 20

// sourcePlatform names the platform among the sources of documents.
const sourcePlatform = "platform"

// control is all control state. Only the control goroutine touches it.
type control struct {
	server   *Server
	adopter  *adopter.Adopter
	prober   *prober.Prober
	drainer  *drainer.Drainer
	admitter *admitter.Admitter
	spender  *spender.Spender
	planner  *planner.Planner
	// keepers are of the engines that this entry keeps, by engine name.
	keepers map[string]*keeper.Keeper
	// steps are what the planner last decided, by engine name.
	steps map[string]planner.Step
	// instances is the newest list, by name; lister decides which that is.
	instances map[string]api.Instance
	lister    *lister.Lister
	// loads outlive boards, by engine name.
	loads map[string]*router.Load
	// holds are this entry's holds on engines, by engine name and hold id.
	holds    map[string]map[string]*holding
	stopping bool
	lastTick time.Time
	// wokeAt is when this process last ran again after a pause.
	wokeAt time.Time
	// dirty says that the view is out of date.
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
			Name: s.settings.Name, Incarnation: s.config.Incarnation, Life: s.settings.Callers.TicketLife,
			MaxAnswerBytes: maxAnswerBytes, Secret: secret,
		}),
		planner:   planner.New(planner.Config{Keeper: s.settings.Name, Settle: t.Lease, Retry: orderRetry, LoadInterval: loadInterval}),
		keepers:   map[string]*keeper.Keeper{},
		steps:     map[string]planner.Step{},
		instances: map[string]api.Instance{},
		lister:    lister.New(t.Watch + listSlack),
		loads:     map[string]*router.Load{},
		holds:     map[string]map[string]*holding{},
		lastTick:  now,
	}
}

// do runs a command on the control goroutine and waits for it. After the
// control goroutine has ended it does nothing.
func (s *Server) do(command func(*control)) { s.control.Do(command) }

// publishDirty makes a new view where something changed.
func (c *control) publishDirty() {
	if c.dirty {
		c.publish()
	}
}

func (c *control) tick(now time.Time) {
	if now.Sub(c.lastTick) > wokeAfter {
		c.server.logs.entry.Warn("woke", zap.Duration("paused", now.Sub(c.lastTick)))
		c.wokeAt = now
		c.prober.ResetSilence(now)
	}
	c.lastTick = now
	c.changed(c.prober.Tick(now))
	c.server.logQuarantined(now, c.server.quarantine.Evaluate(now), "own")
	c.server.metrics.inFlight.Update(float64(c.admitter.InFlight()))
}

// justWoke reports whether this process was paused and ran again no longer ago
// than the slack that requests have past their limit.
func (c *control) justWoke(now time.Time) bool {
	return now.Sub(c.lastTick) > wokeAfter || now.Sub(c.wokeAt) < deadlineSlack
}

// changed logs changes of members and has the view made anew.
func (c *control) changed(changes []prober.Change) {
	for _, change := range changes {
		c.server.logs.members.Info("member", zap.String("name", change.Name), zap.String("from", string(change.From)),
			zap.String("to", string(change.To)), zap.String("reason", change.Reason))
		c.dirty = true
	}
}

// offer considers a document that was parsed, and logs what became of it.
func (c *control) offer(now time.Time, digest string, offered *validator.Accepted, err error, source string) {
	before := c.adopter.Version()
	result := c.adopter.Parsed(now, digest, offered, err)
	c.server.asserter.Check(!c.adopter.Version().Less(before), asserter.RevisionWentBack, "revision %d after %d", c.adopter.Version().Revision, before.Revision)
	fields := []zap.Field{
		zap.String("verdict", result.Verdict.String()), zap.Uint64("revision", result.Version.Revision),
		zap.String("digest", result.Version.Digest), zap.String("source", source),
	}
	if result.Loser != "" {
		fields = append(fields, zap.String("loser", result.Loser))
	}
	switch {
	case result.Err != nil:
		c.server.logs.document.Error("document", append(fields, zap.Error(result.Err))...)
	case result.Verdict == adopter.Adopted, result.Verdict == adopter.Superseded:
		c.server.logs.document.Info("document", fields...)
	default:
		c.server.logs.document.Debug("document", fields...)
	}
	if result.Verdict == adopter.Adopted {
		c.server.metrics.revision.Update(float64(result.Version.Revision))
		c.dirty = true
	}
}

// consider takes in a document's bytes. It is parsed on the goroutine that
// read it: a large one takes longer than control may stand still.
// One document is parsed at a time, since platform and peers often bring the
// same one at once.
func (s *Server) consider(data []byte, source string) {
	s.parsing <- struct{}{}
	defer func() { <-s.parsing }()
	digest := validator.Digest(data)
	seen := false
	s.do(func(c *control) { _, seen = c.adopter.Seen(digest) })
	if seen {
		return
	}
	if len(data) >= largeDocument {
		// Parsing leaves many times the document's size behind, which an
		// entry on a small instance can't keep until the next collection.
		defer debug.FreeOSMemory()
		defer debug.SetGCPercent(debug.SetGCPercent(parsePercent))
	}
	offered, err := validator.Parse(data)
	if err == nil && len(s.sealKeys) > 0 {
		err = sealer.Verify(data, s.sealKeys)
	}
	s.do(func(c *control) { c.offer(time.Now(), digest, offered, err, source) })
}

// asked notes that a source of documents was asked.
func (c *control) asked(source string) {
	was := c.adopter.Ready()
	c.adopter.Asked(source)
	if c.adopter.Ready() != was {
		c.dirty = true
	}
}

// heard takes in a heartbeat.
func (c *control) heard(now time.Time, beat api.Heartbeat) {
	before, known := c.prober.Find(beat.From)
	c.changed(c.prober.ReceiveHeartbeat(now, beat))
	after, _ := c.prober.Find(beat.From)
	if !known || before.Ready != after.Ready || before.Incarnation != after.Incarnation {
		c.dirty = true
	}
	for _, n := range beat.Notices {
		if n.Kind != api.KindEntry && n.State == api.NoticeLeaving && c.drainer.MarkLeaving(n.Name, n.Incarnation) {
			c.leaving(n.Name, drainer.FromPeer)
		}
	}
	for _, l := range beat.Loads {
		c.digest(now, l)
	}
}

// digest takes over what a keeper says of an engine.
func (c *control) digest(now time.Time, l api.LoadDigest) {
	c.load(l.Engine).Heard(now, queueOf(l.QueuedTokens), l.FreeTokens)
	c.incarnation(l.Engine, l.Incarnation)
	if l.Leaving && c.drainer.MarkLeaving(l.Engine, l.Incarnation) {
		c.leaving(l.Engine, drainer.FromPeer)
	}
}

// incarnation takes in an engine's incarnation; a new one may be used again.
func (c *control) incarnation(engine string, incarnation uint64) {
	before := c.drainer.IsUsable(engine)
	c.drainer.ObserveIncarnation(engine, incarnation)
	if c.drainer.IsUsable(engine) != before {
		c.dirty = true
	}
}

// leaving logs and passes on that an upstream began to leave.
func (c *control) leaving(name string, source drainer.Source) {
	c.server.logs.keep.Info("upstream_leaving", zap.String("name", name), zap.String("source", string(source)))
	kind := api.KindEngine
	if i, ok := c.instances[name]; ok {
		kind = i.Kind
	}
	n := api.Notice{Kind: kind, Name: name, Incarnation: c.drainer.LatestIncarnation(name), State: api.NoticeLeaving}
	c.prober.ReceiveNotice(time.Now(), n)
	c.dirty = true
}

// offerList considers an instance list; data is nil where the platform had no
// news. Age is how long ago the platform confirmed the list.
func (c *control) offerList(now time.Time, data []byte, age time.Duration) {
	if !c.lister.Offer(now, data, age) {
		return
	}
	var list api.InstanceList
	if err := json.Unmarshal(data, &list); err != nil {
		c.server.logs.entry.Error("instances", zap.Error(err))
		return
	}
	c.list(now, list)
}

// list takes over an instance list.
func (c *control) list(now time.Time, list api.InstanceList) {
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
		c.leaving(name, drainer.FromList)
	}
	c.dirty = true
}

func (c *control) load(engine string) *router.Load {
	l, ok := c.loads[engine]
	if !ok {
		l = &router.Load{}
		c.loads[engine] = l
	}
	return l
}

// heartbeat is what this entry says of itself.
func (c *control) heartbeat(now time.Time) api.Heartbeat {
	v := c.adopter.Version()
	beat := api.Heartbeat{
		From: c.server.settings.Name, Incarnation: c.server.config.Incarnation,
		PeerAddress: c.server.settings.PeerAddress, Address: c.server.settings.Address,
		DataCentre: c.server.settings.DataCentre, Stopping: c.stopping, Ready: c.adopter.Ready(),
		Revision: v.Revision, Digest: validator.Shorten(v.Digest), Notices: c.prober.NextNotices(),
		ListDigest: validator.Shorten(c.lister.Digest()), ListAge: c.lister.Age(now),
	}
	for _, k := range c.keepers {
		if !k.Heard().IsZero() {
			beat.Loads = append(beat.Loads, wireDigest(k.Digest(now)))
		}
	}
	return beat
}

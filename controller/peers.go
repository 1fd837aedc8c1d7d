package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/prober"
)

const (
	// rpcName is the net/rpc service name of PeerService.
	rpcName = "Peer"
	// heartbeatTimeout is the timeout of a heartbeat and its reply: two heartbeat periods.
	heartbeatTimeout = 400 * time.Millisecond
	// maxContacts is the maximum number of contacts in a reply to an entry that knows
	// fewer entries than the sender, minContacts the maximum in any other heartbeat. The
	// latter is not 0 because two entries may know equally many, but different, entries,
	// and because what contacts say of other entries changes.
	maxContacts = 64
	minContacts = 2
	// inheritedFetchPeriod is the least time between two fetches of what others know from earlier epochs
	// of the store.
	inheritedFetchPeriod = 500 * time.Millisecond
	// maxImmediateHeartbeats is the maximum number of heartbeats that an entry sends outside
	// the period after the store's state changed or its own shutdown began. The remaining
	// entries receive the change with the periodic heartbeats.
	maxImmediateHeartbeats = 16
	// maxServedHeartbeats is the maximum number of heartbeats that wait to be processed or are. Further ones fail.
	maxServedHeartbeats = 128
)

// servedLimits limits the calls of other entries: the largest are those for tunnels, heartbeats with all notices and
// requests for loans, with tens of kilobytes each. A contact of a heartbeat takes up to thirty times its bytes.
var servedLimits = connector.FrameLimits{FrameBytes: 256 << 10, FreeBytes: 4 << 10, Copies: 24}

// errBusy is the error that peers receive for a heartbeat while maxServedHeartbeats are being processed.
var errBusy = errors.New("this entry processes too many heartbeats")

// Contact is what the sender of a heartbeat knows of another entry that it believes to be
// running, as encoded in heartbeats.
type Contact struct {
	Name        string
	Incarnation uint64
	// At Callers the entry accepts callers, at Peers heartbeats and fetches.
	Callers, Peers netip.AddrPort
	DataCentre     string
	// Ready, Speed, Strained and CutOff are those of the entry's own heartbeats. Age is the time
	// since the entry sent them.
	Ready    bool
	Speed    float64
	Strained bool
	CutOff   bool
	Age      time.Duration
}

// Beat is the heartbeat that entries send to each other, and the reply to it.
type Beat struct {
	api.Heartbeat
	// Contacts lists some of the other entries that the sender believes to be running.
	// Knows is the number of all that it believes to be running.
	Contacts []Contact
	Knows    int
	// Known is true if the sender has the store's complete state and the store has
	// confirmed it as current. Epoch and StoreRevision are the position in the store's history up
	// to which the sender has all changes, StateFingerprint is follower.Fingerprint of the state,
	// InheritedFingerprint that of what it knows from earlier epochs, ConfigVersion the operator's
	// version of the configuration, and Confirmed the time since the last confirmation.
	Known                                  bool
	Epoch, StoreRevision, ConfigVersion    int64
	StateFingerprint, InheritedFingerprint uint64
	Confirmed                              time.Duration
	// KnownAs is, in a reply, the highest incarnation of the entry that it answers that the sender knows; 0 in
	// any other heartbeat.
	KnownAs uint64
	// Disturbed is how long ago a call to the store last failed, at the sender or
	// at an entry that reported a failure to it; negative if no failure is known.
	Disturbed time.Duration
	// Speed is the processor capacity of the sender in cores; 0 if unknown.
	// Strained is true if the sender is overloaded: its timers fire late.
	Speed    float64
	Strained bool
	// Fleet is what the sender remembers of the size of the fleet.
	Fleet FleetSize
}

// errStopped is the error that peers receive for a heartbeat to an entry whose control goroutine
// has ended while its connections are still open.
var errStopped = errors.New("this entry has stopped")

// PeerService serves the net/rpc calls Beat and Fetch of other entries.
type PeerService struct{ controller *Controller }

// Beat processes the heartbeat of another entry and replies with one of this entry. It
// returns an error after Run has ended, and while maxServedHeartbeats are being processed. It is called over net/rpc.
func (p *PeerService) Beat(beat Beat, reply *Beat) error {
	select {
	case p.controller.heartbeatSlots <- struct{}{}:
		defer func() { <-p.controller.heartbeatSlots }()
	default:
		return errBusy
	}
	p.controller.receiveHeartbeat(beat)
	p.controller.do(func(s *state) {
		limit := minContacts
		if beat.Knows < s.upCount {
			limit = maxContacts
		}
		now := time.Now()
		*reply = s.heartbeat(now, limit)
		if known, ok := s.prober.Find(beat.From); ok {
			reply.KnownAs = known.Incarnation
		}
		reply.Quarantine = s.controller.config.Quarantine.TakeReplyUpdate(now, beat.Quarantine)
		reply.Parts = s.controller.config.Isolator.TakeReplyUpdate(now, beat.Parts)
	})
	if reply.From == "" {
		return errStopped
	}
	return nil
}

// servePeers serves the calls of other entries, those for tunnels too, until the listener is closed.
func (c *Controller) servePeers(listener net.Listener) {
	calls := rpc.NewServer()
	if err := calls.RegisterName(rpcName, &PeerService{controller: c}); err != nil {
		c.config.Log.Error("serve_peers", zap.Error(err))
		return
	}
	if err := c.config.Tunneler.Register(calls); err != nil {
		c.config.Log.Error("serve_peers", zap.Error(err))
		return
	}
	for {
		connection, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			c.config.Log.Warn("accept_peer", zap.Error(err))
			time.Sleep(tickPeriod)
			continue
		}
		go calls.ServeConn(connector.NewServedConn(connection, c.config.Account, servedLimits))
	}
}

// sendHeartbeats sends heartbeats when it starts, then each heartbeatPeriod and after
// requestHeartbeats, until the context ends.
func (c *Controller) sendHeartbeats(ctx context.Context) {
	tick := time.NewTicker(heartbeatPeriod)
	defer tick.Stop()
	c.exchangeHeartbeats(false)
	for {
		all := false
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-c.heartbeatRequests:
			all = true
		}
		c.exchangeHeartbeats(all)
	}
}

// exchangeHeartbeats sends a heartbeat to each address that heartbeatTargets(now, all) returns.
// It does not wait for the replies, which are processed as they arrive.
func (c *Controller) exchangeHeartbeats(all bool) {
	var targets []netip.AddrPort
	var beat Beat
	c.do(func(s *state) {
		now := time.Now()
		targets = s.heartbeatTargets(now, all)
		beat = s.heartbeat(now, minContacts)
		beat.Quarantine = c.config.Quarantine.TakeHeartbeatUpdate(now)
		beat.Parts = c.config.Isolator.TakeHeartbeatUpdate(now)
	})
	for _, address := range targets {
		go func() {
			var reply Beat
			err := c.heartbeatPool.Call(address, rpcName+".Beat", beat, &reply, heartbeatTimeout)
			if err != nil {
				c.config.Log.Debug("beat_failed", zap.Stringer("peer", address), zap.Error(err))
				return
			}
			c.receiveHeartbeat(reply)
		}()
	}
}

// heartbeatTargets returns the addresses to send a heartbeat to. If all is true, they are those of
// up to maxImmediateHeartbeats entries that are up or stopping, chosen at random. Otherwise they are those
// that the prober selects for this round, and the seeds that are not the address of a live or
// stopping entry.
func (s *state) heartbeatTargets(now time.Time, all bool) []netip.AddrPort {
	live := map[netip.AddrPort]bool{s.controller.config.PeerAddress: true}
	var out []netip.AddrPort
	for m := range s.prober.All() {
		if m.State == prober.Live || m.State == prober.Stopping {
			live[m.PeerAddress] = true
		}
		if all && (m.IsUp() || m.State == prober.Stopping) {
			out = append(out, m.PeerAddress)
		}
	}
	if all {
		rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		return out[:min(len(out), maxImmediateHeartbeats)]
	}
	for _, m := range s.prober.NextHeartbeatTargets(now) {
		out = append(out, m.PeerAddress)
		live[m.PeerAddress] = true
	}
	for _, address := range s.seeds {
		if !live[address] {
			out = append(out, address)
		}
	}
	return out
}

// heartbeat returns a heartbeat of this entry that lists at most limit contacts, without Quarantine.
// It takes the notices in it from the prober, so the heartbeat must be sent.
func (s *state) heartbeat(now time.Time, limit int) Beat {
	c := s.controller.config
	_, config := s.follower.Config()
	position := s.follower.Position()
	age, ok := s.follower.ConfirmationAge(now)
	b := Beat{
		Heartbeat: api.Heartbeat{
			From: c.Name, Incarnation: s.incarnation, PeerAddress: c.PeerAddress, Address: c.CallerAddress, DataCentre: c.DataCentre,
			Stopping: s.stopping, Ready: s.table != nil, CutOff: s.isCutOff, Revision: uint64(config.Revision), Notices: s.prober.TakeNotices(),
		},
		Knows: s.upCount, Known: ok && s.follower.HasState(), Epoch: position.Epoch, StoreRevision: position.Revision, StateFingerprint: s.follower.Fingerprint(), InheritedFingerprint: s.follower.InheritedFingerprint(), ConfigVersion: config.Version, Confirmed: age,
		Disturbed: s.storeFailureAge(now), Speed: c.Speed, Strained: s.lagMeter.overloaded, Fleet: s.reportedFleetSize(now),
	}
	for m := range s.prober.Random(rand.IntN) {
		if len(b.Contacts) == limit {
			break
		}
		if known, ok := s.capacities[m.Name]; ok && m.IsUp() {
			b.Contacts = append(b.Contacts, Contact{
				Name: m.Name, Incarnation: m.Incarnation, Callers: m.Address, Peers: m.PeerAddress, DataCentre: m.DataCentre,
				Ready: m.Ready, Speed: known.speed, Strained: known.overloaded, CutOff: known.cutOff, Age: now.Sub(known.reportedAt),
			})
		}
	}
	return b
}

// receiveHeartbeat processes a heartbeat or the reply to one. It starts a fetch if the sender has
// a newer state of the store than this entry, or this entry has none, and fewer than maxFetches
// are in progress. If both have the same state, it adopts the sender's confirmation.
func (c *Controller) receiveHeartbeat(b Beat) {
	fetch := false
	var have FetchArgs
	c.do(func(s *state) {
		now := time.Now()
		s.raiseIncarnation(b)
		s.applyHeartbeat(now, b)
		s.recordStoreFailure(now, b.Disturbed)
		s.logQuarantined(now, c.config.Quarantine.ApplyUpdate(now, b.Quarantine), b.From)
		c.config.Isolator.ApplyUpdate(now, b.Parts, b.From)
		position := s.follower.Position()
		_, config := s.follower.Config()
		have = FetchArgs{Epoch: position.Epoch, Have: position.Revision, HaveConfig: config.Revision, HaveConfigEpoch: config.Epoch, HaveConfigVersion: config.Version}
		lacksInherited := s.lacksInherited(now, b)
		fetch = b.Known && (s.isBehind(b) || !s.follower.HasState() || lacksInherited) && s.fetching < maxFetches
		if fetch {
			s.fetching++
		}
		if fetch && lacksInherited {
			s.inheritedFetchedAt = now
		}
		if b.Known && b.Epoch == position.Epoch && b.StateFingerprint == s.follower.Fingerprint() {
			s.follower.Confirm(now.Add(-b.Confirmed))
		}
	})
	if fetch {
		go c.fetchState(b.PeerAddress, b.From, have)
	}
}

// maxIncarnationRaises is the maximum number of times that an entry raises its incarnation. Without a limit, two
// processes with one name would do so in turn.
const maxIncarnationRaises = 3

// raiseIncarnation raises this entry's incarnation above the one that the sender of a reply knows it by, if that is
// greater. The sender ignores the heartbeats of this process otherwise: incarnations are taken from the clock at
// the start, which was ahead when an earlier process started.
func (s *state) raiseIncarnation(b Beat) {
	if b.KnownAs <= s.incarnation || s.incarnationRaises == maxIncarnationRaises {
		return
	}
	s.incarnationRaises++
	s.controller.config.Log.Warn("incarnation_raised", zap.Uint64("incarnation", s.incarnation), zap.Uint64("known", b.KnownAs), zap.String("source", b.From))
	s.incarnation, s.dirty = b.KnownAs+1, true
	s.controller.requestFullLoad()
}

// isBehind reports whether the sender of a heartbeat has a newer state of the store than this entry. In one
// epoch it may have a newer configuration without a later position: one of an earlier epoch, which the store
// has lost.
func (s *state) isBehind(b Beat) bool {
	position := s.follower.Position()
	if b.Epoch != position.Epoch {
		return b.Epoch > position.Epoch
	}
	_, config := s.follower.Config()
	return b.StateFingerprint != s.follower.Fingerprint() && (b.StoreRevision > position.Revision || b.ConfigVersion > config.Version)
}

// lacksInherited reports whether the sender of a heartbeat, in the same epoch, may know more of earlier
// ones than this entry, and the last fetch for that reason is long enough ago. An entry that knows less
// has another fingerprint too, so the fetch may bring nothing new.
func (s *state) lacksInherited(now time.Time, b Beat) bool {
	return b.Epoch == s.follower.Position().Epoch && b.InheritedFingerprint != 0 && b.InheritedFingerprint != s.follower.InheritedFingerprint() &&
		now.Sub(s.inheritedFetchedAt) >= inheritedFetchPeriod
}

// applyHeartbeat updates the prober and the sender's capacity from a heartbeat, and those of the
// entries in its contacts, and sets dirty if that changes what is published of other entries.
func (s *state) applyHeartbeat(now time.Time, b Beat) {
	s.hearsOthers = true
	s.recordUpCount(now, b.Knows)
	s.applyFleetSize(now, b.Fleet)
	before, wasKnown := s.prober.Find(b.From)
	s.applyMemberChanges(s.prober.ReceiveHeartbeat(now, b.Heartbeat))
	after, _ := s.prober.Find(b.From)
	s.applyCapacity(b.From, reportedCapacity{capacity{speed: b.Speed, overloaded: b.Strained, cutOff: b.CutOff}, now})
	if !wasKnown || before.Ready != after.Ready || before.Incarnation != after.Incarnation || before.Address != after.Address {
		s.dirty = true
	}
	for _, k := range b.Contacts[:min(len(b.Contacts), maxContacts)] {
		s.applyContact(now, k)
	}
}

// applyContact updates the prober and the capacity of another entry from a contact. Contacts of
// this entry are ignored.
func (s *state) applyContact(now time.Time, k Contact) {
	if k.Name == s.controller.config.Name {
		return
	}
	before, wasKnown := s.prober.Find(k.Name)
	s.applyMemberChanges(s.prober.ReceiveReport(now, prober.Report{
		Name: k.Name, Incarnation: k.Incarnation, Address: k.Callers, PeerAddress: k.Peers, DataCentre: k.DataCentre, Ready: k.Ready,
	}))
	after, _ := s.prober.Find(k.Name)
	s.applyCapacity(k.Name, reportedCapacity{capacity{speed: k.Speed, overloaded: k.Strained, cutOff: k.CutOff}, now.Add(-k.Age)})
	if !wasKnown || before.Ready != after.Ready || before.Incarnation != after.Incarnation {
		s.dirty = true
	}
}

// reportedCapacity is the capacity of another entry and when the entry reported it.
type reportedCapacity struct {
	capacity
	reportedAt time.Time
}

// applyCapacity records the capacity of another entry unless that is no member or the capacity is older than the one
// recorded.
func (s *state) applyCapacity(name string, reported reportedCapacity) {
	if _, ok := s.prober.Find(name); !ok {
		return
	}
	known, ok := s.capacities[name]
	if ok && known.reportedAt.After(reported.reportedAt) {
		return
	}
	s.capacities[name] = reported
	if known.capacity != reported.capacity {
		s.dirty = true
	}
}

package controller

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/forwarder"
	"github.com/sapphireramp/sapphireramp/isolator"
	"github.com/sapphireramp/sapphireramp/prober"
	"github.com/sapphireramp/sapphireramp/quarantiner"
	"github.com/sapphireramp/sapphireramp/tunneler"
)

// view is a snapshot of the control state, from which requests are served. It is immutable once
// published.
type view struct {
	forwarder.View
	// incarnation is this entry's incarnation, with which it sends heartbeats and load updates.
	incarnation uint64
	// ready is true if this entry accepts callers.
	ready bool
	// callerEntries are the entries whose addresses callers are given.
	callerEntries []readyEntry
	peers         []peer
	// allPaths are the paths of load updates to all peers, placingPaths those to the peers
	// whose field placing is true.
	allPaths, placingPaths loadPaths
}

// peer is another entry that load updates are sent to.
type peer struct {
	name        string
	incarnation uint64
	// address receives heartbeats, loadAddress receives load updates.
	address     netip.AddrPort
	loadAddress netip.AddrPort
	dataCentre  string
	// dead is true for a peer that was declared dead within deadUpdateTime. It is still
	// sent load updates, but countLive omits it. stopping is true for a peer that has
	// announced its shutdown.
	dead, stopping bool
	// placing is false if callers are not given the peer's address and the peer sent no
	// load update within placingTime, so that it probably places no requests.
	placing bool
}

// publish replaces the current view with one of the present state, and passes the peers and the
// usable upstreams on to the dispatcher, the quarantiner and the metrics.
func (s *state) publish() {
	s.dirty, s.publishedAt = false, time.Now()
	c := s.controller
	_, config := s.follower.Config()
	v := &view{
		View: forwarder.View{
			Table: s.table, ConfigRevision: config.Revision, ConfirmedAt: s.follower.ConfirmedAt(), ConfirmationTTL: fractionOf(c.config.MaxPropagation, trustFraction),
			StoreUnavailable: s.storeLost, Stopping: s.stopping, StopBy: s.exitAt, AddressValidUntil: s.addressValidUntil,
		},
		incarnation: s.incarnation, ready: s.table != nil && !s.stopping,
	}
	if v.ready {
		v.callerEntries = append(v.callerEntries, readyEntry{name: c.config.Name, address: c.config.CallerAddress, peerAddress: c.config.PeerAddress, dataCentre: c.config.DataCentre, capacity: s.capacity()})
	}
	s.upCount = s.addMembers(v)
	s.updateFleetSize(s.publishedAt)
	v.RetryBudgetEntries = s.retryBudgetEntries(s.publishedAt)
	if before := c.current.Load().RetryBudgetEntries; v.RetryBudgetEntries != before {
		c.config.Log.Info("retry_budget_entries", zap.Int("entries", v.RetryBudgetEntries), zap.Int("before", before), zap.Int("up", s.upCount+1), zap.Bool("confirmed", s.fleet.isConfirmed))
	}
	ready := v.callerEntries
	v.OtherEntries = len(ready)
	if v.ready {
		v.OtherEntries--
	}
	v.callerEntries = s.callerEntries(ready)
	c.loadSenders.markPlacing(time.Now(), v.peers, withoutCallers(ready, v.callerEntries))
	v.allPaths, v.placingPaths = buildLoadPaths(c.config.DataCentre, v.peers, anyPeer), buildLoadPaths(c.config.DataCentre, v.peers, isPlacing)
	hasNewPeers := s.forgetRestarted(v.peers)
	c.config.Dispatcher.SetPeers(countLive(v.peers), s.isLoadIncomplete(s.upCount))
	c.config.Dispatcher.SetLostEntries(s.lostEntries(s.publishedAt))
	c.config.Dispatcher.SetPlacingEntries(c.config.Name, names(v.callerEntries))
	usable := s.follower.UsableInstances()
	if s.table != nil {
		s.confirmExits(c.config.Dispatcher.UpdateUpstreams(s.table, usable))
	}
	c.config.Quarantine.SetUpstreamCount(len(usable))
	c.config.Isolator.SetUpstreamCount(len(usable))
	c.config.Isolator.SetEntries(names(v.callerEntries))
	c.config.Tunneler.SetUpstreams(tunnelUpstreams(usable))
	c.metrics.configRevision.Update(float64(config.Revision))
	c.metrics.storeEpoch.Update(float64(s.follower.Position().Epoch))
	c.metrics.members.Update(float64(s.upCount))
	c.metrics.upstreams.Update(float64(len(usable)))
	c.metrics.evacuated.Update(float64(len(s.follower.EvacuatedDataCentres())))
	c.current.Store(v)
	if hasNewPeers {
		// The request comes after Store because sendAllToNewPeers reads the peers of the view.
		c.requestFullLoad()
	}
}

// lostEntries returns the names of the entries that have fallen silent within fleetSizeTTL without having announced
// their shutdown, and drops earlier ones.
func (s *state) lostEntries(now time.Time) []string {
	maps.DeleteFunc(s.lostAt, func(_ string, at time.Time) bool { return now.Sub(at) > fleetSizeTTL })
	return slices.Collect(maps.Keys(s.lostAt))
}

// confirmExits reports incarnations of upstreams that were replaced by others to the quarantiner and the isolator:
// responses of theirs that broke off shortly before were broken off by a crash.
func (s *state) confirmExits(replaced []dispatcher.Instance) {
	for _, i := range replaced {
		for _, crash := range s.controller.config.Quarantine.ConfirmExit(time.Now(), quarantiner.IncarnationHash(i.IncarnationID())) {
			s.controller.config.Log.Warn("upstream_ended", zap.Stringer("content", crash.Fingerprint), zap.String("upstream", i.ID),
				zap.Stringer("address", i.Address), zap.Duration("ran_ms", crash.Ended.Sub(crash.LastSent)))
		}
		crashes := s.controller.config.Isolator.ConfirmExit(time.Now(), quarantiner.IncarnationHash(i.IncarnationID()))
		for _, crash := range crashes {
			s.controller.config.Log.Warn("upstream_ended", zap.String("upstream", i.ID), zap.Stringer("address", i.Address),
				zap.Duration("ran_ms", crash.Ended.Sub(crash.Sent)), zap.String("parts", isolator.JoinParts(crash.Parts)))
		}
		if len(crashes) > 0 {
			s.controller.SpreadCrash()
		}
	}
}

// addMembers adds the other entries to a view: those that accept callers to callerEntries, and all
// but those that died more than deadUpdateTime ago to peers. It returns the number of entries that
// are up or stopping.
func (s *state) addMembers(v *view) int {
	c, live := s.controller, 0
	v.peers = make([]peer, 0, s.prober.Count())
	for m := range s.prober.All() {
		// Entries whose readiness other entries reported are included even if this entry has
		// received no heartbeat from them.
		if m.Ready && m.Address.IsValid() && (m.State == prober.Live || m.State == prober.Listed) {
			v.callerEntries = append(v.callerEntries, readyEntry{name: m.Name, address: m.Address, peerAddress: m.PeerAddress, dataCentre: m.DataCentre, capacity: s.capacities[m.Name].capacity})
		}
		if m.IsUp() || m.State == prober.Stopping {
			live++
		}
		// Peers without a heartbeat so far receive load updates too: in a fleet of a hundred
		// a new entry takes ten seconds to get heartbeats from most others. So do peers that
		// died recently: most restart at once, seconds before all others detect it.
		dead := m.State == prober.Dead
		if m.PeerAddress.IsValid() && (!dead || time.Since(s.diedAt[m.Name]) < deadUpdateTime) {
			v.peers = append(v.peers, peer{
				name: m.Name, incarnation: m.Incarnation, address: m.PeerAddress, dataCentre: m.DataCentre, dead: dead, stopping: m.State == prober.Stopping,
				loadAddress: netip.AddrPortFrom(m.PeerAddress.Addr(), c.config.LoadAddress.Port()),
			})
		}
	}
	return live
}

// forgetRestarted makes the dispatcher drop the load of earlier incarnations of restarted entries.
// It reports whether any peer is new or restarted, so that this entry's full load has to be sent to
// it. Otherwise a restarted entry would have no load of others for up to fullUpdatePeriod, and would
// place long prompts on the engines with the most responses in progress.
func (s *state) forgetRestarted(peers []peer) bool {
	c := s.controller
	before := incarnations(c.current.Load().peers)
	hasNewPeers := false
	for _, p := range peers {
		known, ok := before[p.name]
		if ok && known < p.incarnation {
			c.config.Dispatcher.ForgetPeer(time.Now(), incarnationToken(p.name, known))
		}
		hasNewPeers = hasNewPeers || !ok || known != p.incarnation
	}
	return hasNewPeers
}

// tunnelUpstreams returns what the tunneler needs to know of upstreams, in the same order.
func tunnelUpstreams(instances []dispatcher.Instance) []tunneler.Upstream {
	out := make([]tunneler.Upstream, len(instances))
	for i, instance := range instances {
		out[i] = tunneler.Upstream{Address: instance.Address, DataCentre: instance.DataCentre}
	}
	return out
}

// names returns the names of entries, in the same order.
func names(entries []readyEntry) []string {
	out := make([]string, len(entries))
	for i, e := range entries {
		out[i] = e.name
	}
	return out
}

// countLive returns the number of peers that are not dead.
func countLive(peers []peer) int {
	n := 0
	for _, p := range peers {
		if !p.dead {
			n++
		}
	}
	return n
}

// incarnations returns the incarnation of each peer, by name.
func incarnations(peers []peer) map[string]uint64 {
	out := make(map[string]uint64, len(peers))
	for _, p := range peers {
		out[p.name] = p.incarnation
	}
	return out
}

// isLoadIncomplete reports whether this entry may lack the load of other entries: it started less
// than startupTime ago, or no other entry is up although there is more than one seed, one of which
// may be its own address. Live is the number of other entries that are up or stopping.
func (s *state) isLoadIncomplete(live int) bool {
	if live == 0 {
		return len(s.seeds) > 1
	}
	return time.Since(s.started) < startupTime
}

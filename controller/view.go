package controller

import (
	"net/netip"
	"time"

	"github.com/sapphireramp/sapphireramp/forwarder"
	"github.com/sapphireramp/sapphireramp/prober"
)

// view is what the control goroutine publishes. It is never changed.
type view struct {
	forwarder.View
	ready bool
	// callerEntries are the entries that callers are told.
	callerEntries []readyEntry
	peers         []peer
	// allPaths lead to all peers, placing to those that place requests.
	allPaths, placingPaths loadPaths
}

type peer struct {
	name        string
	incarnation uint64
	address     netip.AddrPort
	loadAddress netip.AddrPort
	dataCentre  string
	// dead entries are told of load, but count as no peers.
	dead, stopping bool
	// placing is false of entries that take no callers now, as far as is known here.
	placing bool
}

// publish makes a view of the state.
func (s *state) publish() {
	s.dirty = false
	c := s.controller
	_, configRevision := s.follower.Config()
	v := &view{
		View: forwarder.View{
			Table: s.table, ConfigRevision: configRevision, ConfirmedAt: s.follower.ConfirmedAt(), ConfirmationTTL: fractionOf(c.config.MaxPropagation, trustFraction),
			StoreUnavailable: s.storeLost, MaxEntries: max(len(s.contacts)+1, 2*len(s.seeds)), Stopping: s.stopping, StopBy: s.exitAt, AddressValidUntil: s.addressValidUntil,
		},
		ready: s.table != nil && !s.stopping,
	}
	if v.ready {
		v.callerEntries = append(v.callerEntries, readyEntry{name: c.config.Name, address: c.config.CallerAddress, dataCentre: c.config.DataCentre, capacity: s.capacity()})
	}
	live := s.addMembers(v)
	ready := v.callerEntries
	v.OtherEntries = len(ready)
	if v.ready {
		v.OtherEntries--
	}
	v.callerEntries = preferredEntries(ready)
	c.loadSenders.markPlacing(time.Now(), v.peers, withoutCallers(ready, v.callerEntries))
	v.allPaths, v.placingPaths = buildLoadPaths(c.config.DataCentre, v.peers, anyPeer), buildLoadPaths(c.config.DataCentre, v.peers, isPlacing)
	hasNewPeers := s.forgetRestarted(v.peers)
	c.config.Dispatcher.SetPeers(countLive(v.peers), s.isBlind(live))
	usable := s.follower.UsableInstances()
	if s.table != nil {
		c.config.Dispatcher.Update(s.table, usable)
	}
	c.config.Quarantine.SetUpstreamCount(len(usable))
	c.metrics.revision.Update(float64(configRevision))
	c.metrics.members.Update(float64(live))
	c.metrics.upstreams.Update(float64(len(usable)))
	c.current.Store(v)
	if hasNewPeers {
		// Only now: who tells them looks for them in the view.
		c.requestFullLoad()
	}
}

// addMembers adds the other entries to a view, and returns how many of them were heard lately.
func (s *state) addMembers(v *view) int {
	c, live := s.controller, 0
	for _, m := range s.prober.Members() {
		// Others have told of those that are ready and were not heard here.
		if m.Ready && (m.State == prober.Live || m.State == prober.Listed) {
			v.callerEntries = append(v.callerEntries, readyEntry{name: m.Name, address: m.Address, dataCentre: m.DataCentre, capacity: s.capacities[m.Name]})
		}
		if m.State == prober.Live || m.State == prober.Stopping {
			live++
		}
		// One that was not heard yet is told of load too: in a fleet of a hundred it takes
		// ten seconds until an entry that has just started has heard most others itself. So
		// is one that died lately: most start again at once, seconds before all know.
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

// forgetRestarted forgets the load of entries that have started anew, and reports whether any
// are new here, which are then told of all of this one's. Otherwise a restarted entry would know nothing
// for up to shareAll of what others have placed, and put long prompts on the engines with most answers.
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

// countLive is how many of the peers are not dead.
func countLive(peers []peer) int {
	n := 0
	for _, p := range peers {
		if !p.dead {
			n++
		}
	}
	return n
}

// incarnations are those of peers, by name.
func incarnations(peers []peer) map[string]uint64 {
	out := make(map[string]uint64, len(peers))
	for _, p := range peers {
		out[p.name] = p.incarnation
	}
	return out
}

// isBlind reports whether this entry may not know what others place: it has
// just started, or hears nobody though there are others.
func (s *state) isBlind(live int) bool {
	if live == 0 {
		return len(s.seeds) > 1
	}
	return time.Since(s.started) < settleTime
}

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
	// takers are the entries that callers are told.
	takers []taker
	peers  []peer
	// paths lead to all peers, placing to those that place requests.
	paths, placing sharePaths
}

type peer struct {
	name        string
	incarnation uint64
	beats       netip.AddrPort
	shares      netip.AddrPort
	dataCentre  string
	// dead entries are told of load, but count as no peers.
	dead, stopping bool
	// places is false of entries that take no callers now, as far as is known here.
	places bool
}

// publish makes a view of the state.
func (s *state) publish() {
	s.dirty = false
	c := s.controller
	_, configRevision := s.follower.Config()
	v := &view{
		View: forwarder.View{
			Table: s.table, ConfigRevision: configRevision, ConfirmedAt: s.follower.ConfirmedAt(), ConfirmationTTL: part(c.config.MaxPropagation, trustPart),
			StoreUnavailable: s.storeLost, MaxEntries: max(len(s.contacts)+1, 2*len(s.seeds)), Stopping: s.stopping, StopBy: s.stopBy, AddressValidUntil: s.knownUntil,
		},
		ready: s.table != nil && !s.stopping,
	}
	if v.ready {
		v.takers = append(v.takers, taker{name: c.config.Name, address: c.config.CallerAddress, dataCentre: c.config.DataCentre, capacity: s.capacity()})
	}
	heard := s.addMembers(v)
	ready := v.takers
	v.OtherEntries = len(ready)
	if v.ready {
		v.OtherEntries--
	}
	v.takers = preferred(ready)
	c.tellers.spare(time.Now(), v.peers, unasked(ready, v.takers))
	v.paths, v.placing = pathsOf(c.config.DataCentre, v.peers, everyone), pathsOf(c.config.DataCentre, v.peers, places)
	met := s.noticeRestarts(v.peers)
	c.config.Dispatcher.SetPeers(living(v.peers), s.blind(heard))
	usable := s.follower.UsableInstances()
	if s.table != nil {
		c.config.Dispatcher.Update(s.table, usable)
	}
	c.config.Quarantine.SetUpstreamCount(len(usable))
	c.metrics.revision.Update(float64(configRevision))
	c.metrics.members.Update(float64(heard))
	c.metrics.upstream.Update(float64(len(usable)))
	c.current.Store(v)
	if met {
		// Only now: who tells them looks for them in the view.
		c.meet()
	}
}

// addMembers adds the other entries to a view, and returns how many of them were heard lately.
func (s *state) addMembers(v *view) int {
	c, heard := s.controller, 0
	for _, m := range s.prober.Members() {
		// Others have told of those that are ready and were not heard here.
		if m.Ready && (m.State == prober.Live || m.State == prober.Listed) {
			v.takers = append(v.takers, taker{name: m.Name, address: m.Address, dataCentre: m.DataCentre, capacity: s.capacities[m.Name]})
		}
		if m.State == prober.Live || m.State == prober.Stopping {
			heard++
		}
		// One that was not heard yet is told of load too: in a fleet of a hundred it takes
		// ten seconds until an entry that has just started has heard most others itself. So
		// is one that died lately: most start again at once, seconds before all know.
		dead := m.State == prober.Dead
		if m.PeerAddress.IsValid() && (!dead || time.Since(s.died[m.Name]) < deadTold) {
			v.peers = append(v.peers, peer{
				name: m.Name, incarnation: m.Incarnation, beats: m.PeerAddress, dataCentre: m.DataCentre, dead: dead, stopping: m.State == prober.Stopping,
				shares: netip.AddrPortFrom(m.PeerAddress.Addr(), c.config.LoadAddress.Port()),
			})
		}
	}
	return heard
}

// noticeRestarts forgets the load of entries that have started anew, and reports whether any
// are new here, which are then told of all of this one's. Otherwise a restarted entry would know nothing
// for up to shareAll of what others have placed, and put long prompts on the engines with most answers.
func (s *state) noticeRestarts(peers []peer) bool {
	c := s.controller
	before := incarnations(c.current.Load().peers)
	met := false
	for _, p := range peers {
		known, ok := before[p.name]
		if ok && known < p.incarnation {
			c.config.Dispatcher.ForgetPeer(time.Now(), runToken(p.name, known))
		}
		met = met || !ok || known != p.incarnation
	}
	return met
}

// living is how many of the peers are not dead.
func living(peers []peer) int {
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

// blind reports whether this entry may not know what others place: it has
// just started, or hears nobody though there are others.
func (s *state) blind(heard int) bool {
	if heard == 0 {
		return len(s.seeds) > 1
	}
	return time.Since(s.started) < acquaintTime
}

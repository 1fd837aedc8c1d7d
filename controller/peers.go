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
	// rpcName is the name of the service between entries.
	rpcName = "Peer"
	// heartbeatTimeout bounds a heartbeat: two periods.
	heartbeatTimeout = 400 * time.Millisecond
	// maxContacts is how many other entries a heartbeat names to one that
	// knows fewer, fewContacts to one that knows as many: the latter is there
	// for entries that each know others.
	maxContacts = 16
	minContacts = 1
	// maxImmediateHeartbeats is how many entries are told at once of a change; more learn
	// of it by the usual heartbeats.
	maxImmediateHeartbeats = 16
)

// contact is how another entry is reached.
type contact struct {
	name                       string
	callerAddress, peerAddress netip.AddrPort
	dataCentre                 string
}

// Contact is a contact on the wire.
type Contact struct {
	Name           string
	Callers, Peers netip.AddrPort
	DataCentre     string
}

// Beat is the heartbeat between entries, sent and answered.
type Beat struct {
	api.Heartbeat
	// Contacts are some of the entries that the sender knows, Knows is of how
	// many it knows.
	Contacts []Contact
	Knows    int
	// Known is true where the sender knows a state of the store; Content is
	// the revision of the newest change in it, Confirmed its age.
	Known     bool
	Content   int64
	Confirmed time.Duration
	// Disturbed is how long ago the store failed the sender or one that told it;
	// negative where it never did.
	Disturbed time.Duration
	// Speed is the sender's in processor cores, 0 where it does not know; Strained
	// senders have more to do than they can.
	Speed    float64
	Strained bool
}

// errStopped is the answer of an entry that has stopped and whose connections
// are not closed yet.
var errStopped = errors.New("this entry has stopped")

// PeerService is what one entry serves to others over net/rpc.
type PeerService struct{ controller *Controller }

// Beat takes in another entry's heartbeat and answers with this one's.
func (p *PeerService) Beat(beat Beat, reply *Beat) error {
	p.controller.receiveHeartbeat(beat)
	p.controller.do(func(s *state) {
		limit := minContacts
		if beat.Knows < len(s.contacts) {
			limit = maxContacts
		}
		now := time.Now()
		*reply = s.heartbeat(now, limit)
		reply.Quarantine = s.controller.config.Quarantine.ReplyUpdate(now, beat.Quarantine)
	})
	if reply.From == "" {
		return errStopped
	}
	return nil
}

func (c *Controller) servePeers(listener net.Listener) {
	calls := rpc.NewServer()
	if err := calls.RegisterName(rpcName, &PeerService{controller: c}); err != nil {
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
		go calls.ServeConn(connector.NewQueuedConn(connection))
	}
}

// sendHeartbeats sends heartbeats until the context ends.
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

// exchangeHeartbeats exchanges a heartbeat with each target, without waiting for answers.
func (c *Controller) exchangeHeartbeats(all bool) {
	var targets []netip.AddrPort
	var beat Beat
	c.do(func(s *state) {
		now := time.Now()
		targets = s.heartbeatTargets(now, all)
		beat = s.heartbeat(now, minContacts)
		beat.Quarantine = c.config.Quarantine.HeartbeatUpdate(now)
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

// heartbeatTargets are the peers to send a heartbeat: neighbours or, after a change,
// all that are live, and seeds at which no live entry is known.
func (s *state) heartbeatTargets(now time.Time, all bool) []netip.AddrPort {
	live := map[netip.AddrPort]bool{s.controller.config.PeerAddress: true}
	var out []netip.AddrPort
	for _, m := range s.prober.Members() {
		if m.State != prober.Live && m.State != prober.Stopping {
			continue
		}
		live[m.PeerAddress] = true
		if all {
			out = append(out, m.PeerAddress)
		}
	}
	if all {
		rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		return out[:min(len(out), maxImmediateHeartbeats)]
	}
	for _, m := range s.prober.BeginRound(now) {
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

// heartbeat is what this entry says of itself, and of some other entries.
func (s *state) heartbeat(now time.Time, limit int) Beat {
	c := s.controller.config
	_, revision := s.follower.Config()
	age, ok := s.follower.ConfirmationAge(now)
	b := Beat{
		Heartbeat: api.Heartbeat{
			From: c.Name, Incarnation: c.Incarnation, PeerAddress: c.PeerAddress, Address: c.CallerAddress, DataCentre: c.DataCentre,
			Stopping: s.stopping, Ready: s.table != nil, Revision: uint64(revision), Notices: s.prober.NextNotices(),
		},
		Knows: len(s.contacts), Known: ok && s.follower.HasState(), Content: s.follower.NewestRevision(), Confirmed: age,
		Disturbed: s.storeFailureAge(now), Speed: c.Speed, Strained: s.lagMeter.overloaded,
	}
	for _, k := range s.contacts {
		if len(b.Contacts) == limit {
			break // the order of a map is drawn anew each time
		}
		b.Contacts = append(b.Contacts, Contact{Name: k.name, Callers: k.callerAddress, Peers: k.peerAddress, DataCentre: k.dataCentre})
	}
	return b
}

// receiveHeartbeat takes in a heartbeat, and fetches what the sender has newer.
func (c *Controller) receiveHeartbeat(b Beat) {
	fetch := false
	var have FetchArgs
	c.do(func(s *state) {
		now := time.Now()
		s.applyHeartbeat(now, b)
		s.recordStoreFailure(now, b.Disturbed)
		s.logQuarantined(now, c.config.Quarantine.ApplyUpdate(now, b.Quarantine), b.From)
		have.Have = s.follower.Revision()
		_, have.HaveConfig = s.follower.Config()
		fetch = b.Known && (b.Content > s.follower.NewestRevision() || !s.follower.HasState()) && s.fetching < maxFetches
		if fetch {
			s.fetching++
		}
		if b.Known && b.Content == s.follower.NewestRevision() {
			s.follower.Confirm(now.Add(-b.Confirmed))
		}
	})
	if fetch {
		go c.fetchState(b.PeerAddress, b.From, have)
	}
}

func (s *state) applyHeartbeat(now time.Time, b Beat) {
	before, wasKnown := s.prober.Find(b.From)
	s.addContact(now, contact{name: b.From, callerAddress: b.Address, peerAddress: b.PeerAddress, dataCentre: b.DataCentre})
	for _, k := range b.Contacts {
		s.addContact(now, contact{name: k.Name, callerAddress: k.Callers, peerAddress: k.Peers, dataCentre: k.DataCentre})
	}
	s.applyMemberChanges(s.prober.ReceiveHeartbeat(now, b.Heartbeat))
	after, _ := s.prober.Find(b.From)
	reported := capacity{speed: b.Speed, overloaded: b.Strained}
	if s.capacities[b.From] != reported {
		s.capacities[b.From] = reported
		s.dirty = true
	}
	if !wasKnown || before.Ready != after.Ready || before.Incarnation != after.Incarnation || before.Address != after.Address {
		s.dirty = true
	}
}

// addContact notes how another entry is reached, where that is news.
func (s *state) addContact(now time.Time, added contact) {
	if added.name == s.controller.config.Name {
		return
	}
	if _, ok := s.contacts[added.name]; ok {
		return
	}
	s.contacts[added.name] = added
	s.dirty = true
	var list []api.Instance
	for _, added := range s.contacts {
		list = append(list, api.Instance{
			Name: added.name, Kind: api.KindEntry, Address: added.callerAddress.String(), PeerAddress: added.peerAddress.String(), DataCentre: added.dataCentre,
		})
	}
	s.prober.ApplyInstanceList(now, list)
}

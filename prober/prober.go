// Package prober maintains one entry's view of which other entries are alive. Each entry sends
// heartbeats to a few others, so its traffic does not grow with the fleet. Half of the heartbeats
// go to its successors on a ring of hashed names, so that every entry is monitored by some other;
// the rest go to members sampled anew in each round. Notices of deaths, shutdowns and new members
// are piggybacked on the heartbeats and reach the whole fleet in a number of rounds that grows with
// the logarithm of the fleet's size.
//
// The view may be wrong during a network partition, so no invariant may depend on it. It is used to
// select the keeper of each engine and the addresses that callers are given.
package prober

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/assigner"
)

// State is the state of a member.
type State string

// States of a member.
const (
	// Listed members are in the instance list, or were reported live by a notice, but have sent this
	// entry no heartbeat yet, or none since they were dead or restarted.
	Listed State = "listed"
	// Live members have sent this entry a heartbeat, and neither this entry nor a notice has since
	// found them stopping or dead.
	Live State = "live"
	// Stopping members are shutting down, according to their heartbeat or a notice. They still run
	// but accept no new callers.
	Stopping State = "stopping"
	// Dead members have not answered heartbeats for Config.SuspectAfter, as observed by this entry
	// or reported in a notice.
	Dead State = "dead"
)

const (
	// maxNotices is the maximum number of notices in one heartbeat. An entry sends and answers some forty
	// heartbeats a second, so that it passes on the deaths of 360 others within 1.2 s.
	maxNotices = 128
	// noticeRounds is the number of rounds in which this entry sends a notice: a notice is sent with
	// noticeRounds times Config.Neighbours heartbeats.
	noticeRounds = 4
	// minUnanswered is the minimum number of heartbeats sent to a member, since the last one
	// received from it, for which it can be declared dead: a single heartbeat may have been lost.
	minUnanswered = 2
	// warmUpRounds is the number of rounds after which most other members have sent this entry a
	// heartbeat. Only from then on does this entry create a notice when it receives a member's first
	// heartbeat; earlier, the notices about all members would delay those about deaths.
	warmUpRounds = 50
	// noticeTTL is the time for which a notice is kept after it was last received, so that
	// repetitions of it are ignored.
	noticeTTL = 5 * time.Minute
	// MaxMembers is the maximum number of members that heartbeats and reports add. Any entry may name others, also such
	// as do not exist.
	MaxMembers = 4096
	// maxKnownNotices is the maximum number of notices that are kept. Later ones are applied, but not passed on.
	maxKnownNotices = 4 * MaxMembers
	// maxNameBytes is the maximum length of the names of a member and of its data centre. Heartbeats, reports and
	// notices with longer ones are ignored.
	maxNameBytes = 255
)

// Member is this entry's view of another entry.
type Member struct {
	Name string
	// Incarnation is the highest incarnation in a heartbeat of the member or a notice about it; 0 if
	// there was none.
	Incarnation uint64
	// Address is the address at which the member accepts callers, PeerAddress the one at which it
	// accepts heartbeats. Both come from its heartbeat or the instance list; either can be invalid.
	Address     netip.AddrPort
	PeerAddress netip.AddrPort
	// DataCentre is the data centre of the member, from its heartbeat or the instance list.
	DataCentre string
	State      State
	// Ready is true if the member accepts callers, according to its last heartbeat or a notice.
	Ready bool
	// LastHeartbeat is the time at which this entry received the last heartbeat of Incarnation; zero
	// if it received none. For a live or stopping member, RestartSilenceDetection sets it to the
	// current time.
	LastHeartbeat time.Time

	// ringPosition is the hash of the member's name minus the hash of this entry's name, modulo
	// 2^64: the distance from this entry to the member on the ring of hashed names.
	ringPosition uint64
	// isListed is true if the last list passed to ApplyInstanceList contained the member.
	isListed bool
	// unanswered is the number of heartbeats sent to the member since its last heartbeat was
	// received, and firstUnanswered the time at which the first of them was sent.
	unanswered      int
	firstUnanswered time.Time
	// noticeSequence is the sequence number of the last notice about Incarnation that this entry
	// applied or created; 0 if there is none.
	noticeSequence uint64
	// isDeathUncertain is true for a dead member that this entry declared dead while it heard from no
	// other entry. It is then likelier that this entry is cut off.
	isDeathUncertain bool
	// announceWhenReady is true for a member that is new or live again, from its first heartbeat
	// until it accepts callers. A notice that it is live is then sent to the other entries.
	announceWhenReady bool
}

// IsUp reports whether the member is believed to be running: this entry receives its heartbeats, or
// others report that it accepts callers and no notice of its death or shutdown has come.
func (m Member) IsUp() bool { return m.State == Live || m.State == Listed && m.Ready }

// Config is the configuration of a Prober.
type Config struct {
	// Name and Incarnation identify the entry that uses the prober.
	Name        string
	Incarnation uint64
	// DataCentre is the data centre of the entry. If every data centre has at least 5 entries, most
	// heartbeats go to members in this one. If it is empty, heartbeats go to any data centre.
	DataCentre string
	// Neighbours is the number of members, not counting dead ones, to which heartbeats are sent in
	// each round.
	Neighbours int
	// SuspectAfter is the time after which a member is declared dead, counted from the first
	// heartbeat sent to it since its last one was received.
	SuspectAfter time.Duration
}

// Change is a change of the state of a member. Its fields are logged.
type Change struct {
	Name string
	From State
	To   State
	// Reason is the cause of the change: "heartbeat", "notice" or "silence".
	Reason string
}

// Prober tracks the state of every other entry (listed, live, stopping or dead), as its own entry
// knows it from heartbeats, notices and silence. It is not safe for concurrent use.
type Prober struct {
	config  Config
	members map[string]*Member
	// ring holds all members, sorted by ringPosition.
	ring []*Member
	// notices holds the notices received or created within noticeTTL.
	notices map[api.Notice]*knownNotice
	// lastHeard is the time at which a heartbeat of any member was last received; zero before the first.
	lastHeard time.Time
	// round is the number of calls of NextHeartbeatTargets so far.
	round uint64
}

// New returns a prober without members. ApplyInstanceList and ReceiveHeartbeat add members.
func New(config Config) *Prober {
	return &Prober{config: config, members: map[string]*Member{}, notices: map[api.Notice]*knownNotice{}}
}

// ApplyInstanceList adds the entries of an instance list, except this entry, as members. It removes
// members that are not in the list and in the state Listed or Dead. Live and stopping ones stay,
// because the list lags behind the actual state.
func (p *Prober) ApplyInstanceList(now time.Time, instances []api.Instance) {
	for _, m := range p.members {
		m.isListed = false
	}
	for _, i := range instances {
		if i.Kind != api.KindEntry || i.Name == p.config.Name {
			continue
		}
		m := p.addMember(i.Name)
		m.isListed = true
		m.DataCentre = i.DataCentre
		if m.LastHeartbeat.IsZero() {
			m.Address, _ = netip.ParseAddrPort(i.Address)
			m.PeerAddress, _ = netip.ParseAddrPort(i.PeerAddress)
		}
	}
	for name, m := range p.members {
		if !m.isListed && (m.State == Dead || m.State == Listed) {
			p.removeMember(name)
		}
	}
}

// ensureMember returns the member with the given name, after adding it in the state Listed if there
// is none. It returns false if there are MaxMembers already and none of them can be removed for it: a dead one or, if
// isHeard, which is true for the sender of a heartbeat, one that has sent none itself.
func (p *Prober) ensureMember(name string, isHeard bool) (*Member, bool) {
	_, known := p.members[name]
	if !known && len(p.members) >= MaxMembers && !p.evictMember(isHeard) {
		return nil, false
	}
	return p.addMember(name), true
}

// evictMember removes the dead member that was heard longest ago or, if there is none and isHeard is true, a member that
// has sent no heartbeat. It reports whether there was one.
func (p *Prober) evictMember(isHeard bool) bool {
	var evicted *Member
	for _, m := range p.ring {
		isDead := m.State == Dead
		if !isDead && !(isHeard && m.LastHeartbeat.IsZero()) {
			continue
		}
		if evicted == nil || isDead && (evicted.State != Dead || m.LastHeartbeat.Before(evicted.LastHeartbeat)) {
			evicted = m
		}
	}
	if evicted == nil {
		return false
	}
	p.removeMember(evicted.Name)
	return true
}

// addMember returns the member with the given name, after adding it in the state Listed if there is none.
func (p *Prober) addMember(name string) *Member {
	if m, ok := p.members[name]; ok {
		return m
	}
	ownPosition := assigner.Weight("ring", p.config.Name)
	m := &Member{Name: name, State: Listed, ringPosition: assigner.Weight("ring", name) - ownPosition}
	p.members[name] = m
	at, _ := slices.BinarySearchFunc(p.ring, m, comparePosition)
	p.ring = slices.Insert(p.ring, at, m)
	return m
}

// removeMember removes the member with the given name.
func (p *Prober) removeMember(name string) {
	m := p.members[name]
	delete(p.members, name)
	p.ring = slices.DeleteFunc(p.ring, func(o *Member) bool { return o == m })
}

// ReceiveHeartbeat updates the sender of a heartbeat, or of the response to one, from the heartbeat,
// processes the notices in it, and returns the resulting changes of state. It ignores heartbeats
// that arrive late: those of an earlier incarnation, and those sent before the sender began to shut
// down. If a member begins to shut down, or one that is new or was dead begins to accept callers, a
// notice is sent to all entries, since in a large fleet most rarely exchange heartbeats with it.
func (p *Prober) ReceiveHeartbeat(now time.Time, heartbeat api.Heartbeat) []Change {
	if heartbeat.From == p.config.Name || max(len(heartbeat.From), len(heartbeat.DataCentre)) > maxNameBytes {
		return nil
	}
	m, ok := p.ensureMember(heartbeat.From, true)
	if !ok {
		return nil
	}
	if heartbeat.Incarnation < m.Incarnation {
		return nil
	}
	if heartbeat.Incarnation == m.Incarnation && m.State == Stopping && !heartbeat.Stopping {
		return nil // sent before the member began to shut down, which is final
	}
	if heartbeat.Incarnation > m.Incarnation {
		m.Incarnation, m.noticeSequence = heartbeat.Incarnation, 0
	}
	state := Live
	if heartbeat.Stopping {
		state = Stopping
	}
	p.lastHeard = now
	isNewlyLive := !m.Ready && !m.isDeathUncertain && (m.State == Dead || m.State == Stopping || m.State == Listed && p.round > warmUpRounds)
	m.announceWhenReady = state == Live && (m.announceWhenReady || isNewlyLive)
	m.Address, m.PeerAddress, m.DataCentre = heartbeat.Address, heartbeat.PeerAddress, heartbeat.DataCentre
	m.Ready = heartbeat.Ready && !heartbeat.Stopping
	m.LastHeartbeat = now
	m.unanswered, m.isDeathUncertain = 0, false
	changes := p.setState(m, state, "heartbeat")
	switch {
	case state == Stopping && len(changes) > 0:
		p.announce(now, m, api.NoticeLeaving)
	case m.announceWhenReady && m.Ready:
		m.announceWhenReady = false
		p.announce(now, m, api.NoticeLive)
	}
	for _, n := range heartbeat.Notices[:min(len(heartbeat.Notices), maxNotices)] {
		changes = append(changes, p.ReceiveNotice(now, n)...)
	}
	return changes
}

// setState sets the state of a member, and returns the change, or nil if the state is the same.
func (p *Prober) setState(m *Member, to State, reason string) []Change {
	if m.State == to {
		return nil
	}
	c := Change{Name: m.Name, From: m.State, To: to, Reason: reason}
	m.State = to
	return []Change{c}
}

// Tick declares members dead that have not answered at least two heartbeats for longer than
// Config.SuspectAfter, queues a notice of each death, and returns the changes of state. Members to
// which this entry sends no heartbeats are declared dead by notices of other entries. Tick also drops
// notices that were last received more than 5 minutes ago.
func (p *Prober) Tick(now time.Time) []Change {
	var changes []Change
	isIsolated := now.Sub(p.lastHeard) > p.config.SuspectAfter
	for _, m := range p.ring {
		if m.State == Dead || m.unanswered < minUnanswered || now.Sub(m.firstUnanswered) <= p.config.SuspectAfter {
			continue
		}
		m.Ready = false
		changes = append(changes, p.setState(m, Dead, "silence")...)
		if m.isDeathUncertain = isIsolated; !isIsolated {
			p.announce(now, m, api.NoticeDead)
		}
	}
	for n, k := range p.notices {
		if now.Sub(k.lastReceived) > noticeTTL {
			delete(p.notices, n)
		}
	}
	return changes
}

// RestartSilenceDetection drops the record of unanswered heartbeats of all members, and treats live
// and stopping members as if a heartbeat from them had just been received. It is to be called after
// this process was suspended: that it processed no heartbeats meanwhile does not show that members
// are dead.
func (p *Prober) RestartSilenceDetection(now time.Time) {
	for _, m := range p.members {
		m.unanswered = 0
		if m.State == Live || m.State == Stopping {
			m.LastHeartbeat = now
		}
	}
}

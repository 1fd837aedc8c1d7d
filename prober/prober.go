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
	"strconv"
	"strings"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/assigner"
)

// State is the state of a member.
type State string

// States of a member.
const (
	// Listed members are in the instance list, or were announced by a notice, but have sent no
	// heartbeat yet.
	Listed State = "listed"
	// Live members have sent a heartbeat and are not known to be stopping or dead.
	Live State = "live"
	// Stopping members are alive but shutting down, and accept no new callers.
	Stopping State = "stopping"
	// Dead members have stopped responding to heartbeats, as observed by this entry or reported in
	// a notice.
	Dead State = "dead"
)

const (
	// maxNotices is the maximum number of notices in one heartbeat.
	maxNotices = 16
	// noticeRounds times Config.Neighbours is the number of heartbeats that carry a notice.
	noticeRounds = 4
	// minUnanswered is the minimum number of consecutive unanswered heartbeats before a member can
	// be declared dead: a single heartbeat may have been lost.
	minUnanswered = 2
	// warmUpRounds is the number of rounds after which most other members have sent this entry a
	// heartbeat. Only from then on is a member announced by a notice when its first heartbeat
	// arrives; earlier, the notices about all members would delay those about deaths.
	warmUpRounds = 50
	// noticeTTL is the time for which a notice is remembered after it was last received, so that
	// repetitions are ignored.
	noticeTTL = 5 * time.Minute
)

// Member is this entry's view of another entry.
type Member struct {
	Name string
	// Incarnation is the newest known incarnation; 0 if none is known.
	Incarnation uint64
	// Address is the address at which the member accepts callers, PeerAddress that at which it
	// accepts heartbeats.
	Address     netip.AddrPort
	PeerAddress netip.AddrPort
	// DataCentre is the data centre of the member, from its heartbeat or the instance list.
	DataCentre string
	State      State
	// Ready is true if the member accepts callers.
	Ready bool
	// LastHeartbeat is the time at which the last heartbeat of this incarnation was received; zero
	// if none was. For a live or stopping member, ResetSilence sets it to the current time.
	LastHeartbeat time.Time

	// ringPosition is the distance of the member from the prober's own entry on the ring of hashed
	// names.
	ringPosition uint64
	// isListed is true if the last instance list contained the member.
	isListed bool
	// unanswered is the number of heartbeats sent to the member since its last heartbeat was
	// received, and firstUnanswered the time at which the first of them was sent.
	unanswered      int
	firstUnanswered time.Time
	// noticeSequence is the sequence number of the newest notice about this incarnation.
	noticeSequence uint64
	// announceWhenReady is true for a member that is new or live again, until it accepts callers.
	// The other entries are sent a notice about the member only then.
	announceWhenReady bool
}

// Config is the configuration of a Prober.
type Config struct {
	// Name and Incarnation identify the entry that runs the prober.
	Name        string
	Incarnation uint64
	// DataCentre is the data centre of the entry. If all data centres have enough members, most
	// heartbeats stay within it. It is empty if heartbeats need not stay within data centres.
	DataCentre string
	// Neighbours is the number of live members that are sent heartbeats in a round.
	Neighbours int
	// SuspectAfter is the time since the first unanswered heartbeat after which a silent member is
	// declared dead.
	SuspectAfter time.Duration
}

// Change is a change of the state of a member, for the log.
type Change struct {
	Name string
	From State
	To   State
	// Reason is the cause of the change: "heartbeat", "notice" or "silence".
	Reason string
}

// knownNotice is a notice that was received from another entry or created by this one.
type knownNotice struct {
	notice api.Notice
	// sendsLeft is the number of heartbeats that are still to carry the notice.
	sendsLeft int
	// lastReceived is the time at which the notice was last received, or was created.
	lastReceived time.Time
}

// Prober maintains the view of the other entries. It is not safe for concurrent use.
type Prober struct {
	config  Config
	members map[string]*Member
	// ring holds all members, sorted by ringPosition.
	ring []*Member
	// notices holds the notices received or created within noticeTTL.
	notices map[api.Notice]*knownNotice
	// round counts the calls of BeginRound.
	round uint64
}

// New returns a prober without members.
func New(config Config) *Prober {
	return &Prober{config: config, members: map[string]*Member{}, notices: map[api.Notice]*knownNotice{}}
}

// ApplyInstanceList adds the entries of an instance list as members. Members that are not in the
// list are removed if they are dead or were never live; live ones stay, because the list lags
// behind.
func (p *Prober) ApplyInstanceList(now time.Time, instances []api.Instance) {
	for _, m := range p.members {
		m.isListed = false
	}
	for _, i := range instances {
		if i.Kind != api.KindEntry || i.Name == p.config.Name {
			continue
		}
		m := p.ensureMember(i.Name)
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

// ensureMember returns the member with the given name, and adds it if needed.
func (p *Prober) ensureMember(name string) *Member {
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

// comparePosition orders members by their position on the ring, then by name.
func comparePosition(a, b *Member) int {
	switch {
	case a.ringPosition < b.ringPosition:
		return -1
	case a.ringPosition > b.ringPosition:
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}

// removeMember removes the member with the given name.
func (p *Prober) removeMember(name string) {
	m := p.members[name]
	delete(p.members, name)
	p.ring = slices.DeleteFunc(p.ring, func(o *Member) bool { return o == m })
}

// ReceiveHeartbeat processes a heartbeat from another entry, or the response to one, and returns
// the resulting changes. A heartbeat of an earlier incarnation has arrived late and is ignored. If
// a member begins to shut down, or a new or returned one to accept callers, a notice is sent to all
// entries, since in a large fleet most of them rarely exchange heartbeats with the member.
func (p *Prober) ReceiveHeartbeat(now time.Time, heartbeat api.Heartbeat) []Change {
	if heartbeat.From == p.config.Name {
		return nil
	}
	m := p.ensureMember(heartbeat.From)
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
	isNewlyLive := !m.Ready && (m.State == Dead || m.State == Stopping || m.State == Listed && p.round > warmUpRounds)
	m.announceWhenReady = state == Live && (m.announceWhenReady || isNewlyLive)
	m.Address, m.PeerAddress, m.DataCentre = heartbeat.Address, heartbeat.PeerAddress, heartbeat.DataCentre
	m.Ready = heartbeat.Ready && !heartbeat.Stopping
	m.LastHeartbeat = now
	m.unanswered = 0
	changes := p.setState(m, state, "heartbeat")
	switch {
	case state == Stopping && len(changes) > 0:
		p.announce(now, m, api.NoticeLeaving)
	case m.announceWhenReady && m.Ready:
		m.announceWhenReady = false
		p.announce(now, m, api.NoticeLive)
	}
	for _, n := range heartbeat.Notices {
		changes = append(changes, p.ReceiveNotice(now, n)...)
	}
	return changes
}

// setState sets the state of a member, and returns the change if there is one.
func (p *Prober) setState(m *Member, to State, reason string) []Change {
	if m.State == to {
		return nil
	}
	c := Change{Name: m.Name, From: m.State, To: to, Reason: reason}
	m.State = to
	return []Change{c}
}

// ReceiveNotice processes a notice about an instance, and returns the resulting changes. A notice
// that was not known is passed on with the next heartbeats; a notice about another kind of instance
// or about this entry has no other effect. A notice about an entry that is not a member is ignored.
func (p *Prober) ReceiveNotice(now time.Time, n api.Notice) []Change {
	if k, known := p.notices[n]; known {
		k.lastReceived = now
		return nil
	}
	if n.Kind != api.KindEntry || n.Name == p.config.Name {
		p.queueNotice(now, n)
		return nil
	}
	m, ok := p.members[n.Name]
	if !ok {
		return nil // repeated notices are processed once the entry is a member
	}
	p.queueNotice(now, n)
	if n.Incarnation < m.Incarnation {
		return nil
	}
	if n.Incarnation > m.Incarnation {
		// The incarnation is new, and this entry has received no heartbeat from it.
		m.Incarnation, m.noticeSequence, m.LastHeartbeat = n.Incarnation, 0, time.Time{}
	} else if p.isOutdated(m, n) {
		return nil
	}
	m.noticeSequence = n.Sequence
	if n.State == api.NoticeLeaving {
		m.Ready = false
		return p.setState(m, Stopping, "notice")
	}
	// A recent heartbeat takes precedence over a notice of death, and is announced to refute it.
	isRecent := !m.LastHeartbeat.IsZero() && now.Sub(m.LastHeartbeat) < p.config.SuspectAfter
	if isRecent && n.State == api.NoticeDead {
		p.announce(now, m, api.NoticeLive)
		return nil
	}
	if n.State == api.NoticeDead {
		m.Ready = false
		return p.setState(m, Dead, "notice")
	}
	if m.State == Live {
		m.Ready = m.Ready || n.Ready // an incarnation stays ready until it shuts down
		return nil
	}
	m.Ready = n.Ready
	return p.setState(m, Listed, "notice")
}

// isOutdated reports whether a notice about the member's current incarnation adds nothing to newer
// ones processed before. Of two notices with the same sequence number, one of a death takes
// precedence: a neighbour that still receives heartbeats refutes it with the next sequence number.
// An incarnation that shuts down is never live again.
func (p *Prober) isOutdated(m *Member, n api.Notice) bool {
	if n.State == api.NoticeLeaving || m.State == Stopping && n.State == api.NoticeLive {
		return m.State == Stopping
	}
	if n.Sequence == m.noticeSequence {
		return n.State != api.NoticeDead
	}
	return n.Sequence < m.noticeSequence
}

// announce creates a notice that a member is in the given state, and queues it.
func (p *Prober) announce(now time.Time, m *Member, state string) {
	m.noticeSequence++
	p.queueNotice(now, api.Notice{Kind: api.KindEntry, Name: m.Name, Incarnation: m.Incarnation, State: state, Sequence: m.noticeSequence, Ready: m.Ready})
}

// queueNotice records a notice, to be sent with the next heartbeats.
func (p *Prober) queueNotice(now time.Time, n api.Notice) {
	p.notices[n] = &knownNotice{notice: n, sendsLeft: noticeRounds * p.config.Neighbours, lastReceived: now}
}

// HasNotice reports whether a notice was received or created within noticeTTL (5 minutes).
func (p *Prober) HasNotice(n api.Notice) bool {
	_, ok := p.notices[n]
	return ok
}

// TakeNotices returns up to maxNotices notices to send with the next heartbeat. Each call counts as
// one heartbeat that carries them.
func (p *Prober) TakeNotices() []api.Notice {
	var out []api.Notice
	for _, k := range p.notices {
		if k.sendsLeft <= 0 || len(out) == maxNotices {
			continue
		}
		k.sendsLeft--
		out = append(out, k.notice)
	}
	return out
}

// NextHeartbeatTargets begins a round and returns the members to send a heartbeat to. They include dead
// members, so that the end of a partition is detected.
func (p *Prober) NextHeartbeatTargets(now time.Time) []Member {
	p.round++
	successors := (p.config.Neighbours + 1) / 2
	isLocal := p.localFilter()
	chosen := p.choose(0, successors, nil, isLocal)
	if rest := len(p.ring) - len(chosen); rest > 0 {
		start := len(chosen) + int(assigner.Weight(p.config.Name, strconv.FormatUint(p.round, 10))%uint64(rest))
		// At least one member may be in any data centre, so that notices spread between them.
		chosen = p.choose(start, max(successors, p.config.Neighbours-1), chosen, isLocal)
		chosen = p.choose(start, p.config.Neighbours, chosen, func(*Member) bool { return true })
	}
	out := make([]Member, len(chosen))
	for i, m := range chosen {
		if m.unanswered == 0 {
			m.firstUnanswered = now
		}
		m.unanswered++
		out[i] = *m
	}
	return out
}

// minMembersPerCentre is the number of live members that every data centre must have for most
// heartbeats to stay within data centres. It is one more than the 4 members to which an entry with
// package controller sends heartbeats in a round: in a smaller data centre, members would be
// monitored by too few others.
const minMembersPerCentre = 5

// localFilter returns a filter for the recipients of most heartbeats: members of the own data
// centre, or all members if some data centre has fewer than minMembersPerCentre. Without the
// filter, four in five heartbeats of a fleet of 95 entries in five data centres crossed between
// them and made up half of the bytes that did; with it, a quarter of the heartbeats cross.
func (p *Prober) localFilter() func(*Member) bool {
	live := map[string]int{}
	for _, m := range p.ring {
		if m.State != Dead {
			live[m.DataCentre]++
		}
	}
	live[p.config.DataCentre]++
	for _, n := range live {
		if n < minMembersPerCentre {
			return func(*Member) bool { return true }
		}
	}
	return func(m *Member) bool { return m.DataCentre == p.config.DataCentre }
}

// choose adds members that the filter accepts to those chosen, starting at an index of the ring. It
// stops once the wanted number of chosen members are not dead, or twice that number are chosen.
func (p *Prober) choose(start, wanted int, chosen []*Member, accepts func(*Member) bool) []*Member {
	live := 0
	for _, m := range chosen {
		if m.State != Dead {
			live++
		}
	}
	for i := range p.ring {
		m := p.ring[(start+i)%len(p.ring)]
		if live >= wanted || len(chosen) >= 2*wanted {
			break
		}
		if !m.PeerAddress.IsValid() || !accepts(m) || slices.Contains(chosen, m) {
			continue
		}
		if m.State != Dead {
			live++
		}
		chosen = append(chosen, m)
	}
	return chosen
}

// Tick declares members dead that have not answered heartbeats for SuspectAfter, and returns the
// changes. The death of a member to which this entry sends no heartbeats is reported by notices of
// others. Tick also drops expired notices.
func (p *Prober) Tick(now time.Time) []Change {
	var changes []Change
	for _, m := range p.ring {
		if m.State == Dead || m.unanswered < minUnanswered || now.Sub(m.firstUnanswered) <= p.config.SuspectAfter {
			continue
		}
		m.Ready = false
		changes = append(changes, p.setState(m, Dead, "silence")...)
		p.announce(now, m, api.NoticeDead)
	}
	for n, k := range p.notices {
		if now.Sub(k.lastReceived) > noticeTTL {
			delete(p.notices, n)
		}
	}
	return changes
}

// RestartSilenceDetection restarts the detection of silent members. It is called after this process was
// suspended for a while, as heartbeats that it did not process in that time don't show that members
// are dead.
func (p *Prober) RestartSilenceDetection(now time.Time) {
	for _, m := range p.members {
		m.unanswered = 0
		if m.State == Live || m.State == Stopping {
			m.LastHeartbeat = now
		}
	}
}

// Members returns a copy of all members, sorted by name.
func (p *Prober) Members() []Member {
	out := make([]Member, 0, len(p.members))
	for _, m := range p.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Find returns a copy of the member with the given name, and whether there is one.
func (p *Prober) Find(name string) (Member, bool) {
	m, ok := p.members[name]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Package prober keeps one entry's belief about which other entries are
// alive. Each entry sends heartbeats to a few others, so its traffic does not
// grow with the fleet: half go to its successors on a ring of hashed names, so
// that everyone is watched by somebody, and half to members drawn anew for
// every round, so that news of a death or a leaving, which rides on the
// heartbeats, reaches all in a number of rounds that grows with the logarithm
// of the fleet.
//
// A belief may be wrong during a partition: nothing that must always hold
// depends on it. It decides who keeps which engine and which addresses
// callers are given.
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

// State of a member.
type State string

// The states.
const (
	// Listed: in the instance list, never heard from.
	Listed State = "listed"
	Live   State = "live"
	// Stopping: alive, but takes no new callers.
	Stopping State = "stopping"
	Dead     State = "dead"
)

const (
	// maxNotices bounds the notices on one heartbeat.
	maxNotices = 16
	// noticeRounds is how many heartbeats to each neighbour carry a notice.
	noticeRounds = 4
	// minUnanswered is how many heartbeats go unanswered before silence
	// counts: one may be lost.
	minUnanswered = 2
	// warmUpRounds is after how many rounds most of the others were heard. A member that is heard for the
	// first time then is news; before, notices of all would hold up those of deaths.
	warmUpRounds = 50
	// noticeTTL is how long a repeated notice is recognised as old.
	noticeTTL = 5 * time.Minute
)

// Member is another entry.
type Member struct {
	Name        string
	Incarnation uint64
	Address     netip.AddrPort
	PeerAddress netip.AddrPort
	DataCentre  string
	State       State
	// Ready says that the member takes callers.
	Ready bool
	// LastHeartbeat is when the member last spoke; zero when it never did.
	LastHeartbeat time.Time

	ringPosition uint64
	isListed     bool
	// unanswered is how many heartbeats were sent since the member was last
	// heard, and unansweredSince when the first of them was.
	unanswered      int
	firstUnanswered time.Time
	// noticeSequence is that of the newest notice about this incarnation.
	noticeSequence uint64
	// announceWhenReady is true of one that is live again, or new, until it takes callers: only
	// then others are told.
	announceWhenReady bool
}

// Config of a prober.
type Config struct {
	Name        string
	Incarnation uint64
	// DataCentre is the entry's own. Where enough others are in it, most heartbeats stay
	// within; empty where that does not matter.
	DataCentre string
	// Neighbours is how many live members are sent heartbeats in a round.
	Neighbours int
	// SuspectAfter is how long after an unanswered heartbeat a silent member
	// counts as dead.
	SuspectAfter time.Duration
}

// Change is a member's change of state, for the log.
type Change struct {
	Name   string
	From   State
	To     State
	Reason string
}

type knownNotice struct {
	notice       api.Notice
	sendsLeft    int
	lastReceived time.Time
}

// Prober holds the beliefs. It is not safe for concurrent use.
type Prober struct {
	config  Config
	members map[string]*Member
	// ring is all members by position after this entry's own.
	ring    []*Member
	notices map[api.Notice]*knownNotice
	// round counts the calls of Targets.
	round uint64
}

// New returns a prober that knows no other entry.
func New(config Config) *Prober {
	return &Prober{config: config, members: map[string]*Member{}, notices: map[api.Notice]*knownNotice{}}
}

// ApplyInstanceList takes over the entries of an instance list. Members no longer listed
// and not live are forgotten; live ones stay, as the list lags.
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

func (p *Prober) ensureMember(name string) *Member {
	if m, ok := p.members[name]; ok {
		return m
	}
	own := assigner.Weight("ring", p.config.Name)
	m := &Member{Name: name, State: Listed, ringPosition: assigner.Weight("ring", name) - own}
	p.members[name] = m
	at, _ := slices.BinarySearchFunc(p.ring, m, comparePosition)
	p.ring = slices.Insert(p.ring, at, m)
	return m
}

func comparePosition(a, b *Member) int {
	switch {
	case a.ringPosition < b.ringPosition:
		return -1
	case a.ringPosition > b.ringPosition:
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}

func (p *Prober) removeMember(name string) {
	m := p.members[name]
	delete(p.members, name)
	p.ring = slices.DeleteFunc(p.ring, func(o *Member) bool { return o == m })
}

// ReceiveHeartbeat takes in a heartbeat, sent or answered by another entry. A heartbeat
// of an earlier incarnation is late and is dropped. That a member stops, or begins
// to take callers, is spread to all: in a large fleet most are seldom heard.
func (p *Prober) ReceiveHeartbeat(now time.Time, heartbeat api.Heartbeat) []Change {
	if heartbeat.From == p.config.Name {
		return nil
	}
	m := p.ensureMember(heartbeat.From)
	if heartbeat.Incarnation < m.Incarnation {
		return nil
	}
	if heartbeat.Incarnation == m.Incarnation && m.State == Stopping && !heartbeat.Stopping {
		return nil // sent before the member began to stop, which it never takes back
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

func (p *Prober) setState(m *Member, to State, reason string) []Change {
	if m.State == to {
		return nil
	}
	c := Change{Name: m.Name, From: m.State, To: to, Reason: reason}
	m.State = to
	return []Change{c}
}

// ReceiveNotice takes in news of an instance. News is passed on.
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
		return nil // it can be used once the member is known
	}
	p.queueNotice(now, n)
	if n.Incarnation < m.Incarnation {
		return nil
	}
	if n.Incarnation > m.Incarnation {
		// Another run, of which this entry has heard nothing itself.
		m.Incarnation, m.noticeSequence, m.LastHeartbeat = n.Incarnation, 0, time.Time{}
	} else if p.isOutdated(m, n) {
		return nil
	}
	m.noticeSequence = n.Sequence
	if n.State == api.NoticeLeaving {
		m.Ready = false
		return p.setState(m, Stopping, "notice")
	}
	// What this entry hears itself is better than what others say.
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
		m.Ready = m.Ready || n.Ready // a run that is ready stays so until it stops
		return nil
	}
	m.Ready = n.Ready
	return p.setState(m, Listed, "notice")
}

// isOutdated reports whether newer word about the member was heard. Of two
// notices with one sequence death goes first: a neighbour that still hears
// the member answers it with the next sequence. A run that stops is not live again.
func (p *Prober) isOutdated(m *Member, n api.Notice) bool {
	if n.State == api.NoticeLeaving || m.State == Stopping && n.State == api.NoticeLive {
		return m.State == Stopping
	}
	if n.Sequence == m.noticeSequence {
		return n.State != api.NoticeDead
	}
	return n.Sequence < m.noticeSequence
}

// announce makes a notice about a member and spreads it.
func (p *Prober) announce(now time.Time, m *Member, state string) {
	m.noticeSequence++
	p.queueNotice(now, api.Notice{Kind: api.KindEntry, Name: m.Name, Incarnation: m.Incarnation, State: state, Sequence: m.noticeSequence, Ready: m.Ready})
}

func (p *Prober) queueNotice(now time.Time, n api.Notice) {
	p.notices[n] = &knownNotice{notice: n, sendsLeft: noticeRounds * p.config.Neighbours, lastReceived: now}
}

// HasNotice reports whether a notice was heard or made before.
func (p *Prober) HasNotice(n api.Notice) bool {
	_, ok := p.notices[n]
	return ok
}

// NextNotices returns the notices to send with the next heartbeat.
func (p *Prober) NextNotices() []api.Notice {
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

// BeginRound begins a round and returns the members to send a heartbeat. Dead
// ones are among them, so that a healed partition is noticed.
func (p *Prober) BeginRound(now time.Time) []Member {
	p.round++
	successors := (p.config.Neighbours + 1) / 2
	isLocal := p.localFilter()
	chosen := p.choose(0, successors, nil, isLocal)
	if rest := len(p.ring) - len(chosen); rest > 0 {
		start := len(chosen) + int(assigner.Weight(p.config.Name, strconv.FormatUint(p.round, 10))%uint64(rest))
		// One at least may be anywhere, so that news goes between data centres.
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

// minMembersPerCentre is how many live members each data centre must have for most heartbeats to
// stay within: as many as are exchanged with in a round, and one more. Where one has
// fewer, its members would be watched by too few others.
const minMembersPerCentre = 5

// localFilter says which members most heartbeats go to: those of the own data centre, where
// all have enough. Of the bytes between data centres on a fleet of 95 entries in five half
// were heartbeats, of which four in five crossed; now a quarter does.
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

// choose adds members that fit to those chosen, from a place on the ring on, until
// enough of them are not dead, or twice as many were looked at.
func (p *Prober) choose(from, enough int, chosen []*Member, accepts func(*Member) bool) []*Member {
	live := 0
	for _, m := range chosen {
		if m.State != Dead {
			live++
		}
	}
	for i := range p.ring {
		m := p.ring[(from+i)%len(p.ring)]
		if live >= enough || len(chosen) >= 2*enough {
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

// Tick notices silence: of members that were sent heartbeats and did not
// answer. Of the others this entry relies on notices.
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

// ResetSilence tells the prober that this instance did not run for a while: silence
// during that time is no sign of death.
func (p *Prober) ResetSilence(now time.Time) {
	for _, m := range p.members {
		m.unanswered = 0
		if m.State == Live || m.State == Stopping {
			m.LastHeartbeat = now
		}
	}
}

// Members returns all members by name.
func (p *Prober) Members() []Member {
	out := make([]Member, 0, len(p.members))
	for _, m := range p.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Find returns the member of that name.
func (p *Prober) Find(name string) (Member, bool) {
	m, ok := p.members[name]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

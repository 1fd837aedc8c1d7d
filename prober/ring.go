package prober

import (
	"cmp"
	"iter"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sapphireramp/sapphireramp/assigner"
)

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

// NextHeartbeatTargets begins a round and returns copies of the members to send a heartbeat to in
// it. It records an unanswered heartbeat for each, so a heartbeat must be sent to all of them. They
// can include dead members, so that the end of a network partition is detected.
func (p *Prober) NextHeartbeatTargets(now time.Time) []Member {
	p.round++
	successors := (p.config.Neighbours + 1) / 2
	live := p.countByDataCentre()
	isLocal := p.localFilter(live)
	chosen := p.choose(0, successors, nil, isLocal)
	if len(p.ring) > len(chosen) {
		start := p.drawnIndex()
		// One member may be in any data centre, so that notices spread between them.
		chosen = p.choose(start, max(successors, p.config.Neighbours-1), chosen, isLocal)
		if !p.mayCross(live[p.config.DataCentre]) {
			chosen = p.choose(start, p.config.Neighbours, chosen, isLocal)
		}
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

const (
	// drawnPositions is the number of positions on the ring at which the recipients of heartbeats are
	// drawn, one after the other. With a position drawn anew in each round, every entry would keep
	// connections to hundreds of others; with these few, messages still spread in as many rounds, since
	// a random graph has a small diameter even if each node has few edges.
	drawnPositions = 8
	// redrawRounds is the number of rounds after which the positions are drawn anew, so that entries do
	// not depend on the same few forever.
	redrawRounds = 300
)

// crossingEntries is the number of entries of one data centre that may send a heartbeat to another data
// centre in one round, on average. The heartbeats between data centres then do not grow with the fleet.
const crossingEntries = 5

// mayCross reports whether this entry may send a heartbeat to another data centre in this round. Local is
// the number of entries in its data centre, itself included.
func (p *Prober) mayCross(local int) bool {
	return assigner.Weight(p.config.Name, "cross "+strconv.FormatUint(p.round, 10))%uint64(local) < crossingEntries
}

// drawnIndex returns the index in the ring of the member at the position that is drawn for this round.
// A change of other members does not move the position.
func (p *Prober) drawnIndex() int {
	key := strconv.FormatUint(p.round/redrawRounds, 10) + " " + strconv.FormatUint(p.round%drawnPositions, 10)
	position := assigner.Weight(p.config.Name, key)
	index, _ := slices.BinarySearchFunc(p.ring, position, func(m *Member, position uint64) int { return cmp.Compare(m.ringPosition, position) })
	return index % len(p.ring)
}

// minMembersPerCentre is the minimum number of entries, not counting dead ones, that every data
// centre must have for most heartbeats to stay within data centres. It is one more than the 4 members
// to which an entry with package controller sends heartbeats in a round: in a smaller data centre too
// few entries would send heartbeats to each.
const minMembersPerCentre = 5

// countByDataCentre returns the number of entries of each data centre, this one included, that are not dead.
func (p *Prober) countByDataCentre() map[string]int {
	live := map[string]int{p.config.DataCentre: 1}
	for _, m := range p.ring {
		if m.State != Dead {
			live[m.DataCentre]++
		}
	}
	return live
}

// localFilter returns the filter for the recipients of most heartbeats: it accepts members in this
// entry's data centre, or all members if some data centre has fewer than minMembersPerCentre. Without
// the filter, four in five heartbeats of a fleet of 95 entries in five data centres crossed between
// them and made up half of the bytes that did; with it, a quarter of the heartbeats cross.
func (p *Prober) localFilter(live map[string]int) func(*Member) bool {
	for _, n := range live {
		if n < minMembersPerCentre {
			return func(*Member) bool { return true }
		}
	}
	return func(m *Member) bool { return m.DataCentre == p.config.DataCentre }
}

// choose returns chosen with further members appended, for which accepts returns true and that have
// a valid PeerAddress. It goes once round the ring from an index, and stops once the wanted number of
// members are chosen, not counting dead ones, or twice that number with them.
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

// Members returns a copy of all members, sorted by name.
func (p *Prober) Members() []Member {
	out := make([]Member, 0, len(p.members))
	for _, m := range p.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Count returns the number of members.
func (p *Prober) Count() int { return len(p.ring) }

// All returns an iterator over copies of all members, in the order of a ring that differs between
// entries. Unlike Members it allocates nothing, so that it may be called often in a large fleet.
func (p *Prober) All() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for _, m := range p.ring {
			if !yield(*m) {
				return
			}
		}
	}
}

// Random returns an iterator over copies of all members, each once, that starts at a random one. Intn
// returns a random number below its argument. Consecutive members are so far apart in the ring that
// a few of them are nearly a random sample.
func (p *Prober) Random(intn func(int) int) iter.Seq[Member] {
	return func(yield func(Member) bool) {
		n := len(p.ring)
		if n == 0 {
			return
		}
		step := n*5/8 + 1
		for gcd(step, n) != 1 {
			step++
		}
		for i, index := 0, intn(n); i < n; i, index = i+1, (index+step)%n {
			if !yield(*p.ring[index]) {
				return
			}
		}
	}
}

// gcd returns the greatest common divisor of two positive numbers.
func gcd(a, b int) int {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}

// Find returns a copy of the member with the given name, and whether there is one.
func (p *Prober) Find(name string) (Member, bool) {
	m, ok := p.members[name]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

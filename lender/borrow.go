package lender

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// maxAsks is the maximum number of requests for loans in a round; the caller starts a round each 250 ms. An entry
	// then holds loans of up to maxLenders others, each renewed at half of its lease. With 4, one busy entry of 58 had
	// 0.50 of a limit, as it held loans of 32.
	maxAsks = 6
	// maxLenders is the maximum number of other entries that an entry asks, so that its connections do not grow with
	// the fleet. Each entry asks others, so that all of them are asked by some.
	maxLenders = 48
	// firstBackoff is the time for which an entry that lent nothing is not asked again; it doubles with each refusal in
	// a row, up to maxBackoff.
	firstBackoff, maxBackoff = time.Second, 8 * time.Second
	// replyTTL is the time in which the reply to a request may arrive. What arrives later is not worth its rest.
	replyTTL = Lease / 2
)

// pendingAsk is a request for loans that was sent.
type pendingAsk struct {
	lender string
	sentAt time.Time
	items  []AskItem
}

// refusals is the number of times in a row that an entry lent nothing.
type refusals struct {
	count int
	until time.Time
}

// asking is what decides which entries are asked.
type asking struct {
	lastID uint64
	// pending holds the requests without a reply, by ID.
	pending map[uint64]pendingAsk
	// refused holds the entries that refused last, of those that this entry asks: at most maxLenders.
	refused map[string]refusals
	// next is the position in the list of possible lenders from which the search for another one begins.
	next int
}

func newAsking() asking {
	return asking{pending: map[uint64]pendingAsk{}, refused: map[string]refusals{}}
}

// AddressedAsk is a request for loans and the name of the entry to send it to.
type AddressedAsk struct {
	Lender string
	Ask    Ask
}

// lendersOf returns those of the entries with the given names that this entry may ask for what is missing, at most
// maxLenders of all entries and as many of the sharers of each resource that not all share.
func (l *Ledger) lendersOf(names []string, missing map[string]float64) []string {
	var out []string
	add := func(isSharer func(name string) bool) {
		for _, name := range l.draw(names, isSharer) {
			if !slices.Contains(out, name) {
				out = append(out, name)
			}
		}
	}
	needsAll := false
	for resource := range missing {
		if sharers := l.accounts[resource].demand.sharers; sharers != nil {
			add(func(name string) bool { return isSharer(sharers, name) })
		} else {
			needsAll = true
		}
	}
	if needsAll {
		add(func(string) bool { return true })
	}
	return out
}

// isSharer reports whether an entry shares a resource that has the given sharers.
func isSharer(sharers []string, name string) bool {
	_, found := slices.BinarySearch(sharers, name)
	return sharers == nil || found
}

// draw returns at most maxLenders of the given names, without this entry's own, for which allowed returns true. They
// are drawn by a hash over the names of both entries.
func (l *Ledger) draw(names []string, allowed func(name string) bool) []string {
	type drawn struct {
		name   string
		weight uint64
	}
	all := make([]drawn, 0, len(names))
	for _, name := range names {
		if name != l.config.Name && allowed(name) {
			h := fnv.New64a()
			_, _ = h.Write([]byte(l.config.Name + " " + name))
			all = append(all, drawn{name, scramble(h.Sum64())})
		}
	}
	slices.SortFunc(all, func(a, b drawn) int { return cmp.Compare(a.weight, b.weight) })
	all = all[:min(maxLenders, len(all))]
	out := make([]string, len(all))
	for i, d := range all {
		out[i] = d.name
	}
	return out
}

// scramble makes all bits of a hash depend on each other: FNV hashes of names that differ in the last byte are close.
func scramble(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Needs reports whether a demand is current, so that Asks may return requests.
func (l *Ledger) Needs(now time.Time) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	at := l.at(now)
	for _, a := range l.accounts {
		if a.demand.isCurrent(at) {
			return true
		}
	}
	return false
}

// Asks returns the requests to send now, at most maxAsks: first renewals, then to entries that have lent nothing yet,
// in turn. Names are those of all entries that run. Each request lists all resources that are needed.
// The requests must be sent at once, as their leases begin now.
func (l *Ledger) Asks(now time.Time, names []string) []AddressedAsk {
	l.lock.Lock()
	defer l.lock.Unlock()
	at := l.at(now)
	l.forget(at)
	for id, p := range l.asking.pending {
		if at.Sub(p.sentAt) > replyTTL {
			delete(l.asking.pending, id)
		}
	}
	missing := l.missing(at)
	if len(missing) == 0 {
		return nil
	}
	lenders := l.lendersOf(names, missing)
	var out []AddressedAsk
	ask := func(name string) {
		if items := l.itemsFor(at, name, missing); len(items) > 0 {
			out = append(out, l.newAsk(at, name, items))
		}
	}
	for _, name := range l.currentLenders(at, missing) {
		if len(out) < maxAsks && slices.Contains(lenders, name) {
			ask(name)
		}
	}
	for range lenders {
		if len(out) == maxAsks {
			break
		}
		l.asking.next = (l.asking.next + 1) % len(lenders)
		ask(lenders[l.asking.next])
	}
	return out
}

// currentLenders returns the entries whose loans of resources in missing have not ended, those whose loans end first at
// the front.
func (l *Ledger) currentLenders(at time.Time, missing map[string]float64) []string {
	var current []loan
	for resource := range missing {
		for _, x := range l.accounts[resource].borrowed {
			if x.until.After(at) {
				current = append(current, x)
			}
		}
	}
	slices.SortFunc(current, func(a, b loan) int { return a.until.Compare(b.until) })
	names := make([]string, len(current))
	for i, x := range current {
		names[i] = x.other
	}
	return names
}

// missing returns the number of parts of each resource with a current demand that this entry lacks after those of its
// loans have ended that should be renewed now; 0 for those of which it lacks nothing.
func (l *Ledger) missing(at time.Time) map[string]float64 {
	out := map[string]float64{}
	for resource, a := range l.accounts {
		if !a.demand.isCurrent(at) {
			continue
		}
		parts := a.demand.parts - sumOfParts(a.borrowed, at.Add(Lease/2))
		if a.demand.ownsPart {
			parts -= max(0, 1-sumOfParts(a.lent, at))
		}
		for _, p := range l.asking.pending {
			for _, item := range p.items {
				if item.Resource == resource {
					parts -= item.Parts
				}
			}
		}
		if parts >= minLoan {
			out[resource] = parts
		}
	}
	return out
}

// itemsFor returns what an entry is asked for, and subtracts it from what is missing. It returns nothing for an entry
// that has refused lately, that has not replied yet or whose loans are fresh.
func (l *Ledger) itemsFor(at time.Time, lender string, missing map[string]float64) []AskItem {
	if at.Before(l.asking.refused[lender].until) {
		return nil
	}
	for _, p := range l.asking.pending {
		if p.lender == lender {
			return nil
		}
	}
	var items []AskItem
	for resource, parts := range missing {
		if !isSharer(l.accounts[resource].demand.sharers, lender) {
			continue
		}
		isFresh := func(x loan) bool { return x.other == lender && x.until.Sub(at) > Lease/2 }
		if parts < minLoan || len(items) == maxItems || slices.ContainsFunc(l.accounts[resource].borrowed, isFresh) {
			continue
		}
		asked := min(1, inSteps(parts+minLoan))
		missing[resource] -= asked
		items = append(items, AskItem{Resource: resource, Parts: asked})
	}
	return items
}

// newAsk records a request to an entry that is sent now.
func (l *Ledger) newAsk(at time.Time, lender string, items []AskItem) AddressedAsk {
	l.asking.lastID++
	id := l.asking.lastID
	l.asking.pending[id] = pendingAsk{lender: lender, sentAt: at, items: items}
	return AddressedAsk{Lender: lender, Ask: Ask{ID: id, Borrower: l.config.Name, Incarnation: l.config.Incarnation, Items: items}}
}

// Accept records the loans in the reply to a request and returns them. It ignores a reply that arrives for the second
// time, too late, or to a request of another process.
func (l *Ledger) Accept(now time.Time, g Grant) []GrantItem {
	l.lock.Lock()
	defer l.lock.Unlock()
	at := l.at(now)
	p, ok := l.asking.pending[g.ID]
	if !ok {
		return nil
	}
	delete(l.asking.pending, g.ID)
	until := p.sentAt.Add(min(Lease, g.Lease))
	if !at.Before(until) {
		return nil
	}
	var accepted []GrantItem
	for _, item := range g.Items {
		asked := slices.IndexFunc(p.items, func(i AskItem) bool { return i.Resource == item.Resource })
		a := l.account(at, item.Resource)
		isValid := asked >= 0 && a != nil && item.Parts > 0 && item.Unit > 0 && !math.IsInf(item.Unit, 0)
		if !isValid || len(a.borrowed) >= 4*maxLoans {
			continue
		}
		item.Parts = min(item.Parts, p.items[asked].Parts)
		a.borrowed = addLoan(a.borrowed, loan{other: p.lender, parts: item.Parts, unit: item.Unit, from: at, until: until})
		accepted = append(accepted, item)
	}
	l.recordReply(at, p.lender, len(accepted) > 0)
	return accepted
}

// Fail records that a request was not answered: the entry is unreachable, or runs a version that does not lend.
func (l *Ledger) Fail(now time.Time, id uint64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if p, ok := l.asking.pending[id]; ok {
		delete(l.asking.pending, id)
		l.recordReply(l.at(now), p.lender, false)
	}
}

// recordReply records whether an entry that was asked has lent anything.
func (l *Ledger) recordReply(at time.Time, lender string, hasLent bool) {
	if hasLent {
		delete(l.asking.refused, lender)
		return
	}
	r := l.asking.refused[lender]
	if _, ok := l.asking.refused[lender]; !ok && len(l.asking.refused) >= maxLenders {
		clear(l.asking.refused) // of entries that have left
	}
	backoff := min(maxBackoff, firstBackoff<<min(r.count, 10))
	l.asking.refused[lender] = refusals{count: r.count + 1, until: at.Add(backoff)}
}

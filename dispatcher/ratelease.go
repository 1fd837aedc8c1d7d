package dispatcher

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sapphireramp/sapphireramp/assigner"
	"github.com/sapphireramp/sapphireramp/lender"
)

// RateResource is the kind of the resources of rate limits in a lender.Ledger: the text before the colon of a name.
const RateResource = "rate"

// rateUseTime is the time over which the recent use of a rate limit is measured, in two halves: what an entry used in
// the one with the most requests counts. It is the shortest time in which loans are renewed.
const rateUseTime = 4 * time.Second

// rateUse counts this entry's requests to an upstream with a rate limit.
type rateUse struct {
	// since is the begin of the current half of rateUseTime, current the number of requests since then and previous
	// the number in the half before.
	since             time.Time
	current, previous int
}

// advance begins a new half if the current one is over.
func (r *rateUse) advance(now time.Time) {
	switch age := now.Sub(r.since); {
	case age >= rateUseTime:
		r.current, r.previous, r.since = 0, 0, now
	case age >= rateUseTime/2:
		r.current, r.previous, r.since = 0, r.current, r.since.Add(rateUseTime/2)
	}
}

// perSecond returns the recent number of requests per second.
func (r *rateUse) perSecond(now time.Time) float64 {
	r.advance(now)
	return float64(max(r.current, r.previous)) / (rateUseTime / 2).Seconds()
}

// SetLedger sets the ledger of the parts of rate limits that entries lend each other. Without one, this entry has
// its own part only.
func (b *Dispatcher) SetLedger(l *lender.Ledger) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.ledger = l
}

// rateResource returns the name of an upstream's rate limit in the ledger. Where not all entries share the limit, the
// name depends on how many do: loans end when others are drawn.
func (b *Dispatcher) rateResource(u *upstream) string {
	name := RateResource + ":" + strconv.FormatUint(uint64(u.compactID), 16)
	if _, senders := b.sharedRate(u); senders < len(b.sharers.names) {
		name += ":" + strconv.Itoa(senders)
	}
	return name
}

// SharingEntries returns the number of entries that share what the placing entries divide equally, by the same rules as for
// rate limits; 0 if this entry is not one of them or does not know how many there are. IsPlacing is true if this entry
// places requests now, and not only did so lately; otherwise it must lend nothing.
func (b *Dispatcher) SharingEntries(now time.Time) (entries int, isPlacing bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if !b.isSharing(now) {
		return 0, false
	}
	_, isPlacing = slices.BinarySearch(b.placingEntries, b.name)
	return len(b.sharers.names), isPlacing
}

// drawnSharers holds the entries that share a rate limit, sorted, for a version of the sharers and a number of senders.
type drawnSharers struct {
	names            []string
	version, senders int
}

// drawnSharers returns the names of the entries that share an upstream's rate limit, sorted; nil if all do. The lock must be
// held.
func (b *Dispatcher) drawnSharers(u *upstream, senders int) []string {
	if senders == len(b.sharers.names) {
		return nil
	}
	d := &u.rateShare.drawn
	if d.names == nil || d.version != b.sharers.version || d.senders != senders {
		key := strconv.FormatUint(uint64(u.compactID), 16)
		weights := make(map[string]uint64, len(b.sharers.names))
		for _, name := range b.sharers.names {
			weights[name] = assigner.Weight(name, key)
		}
		names := slices.Clone(b.sharers.names)
		slices.SortFunc(names, func(x, y string) int { return cmp.Compare(weights[y], weights[x]) })
		names = names[:senders]
		slices.Sort(names)
		*d = drawnSharers{names: names, version: b.sharers.version, senders: senders}
	}
	return d.names
}

// rateState returns the state of this entry's part of an upstream's rate limit. The lock must be held.
func (b *Dispatcher) rateState(now time.Time, u *upstream) lender.State {
	perSecond, senders := b.sharedRate(u)
	if senders == 0 {
		return lender.State{Window: rateBurstTime}
	}
	_, isPlacing := slices.BinarySearch(b.placingEntries, b.name)
	unit := 1 / float64(senders)
	return lender.State{
		Unit: unit, Owns: b.ownRate(now, u) > 0, IsFixed: !isPlacing, Window: rateBurstTime,
		Used: u.rateShare.use.perSecond(now) / (perSecond * unit),
	}
}

// RatePart returns the state of this entry's part of a rate limit, by its name in the ledger; false if there is no such
// limit.
func (b *Dispatcher) RatePart(now time.Time, resource string) (lender.State, bool) {
	fields := strings.Split(resource, ":")
	if len(fields) < 2 || fields[0] != RateResource {
		return lender.State{}, false
	}
	id, err := strconv.ParseUint(fields[1], 16, 32)
	if err != nil {
		return lender.State{}, false
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	u, ok := b.byCompactID[CompactID(id)]
	if !ok || !u.backpressure.rateLimit.Limit.Limited || b.rateResource(u) != resource {
		return lender.State{}, false
	}
	return b.rateState(now, u), true
}

// settleRate fills the bucket up to the time now by the rate that this entry had at each time since the last update, cuts
// it to the present capacity, and returns the present rate in requests per second. Tokens of a loan that has ended are
// dropped. The ledger must be set and the lock held.
func (b *Dispatcher) settleRate(now time.Time, u *upstream) float64 {
	s, share := b.rateState(now, u), &u.rateShare
	perSecond, _ := b.sharedRate(u)
	resource := b.rateResource(u)
	rate := perSecond * b.ledger.Part(now, resource, s)
	elapsed := now.Sub(share.updatedAt)
	if elapsed <= 0 {
		return rate
	}
	if elapsed > rateBurstTime {
		// A part that was lent and returned or borrowed twice meanwhile fills the bucket from the beginning.
		share.tokens = min(1, share.tokens)
	}
	if known := 10 * rateBurstTime; elapsed > known {
		share.tokens = min(1, share.tokens+min(rate, b.ownRate(now, u))*(elapsed-known).Seconds())
	}
	filled := share.tokens + perSecond*b.ledger.Accrued(share.updatedAt, now, resource, s)
	share.tokens, share.updatedAt = min(max(1, rate*rateBurstTime.Seconds()), filled), now
	return rate
}

// recordRateDemand records in the ledger that this entry needs more of the rate limits of the given upstreams, unless one
// of the usable ones has a free slot. The lock must be held.
func (b *Dispatcher) recordRateDemand(now time.Time, limited, usable []*upstream) {
	for _, u := range usable {
		if len(u.assignments) < u.instance.Slots {
			return
		}
	}
	for _, u := range limited {
		b.ledger.WantMore(now, b.rateResource(u), b.rateDemand(now, u))
	}
}

// rateDemand returns the state with which a demand is recorded: that of rateState, with the entries to ask.
func (b *Dispatcher) rateDemand(now time.Time, u *upstream) lender.State {
	s := b.rateState(now, u)
	_, senders := b.sharedRate(u)
	s.Sharers = b.drawnSharers(u, senders)
	return s
}

// Package lender decides which entries lend each other their parts of quantities that all entries share equally, such
// as the rate limit of an upstream. One part is the quantity divided by the number of entries. An entry that needs more
// asks others, which lend what they don't use. A loan has a lease, after which it ends without a message.
//
// Loans are measured in parts and not in amounts, so that changes of the quantity and of the number of entries apply to
// loans too, without a message. The lender counts a loan from the moment at which it grants it until margin after
// the lease, and for the window of the resource after that; the borrower counts it from the moment at which it
// asked. So the parts in use never add up to more than the whole, whatever becomes of requests and replies.
package lender

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// Lease is the time for which a part is lent, from the moment at which the borrower asked. A lender that becomes
	// busy waits at most that long for its part, and one that restarts has only its reserve for that time. Renewals
	// at half of it are a call in two seconds for each lender.
	Lease = 4 * time.Second
	// margin is the time after the end of a lease for which the lender still counts it. It covers clocks whose speeds
	// differ by 5%, and requests that reach their upstream some time after the borrower decided on them.
	margin = 500 * time.Millisecond
	// MaxLent is the largest fraction of its part that an entry lends. The rest is its reserve, with which an idle
	// entry serves first requests, and which it may use right after a restart, as it can't have been lent.
	MaxLent = 0.9
	// minLoan is the smallest loan in parts. Smaller ones are not worth a message.
	minLoan = 0.05
	// usedFactor and usedMargin determine what a lender keeps for itself: usedFactor times its recent use plus usedMargin.
	usedFactor, usedMargin = 1.5, 0.05
	// demandTTL is the time for which a demand counts since it was recorded last.
	demandTTL = time.Second
	// historyTime is the time for which loans are remembered after they have ended, for Accrued.
	historyTime = 10 * time.Second
	// maxResources bounds the resources with a demand or loans, maxLoans the loans of each resource at each side.
	// Demands and loans beyond are dropped or refused.
	maxResources, maxLoans = 256, 64
)

// Config configures a Ledger.
type Config struct {
	// Name and Incarnation identify this entry's process as a borrower.
	Name        string
	Incarnation uint64
	// IsFirstStart is true if no entry of the fleet has run before those that start now, so that this one can't have
	// lent anything.
	IsFirstStart bool
	// SinceBoot returns the time since the instance booted, including the time it was suspended. Leases end by this
	// clock or the monotonic clock, whichever is ahead; nil if there is only the latter.
	SinceBoot func() time.Duration
}

// State is what an entry knows of its own part of a resource.
type State struct {
	// Unit is the fraction of the whole that one part is: 1 divided by the number of entries that share the resource;
	// 0 if that number is unknown.
	Unit float64
	// Owns is true if this entry is one of those. Others have only what they borrow.
	Owns bool
	// Sharers are the names of the entries that share the resource, sorted; nil if all do.
	Sharers []string
	// IsFixed is true if the entry lends nothing, as when it may cease to be one of those that share the resource.
	IsFixed bool
	// LendsAll is true if the entry needs no reserve: it lends all of its part while it uses none, and has none after a
	// restart for as long as it may have lent it.
	LendsAll bool
	// Used is what the entry has used lately, in parts. For a resource with a window it includes all that it used
	// within the window.
	Used float64
	// Window is the time for which use of the resource counts after it.
	Window time.Duration
}

// maxLent returns the largest fraction of its part that the entry lends.
func (s State) maxLent() float64 {
	if s.LendsAll {
		return 1
	}
	return MaxLent
}

// free returns the fraction of its part that the entry does not use.
func (s State) free() float64 {
	if s.LendsAll && s.Used == 0 {
		return 1
	}
	return min(s.maxLent(), 1-usedFactor*s.Used-usedMargin)
}

// loan is a part that was lent or borrowed.
type loan struct {
	// other is the borrower's process or the lender's name.
	other string
	// parts is the size of the loan, unit the lender's State.Unit when it granted it.
	parts, unit float64
	// from and until delimit the time in which the loan counts at this side.
	from, until time.Time
	// keep is the time for which a loan that was lent is remembered after until; at least the window of its resource.
	keep time.Duration
}

// demand is what this entry needs of a resource, in parts. OwnsPart is State.Owns, sharers State.Sharers.
type demand struct {
	parts      float64
	ownsPart   bool
	sharers    []string
	recordedAt time.Time
}

// account holds the loans of one resource.
type account struct {
	// borrowed and lent are sorted by the other entry.
	borrowed, lent []loan
	demand         demand
	// shortSince and shortAt are the times of the first and the last call of WantMore, of those without demandTTL between
	// two of them.
	shortSince, shortAt time.Time
}

// Ledger holds the loans of one entry. It is safe for concurrent use. All methods take the time now of the monotonic
// clock.
type Ledger struct {
	config Config
	lock   sync.Mutex
	// startedAt is when the Ledger was created, bootAtStart the value of Config.SinceBoot then.
	startedAt   time.Time
	bootAtStart time.Duration
	accounts    map[string]*account
	asking      asking
	// places holds what Places was told last, by resource.
	places map[string]placeReport
}

// New returns a Ledger without loans for an entry that starts at the time now.
func New(now time.Time, c Config) *Ledger {
	l := &Ledger{config: c, startedAt: now, accounts: map[string]*account{}, asking: newAsking(), places: map[string]placeReport{}}
	if c.SinceBoot != nil {
		l.bootAtStart = c.SinceBoot()
	}
	return l
}

// at returns the time by which leases end: now, or later if the instance was suspended or the caller has read the clock
// some time ago. The monotonic clock does not advance while an instance is suspended, but the lender's does.
func (l *Ledger) at(now time.Time) time.Time {
	if l.config.SinceBoot == nil {
		return now
	}
	if byBoot := l.startedAt.Add(l.config.SinceBoot() - l.bootAtStart); byBoot.After(now) {
		return byBoot
	}
	return now
}

// Part returns the fraction of the whole of a resource that this entry may use at the time now.
func (l *Ledger) Part(now time.Time, resource string, s State) float64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.partAt(l.at(now), l.accounts[resource], s)
}

// Accrued returns the integral over Part, in seconds, from one time to another that is not in the future.
// Before historyTime ago, loans are not known; from is then that time.
func (l *Ledger) Accrued(from, to time.Time, resource string, s State) float64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	// The clocks may differ by the time that the instance was suspended. A bucket fills by the time that its owner
	// passes, up to the part that the entry has at the end.
	shift := l.at(to).Sub(to)
	from, to = from.Add(shift), to.Add(shift)
	a := l.accounts[resource]
	if !from.Before(to) { // two goroutines read the clock and then took a lock in another order
		return to.Sub(from).Seconds() * l.partAt(to, a, s)
	}
	if earliest := to.Add(-historyTime); from.Before(earliest) {
		from = earliest
	}
	steps := []time.Time{from, to}
	add := func(at time.Time) {
		if at.After(from) && at.Before(to) {
			steps = append(steps, at)
		}
	}
	add(l.reservedUntil(s))
	if a != nil {
		for _, loans := range [][]loan{a.borrowed, a.lent} {
			for _, x := range loans {
				add(x.from)
				add(x.until)
			}
		}
		for _, x := range a.lent {
			add(x.until.Add(s.Window))
		}
	}
	slices.SortFunc(steps, time.Time.Compare)
	sum := 0.0
	for i, step := range steps[1:] {
		length := step.Sub(steps[i])
		sum += length.Seconds() * l.partAt(steps[i].Add(length/2), a, s)
	}
	return sum
}

// reservedUntil returns the time until which this entry has only its reserve, as its part may have been lent before it
// restarted.
func (l *Ledger) reservedUntil(s State) time.Time {
	if l.config.IsFirstStart {
		return l.startedAt
	}
	return l.startedAt.Add(Lease + margin + s.Window)
}

// partAt returns the part at a time at which the loans in a, which may be nil, are known.
func (l *Ledger) partAt(at time.Time, a *account, s State) float64 {
	own := 0.0
	if s.Owns {
		own = 1
		if at.Before(l.reservedUntil(s)) {
			own = 1 - s.maxLent()
		}
	}
	if a == nil {
		return own * s.Unit
	}
	part := max(0, own-total(a.lent, at, s.Window, 1, "")) * s.Unit
	return part + total(a.borrowed, at, 0, s.Unit, "")
}

// total returns the sum of the loans that count at a time, without those of one other entry. Each is multiplied by its
// unit, if that is lower than the given one, or else by the given one. Of several loans of one entry, which renew each
// other, the largest counts.
func total(loans []loan, at time.Time, window time.Duration, unit float64, without string) float64 {
	sum, largest := 0.0, 0.0
	for i, x := range loans {
		if x.other != without && x.counts(at, window) {
			largest = max(largest, x.parts*min(unit, x.unit))
		}
		if isLast := i == len(loans)-1 || loans[i+1].other != x.other; isLast {
			sum, largest = sum+largest, 0
		}
	}
	return sum
}

// counts reports whether a loan counts at a time. Window is the time for which it counts after its end.
func (x loan) counts(at time.Time, window time.Duration) bool {
	return !at.Before(x.from) && at.Before(x.until.Add(window))
}

// Want records that this entry needs a number of parts of a resource, including those that it has. Of the numbers that
// are recorded within half of demandTTL, the largest counts.
func (l *Ledger) Want(now time.Time, resource string, s State, parts float64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	at := l.at(now)
	a := l.account(at, resource)
	if a == nil || a.demand.parts > parts && at.Sub(a.demand.recordedAt) < demandTTL/2 {
		return
	}
	a.demand = demand{parts: parts, ownsPart: s.Owns, sharers: s.Sharers, recordedAt: at}
}

// WantMore records that this entry needs more of a resource than it has: half of that again, and at least one part more.
// It has no effect until the entry has been short for shortTime.
func (l *Ledger) WantMore(now time.Time, resource string, s State) {
	if s.Unit > 0 && l.isShort(now, resource) {
		l.Want(now, resource, s, min(1/s.Unit, growth*l.Part(now, resource, s)/s.Unit+1))
	}
}

// isShort records a call of WantMore and reports whether the entry has been short for shortTime.
func (l *Ledger) isShort(now time.Time, resource string) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	at := l.at(now)
	a := l.account(at, resource)
	if a == nil {
		return false
	}
	if at.Sub(a.shortAt) > demandTTL {
		a.shortSince = at
	}
	a.shortAt = at
	return at.Sub(a.shortSince) >= shortTime
}

// KeepWhatIsUsed records that this entry needs what it uses, if that is more than its own part and loans are therefore
// to be renewed.
func (l *Ledger) KeepWhatIsUsed(now time.Time, resource string, s State) {
	if needed := usedReserve * s.Used; needed > 1 && s.Unit > 0 {
		l.Want(now, resource, s, min(1/s.Unit, needed))
	}
}

const (
	// growth is the factor by which a demand that is not met grows with each round of requests. Within a second an entry
	// asks for three times as much as it has.
	growth = 1.5
	// shortTime is the time for which an entry has to be short of a resource before it borrows. A single request that waits
	// for its turn is no reason: at the beginning of a rate limit it made idle entries borrow from each other, and the one
	// that needed more used 0.76 of the limit.
	shortTime = 200 * time.Millisecond
	// usedReserve times its recent use is what an entry borrows again, so that its use can vary between two rounds.
	usedReserve = 1.25
)

// account returns the account of a resource at a time, nil if there are too many. The lock must be held.
func (l *Ledger) account(at time.Time, resource string) *account {
	a, ok := l.accounts[resource]
	if !ok && len(l.accounts) == maxResources {
		l.forget(at)
	}
	if !ok && len(l.accounts) < maxResources {
		a = &account{}
		l.accounts[resource] = a
	}
	return a
}

// forget drops what has ended too long ago to matter. The lock must be held.
func (l *Ledger) forget(at time.Time) {
	isOver := func(x loan) bool { return at.Sub(x.until) > historyTime }
	maps.DeleteFunc(l.accounts, func(_ string, a *account) bool {
		a.borrowed = slices.DeleteFunc(a.borrowed, isOver)
		a.lent = slices.DeleteFunc(a.lent, func(x loan) bool { return at.Sub(x.until) > x.keep })
		return len(a.borrowed) == 0 && len(a.lent) == 0 && !a.demand.isCurrent(at) && at.Sub(a.shortAt) > demandTTL
	})
}

func (d demand) isCurrent(at time.Time) bool {
	return d.parts > 0 && at.Sub(d.recordedAt) <= demandTTL
}

// Totals are the parts of a resource that an entry has lent and borrowed, in parts.
type Totals struct {
	Resource       string
	Lent, Borrowed float64
}

// Totals returns the loans of each resource at the time now, without the time after their leases, sorted by resource.
func (l *Ledger) Totals(now time.Time) []Totals {
	l.lock.Lock()
	defer l.lock.Unlock()
	at := l.at(now)
	var out []Totals
	for resource, a := range l.accounts {
		out = append(out, Totals{Resource: resource, Lent: sumOfParts(a.lent, at), Borrowed: sumOfParts(a.borrowed, at)})
	}
	slices.SortFunc(out, func(a, b Totals) int { return cmp.Compare(a.Resource, b.Resource) })
	return out
}

func sumOfParts(loans []loan, at time.Time) float64 {
	inParts := slices.Clone(loans)
	for i := range inParts {
		inParts[i].unit = 1
	}
	return total(inParts, at, 0, 1, "")
}

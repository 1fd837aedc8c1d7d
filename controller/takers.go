package controller

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// mostAddresses is the most addresses that an answer of the directory holds.
	mostAddresses = 64
	// fastPart is the part of the fastest entry's speed from which on an entry counts as
	// fast too.
	fastPart = 0.5
	// leastFast and leastFastPart are how many fast entries there must be, and what part of
	// the speed of all they must have, for callers to be sent to them alone: the loss of one
	// then costs few callers their answers, and they can do what all did at a fifth of load.
	leastFast     = 6
	leastFastPart = 0.2
	// strainedLag is how late an entry's own clock ticks on average, from which on it has
	// more to do than it can, calmLag that from which on it no longer has: a tick that
	// late is a tenth of a short prompt's target, and callers feel it several times.
	strainedLag, calmLag = 25 * time.Millisecond, 10 * time.Millisecond
	// lagWeight is what one tick counts in that average, which covers about a second.
	lagWeight = 0.1
	// mostLate bounds what one tick counts: a process that stood still for seconds is not
	// strained by that once it runs again.
	mostLate = 100 * time.Millisecond
)

// taker is an entry that takes callers.
type taker struct {
	name       string
	address    netip.AddrPort
	dataCentre string
	capacity
}

// capacity is what an entry can do.
type capacity struct {
	// speed is in processor cores; 0 where the entry does not know.
	speed float64
	// strained entries have more to do than they can.
	strained bool
}

// lagMeter says by how late its clock ticks whether this entry is strained.
type lagMeter struct {
	lag      time.Duration
	strained bool
}

// tick takes in how late a tick came, and reports whether the verdict changed.
func (m *lagMeter) tick(late time.Duration) bool {
	m.lag += time.Duration(lagWeight * float64(min(late, mostLate)-m.lag))
	before := m.strained
	switch {
	case m.lag > strainedLag:
		m.strained = true
	case m.lag < calmLag:
		m.strained = false
	}
	return m.strained != before
}

// preferred are the entries that callers are told: fast ones that are not strained, where
// there are enough of them, else all that are not strained, else all. What an entry does
// for a request takes an instance of a fifth of a core five times as long as a whole one.
func preferred(takers []taker) []taker {
	calm := slices.DeleteFunc(slices.Clone(takers), func(t taker) bool { return t.strained })
	if len(calm) == 0 {
		return takers
	}
	fastest := 0.0
	for _, t := range calm {
		fastest = max(fastest, t.speed)
	}
	fast := slices.DeleteFunc(slices.Clone(calm), func(t taker) bool { return t.speed < fastPart*fastest })
	if len(fast) < leastFast || speedOf(fast) < leastFastPart*speedOf(takers) {
		return calm
	}
	return fast
}

// unasked are the names of ready entries that callers are not told.
func unasked(ready, told []taker) map[string]bool {
	out := map[string]bool{}
	for _, t := range ready {
		out[t.name] = true
	}
	for _, t := range told {
		delete(out, t.name)
	}
	return out
}

// speedOf is the speed of entries together.
func speedOf(takers []taker) float64 {
	sum := 0.0
	for _, t := range takers {
		sum += t.speed
	}
	return sum
}

// CallerAddresses lists where a caller in a data centre may connect: entries of its
// own data centre first, where there are more than an answer holds.
func (c *Controller) CallerAddresses(dataCentre string) []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, t := range c.current.Load().takers {
		if t.dataCentre == dataCentre {
			near = append(near, t.address)
		} else {
			far = append(far, t.address)
		}
	}
	all := append(near, far...)
	return all[:min(len(all), mostAddresses)]
}

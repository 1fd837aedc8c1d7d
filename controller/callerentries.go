package controller

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// maxAddresses is the most addresses that an answer of the directory holds.
	maxAddresses = 64
	// fastFraction is the part of the fastest entry's speed from which on an entry counts as
	// fast too.
	fastFraction = 0.5
	// minFastEntries and leastFastPart are how many fast entries there must be, and what part of
	// the speed of all they must have, for callers to be sent to them alone: the loss of one
	// then costs few callers their answers, and they can do what all did at a fifth of load.
	minFastEntries       = 6
	minFastSpeedFraction = 0.2
	// overloadedLag is how late an entry's own clock ticks on average, from which on it has
	// more to do than it can, calmLag that from which on it no longer has: a tick that
	// late is a tenth of a short prompt's target, and callers feel it several times.
	overloadedLag, recoveredLag = 25 * time.Millisecond, 10 * time.Millisecond
	// lagWeight is what one tick counts in that average, which covers about a second.
	lagWeight = 0.1
	// maxTickDelay bounds what one tick counts: a process that stood still for seconds is not
	// strained by that once it runs again.
	maxTickDelay = 100 * time.Millisecond
)

// readyEntry is an entry that takes callers.
type readyEntry struct {
	name       string
	address    netip.AddrPort
	dataCentre string
	capacity
}

// capacity is what an entry can do.
type capacity struct {
	// speed is in processor cores; 0 where the entry does not know.
	speed float64
	// overloaded entries have more to do than they can.
	overloaded bool
}

// lagMeter says by how late its clock ticks whether this entry is strained.
type lagMeter struct {
	average    time.Duration
	overloaded bool
}

// observe takes in how late a tick came, and reports whether the verdict changed.
func (m *lagMeter) observe(delay time.Duration) bool {
	m.average += time.Duration(lagWeight * float64(min(delay, maxTickDelay)-m.average))
	wasOverloaded := m.overloaded
	switch {
	case m.average > overloadedLag:
		m.overloaded = true
	case m.average < recoveredLag:
		m.overloaded = false
	}
	return m.overloaded != wasOverloaded
}

// preferredEntries are the entries that callers are told: fast ones that are not strained, where
// there are enough of them, else all that are not strained, else all. What an entry does
// for a request takes an instance of a fifth of a core five times as long as a whole one.
func preferredEntries(ready []readyEntry) []readyEntry {
	candidates := slices.DeleteFunc(slices.Clone(ready), func(t readyEntry) bool { return t.overloaded })
	if len(candidates) == 0 {
		return ready
	}
	fastest := 0.0
	for _, t := range candidates {
		fastest = max(fastest, t.speed)
	}
	fast := slices.DeleteFunc(slices.Clone(candidates), func(t readyEntry) bool { return t.speed < fastFraction*fastest })
	if len(fast) < minFastEntries || totalSpeed(fast) < minFastSpeedFraction*totalSpeed(ready) {
		return candidates
	}
	return fast
}

// withoutCallers are the names of ready entries that callers are not told.
func withoutCallers(ready, preferred []readyEntry) map[string]bool {
	out := map[string]bool{}
	for _, t := range ready {
		out[t.name] = true
	}
	for _, t := range preferred {
		delete(out, t.name)
	}
	return out
}

// totalSpeed is the speed of entries together.
func totalSpeed(entries []readyEntry) float64 {
	sum := 0.0
	for _, t := range entries {
		sum += t.speed
	}
	return sum
}

// CallerAddresses lists where a caller in a data centre may connect: entries of its
// own data centre first, where there are more than an answer holds.
func (c *Controller) CallerAddresses(dataCentre string) []netip.AddrPort {
	var local, remote []netip.AddrPort
	for _, t := range c.current.Load().callerEntries {
		if t.dataCentre == dataCentre {
			local = append(local, t.address)
		} else {
			remote = append(remote, t.address)
		}
	}
	all := append(local, remote...)
	return all[:min(len(all), maxAddresses)]
}

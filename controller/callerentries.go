package controller

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// maxAddresses limits the addresses in a reply of the directory.
	maxAddresses = 64
	// fastFraction is the fraction of the fastest entry's speed that an entry needs to
	// count as fast.
	fastFraction = 0.5
	// Callers are sent only to fast entries if there are at least minFastEntries of them,
	// so that the loss of one affects few callers, and if they have at least
	// minFastSpeedFraction of the total speed, so that together they can carry the load
	// of a whole fleet that is at a fifth of its capacity.
	minFastEntries       = 6
	minFastSpeedFraction = 0.2
	// overloadedLag is the average delay of ticks above which an entry counts as
	// overloaded, recoveredLag that below which it no longer does. A tick delayed by
	// overloadedLag costs a tenth of a short prompt's latency target, and each request
	// meets several such delays.
	overloadedLag, recoveredLag = 25 * time.Millisecond, 10 * time.Millisecond
	// lagWeight is the weight of one tick in the average delay of ticks. The average
	// thereby covers about a second.
	lagWeight = 0.1
	// maxTickDelay caps the delay counted for one tick, so that a process that was
	// suspended for seconds is not taken for overloaded after it resumes.
	maxTickDelay = 100 * time.Millisecond
)

// readyEntry is an entry that accepts callers.
type readyEntry struct {
	name string
	// address is the address that callers connect to.
	address    netip.AddrPort
	dataCentre string
	capacity
}

// capacity describes how much work an entry can do.
type capacity struct {
	// speed is the processor capacity in cores; 0 if unknown.
	speed float64
	// overloaded is true if the entry's timers fire late.
	overloaded bool
}

// lagMeter detects overload of this entry by the delay of its ticks.
type lagMeter struct {
	// average is the exponentially weighted average of the delays.
	average    time.Duration
	overloaded bool
}

// observe adds the delay of one tick to the average, and reports whether overloaded changed.
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

// preferredEntries returns the entries whose addresses callers are given: those that are fast
// and not overloaded if there are enough of them, else all that are not overloaded, else all.
// The work per request takes five times as long on an instance with a fifth of a core as on
// one with a whole core.
func preferredEntries(ready []readyEntry) []readyEntry {
	candidates := slices.DeleteFunc(slices.Clone(ready), func(e readyEntry) bool { return e.overloaded })
	if len(candidates) == 0 {
		return ready
	}
	fastest := 0.0
	for _, e := range candidates {
		fastest = max(fastest, e.speed)
	}
	fast := slices.DeleteFunc(slices.Clone(candidates), func(e readyEntry) bool { return e.speed < fastFraction*fastest })
	if len(fast) < minFastEntries || totalSpeed(fast) < minFastSpeedFraction*totalSpeed(ready) {
		return candidates
	}
	return fast
}

// withoutCallers returns the names of ready entries whose addresses callers are not given.
func withoutCallers(ready, preferred []readyEntry) map[string]bool {
	out := map[string]bool{}
	for _, e := range ready {
		out[e.name] = true
	}
	for _, e := range preferred {
		delete(out, e.name)
	}
	return out
}

// totalSpeed returns the sum of the speeds of entries, in processor cores.
func totalSpeed(entries []readyEntry) float64 {
	sum := 0.0
	for _, e := range entries {
		sum += e.speed
	}
	return sum
}

// CallerAddresses returns up to maxAddresses addresses to which a caller in a data centre may
// connect. Entries of that data centre come first.
func (c *Controller) CallerAddresses(dataCentre string) []netip.AddrPort {
	var local, remote []netip.AddrPort
	for _, e := range c.current.Load().callerEntries {
		if e.dataCentre == dataCentre {
			local = append(local, e.address)
		} else {
			remote = append(remote, e.address)
		}
	}
	all := append(local, remote...)
	return all[:min(len(all), maxAddresses)]
}

package controller

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/tunneler"
)

const (
	// maxAddresses is the maximum number of addresses that CallerAddresses returns.
	maxAddresses = 64
	// fastFraction is the minimum ratio of an entry's speed to that of the fastest entry
	// at which preferredEntries classifies the entry as fast.
	fastFraction = 0.5
	// Callers are given only the addresses of fast entries if there are at least
	// minFastEntries of these, so that the loss of one affects few callers, and if their
	// speeds add up to at least minFastSpeedFraction of the speeds of all entries, so that
	// they can carry the load of a whole fleet that is at a fifth of its capacity.
	minFastEntries       = 6
	minFastSpeedFraction = 0.2
	// An entry is overloaded from when the average delay of its ticks exceeds
	// overloadedLag until the average falls below recoveredLag. A timer that fires
	// overloadedLag late uses up a tenth of a short prompt's latency target, and each
	// request is delayed by several timers.
	overloadedLag, recoveredLag = 25 * time.Millisecond, 10 * time.Millisecond
	// lagWeight is the weight, from 0 to 1, of the latest tick in the exponentially
	// weighted average delay of ticks. The average thereby covers about a second.
	lagWeight = 0.1
	// maxTickDelay caps the delay counted for one tick, so that a process that was
	// suspended for seconds is not taken for overloaded after it resumes.
	maxTickDelay = 100 * time.Millisecond
)

// readyEntry is an entry that accepts callers.
type readyEntry struct {
	name string
	// address is where the entry accepts callers, peerAddress where it accepts calls of other entries.
	address, peerAddress netip.AddrPort
	dataCentre           string
	capacity
}

// capacity describes how much work an entry can do.
type capacity struct {
	// speed is the processor capacity of the entry in cores; 0 if unknown.
	speed float64
	// overloaded is true if the entry's timers fire late.
	overloaded bool
	// cutOff is true if the entry reaches no upstream directly.
	cutOff bool
}

// lagMeter detects overload of this entry by the delay of its ticks: by how much more than
// tickPeriod passed between two calls of state.tick.
type lagMeter struct {
	// average is the exponentially weighted average of the delays.
	average time.Duration
	// overloaded is true from when average exceeds overloadedLag until it falls below
	// recoveredLag.
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

// preferredEntries returns those ready entries whose addresses callers are given: the ones
// that are fast and not overloaded if there are enough of them (see minFastEntries); otherwise
// all that are not overloaded; if all are overloaded, all. An entry with a fifth of a core
// takes five times as long for the work per request as one with a whole core. Entries that reach no
// upstream are left out, unless the others have too little speed in total.
func preferredEntries(ready []readyEntry) []readyEntry {
	if inContact := withoutCutOff(ready); len(inContact) > 0 && totalSpeed(inContact) >= minFastSpeedFraction*totalSpeed(ready) {
		ready = inContact
	}
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

// withoutCutOff returns the entries that reach upstreams directly.
func withoutCutOff(entries []readyEntry) []readyEntry {
	return slices.DeleteFunc(slices.Clone(entries), func(e readyEntry) bool { return e.cutOff })
}

// withoutCallers returns the names of the ready entries that are not among the preferred ones, so
// that callers are not given their addresses.
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

// Relays returns the other entries that callers are given and that reach upstreams directly, as far as this
// entry knows.
func (c *Controller) Relays() []tunneler.Relay {
	var out []tunneler.Relay
	for _, e := range c.current.Load().callerEntries {
		if !e.cutOff && e.name != c.config.Name {
			out = append(out, tunneler.Relay{Name: e.name, Address: e.peerAddress, DataCentre: e.dataCentre, Region: c.config.Regions[e.dataCentre]})
		}
	}
	return out
}

// CallerAddresses returns the addresses of up to maxAddresses (64) entries to which a caller in
// the given data centre may connect. Entries of that data centre come first.
func (c *Controller) CallerAddresses(dataCentre string) []netip.AddrPort {
	var local, remote []netip.AddrPort
	for _, e := range c.entriesForCaller(dataCentre) {
		if e.dataCentre == dataCentre {
			local = append(local, e.address)
		} else {
			remote = append(remote, e.address)
		}
	}
	all := append(local, remote...)
	return all[:min(len(all), maxAddresses)]
}

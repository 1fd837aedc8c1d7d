package dispatcher

import (
	"slices"
	"time"
)

// SettleDelay is the time from placing a long prompt to sending it, in which entries that chose the
// same engines at the same moment receive each other's load updates. It covers the delay with which
// entries report a change, one transit between data centres and one within a data centre, and as
// much again for processor time. It is 1% of the prefill time of the shortest long prompt.
const SettleDelay = 12 * time.Millisecond

// ShouldSettle reports whether the request must wait for SettleDelay before it is sent: other entries
// place requests too, and its prompt is long or little of the memory of one of its engines was free.
func (p *Placement) ShouldSettle() bool {
	b := p.dispatcher
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.peerCount > 0 && (p.request.hasLongPrefill() || slices.ContainsFunc(p.request.assignments, (*assignment).isTight))
}

// ShouldYield reports whether the request should be placed again, because a peer's long prompt on
// one of its engines was first reported after this request was placed, and must already have been
// sent or has precedence (see isSent and precedes). Where the engine lacks memory for both, the
// later prompt would wait until the other's answer ends, and then delay everything placed there
// since. A request also yields to any such request of a peer with which its engine would hold more than
// its memory. Of two requests placed at the same moment one yields, and both entries agree on which.
func (p *Placement) ShouldYield(now time.Time) bool {
	b, r := p.dispatcher, p.request
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, a := range r.assignments {
		isOverfull := a.upstream.isOverfull()
		for other := range a.upstream.assignments {
			rival := other.request
			if rival.firstReportedAt.After(r.placedAt) && (isOverfull || r.hasLongPrefill() && rival.hasLongPrefill()) && (rival.isSent(now) || rival.precedes(r)) {
				return true
			}
		}
	}
	return false
}

// hasLongPrefill reports whether the request's prompt is long; false for plain services.
func (r *request) hasLongPrefill() bool {
	e := r.assignments[0].upstream.engine
	return e != nil && hasLongPrefill(e, r.promptTokens)
}

// isSent reports whether a peer's request with a long prompt must have been sent to its engines by
// now: SettleDelay after its placement, with as much again allowed for the transit of the load
// update.
func (r *request) isSent(now time.Time) bool { return now.Sub(r.placedAt) > 2*SettleDelay }

// precedes reports whether r has precedence over another request that was placed at the same
// moment. The request whose caller had waited longer, in whole milliseconds, goes first, then the
// one with the lower ID, so that all entries agree.
func (r *request) precedes(o *request) bool {
	a, b := r.placedAt.Sub(r.waitingSince).Milliseconds(), o.placedAt.Sub(o.waitingSince).Milliseconds()
	if a != b {
		return a > b
	}
	return r.compactID < o.compactID
}

// tightMemoryFraction is the fraction of an engine's memory in use from which on requests placed there settle. The rest
// holds one of the largest prompts of the first deployments and a short one, which two entries may place within
// SettleDelay.
const tightMemoryFraction = 0.5

// isTight reports whether the engine of an assignment had little free memory when the request was placed, by what this
// entry knew then.
func (a *assignment) isTight() bool {
	e := a.upstream.engine
	if e == nil || a.memoryTokens == 0 {
		return false
	}
	used := 0
	for other := range a.upstream.assignments {
		if !other.request.firstReportedAt.After(a.request.placedAt) {
			used += other.memoryTokens
		}
	}
	return float64(used) > tightMemoryFraction*float64(e.MemoryTokens)
}

// isOverfull reports whether the requests at an engine need more than its memory.
func (u *upstream) isOverfull() bool {
	return u.engine != nil && u.memoryTokens() > u.engine.MemoryTokens
}

// memoryTokens returns the memory that the requests at an upstream need, in tokens.
func (u *upstream) memoryTokens() int {
	sum := 0
	for a := range u.assignments {
		sum += a.memoryTokens
	}
	return sum
}

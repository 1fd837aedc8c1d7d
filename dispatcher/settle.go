package dispatcher

import "time"

// SettleDelay is the time from placing a long prompt to sending it, in which entries that chose the
// same engines at the same moment receive each other's load updates. It covers the delay with which
// entries report a change, one transit between data centres and one within a data centre, and as
// much again for processor time. It is 1% of the prefill time of the shortest long prompt.
const SettleDelay = 12 * time.Millisecond

// ShouldSettle reports whether the request must wait for SettleDelay before it is sent: its prompt
// is long, and other entries place requests too.
func (p *Placement) ShouldSettle() bool {
	b := p.dispatcher
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.peerCount > 0 && p.request.hasLongPrefill()
}

// ShouldYield reports whether the request should be placed again, because a peer's long prompt on
// one of its engines was first reported after this request was placed, and must already have been
// sent or has precedence (see isSent and precedes). Where the engine lacks memory for both, the
// later prompt would wait until the other's answer ends, and then delay everything placed there
// since. Of two requests placed at the same moment one yields, and both entries agree on which.
func (p *Placement) ShouldYield(now time.Time) bool {
	b, r := p.dispatcher, p.request
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, a := range r.assignments {
		for other := range a.upstream.assignments {
			rival := other.request
			if rival.firstReportedAt.After(r.placedAt) && rival.hasLongPrefill() && (rival.isSent(now) || rival.precedes(r)) {
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

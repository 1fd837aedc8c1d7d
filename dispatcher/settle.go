package dispatcher

import "time"

// SettleDelay is the time between the placement of a long prompt and its sending, in which entries
// that chose the same engines at the same moment receive each other's updates. It covers the delay
// with which entries report a change, one transit between data centres and one within a data
// centre, and as much again for the processor. It is 1% of the engine time of the shortest long
// prompt.
const SettleDelay = 12 * time.Millisecond

// ShouldSettle reports whether the request must wait for SettleDelay before it is sent: its prompt
// is long, and other entries place requests too.
func (p *Placement) ShouldSettle() bool {
	b := p.dispatcher
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.peerCount > 0 && p.request.hasLongPrefill()
}

// ShouldYield reports whether the request should be placed again, since a peer placed a long prompt
// on one of its engines that was not known at its placement. Where the engine lacks memory for
// both, the later one would wait there until the other's answer ends, and then delay everything
// placed there since. Of two requests placed at the same moment one yields, and both entries agree
// on which.
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

// isSent reports whether a request with a long prompt has been sent to its engines by now. It
// allows SettleDelay for the wait, and as much for the transit of the load update.
func (r *request) isSent(now time.Time) bool { return now.Sub(r.placedAt) > 2*SettleDelay }

// precedes reports whether r has precedence over another request that was placed at the same
// moment. The request whose caller had waited longer goes first, then the one with the lower ID, so
// that all entries agree.
func (r *request) precedes(o *request) bool {
	a, b := r.placedAt.Sub(r.waitingSince).Milliseconds(), o.placedAt.Sub(o.waitingSince).Milliseconds()
	if a != b {
		return a > b
	}
	return r.wireID < o.wireID
}

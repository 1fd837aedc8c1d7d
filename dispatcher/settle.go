package dispatcher

import "time"

// SettleDelay is how long a heavy prompt that has its place is not sent yet, so that entries
// that chose the same engines at the same moment learn of each other: the time after which
// entries tell of a change, a way between data centres and one within, with as much again
// for the processor. It is 1% of the engines' time that the least heavy prompt takes.
const SettleDelay = 12 * time.Millisecond

// ShouldSettle reports whether the request is to wait for SettleTime before it is sent: a
// heavy prompt, where other entries place too.
func (p *Placement) ShouldSettle() bool {
	b := p.dispatcher
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.peerCount > 0 && p.request.hasLongPrefill()
}

// ShouldYield reports whether the request is to give up its place, since a peer placed a heavy
// prompt at one of its engines that was not known when this one was placed. The later
// of the two would wait there until the other's answer ends, where the engine has no memory
// for both, and then hold up everything that was placed there since. Of two that were
// placed at the same moment one yields, at both entries the same.
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

// hasLongPrefill reports whether the request's prompt is.
func (r *request) hasLongPrefill() bool {
	e := r.assignments[0].upstream.engine
	return e != nil && hasLongPrefill(e, r.promptTokens)
}

// isSent reports whether a heavy request has been sent to its engines by a time, a moment
// for the way of what was told of it included.
func (r *request) isSent(now time.Time) bool { return now.Sub(r.placedAt) > 2*SettleDelay }

// precedes orders requests that were placed at the same moment, alike at all entries: the
// one whose caller has waited longer goes first.
func (r *request) precedes(o *request) bool {
	a, b := r.placedAt.Sub(r.waitingSince).Milliseconds(), o.placedAt.Sub(o.waitingSince).Milliseconds()
	if a != b {
		return a > b
	}
	return r.wireID < o.wireID
}

package dispatcher

import "time"

// unlistedTTL is the time for which an incarnation that is leaving or has a rate limit is remembered
// after it was last listed, as an outage of the store can bring back an older list that contains it.
const unlistedTTL = 5 * time.Minute

// backpressure is what an incarnation of an upstream has reported in its responses about accepting
// requests. It takes precedence over the instance list from the store, which may be outdated while
// the store is unavailable, and applies even where no other upstream is usable.
type backpressure struct {
	// leaving is true once the incarnation has reported that it accepts no more requests.
	leaving bool
	// backoffUntil is the time until which the incarnation asks this entry to send nothing; zero if
	// it never did.
	backoffUntil time.Time
	// rateLimit is the report with the rate limit in force; zero if no response stated a limit.
	rateLimit RateLimitReport
	// ownRateLimit is true if this entry itself has received the response of rateLimit. limitEndedAt is
	// the time at which a limit was last found to have ended.
	ownRateLimit bool
	limitEndedAt time.Time
	// reportedAt is the time at which the incarnation last reported that it is leaving or asked for
	// a backoff, listedAt the time at which the instance list last contained it.
	reportedAt, listedAt time.Time
}

// isRefusing reports whether the incarnation accepts no requests now.
func (p *backpressure) isRefusing(now time.Time) bool { return p.leaving || p.backoffUntil.After(now) }

// isRetained reports whether the backpressure must still be remembered once the incarnation is no
// longer listed: for unlistedTTL after it was last listed if it is leaving or has a rate limit, and in
// any case until its backoff ends.
func (p *backpressure) isRetained(now time.Time) bool {
	return (p.leaving || p.rateLimit.Limit.Limited) && now.Sub(p.listedAt) < unlistedTTL || p.backoffUntil.After(now)
}

// MarkLeaving records that an incarnation of an upstream reported that it is leaving. It returns
// true for the first such report, and false for later ones and where the incarnation is unknown or
// has ended.
func (b *Dispatcher) MarkLeaving(i Instance) bool {
	return b.updateBackpressure(i, func(p *backpressure) bool {
		isNew := !p.leaving
		p.leaving = true
		return isNew
	})
}

// SetBackoff records that an incarnation of an upstream asked this entry to send nothing until the
// given time. It returns true if that time is later than any that the incarnation asked for before,
// and false where the incarnation is unknown or has ended.
func (b *Dispatcher) SetBackoff(i Instance, until time.Time) bool {
	return b.updateBackpressure(i, func(p *backpressure) bool {
		isNew := until.After(p.backoffUntil)
		if isNew {
			p.backoffUntil = until
		}
		return isNew
	})
}

// updateBackpressure applies a change to the backpressure of an incarnation, and returns the result
// of the change. It returns false where the incarnation is unknown or has ended.
func (b *Dispatcher) updateBackpressure(i Instance, change func(*backpressure) bool) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	u, ok := b.upstreams[i.ID]
	if !ok || !u.instance.SameIncarnation(i) {
		return false
	}
	u.backpressure.reportedAt = time.Now()
	return change(&u.backpressure)
}

// afterRestart returns the backpressure of the incarnation that replaced this one at restartedAt.
// What was reported after that time came from the new incarnation, before this entry's instance list
// contained that incarnation, and is kept; the rest is not.
func (p backpressure) afterRestart(restartedAt time.Time) backpressure {
	carried := backpressure{}
	if p.reportedAt.After(restartedAt) {
		carried = p
	}
	carried.rateLimit, carried.ownRateLimit = RateLimitReport{}, false
	if p.rateLimit.ReceivedAt.After(restartedAt) {
		carried.rateLimit = p.rateLimit
	}
	return carried
}

// refuseNoneUsable returns the refusal of a request whose service has no usable upstream.
// RetryAfter is the time until the first upstream accepts a request again, and minRetryAfter where that is
// unknown. It is maxRetryAfter where none is listed, or none in a home region of the request, as all have left or
// their data centres are evacuated:
// an upstream takes seconds to start.
func (b *Dispatcher) refuseNoneUsable(now time.Time, d Demand) *Refusal {
	if len(b.services[d.Service]) == 0 {
		return &Refusal{Reason: "no_upstream", RetryAfter: maxRetryAfter}
	}
	atHome := b.upstreamsAtHome(d)
	if len(atHome) == 0 {
		return &Refusal{Reason: ReasonNoUpstreamAtHome, RetryAfter: maxRetryAfter}
	}
	var first *Refusal
	for _, u := range atHome {
		if r := b.refuseUnready(now, u); r != nil && (first == nil || r.Wait < first.Wait) {
			first = r
		}
	}
	if first == nil {
		return &Refusal{Reason: "no_upstream", RetryAfter: minRetryAfter}
	}
	return first
}

// refuseUnready returns the refusal of a request for which only the given upstream is left, which accepts
// requests later: after its backoff, or on this entry's next turn while it is cold or has a rate limit. It
// returns nil if the upstream is leaving or accepts requests now.
func (b *Dispatcher) refuseUnready(now time.Time, u *upstream) *Refusal {
	if u.backpressure.leaving {
		return nil
	}
	if backoff := u.backpressure.backoffUntil.Sub(now); backoff > 0 {
		return &Refusal{Reason: "upstreams_pause", Wait: backoff, RetryAfter: backoff}
	}
	cold, limited := b.coldWait(now, u), b.rateLimitWait(now, u)
	wait := max(cold, limited)
	if wait == 0 {
		return nil
	}
	r := &Refusal{Reason: "upstreams_cold", Temporary: true, Wait: wait, RetryAfter: min(maxRetryAfter, max(minRetryAfter, wait))}
	if limited > cold {
		r.Reason = "upstreams_limited"
	}
	return r
}

package dispatcher

import "time"

// leavingTTL is how long a run that said that it leaves is remembered when it is no longer
// listed: an upstream may be listed again after an outage of the store, as it was before.
const leavingTTL = 5 * time.Minute

// backpressure is what one run of an upstream said in its answers of what it takes. It goes before
// what the store says, which may be away, and before any need.
type backpressure struct {
	// leaving runs take nothing more.
	leaving bool
	// backoffUntil is until when the run wants nothing from this entry.
	backoffUntil time.Time
	// reportedAt is when the run last said something of it, listedAt when it was last listed.
	reportedAt, listedAt time.Time
}

// isRefusing reports whether the run takes nothing now.
func (p *backpressure) isRefusing(now time.Time) bool { return p.leaving || p.backoffUntil.After(now) }

// isRetained reports whether the wish is remembered though the run is not listed.
func (p *backpressure) isRetained(now time.Time) bool {
	return p.leaving && now.Sub(p.listedAt) < leavingTTL || p.backoffUntil.After(now)
}

// MarkLeaving notes that a run of an upstream said that it leaves, and reports whether that is news.
func (b *Dispatcher) MarkLeaving(i Instance) bool {
	return b.updateBackpressure(i, func(p *backpressure) bool {
		isNew := !p.leaving
		p.leaving = true
		return isNew
	})
}

// SetBackoff notes that a run of an upstream wants nothing from this entry until a time, and
// reports whether that is news.
func (b *Dispatcher) SetBackoff(i Instance, until time.Time) bool {
	return b.updateBackpressure(i, func(p *backpressure) bool {
		isNew := until.After(p.backoffUntil)
		if isNew {
			p.backoffUntil = until
		}
		return isNew
	})
}

// updateBackpressure changes the wish of a run, where the board still knows that run.
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

// afterRestart returns what is left of a wish where another run has begun at a time: what was said
// since was said by that one, of which this entry heard late.
func (p backpressure) afterRestart(restartedAt time.Time) backpressure {
	if p.reportedAt.After(restartedAt) {
		return p
	}
	return backpressure{}
}

// refuseNoneUsable is the refusal where no upstream may be sent a request: it is taken when the
// first of those that pause takes requests again.
func (b *Dispatcher) refuseNoneUsable(now time.Time, d Demand) *Refusal {
	var first time.Time
	for _, u := range b.services[d.Service] {
		until := u.backpressure.backoffUntil
		if !u.backpressure.leaving && until.After(now) && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	if first.IsZero() {
		return &Refusal{Reason: "no_upstream", RetryAfter: minRetryAfter}
	}
	return &Refusal{Reason: "upstreams_pause", RetryAfter: first.Sub(now)}
}

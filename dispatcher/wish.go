package dispatcher

import "time"

// leavingKept is how long a run that said that it leaves is remembered when it is no longer
// listed: an upstream may be listed again after an outage of the store, as it was before.
const leavingKept = 5 * time.Minute

// wish is what one run of an upstream said in its answers of what it takes. It goes before
// what the store says, which may be away, and before any need.
type wish struct {
	// leaving runs take nothing more.
	leaving bool
	// pausedTo is until when the run wants nothing from this entry.
	pausedTo time.Time
	// saidAt is when the run last said something of it, listedAt when it was last listed.
	saidAt, listedAt time.Time
}

// refuses reports whether the run takes nothing now.
func (w *wish) refuses(now time.Time) bool { return w.leaving || w.pausedTo.After(now) }

// kept reports whether the wish is remembered though the run is not listed.
func (w *wish) kept(now time.Time) bool {
	return w.leaving && now.Sub(w.listedAt) < leavingKept || w.pausedTo.After(now)
}

// MarkLeaving notes that a run of an upstream said that it leaves, and reports whether that is news.
func (b *Dispatcher) MarkLeaving(i Instance) bool {
	return b.note(i, func(w *wish) bool {
		news := !w.leaving
		w.leaving = true
		return news
	})
}

// SetBackoff notes that a run of an upstream wants nothing from this entry until a time, and
// reports whether that is news.
func (b *Dispatcher) SetBackoff(i Instance, until time.Time) bool {
	return b.note(i, func(w *wish) bool {
		news := until.After(w.pausedTo)
		if news {
			w.pausedTo = until
		}
		return news
	})
}

// note changes the wish of a run, where the board still knows that run.
func (b *Dispatcher) note(i Instance, change func(*wish) bool) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	w, ok := b.workers[i.ID]
	if !ok || !w.instance.SameIncarnation(i) {
		return false
	}
	w.wish.saidAt = time.Now()
	return change(&w.wish)
}

// after returns what is left of a wish where another run has begun at a time: what was said
// since was said by that one, of which this entry heard late.
func (w wish) after(began time.Time) wish {
	if w.saidAt.After(began) {
		return w
	}
	return wish{}
}

// noneUsable is the refusal where no upstream may be sent a request: it is taken when the
// first of those that pause takes requests again.
func (b *Dispatcher) noneUsable(now time.Time, d Demand) *Refusal {
	var first time.Time
	for _, w := range b.services[d.Service] {
		to := w.wish.pausedTo
		if !w.wish.leaving && to.After(now) && (first.IsZero() || to.Before(first)) {
			first = to
		}
	}
	if first.IsZero() {
		return &Refusal{Reason: "no_upstream", RetryAfter: leastRetry}
	}
	return &Refusal{Reason: "upstreams_pause", RetryAfter: first.Sub(now)}
}

package dispatcher

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/sapphireramp/sapphireramp/assigner"
)

// coldShare is the fraction of the rate that a cold upstream tolerates that the entries which know
// of each other use together. While a network partition divides the entries into two parts, each part
// uses that fraction.
const coldShare = 0.5

// warmUp limits the requests that this entry sends to one cold upstream. All entries together keep to
// the rate that the upstream tolerates without telling each other: rendezvous hashing over the upstream's
// incarnation draws a few entries, each of which sends at most one request per interval.
type warmUp struct {
	// nextAt is the earliest time of this entry's next request to the upstream while it is cold; zero
	// before the first.
	nextAt time.Time
	// interval is the shortest time between two requests of this entry; 0 if the entry was not drawn.
	// It is valid for the version of the Dispatcher's placing entries in drawnVersion.
	interval     time.Duration
	drawnVersion int
}

// SetPlacingEntries sets the names of the entries, including this one, that callers are told to
// use, and this entry's own name. They share the requests that cold upstreams and those with a rate
// limit get.
func (b *Dispatcher) SetPlacingEntries(own string, placing []string) {
	sorted := slices.Sorted(slices.Values(placing))
	b.lock.Lock()
	defer b.lock.Unlock()
	b.sharers.update(time.Now(), placing)
	if own == b.name && slices.Equal(sorted, b.placingEntries) {
		return
	}
	b.name, b.placingEntries = own, sorted
	b.placingVersion++
}

// isCold reports whether the upstream is cold and its service limits the requests to cold upstreams.
func (u *upstream) isCold(now time.Time) bool {
	return u.coldRate > 0 && now.Before(u.instance.ColdUntil)
}

// coldWait returns how long this entry must not send requests to an upstream because it is cold: until
// the entry's next turn, or until the upstream is warm, whichever comes first. It returns 0 if the entry
// may send a request now.
func (b *Dispatcher) coldWait(now time.Time, u *upstream) time.Duration {
	if !u.isCold(now) {
		return 0
	}
	untilWarm := u.instance.ColdUntil.Sub(now)
	// An isolated entry does not know how many others send requests to the upstream.
	if interval := b.coldInterval(u); b.isolated || interval == 0 {
		return untilWarm
	}
	return min(untilWarm, max(0, u.warmUp.nextAt.Sub(now)))
}

// coldInterval returns the shortest time between two requests of this entry to a cold upstream, or 0 if
// the entry is not one of those that send it requests.
func (b *Dispatcher) coldInterval(u *upstream) time.Duration {
	w := &u.warmUp
	if w.drawnVersion == b.placingVersion {
		return w.interval
	}
	w.drawnVersion, w.interval = b.placingVersion, 0
	rate := coldShare * u.coldRate
	senders := min(len(b.placingEntries), max(1, int(rate)))
	if !slices.Contains(b.placingEntries, b.name) {
		return 0
	}
	if b.countDrawnBefore(u, b.placingEntries) < senders {
		w.interval = time.Duration(math.Ceil(float64(senders) / rate * float64(time.Second)))
	}
	return w.interval
}

// countDrawnBefore returns how many of the entries with the given names rendezvous hashing over an
// upstream's incarnation draws before this one.
func (b *Dispatcher) countDrawnBefore(u *upstream, names []string) int {
	key := strconv.FormatUint(uint64(u.compactID), 16)
	ownWeight, count := assigner.Weight(b.name, key), 0
	for _, name := range names {
		if assigner.Weight(name, key) > ownWeight {
			count++
		}
	}
	return count
}

// recordColdRequest records that a request was placed on an upstream, which delays this entry's next one
// if the upstream is cold.
func (b *Dispatcher) recordColdRequest(now time.Time, u *upstream) {
	if u.isCold(now) {
		u.warmUp.nextAt = now.Add(b.coldInterval(u))
	}
}

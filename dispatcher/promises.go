package dispatcher

import "time"

// PromisePart returns the fraction of the promises of all entries to refused callers that this entry may
// make: an equal part for each entry that places requests or did so within sharerTTL, as promises of
// entries that have left stay in force for about as long. It is 0 for an entry that does not know the
// others, as in ownRate.
func (b *Dispatcher) PromisePart() float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	if _, ok := b.sharers.placedAt[b.name]; !ok || b.isolated && time.Since(b.isolatedAt) < sharerTTL {
		return 0
	}
	return 1 / float64(len(b.sharers.names))
}

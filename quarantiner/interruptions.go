package quarantiner

import (
	"slices"
	"time"
)

const (
	// interruptionTTL is the time after which an interruption that no restart has explained is dropped. Within it
	// an upstream that has crashed is registered again, as the next incarnation.
	interruptionTTL = 10 * time.Second
	// maxInterruptions is the maximum number of interruptions kept; the oldest ones are dropped.
	maxInterruptions = 1024
)

// interruption is a response that broke off at a time, which may be due to the exit of its upstream's incarnation.
type interruption[T any] struct {
	incarnation IncarnationHash
	ended       time.Time
	crash       T
}

// Interruptions holds responses that broke off recently, each with what is to be recorded if its upstream turns out
// to have exited. The zero value is empty.
type Interruptions[T any] struct {
	// items are the interruptions, oldest first; at most maxInterruptions.
	items []interruption[T]
}

// Add adds an interruption of a response of an incarnation.
func (n *Interruptions[T]) Add(now time.Time, incarnation IncarnationHash, ended time.Time, crash T) {
	n.expire(now)
	n.items = append(n.items, interruption[T]{incarnation: incarnation, ended: ended, crash: crash})
	n.items = n.items[max(0, len(n.items)-maxInterruptions):]
}

// Take removes the recent interruptions of an incarnation and returns them.
func (n *Interruptions[T]) Take(now time.Time, incarnation IncarnationHash) []T {
	n.expire(now)
	var found []T
	n.items = slices.DeleteFunc(n.items, func(item interruption[T]) bool {
		if item.incarnation == incarnation {
			found = append(found, item.crash)
		}
		return item.incarnation == incarnation
	})
	return found
}

// Forget drops the interruptions since a time.
func (n *Interruptions[T]) Forget(since time.Time) {
	n.items = slices.DeleteFunc(n.items, func(item interruption[T]) bool { return !item.ended.Before(since) })
}

// expire drops the interruptions that are older than interruptionTTL.
func (n *Interruptions[T]) expire(now time.Time) {
	n.items = slices.DeleteFunc(n.items, func(item interruption[T]) bool { return now.Sub(item.ended) > interruptionTTL })
}

// RecordInterruption records that the response of an upstream broke off, which may be a crash. ConfirmExit
// decides; a crash that is certain is recorded with RecordCrash.
func (q *Quarantiner) RecordInterruption(now time.Time, possible Crash) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.interruptions.Add(now, possible.Incarnation, possible.Ended, possible)
}

// ConfirmExit records the recent interruptions of an incarnation as crashes, since its upstream runs as another
// incarnation now, and returns them.
func (q *Quarantiner) ConfirmExit(now time.Time, incarnation IncarnationHash) []Crash {
	q.lock.Lock()
	defer q.lock.Unlock()
	confirmed := q.interruptions.Take(now, incarnation)
	for _, c := range confirmed {
		q.recordCrash(now, c)
	}
	return confirmed
}

// ForgetInterruptions drops the interruptions since a time, as when it turns out that the links of this entry
// were at fault.
func (q *Quarantiner) ForgetInterruptions(since time.Time) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.interruptions.Forget(since)
}

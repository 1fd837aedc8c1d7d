package quarantiner

import (
	"slices"
	"time"
)

const (
	// interruptionTTL is the time after which an interruption that no restart has explained is dropped.
	// Within it an upstream that has crashed is registered again, as the next incarnation.
	interruptionTTL = 10 * time.Second
	// maxInterruptions is the maximum number of interruptions kept; the oldest ones are dropped.
	maxInterruptions = 1024
)

// RecordInterruption records that the response of an upstream broke off, which may be a crash. ConfirmExit
// decides; a crash that is certain is recorded with RecordCrash.
func (q *Quarantiner) RecordInterruption(now time.Time, possible Crash) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.expireInterruptions(now)
	q.interruptions = append(q.interruptions, possible)
	q.interruptions = q.interruptions[max(0, len(q.interruptions)-maxInterruptions):]
}

// ConfirmExit records the recent interruptions of an incarnation as crashes, since its upstream runs as another
// incarnation now, and returns them.
func (q *Quarantiner) ConfirmExit(now time.Time, incarnation IncarnationHash) []Crash {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.expireInterruptions(now)
	var confirmed []Crash
	q.interruptions = slices.DeleteFunc(q.interruptions, func(c Crash) bool {
		if c.Incarnation == incarnation {
			confirmed = append(confirmed, c)
		}
		return c.Incarnation == incarnation
	})
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
	q.interruptions = slices.DeleteFunc(q.interruptions, func(c Crash) bool { return !c.Ended.Before(since) })
}

// expireInterruptions drops the interruptions that are older than interruptionTTL. The lock must be held.
func (q *Quarantiner) expireInterruptions(now time.Time) {
	q.interruptions = slices.DeleteFunc(q.interruptions, func(c Crash) bool { return now.Sub(c.Ended) > interruptionTTL })
}

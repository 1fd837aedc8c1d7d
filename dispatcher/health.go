package dispatcher

import (
	"math"
	"time"
)

const (
	// failureWeight is how far one failure moves the failure rate towards 1,
	// successWeight one success towards 0: a few failures in a row make an
	// upstream the last choice, and about ten successes clear it.
	failureWeight = 0.3
	successWeight = 0.15
	// failureHalfLife is in what time a failure rate halves by itself, so that
	// an upstream that was avoided is tried again.
	failureHalfLife = 4 * time.Second
	// minBlock and mostBlock bound how long an upstream that accepts no
	// connection is left alone. The first is several round trips, the second
	// the time after which a crashed upstream is usually off the list.
	minBlock = 250 * time.Millisecond
	maxBlock = 4 * time.Second
	// paceWeight is what one sight of a pace counts, paceHalfLife in what time
	// a pace goes half the way back to 1.
	paceWeight   = 0.4
	paceHalfLife = 3 * time.Second
	// maxPace bounds one sight of a pace: beyond, a stall is likelier than
	// slow work.
	maxPace = 8
)

// health is what an entry has seen of an upstream's failures and speed.
type health struct {
	lastFailureRate   float64
	lastFailureRateAt time.Time
	blockCount        int
	blockedUntil      time.Time
	// slowdown is how many times longer than expected work takes, less 1.
	slowdown   float64
	slowdownAt time.Time
}

func decayed(value float64, age, halfLife time.Duration) float64 {
	return value * math.Exp2(-float64(age)/float64(halfLife))
}

// failureRate is the part of requests that is expected to fail.
func (h *health) failureRate(now time.Time) float64 {
	return decayed(h.lastFailureRate, now.Sub(h.lastFailureRateAt), failureHalfLife)
}

func (h *health) recordFailure(now time.Time) {
	r := h.failureRate(now)
	h.lastFailureRate, h.lastFailureRateAt = r+failureWeight*(1-r), now
}

// recordAnswer notes an answer, whichever entry had it: it says nothing of this entry's connections.
func (h *health) recordAnswer(now time.Time) {
	h.lastFailureRate, h.lastFailureRateAt = h.failureRate(now)*(1-successWeight), now
}

func (h *health) recordSuccess(now time.Time) {
	h.recordAnswer(now)
	h.blockCount, h.blockedUntil = 0, time.Time{}
}

// recordUnreachable notes that no connection was had.
func (h *health) recordUnreachable(now time.Time) {
	h.recordFailure(now)
	h.blockedUntil = now.Add(min(maxBlock, minBlock<<min(h.blockCount, 10)))
	h.blockCount++
}

func (h *health) isBlocked(now time.Time) bool { return now.Before(h.blockedUntil) }

// pace is how many times longer than expected work takes.
func (h *health) pace(now time.Time) float64 {
	return 1 + decayed(h.slowdown, now.Sub(h.slowdownAt), paceHalfLife)
}

func (h *health) recordPace(now time.Time, ratio float64) {
	before := h.pace(now) - 1
	seen := min(maxPace, max(1, ratio)) - 1
	h.slowdown, h.slowdownAt = before+paceWeight*(seen-before), now
}

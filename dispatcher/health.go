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
	// leastBlock and mostBlock bound how long an upstream that accepts no
	// connection is left alone. The first is several round trips, the second
	// the time after which a crashed upstream is usually off the list.
	leastBlock = 250 * time.Millisecond
	mostBlock  = 4 * time.Second
	// paceWeight is what one sight of a pace counts, paceHalfLife in what time
	// a pace goes half the way back to 1.
	paceWeight   = 0.4
	paceHalfLife = 3 * time.Second
	// mostPace bounds one sight of a pace: beyond, a stall is likelier than
	// slow work.
	mostPace = 8
)

// health is what an entry has seen of an upstream's failures and speed.
type health struct {
	failures  float64
	failedAt  time.Time
	blocks    int
	blockedTo time.Time
	// slow is how many times longer than expected work takes, less 1.
	slow   float64
	slowAt time.Time
}

func halved(v float64, age, halfLife time.Duration) float64 {
	return v * math.Exp2(-float64(age)/float64(halfLife))
}

// rate is the part of requests that is expected to fail.
func (h *health) rate(now time.Time) float64 {
	return halved(h.failures, now.Sub(h.failedAt), failureHalfLife)
}

func (h *health) failed(now time.Time) {
	r := h.rate(now)
	h.failures, h.failedAt = r+failureWeight*(1-r), now
}

// answered notes an answer, whichever entry had it: it says nothing of this entry's connections.
func (h *health) answered(now time.Time) {
	h.failures, h.failedAt = h.rate(now)*(1-successWeight), now
}

func (h *health) succeeded(now time.Time) {
	h.answered(now)
	h.blocks, h.blockedTo = 0, time.Time{}
}

// unreachable notes that no connection was had.
func (h *health) unreachable(now time.Time) {
	h.failed(now)
	h.blockedTo = now.Add(min(mostBlock, leastBlock<<min(h.blocks, 10)))
	h.blocks++
}

func (h *health) blocked(now time.Time) bool { return now.Before(h.blockedTo) }

// pace is how many times longer than expected work takes.
func (h *health) pace(now time.Time) float64 {
	return 1 + halved(h.slow, now.Sub(h.slowAt), paceHalfLife)
}

func (h *health) paced(now time.Time, ratio float64) {
	before := h.pace(now) - 1
	seen := min(mostPace, max(1, ratio)) - 1
	h.slow, h.slowAt = before+paceWeight*(seen-before), now
}

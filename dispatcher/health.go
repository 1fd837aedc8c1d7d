package dispatcher

import (
	"math"
	"time"
)

const (
	// failureWeight is the fraction of its distance to 1 by which one failure raises the failure
	// rate, successWeight the fraction of itself by which one success lowers it. A few failures in
	// a row make an upstream the last choice, and about ten successes undo that.
	failureWeight = 0.3
	successWeight = 0.15
	// failureHalfLife is the time in which a failure rate halves without new requests, so that an
	// avoided upstream is tried again.
	failureHalfLife = 4 * time.Second
	// minBlock and maxBlock bound the time for which an upstream that accepts no connection is
	// avoided. The first is several round trips, the second the time after which a crashed upstream
	// is usually no longer listed.
	minBlock = 250 * time.Millisecond
	maxBlock = 4 * time.Second
	// slowdownWeight is the weight of one observed slowdown in the moving average. slowdownHalfLife
	// is the time in which the excess of the average over 1 halves without new observations.
	slowdownWeight   = 0.4
	slowdownHalfLife = 3 * time.Second
	// maxSlowdown is the largest ratio of actual to predicted time to the first byte that one
	// answer adds to the average. Larger ratios are reduced to it, as they are likelier due to a
	// stall than to slow work.
	maxSlowdown = 8
)

// health is what the answers and failures of an upstream show about it: how often it fails, from
// the requests of this entry and those that peers report, and how slow it is and whether it accepts
// connections, from the requests of this entry alone.
type health struct {
	// lastFailureRate is the failure rate as of lastFailureRateAt, from which time it decays.
	lastFailureRate   float64
	lastFailureRateAt time.Time
	// blockCount is the number of failed connections in a row, blockedUntil the time until which
	// the upstream is avoided because of them.
	blockCount   int
	blockedUntil time.Time
	// excessSlowdown is the slowdown minus 1 as of excessSlowdownAt, from which time it decays.
	excessSlowdown   float64
	excessSlowdownAt time.Time
}

// decayed returns what is left, after the given age, of a value that halves once per halfLife.
func decayed(value float64, age, halfLife time.Duration) float64 {
	return value * math.Exp2(-float64(age)/float64(halfLife))
}

// failureRate returns the fraction of the next requests that is expected to fail, from 0 to 1.
func (h *health) failureRate(now time.Time) float64 {
	return decayed(h.lastFailureRate, now.Sub(h.lastFailureRateAt), failureHalfLife)
}

// recordFailure records a failed request of any entry.
func (h *health) recordFailure(now time.Time) {
	r := h.failureRate(now)
	h.lastFailureRate, h.lastFailureRateAt = r+failureWeight*(1-r), now
}

// recordAnswer records an answer to a request of any entry, which lowers the failure rate. It does
// not unblock the upstream, as an answer to a peer shows nothing about this entry's connections.
func (h *health) recordAnswer(now time.Time) {
	h.lastFailureRate, h.lastFailureRateAt = h.failureRate(now)*(1-successWeight), now
}

// recordSuccess records that the answer to a request of this entry has begun. It lowers the failure
// rate and unblocks the upstream.
func (h *health) recordSuccess(now time.Time) {
	h.recordAnswer(now)
	h.blockCount, h.blockedUntil = 0, time.Time{}
}

// recordUnreachable records that no connection could be opened, and blocks the upstream for a time
// that doubles with each such failure in a row.
func (h *health) recordUnreachable(now time.Time) {
	h.recordFailure(now)
	h.blockedUntil = now.Add(min(maxBlock, minBlock<<min(h.blockCount, 10)))
	h.blockCount++
}

// forgetFailures drops what earlier failures have shown of the upstream.
func (h *health) forgetFailures() {
	h.lastFailureRate, h.lastFailureRateAt = 0, time.Time{}
	h.blockCount, h.blockedUntil = 0, time.Time{}
}

// isBlocked reports whether the upstream is avoided because it accepted no connection.
func (h *health) isBlocked(now time.Time) bool { return now.Before(h.blockedUntil) }

// slowdown returns the moving average of the ratio of actual to predicted time to the first byte,
// at least 1. It decays towards 1.
func (h *health) slowdown(now time.Time) float64 {
	return 1 + decayed(h.excessSlowdown, now.Sub(h.excessSlowdownAt), slowdownHalfLife)
}

// recordSlowdown adds the ratio of actual to predicted time to the first byte of one answer to the
// moving average.
func (h *health) recordSlowdown(now time.Time, ratio float64) {
	before := h.slowdown(now) - 1
	observed := min(maxSlowdown, max(1, ratio)) - 1
	h.excessSlowdown, h.excessSlowdownAt = before+slowdownWeight*(observed-before), now
}

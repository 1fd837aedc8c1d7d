package worker

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// RateLimitPeriod is a time in which the responses of a worker state a rate limit.
type RateLimitPeriod struct {
	// PerSecond is the number of requests per second that the worker accepts from all entries.
	PerSecond float64
	// From is the beginning, To the end of the period; To is zero while it lasts.
	From, To time.Time
}

// SetRateLimit makes the responses that begin from now on state a rate limit, until the next call of
// SetRateLimit, EndRateLimit or Restart. The worker still executes all requests.
func (w *Worker) SetRateLimit(perSecond float64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.endRateLimit()
	w.rateLimits = append(w.rateLimits, RateLimitPeriod{PerSecond: perSecond, From: time.Now()})
}

// GarbleRateLimit makes the responses that begin from now on state the given text instead of the rate
// limit, until the next call of SetRateLimit, EndRateLimit or Restart.
func (w *Worker) GarbleRateLimit(text string) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.garbledRateLimit = text
}

// EndRateLimit makes the responses that begin from now on state no rate limit.
func (w *Worker) EndRateLimit() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.endRateLimit()
}

// endRateLimit ends the current period. The lock must be held.
func (w *Worker) endRateLimit() {
	w.garbledRateLimit = ""
	if n := len(w.rateLimits); n > 0 && w.rateLimits[n-1].To.IsZero() {
		w.rateLimits[n-1].To = time.Now()
	}
}

// RateLimits returns the periods in which the worker stated a rate limit, earliest first.
func (w *Worker) RateLimits() []RateLimitPeriod {
	w.lock.Lock()
	defer w.lock.Unlock()
	return slices.Clone(w.rateLimits)
}

// stateRateLimit sets the header of the rate limit in force in a response that is about to begin.
func (w *Worker) stateRateLimit(h http.Header) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.garbledRateLimit != "" {
		h.Set("Server-Limit", w.garbledRateLimit)
	} else if n := len(w.rateLimits); n > 0 && w.rateLimits[n-1].To.IsZero() {
		h.Set("Server-Limit", strconv.FormatFloat(w.rateLimits[n-1].PerSecond, 'f', -1, 64))
	}
}

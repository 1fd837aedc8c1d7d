package dispatcher

import "time"

// RateLimit is the number of requests per second that an upstream accepts from all entries together.
// The zero value stands for no limit.
type RateLimit struct {
	// Limited is false where the upstream states no limit.
	Limited bool
	// PerSecond is the limit in requests per second, at least 0; 0 unless Limited is true.
	PerSecond float64
}

// isStricterThan reports whether l allows fewer requests than o.
func (l RateLimit) isStricterThan(o RateLimit) bool {
	return l.Limited && (!o.Limited || l.PerSecond < o.PerSecond)
}

// RateLimitReport is what one response of an upstream states about its rate limit.
type RateLimitReport struct {
	Limit RateLimit
	// SentAt is when the request of the response was sent, ReceivedAt when the header of the response
	// arrived.
	SentAt, ReceivedAt time.Time
}

// supersedes reports whether r replaces a report that was applied before. Responses overtake each
// other, and a response describes its upstream as of any time from SentAt to ReceivedAt. A stricter
// limit therefore applies unless it was received before the request of the other response was sent; a
// laxer one only if its own request was sent after the other response was received.
func (r RateLimitReport) supersedes(applied RateLimitReport) bool {
	if r.Limit.isStricterThan(applied.Limit) {
		return r.ReceivedAt.After(applied.SentAt)
	}
	return r.SentAt.After(applied.ReceivedAt)
}

// RecordRateLimit records what a response of an incarnation of an upstream states about its rate limit.
// It reports whether the limit in force has changed, and returns false where the incarnation is unknown
// or has ended.
func (b *Dispatcher) RecordRateLimit(i Instance, r RateLimitReport) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	u, ok := b.upstreams[i.ID]
	if !ok || !u.instance.SameIncarnation(i) {
		return false
	}
	return u.applyRateLimit(r)
}

// applyRateLimit applies a report unless a newer one was applied before. It reports whether the limit in
// force has changed.
func (u *upstream) applyRateLimit(r RateLimitReport) bool {
	p := &u.backpressure
	if !r.supersedes(p.rateLimit) {
		return false
	}
	changed := r.Limit != p.rateLimit.Limit
	p.rateLimit = r
	return changed
}

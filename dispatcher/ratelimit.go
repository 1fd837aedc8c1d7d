package dispatcher

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// minSharedRate is the number of requests per second that all entries together send to an upstream
	// whose rate limit is lower: only its responses show that the limit has ended.
	minSharedRate = 0.2
	// extraSharers is the number of entries that share a rate limit in addition to as many as the limit
	// allows requests per second. If all of them send a request at the same moment, the upstream gets
	// those that the limit allows in one second and extraSharers more.
	extraSharers = 4
	// rateBurstTime is the time whose share of requests an entry may send at once if it sent none before.
	rateBurstTime = time.Second
	// sharerTTL is the time for which an entry keeps its share of rate limits after it was last known to
	// place requests, unless it is lost (see SetLostEntries).
	sharerTTL = 10 * time.Second
)

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
	if !b.applyRateLimit(u, r, true) {
		return false
	}
	if !b.isUnreported {
		b.changedLimits[u] = true
		b.signalChange()
	}
	return true
}

// applyRateLimit applies a report unless a newer one was applied before; own is true if this entry itself
// has received the response. It reports whether the limit in force has changed.
func (b *Dispatcher) applyRateLimit(u *upstream, r RateLimitReport, own bool) bool {
	p := &u.backpressure
	if !r.supersedes(p.rateLimit) {
		return false
	}
	changed := r.Limit != p.rateLimit.Limit
	p.rateLimit, p.ownRateLimit = r, own
	switch {
	case changed && r.Limit.Limited:
		b.scheduleFirst(time.Now(), u)
	case changed:
		p.limitEndedAt = time.Now()
	}
	return changed
}

// sharers are the entries that share the rate limits of upstreams.
type sharers struct {
	// placedAt holds the time at which each entry was last known to place requests.
	placedAt map[string]time.Time
	// names holds the entries in placedAt, in any order. version is incremented with each change of names.
	names   []string
	version int
	// lost are the entries that may be cut off from this one and still reach the upstreams.
	lost []string
}

// SetLostEntries sets the names of the entries that have fallen silent without having announced their shutdown. Those
// that placed requests before keep their shares of rate limits: they may be cut off from this entry only.
func (b *Dispatcher) SetLostEntries(names []string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.sharers.lost = names
}

// update records that the given entries place requests now, and drops those that were last known to do so
// more than sharerTTL ago and are not lost.
func (s *sharers) update(now time.Time, placing []string) {
	if s.placedAt == nil {
		s.placedAt = map[string]time.Time{}
	}
	for _, name := range placing {
		s.placedAt[name] = now
	}
	for _, name := range s.lost {
		if _, ok := s.placedAt[name]; ok {
			s.placedAt[name] = now
		}
	}
	isChanged := len(s.placedAt) != len(s.names)
	maps.DeleteFunc(s.placedAt, func(_ string, at time.Time) bool {
		isExpired := now.Sub(at) > sharerTTL
		isChanged = isChanged || isExpired
		return isExpired
	})
	if isChanged {
		s.names = slices.Collect(maps.Keys(s.placedAt))
		s.version++
	}
}

// rateShare is this entry's part of an upstream's rate limit. All entries together keep to the limit
// without telling each other of requests: rendezvous hashing over the upstream's incarnation draws the
// entries that share it, and each has a token bucket with an equal part.
type rateShare struct {
	// tokens is the content of the bucket at updatedAt: the time of this entry's last request to the
	// upstream, or of the begin of the limit.
	tokens    float64
	updatedAt time.Time
	// drawnBefore is the number of sharers that are drawn before this entry. It is valid for the version
	// of the sharers in version.
	drawnBefore int
	version     int
	// drawn caches the entries that share the limit.
	drawn drawnSharers
	// use counts this entry's recent requests.
	use rateUse
}

// sharedRate returns the number of requests per second that all entries together send to an upstream
// with a rate limit, and the number of entries that send them.
func (b *Dispatcher) sharedRate(u *upstream) (perSecond float64, senders int) {
	perSecond = max(minSharedRate, u.backpressure.rateLimit.Limit.PerSecond)
	return perSecond, int(min(float64(len(b.sharers.names)), math.Floor(perSecond)+extraSharers))
}

// ownRate returns this entry's part of sharedRate, in requests per second; 0 if the entry is not drawn.
func (b *Dispatcher) ownRate(now time.Time, u *upstream) float64 {
	if !b.isSharing(now) {
		return 0
	}
	perSecond, senders := b.sharedRate(u)
	if b.drawnBefore(u) >= senders {
		return 0
	}
	return perSecond / float64(senders)
}

// isSharing reports whether this entry is one of the sharers and knows how many there are. An entry that has
// just started or lost contact with all others does not know how many send requests, and sends none.
func (b *Dispatcher) isSharing(now time.Time) bool {
	_, ok := b.sharers.placedAt[b.name]
	return ok && !(b.isolated && now.Sub(b.isolatedAt) < sharerTTL)
}

// drawnBefore returns the number of sharers that are drawn before this entry to send requests to an
// upstream.
func (b *Dispatcher) drawnBefore(u *upstream) int {
	s := &u.rateShare
	if s.version != b.sharers.version {
		s.version, s.drawnBefore = b.sharers.version, b.countDrawnBefore(u, b.sharers.names)
	}
	return s.drawnBefore
}

// available returns the content of the bucket, which is filled at a rate in requests per second.
func (s *rateShare) available(now time.Time, rate float64) float64 {
	capacity := max(1, rate*rateBurstTime.Seconds())
	return min(capacity, s.tokens+rate*now.Sub(s.updatedAt).Seconds())
}

// rateLimitWait returns how long this entry must not send requests to an upstream because of its rate
// limit; 0 if it may send one now. For an entry that is not drawn, it is the time in which all entries
// together may send one.
func (b *Dispatcher) rateLimitWait(now time.Time, u *upstream) time.Duration {
	if !u.backpressure.rateLimit.Limit.Limited {
		return 0
	}
	rate := b.ownRate(now, u)
	if b.ledger != nil {
		rate = b.settleRate(now, u)
	}
	if rate == 0 {
		shared, _ := b.sharedRate(u)
		return time.Duration(float64(time.Second) / shared)
	}
	missing := 1 - u.rateShare.available(now, rate)
	if missing < tokenTolerance {
		return 0
	}
	return time.Duration(missing / rate * float64(time.Second))
}

// tokenTolerance is the part of a token that may be missing, as times are rounded to nanoseconds.
const tokenTolerance = 1e-6

// scheduleFirst fills the bucket at the begin of a rate limit so that the entries that share it send their
// first requests one after the other.
func (b *Dispatcher) scheduleFirst(now time.Time, u *upstream) {
	_, senders := b.sharedRate(u)
	u.rateShare.tokens = max(0, 1-float64(b.drawnBefore(u)+1)/float64(max(1, senders)))
	u.rateShare.updatedAt = now
}

// takeRateToken records that a request was placed on an upstream, which delays this entry's next one if
// the upstream has a rate limit.
func (b *Dispatcher) takeRateToken(now time.Time, u *upstream) {
	if !u.backpressure.rateLimit.Limit.Limited {
		return
	}
	if b.ledger == nil {
		u.rateShare.tokens, u.rateShare.updatedAt = max(0, u.rateShare.available(now, b.ownRate(now, u))-1), now
		return
	}
	b.settleRate(now, u)
	u.rateShare.tokens = max(0, u.rateShare.tokens-1)
	u.rateShare.use.advance(now)
	u.rateShare.use.current++
	b.ledger.KeepWhatIsUsed(now, b.rateResource(u), b.rateDemand(now, u))
}

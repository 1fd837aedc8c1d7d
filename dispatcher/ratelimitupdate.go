package dispatcher

import (
	"encoding/binary"
	"math"
	"time"
)

const (
	// rateLimitFormat is the first byte of a rate limit update. It changes whenever the layout of the
	// message does, and differs from all values of loadUpdateFormat and RelayTarget.
	rateLimitFormat = 11
	// endedLimitTTL is the time for which the end of a rate limit is reported to peers.
	endedLimitTTL = 10 * time.Second
	// maxDeferredLimits is the maximum number of reports about upstreams that are not listed, a multiple of
	// the upstreams of the largest fleets.
	maxDeferredLimits = 10000
)

// RateLimitUpdate is what an entry reports to its peers of a response that states the rate limit of an
// upstream.
type RateLimitUpdate struct {
	// Upstream identifies the incarnation of the upstream.
	Upstream CompactID
	Limit    RateLimit
	// SentAge is the time since the request of the response was sent, ReceivedAge the time since the
	// header of the response arrived.
	SentAge, ReceivedAge time.Duration
}

// InstanceRateLimit is the rate limit of an incarnation of an upstream.
type InstanceRateLimit struct {
	Instance Instance
	Limit    RateLimit
}

// TakeRateLimits returns the changes of rate limits that this entry has read in responses since the last
// call, for a rate limit update to peers. With all set, it also returns the limits in force whose newest
// report this entry has read itself, if it is one of those that send the upstream requests, and the limits
// that ended within endedLimitTTL. The number of entries that repeat a limit thus does not grow with the
// fleet.
func (b *Dispatcher) TakeRateLimits(now time.Time, all bool) []RateLimitUpdate {
	b.lock.Lock()
	defer b.lock.Unlock()
	var updates []RateLimitUpdate
	for u := range b.changedLimits {
		updates = append(updates, u.rateLimitUpdate(now))
	}
	if all {
		for _, u := range b.upstreams {
			if !b.changedLimits[u] && b.repeatsRateLimit(now, u) {
				updates = append(updates, u.rateLimitUpdate(now))
			}
		}
	}
	clear(b.changedLimits)
	return updates
}

// RateLimits returns all rate limits in force, for a peer that has just joined.
func (b *Dispatcher) RateLimits(now time.Time) []RateLimitUpdate {
	b.lock.Lock()
	defer b.lock.Unlock()
	var updates []RateLimitUpdate
	for _, u := range b.upstreams {
		if u.backpressure.rateLimit.Limit.Limited {
			updates = append(updates, u.rateLimitUpdate(now))
		}
	}
	return updates
}

// repeatsRateLimit reports whether this entry reports the rate limit of an upstream, or its end, again.
func (b *Dispatcher) repeatsRateLimit(now time.Time, u *upstream) bool {
	p := &u.backpressure
	if !p.ownRateLimit {
		return false
	}
	if !p.rateLimit.Limit.Limited {
		return now.Sub(p.limitEndedAt) < endedLimitTTL
	}
	return b.ownRate(now, u) > 0
}

// rateLimitUpdate returns the report that is in force, as it is reported to peers.
func (u *upstream) rateLimitUpdate(now time.Time) RateLimitUpdate {
	r := u.backpressure.rateLimit
	return RateLimitUpdate{Upstream: u.compactID, Limit: r.Limit, SentAge: now.Sub(r.SentAt), ReceivedAge: now.Sub(r.ReceivedAt)}
}

// ApplyPeerRateLimits applies a rate limit update of a peer, and returns the limits that it has changed.
func (b *Dispatcher) ApplyPeerRateLimits(now time.Time, updates []RateLimitUpdate) []InstanceRateLimit {
	b.lock.Lock()
	defer b.lock.Unlock()
	var changed []InstanceRateLimit
	for _, update := range updates {
		r := RateLimitReport{Limit: update.Limit, SentAt: now.Add(-update.SentAge), ReceivedAt: now.Add(-update.ReceivedAge)}
		u, ok := b.byCompactID[update.Upstream]
		if !ok {
			b.deferRateLimit(update.Upstream, r)
			continue
		}
		if b.applyRateLimit(u, r, false) {
			changed = append(changed, InstanceRateLimit{Instance: u.instance, Limit: update.Limit})
		}
	}
	return changed
}

// deferRateLimit keeps a report about an upstream that is not listed yet: an entry that has just started
// receives rate limits before it has a list of upstreams. Once maxDeferredLimits are kept, reports about
// other upstreams are dropped.
func (b *Dispatcher) deferRateLimit(upstream CompactID, r RateLimitReport) {
	if known, ok := b.deferredLimits[upstream]; ok && !r.supersedes(known) || !ok && len(b.deferredLimits) >= maxDeferredLimits {
		return
	}
	b.deferredLimits[upstream] = r
}

// applyDeferredRateLimits applies the deferred reports about upstreams that are listed now.
func (b *Dispatcher) applyDeferredRateLimits(now time.Time) {
	for id, r := range b.deferredLimits {
		u, ok := b.byCompactID[id]
		if ok {
			b.applyRateLimit(u, r, false)
		}
		if ok || now.Sub(r.ReceivedAt) > unlistedTTL {
			delete(b.deferredLimits, id)
		}
	}
}

// DisownRateLimits makes this entry repeat none of the rate limits that it has read so far. It is called
// after a suspension, as their ages are unknown then.
func (b *Dispatcher) DisownRateLimits() {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, u := range b.upstreams {
		u.backpressure.ownRateLimit = false
	}
	clear(b.changedLimits)
}

// EncodeRateLimits encodes rate limit updates as messages that fit into one datagram each.
func EncodeRateLimits(updates []RateLimitUpdate) [][]byte {
	var messages [][]byte
	message := []byte{rateLimitFormat}
	for _, update := range updates {
		encoded := appendRateLimit(nil, update)
		if len(message)+len(encoded) > maxLoadUpdate {
			messages = append(messages, message)
			message = []byte{rateLimitFormat}
		}
		message = append(message, encoded...)
	}
	if len(message) > 1 {
		messages = append(messages, message)
	}
	return messages
}

// appendRateLimit appends the encoding of a rate limit update to a message. The absence of a limit is
// encoded as an infinite one.
func appendRateLimit(to []byte, update RateLimitUpdate) []byte {
	perSecond := math.Inf(1)
	if update.Limit.Limited {
		perSecond = update.Limit.PerSecond
	}
	to = binary.LittleEndian.AppendUint32(to, uint32(update.Upstream))
	to = binary.LittleEndian.AppendUint64(to, math.Float64bits(perSecond))
	to = binary.AppendUvarint(to, uint64(max(0, update.SentAge/time.Millisecond)))
	return binary.AppendUvarint(to, uint64(max(0, update.ReceivedAge/time.Millisecond)))
}

// IsRateLimitUpdate reports whether a message is a rate limit update, and not a load update.
func IsRateLimitUpdate(message []byte) bool { return len(message) > 0 && message[0] == rateLimitFormat }

// DecodeRateLimits decodes a rate limit update. The error is ErrMalformedLoadUpdate for any malformed
// message.
func DecodeRateLimits(message []byte) ([]RateLimitUpdate, error) {
	if !IsRateLimitUpdate(message) {
		return nil, ErrMalformedLoadUpdate
	}
	r := loadReader{rest: message[1:]}
	var updates []RateLimitUpdate
	for len(r.rest) > 0 {
		update := RateLimitUpdate{Upstream: r.compactID()}
		perSecond := math.Float64frombits(r.uint64())
		update.SentAge, update.ReceivedAge = r.milliseconds(), r.milliseconds()
		if math.IsNaN(perSecond) || perSecond < 0 {
			r.failed = true
		}
		if !math.IsInf(perSecond, 1) {
			update.Limit = RateLimit{Limited: true, PerSecond: perSecond}
		}
		updates = append(updates, update)
	}
	if r.failed {
		return nil, ErrMalformedLoadUpdate
	}
	return updates, nil
}

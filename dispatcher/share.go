package dispatcher

import (
	"math"
	"time"

	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

// ReasonOverShare is the reason of a refusal because the service is short of capacity, and the
// organisation has its share of it already.
const ReasonOverShare = "over_share"

const (
	// queueTimePart is the part of what remains of a first-byte target after the work time that requests may
	// be queued at upstreams on average. The rest covers requests that are placed on an upstream that is
	// fuller than others, and work that takes longer than the mean.
	queueTimePart = 0.5
	// minQueueTime is the least queueing time that is allowed, so that slots do not idle where work takes as
	// long as the target: entries learn within 10 ms that a request has ended, and a waiting request is
	// placed within another 25 ms.
	minQueueTime = 40 * time.Millisecond
	// defaultQueue is the allowed queueing time, in multiples of the work time, before the first measurement: that of
	// a request whose work takes a third of its target. It also applies where the work alone takes as long as the
	// target, or there is none: callers then accept later responses, and requests that upstreams would have queued
	// must not be refused.
	defaultQueue = 1.0
	// maxOverUse is the ratio of the requests in progress at a plain service to the divided use up to which requests
	// are placed that are entitled. It bounds what is queued at upstreams when many organisations begin at once.
	maxOverUse = 2
	// engineShortFraction is the fraction of the engines in use from which on a service of engines is short of capacity.
	// The rest is the memory and the slots that are kept free at engines
	// for requests that other entries have not reported yet (usableMemoryFraction and spareSlots).
	engineShortFraction = 0.9
	// maxReturnsOverLimit is the ratio of the requests in progress to the limit up to which returns are placed.
	// Their times are as far apart as the capacity allows, so that more of them come only where requests have
	// equal contents, or capacity is less than when they got their times. Those beyond would all be late.
	maxReturnsOverLimit = 1.25
	// overShareRetryAfter is the RetryAfter at plain services, that of requests that full upstreams refuse.
	overShareRetryAfter = 150 * time.Millisecond
)

// ShareStatus is what a refusal because of an organisation's share is based on. The unit is that of
// apportioner.Uses: slots of a plain service, or engines.
type ShareStatus struct {
	// Organisation and Rank are those of the request.
	Organisation apportioner.Organisation
	Rank         apportioner.Rank
	// Share is the use up to which the organisation's requests of the rank are within its share, Use its
	// present use by requests of all ranks.
	Share, Use float64
	// Limit is the use of all organisations from which on the service is short of capacity, Total that use.
	Limit, Total float64
	// PerSecond is the number of requests of the organisation and rank that this entry can expect to place
	// per second.
	PerSecond float64
}

// capacity returns the capacity of a service: the slots of the upstreams that accept requests, or the
// number of such engines. An isolated entry that knows of no requests of others counts its part of it. It is
// 0 if the capacity is unknown. The engine is nil for plain services.
func (b *Dispatcher) capacity(now time.Time, service string) (capacity float64, engine *matcher.EngineProfile) {
	usable, blocked := 0, 0
	for _, u := range b.services[service] {
		if u.instance.AssumedSlots {
			return 0, nil
		}
		slots := max(0, u.instance.Slots)
		if u.engine != nil {
			slots, engine = 1, u.engine
		}
		switch {
		case u.backpressure.isRefusing(now):
		case u.health.isBlocked(now):
			blocked += slots
		default:
			usable += slots
		}
	}
	if usable == 0 {
		usable = blocked
	}
	if b.isolated && len(b.peerRequests) == 0 {
		return float64(usable) / float64(max(b.peerCount, b.lastPeerCount)+1), engine
	}
	return float64(usable), engine
}

// divide returns the use of a service that is divided between organisations, and the limit from which on the service
// is short of capacity. What is divided are the engines, or the requests in progress at a plain service with which
// the slots are in use and requests are queued for the allowed time. Use there includes requests that are queued, in
// proportion to those that are worked on.
func (s *serviceUse) divide(capacity float64, e *matcher.EngineProfile, firstByteTarget time.Duration) (divided, limit float64) {
	if e != nil {
		return capacity, engineShortFraction * capacity
	}
	divided = s.plainUse(capacity, firstByteTarget)
	return divided, divided
}

// plainUse returns the number of requests in progress with which the slots of a plain service are in use and requests
// are queued for the allowed time.
func (s *serviceUse) plainUse(capacity float64, firstByteTarget time.Duration) float64 {
	if s.workTime.mean <= 0 || s.workTime.mean >= firstByteTarget {
		return capacity * (1 + defaultQueue)
	}
	queueTime := max(minQueueTime, time.Duration(queueTimePart*float64(firstByteTarget-s.workTime.mean)))
	return capacity * (1 + float64(queueTime)/float64(s.workTime.mean))
}

// useCost returns the use that a request would make until its first event.
func useCost(d Demand, e *matcher.EngineProfile) float64 {
	if e == nil {
		return 1
	}
	return engineUse(e, true, d.PromptTokens+d.AnswerTokens) + prefillUse(e, d.PromptTokens, d.FirstByteTarget)
}

// admission is the result of the admission control for a request.
type admission struct {
	isAdmitted bool
	// The other fields are unset where the share does not matter.
	use            *serviceUse
	engine         *matcher.EngineProfile
	capacity, cost float64
	// limit is the use of all organisations from which on the service is short of capacity, total that use.
	limit, total float64
	// divided is the use that is divided between organisations.
	divided float64
}

// admit decides whether a request may be placed now as to its organisation's share of the service. The
// lock must be held. While requests of one organisation and rank are alone, their prompts are limited by the state of
// the engines only, as before there were shares (see docs/design/fair-shares.md for a trial with a limit);
// requests without organisation and rank are not limited at all.
func (b *Dispatcher) admit(now time.Time, d Demand) admission {
	s, ok := b.uses[d.Service]
	if !ok || d.MayHaveRun {
		return admission{isAdmitted: true}
	}
	isOnly := s.all.IsOnly(d.Organisation, d.Rank)
	if isOnly && d.Organisation == 0 && d.Rank == 0 {
		return admission{isAdmitted: true}
	}
	a := admission{use: s}
	a.capacity, a.engine = b.capacity(now, d.Service)
	if a.capacity <= 0 || a.engine != nil && isOnly {
		return admission{isAdmitted: true}
	}
	a.cost = useCost(d, a.engine)
	a.total = s.all.Total()
	a.divided, a.limit = s.divide(a.capacity, a.engine, d.FirstByteTarget)
	most := math.Inf(1)
	if a.engine == nil {
		// What others use beyond their shares can't be taken back, and lengthens the time for which all requests are in
		// progress. Without it in what is divided, an organisation was refused whose share just sufficed.
		most, a.divided = maxOverUse*a.divided, max(a.divided, a.total)
	}
	if d.Returns {
		a.isAdmitted = a.total < min(most, maxReturnsOverLimit*a.limit) || a.total < most && s.all.IsEntitled(a.divided, d.Organisation, d.Rank, a.cost)
		return a
	}
	// What is reserved for returns of the organisation counts as its use, so that they find room.
	reserved := b.reservedUse(now, d)
	a.total += reserved
	a.isAdmitted = a.total < a.limit || a.total < most && s.all.IsEntitled(a.divided, d.Organisation, d.Rank, a.cost+reserved)
	return a
}

// reservedUse returns the use that is reserved now for returns of the organisation of a request which are as urgent
// as the request or more.
func (b *Dispatcher) reservedUse(now time.Time, d Demand) float64 {
	if b.ReservedUse == nil {
		return 0
	}
	return b.ReservedUse(now, d.Service, d.Organisation, d.Rank)
}

// refuseOverShare returns the refusal of a request that is over its organisation's share; nil if it may be
// placed.
func (b *Dispatcher) refuseOverShare(now time.Time, d Demand) *Refusal {
	a := b.admit(now, d)
	if a.isAdmitted {
		return nil
	}
	return b.overShare(d, a)
}

// OverShare returns the refusal with which a request that is over its organisation's share would be refused now; nil
// if shares do not matter to the request. It is for a request that must not overtake others that wait.
func (b *Dispatcher) OverShare(now time.Time, d Demand) *Refusal {
	b.lock.Lock()
	defer b.lock.Unlock()
	a := b.admit(now, d)
	if a.use == nil {
		return nil
	}
	return b.overShare(d, a)
}

// overShare returns the refusal of a request for its organisation's share.
func (b *Dispatcher) overShare(d Demand, a admission) *Refusal {
	r := &Refusal{Reason: ReasonOverShare, Temporary: true, RetryAfter: overShareRetryAfter}
	if a.engine != nil {
		r.RetryAfter = minRetryAfter
	}
	r.Share = &ShareStatus{
		Organisation: d.Organisation, Rank: d.Rank, Share: a.use.all.Share(a.divided, d.Organisation, d.Rank), Use: a.use.all.Of(d.Organisation), Limit: a.limit, Total: a.total,
	}
	// A share of the capacity is served at the rate share/cost, and this entry's part of it is that
	// of the organisation's requests that it has placed, at least that of one entry among all.
	part := 1 / float64(b.peerCount+1)
	if r.Share.Use > 0 {
		part = max(part, a.use.own.Of(d.Organisation)/r.Share.Use)
	}
	if cost := serviceCost(d, a.engine, a.use.workTime.mean); cost > 0 {
		r.Share.PerSecond = part * r.Share.Share * a.capacity / a.divided / cost
	}
	return r
}

// Admits reports whether a request is within its organisation's share of the service, or the service has
// room. Place may still refuse it for another reason.
func (b *Dispatcher) Admits(now time.Time, d Demand) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.admit(now, d).isAdmitted
}

// UseOf returns the use that an organisation makes of a service at all entries.
func (b *Dispatcher) UseOf(service string, o apportioner.Organisation) float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	if s, ok := b.uses[service]; ok {
		return s.all.Of(o)
	}
	return 0
}

// Share returns the present share of an organisation of a service for requests of the rank of d, in slots
// or engines, and the cost of serving d, in seconds of a slot or an engine; the cost is 0 if it is
// unknown. The share allows share/cost such requests per second at all entries together.
func (b *Dispatcher) Share(now time.Time, d Demand) (share, cost float64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	s := b.useOf(d.Service)
	capacity, engine := b.capacity(now, d.Service)
	if divided, _ := s.divide(capacity, engine, d.FirstByteTarget); divided > 0 {
		share = s.all.Share(divided, d.Organisation, d.Rank) * capacity / divided
	}
	return share, serviceCost(d, engine, s.workTime.mean)
}

// RequestUse returns the use that a request would make of its service until its first event, in slots or engines.
func (b *Dispatcher) RequestUse(now time.Time, d Demand) float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	_, engine := b.capacity(now, d.Service)
	return useCost(d, engine)
}

// serviceCost returns the time for which a request occupies a slot of a plain service, or a whole engine, in
// seconds. A prompt occupies an engine for its prefill, and its part of one while its answer is decoded.
func serviceCost(d Demand, e *matcher.EngineProfile, work time.Duration) float64 {
	if e == nil {
		return work.Seconds()
	}
	events := float64(d.AnswerTokens/max(1, e.StepsPerPass) + 1)
	pass := predictor.DecodePassTime(e, e.Slots, e.MemoryTokens/2) // at a usual load
	return predictor.PrefillTime(e, d.PromptTokens).Seconds() + engineUse(e, true, d.PromptTokens+d.AnswerTokens)*events*pass.Seconds()
}

// ServiceShares is a snapshot of the use of one service, for metrics.
type ServiceShares struct {
	// InProgress is the number of requests in progress at all entries, Use the slots or engines that they use.
	InProgress int
	Use        float64
	// Limit is the use from which on the service is short of capacity; 0 if unknown.
	Limit float64
	// OverShare is the number of organisations whose use exceeds an equal part of what is divided.
	OverShare int
}

// ServiceShares returns the use of a service. The limit is that of routes with the given first-byte target.
func (b *Dispatcher) ServiceShares(now time.Time, service string, firstByteTarget time.Duration) ServiceShares {
	b.lock.Lock()
	defer b.lock.Unlock()
	s := b.useOf(service)
	capacity, engine := b.capacity(now, service)
	divided, limit := s.divide(capacity, engine, firstByteTarget)
	return ServiceShares{InProgress: s.all.Count(), Use: s.all.Total(), Limit: limit, OverShare: s.all.CountOver(divided)}
}

package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

// serviceUse is the use that requests in progress make of one service, in slots for a plain service and
// in engines for one of model engines.
type serviceUse struct {
	// all counts the requests of this entry and of its peers, own those of this entry.
	all, own apportioner.Uses
	workTime workTime
}

// countedUse is what a request has added to the use of a service. It is removed as it was added, although
// the upstreams of the service may have other slots or another engine profile by then.
type countedUse struct {
	service string
	// amount includes prefill, which counts until the first event.
	amount, prefill float64
}

// useOf returns the use of a service, and creates it if there is none.
func (b *Dispatcher) useOf(service string) *serviceUse {
	s, ok := b.uses[service]
	if !ok {
		s = &serviceUse{}
		b.uses[service] = s
	}
	return s
}

// countUse adds a request to the use of its service, or replaces what was added by its present use. It does
// nothing while no upstream of the request is known, and for a plain service once the response has come: its caller may
// take long to read it, and no slot works on it meanwhile.
func (b *Dispatcher) countUse(r *request) {
	b.uncountUse(r)
	if len(r.assignments) == 0 || r.firstByteSeen && r.assignments[0].upstream.engine == nil {
		return
	}
	c := countedUse{service: r.assignments[0].upstream.instance.Service}
	for _, a := range r.assignments {
		c.amount += a.use()
	}
	if e := r.assignments[0].upstream.engine; e != nil && !r.firstByteSeen && (r.isOwn() || r.assignments[0].isPrefillReported()) {
		c.prefill = prefillUse(e, r.promptTokens, r.firstByteTarget)
		c.amount += c.prefill
	}
	r.counted = &c
	b.addUse(r, c.amount)
}

// isPrefillReported reports whether peers report the end of the request's prefill. That of a shorter one would
// count until the next full update, and so for many times as long as it takes.
func (a *assignment) isPrefillReported() bool {
	return len(a.request.assignments) > 1 || a.job.PrefillTime > minReportedPrefill
}

// addUse adds an amount to the use of the service for which a request is counted.
func (b *Dispatcher) addUse(r *request, amount float64) {
	s := b.useOf(r.counted.service)
	s.all.Add(r.organisation, r.rank, amount)
	if r.isOwn() {
		s.own.Add(r.organisation, r.rank, amount)
	}
}

// uncountUse removes what countUse added for a request.
func (b *Dispatcher) uncountUse(r *request) {
	if r.counted == nil {
		return
	}
	s := b.useOf(r.counted.service)
	s.all.Remove(r.organisation, r.rank, r.counted.amount)
	if r.isOwn() {
		s.own.Remove(r.organisation, r.rank, r.counted.amount)
	}
	r.counted = nil
}

// reduceUse removes from the use of a request whose first event has arrived its prefill, or at a plain service all.
func (b *Dispatcher) reduceUse(r *request) {
	if r.counted == nil {
		return
	}
	c := *r.counted
	if r.assignments[0].upstream.engine == nil {
		b.uncountUse(r)
		return
	}
	if c.prefill == 0 {
		return
	}
	b.uncountUse(r)
	c.amount, c.prefill = c.amount-c.prefill, 0
	r.counted = &c
	b.addUse(r, c.amount)
}

// dropUnusedServices forgets services that are not listed and have no requests in progress.
func (b *Dispatcher) dropUnusedServices() {
	for name, s := range b.uses {
		if _, listed := b.services[name]; !listed && s.all.Count() == 0 {
			delete(b.uses, name)
		}
	}
}

// isOwn reports whether the request was placed by this entry.
func (r *request) isOwn() bool { return r.firstReportedAt.IsZero() }

// use returns the use of an assignment without its prefill.
func (a *assignment) use() float64 {
	e := a.upstream.engine
	if e == nil {
		return 1
	}
	return engineUse(e, a.job.Decodes, a.memoryTokens)
}

// engineUse returns the fraction of an engine that a request occupies there: of its slots, if it decodes
// there, or of its memory, whichever is larger.
func engineUse(e *matcher.EngineProfile, decodes bool, memoryTokens int) float64 {
	use := float64(memoryTokens) / float64(max(1, e.MemoryTokens))
	if decodes {
		use = max(use, 1/float64(max(1, e.Slots)))
	}
	return use
}

// prefillUse returns the engines that prefill a prompt within its first-byte target; 0 without a target.
func prefillUse(e *matcher.EngineProfile, promptTokens int, firstByteTarget time.Duration) float64 {
	if firstByteTarget <= 0 {
		return 0
	}
	return predictor.PrefillTime(e, promptTokens).Seconds() / firstByteTarget.Seconds()
}

// workTimeWeight is the weight of a new measurement in the mean work time, which so covers the last twenty
// requests or so. A service whose requests get slower under load is seen to within a second at the rate
// at which an entry is short of anything.
const workTimeWeight = 0.05

// workTime is the mean time for which a slot of a plain service works on a request.
type workTime struct {
	// mean is 0 before the first measurement.
	mean time.Duration
	// isExact is true once a request was measured that was placed while its upstream had a free slot.
	isExact bool
}

// record adds the time that a request took at an upstream. Ahead is the number of requests, in multiples of
// the upstream's slots, that had to end before it began; 0 if there was a free slot. Requests that had to
// wait are only used before there are others, as an entry that starts under load sees no free slot.
func (w *workTime) record(took time.Duration, ahead float64) {
	if ahead > 0 && w.isExact {
		return
	}
	took = time.Duration(float64(took) / (1 + ahead))
	if w.mean == 0 || ahead == 0 && !w.isExact {
		w.mean, w.isExact = took, ahead == 0
		return
	}
	w.mean += time.Duration(workTimeWeight * float64(took-w.mean))
}

// recordWorkTime records the work time of a request of this entry at a plain service that was answered.
func (b *Dispatcher) recordWorkTime(now time.Time, r *request) {
	if r.counted == nil || r.workTimeSeen || r.assignments[0].upstream.engine != nil {
		return
	}
	r.workTimeSeen = true
	b.useOf(r.counted.service).workTime.record(now.Sub(r.placedAt), r.ahead)
}

// slotsAhead returns how many requests, in multiples of the upstream's slots, must end before one that is
// placed there now begins.
func (u *upstream) slotsAhead(running int) float64 {
	return max(0, float64(running+1-u.instance.Slots)) / float64(max(1, u.instance.Slots))
}

package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/predictor"
)

// Placement is the set of upstreams chosen for a request. The code that called Place reports the
// progress of the request to it, and finally calls End.
type Placement struct {
	dispatcher *Dispatcher
	request    *request
	// First is the upstream that answers the request; Helpers are engines that prefill shards of
	// the prompt for it.
	First   Instance
	Helpers []Instance
	// HelperMemoryTokens is the memory that helpers must provide for a prompt that is too long for
	// the free memory of the first engine, in tokens and by instance ID. It has no element for
	// helpers that only prefill.
	HelperMemoryTokens map[string]int
	// ExpectedFirstByte is the predicted time to the first byte; 0 for plain services.
	ExpectedFirstByte time.Duration
	// Load is the load of the first upstream before this request, for the log.
	Load Load
}

// RecordFirstByte records that the first byte of the answer arrived at the time now. The prefill of
// the request then is complete at all its engines, the failure rate of the first upstream falls,
// and the time to the first byte of a prompt placed on one engine is added to that engine's
// slowdown.
func (p *Placement) RecordFirstByte(now time.Time) {
	b, r := p.dispatcher, p.request
	b.lock.Lock()
	defer b.lock.Unlock()
	isJoint := len(r.assignments) > 1
	u := r.assignments[0].upstream
	if u.queue != nil && !isJoint {
		u.queue.RecordPassEnd(now)
	}
	r.recordFirstByte(now)
	if r.gapTarget == 0 {
		b.recordWorkTime(now, r) // of a response that is read as a whole
	}
	b.reduceUse(r)
	if isJoint || r.assignments[0].job.PrefillTime > minReportedPrefill {
		b.queueUpdate(r)
	}
	u.health.recordSuccess(now)
	if p.ExpectedFirstByte > 0 && !isJoint {
		u.health.recordSlowdown(now, float64(now.Sub(r.placedAt))/float64(p.ExpectedFirstByte+predictionSlack))
	}
}

// RecordEvent records that a further event of the answer has arrived, which shows that the engine
// has just ended a pass.
func (p *Placement) RecordEvent(now time.Time) {
	p.dispatcher.lock.Lock()
	defer p.dispatcher.lock.Unlock()
	if u := p.request.assignments[0].upstream; u.queue != nil {
		u.queue.RecordPassEnd(now)
	}
}

// recordFirstByte records that the first byte of the answer has arrived, so that the prefill on all
// engines of the request is complete.
func (r *request) recordFirstByte(now time.Time) {
	r.firstByteSeen = true
	for _, a := range r.assignments {
		if a.upstream.queue != nil {
			a.upstream.queue.RecordFirstEvent(now, &a.job)
		}
	}
}

// minReportedPrefill is the prefill time from which the end of a prefill is reported to peers. By
// the time the report of the end of a shorter one reached them, their own queue model would have
// ended it as well.
const minReportedPrefill = 100 * time.Millisecond

// ExpectedSilence returns the time from now for which the upstream that answers may send nothing
// without being at fault: the prefill that it, or before the first byte a helper, still has to do,
// one pass, and the FirstEventDelay of its load. It is 0 for plain services.
func (p *Placement) ExpectedSilence() time.Duration {
	p.dispatcher.lock.Lock()
	defer p.dispatcher.lock.Unlock()
	first := p.request.assignments[0].upstream
	if first.engine == nil {
		return 0
	}
	now := time.Now()
	l := first.load(now)
	prefill := l.PrefillBacklog
	for _, a := range p.request.assignments {
		if !p.request.firstByteSeen {
			prefill = max(prefill, a.upstream.load(now).PrefillBacklog)
		}
	}
	pass := predictor.DecodePassTime(first.engine, l.Running, l.MemoryTokens)
	return prefill + time.Duration(float64(pass)*first.health.slowdown(now)) + l.FirstEventDelay
}

// predictionSlack is the time by which an answer may begin later than predicted before it is taken
// as slow or delayed. It covers the network, scheduling and half a pass.
const predictionSlack = 60 * time.Millisecond

// PlacementResult is the way in which a request ended at the first upstream of its placement.
type PlacementResult int

// Results of a placement.
const (
	// Answered means that the upstream sent a complete answer.
	Answered PlacementResult = iota
	// Abandoned means that the request ended for a reason that says nothing about the upstream,
	// such as its caller leaving.
	Abandoned
	// Failed means that the upstream answered with a failure.
	Failed
	// Incomplete means that the upstream received the request, but no complete answer came.
	Incomplete
	// Unreachable means that no connection could be opened.
	Unreachable
	// NotRun means that the upstream refused the request without running it, as for lack of
	// capacity.
	NotRun
)

// outcome returns the outcome that is reported to peers for a result. Only Answered and Failed are
// reported: an answer that this entry did not receive may have been lost on its own links, and a
// full upstream shows in its load.
func (r PlacementResult) outcome() ReportedOutcome {
	switch r {
	case Answered:
		return OutcomeAnswered
	case Failed:
		return OutcomeFailed
	default:
		return OutcomeUnknown
	}
}

// End removes the request from the load of its upstreams and queues its end for the next call of
// TakeLoadChanges. The results Failed, Incomplete, NotRun and Unreachable raise the failure rate of
// the first upstream; Unreachable also blocks it for a time.
func (p *Placement) End(now time.Time, result PlacementResult) {
	b, r := p.dispatcher, p.request
	b.lock.Lock()
	defer b.lock.Unlock()
	h := &r.assignments[0].upstream.health
	switch result {
	case Failed, Incomplete, NotRun:
		h.recordFailure(now)
	case Unreachable:
		h.recordUnreachable(now)
	}
	if result == Answered {
		b.recordWorkTime(now, r)
	}
	delete(b.ownRequests, r.compactID)
	b.unassign(now, r)
	b.queueEnd(r, result.outcome())
}

// Withdraw ends a placement that was not sent to its upstreams, so that it does not count against their
// rate limits.
func (p *Placement) Withdraw(now time.Time) {
	b := p.dispatcher
	b.lock.Lock()
	for _, a := range p.request.assignments {
		a.upstream.rateShare.tokens++
	}
	b.lock.Unlock()
	p.End(now, Abandoned)
}

// unassign removes a request's assignments from their upstreams, and the request from the use of its service.
func (b *Dispatcher) unassign(now time.Time, r *request) {
	for _, a := range r.assignments {
		a.upstream.remove(now, a)
	}
	b.uncountUse(r)
}

// OnRestart sets a function that is called once, when one of the request's upstreams is found to
// have restarted and so to have lost the request. It is called at once if that has happened
// already. The function must not block or call the dispatcher.
func (p *Placement) OnRestart(call func()) {
	b, r := p.dispatcher, p.request
	b.lock.Lock()
	defer b.lock.Unlock()
	r.onRestart = call
	if r.upstreamRestarted {
		r.notifyRestart()
	}
}

// notifyRestart records that an upstream of the request has restarted, and calls the function set
// by OnRestart.
func (r *request) notifyRestart() {
	r.upstreamRestarted = true
	if r.onRestart != nil {
		r.onRestart()
		r.onRestart = nil
	}
}

// ForgetFailures drops what failures have shown of all upstreams, as when it turns out that the links of this
// entry were at fault.
func (b *Dispatcher) ForgetFailures() {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, u := range b.upstreams {
		u.health.forgetFailures()
	}
}

// RecordHelperFailure raises the failure rate of an engine that failed a request as a helper. It
// does nothing if the engine has restarted since.
func (b *Dispatcher) RecordHelperFailure(now time.Time, helper Instance) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if u, ok := b.upstreams[helper.ID]; ok && u.instance.SameIncarnation(helper) {
		u.health.recordFailure(now)
	}
}

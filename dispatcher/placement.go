package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/predictor"
)

// Placement is a request's place. Its owner reports what becomes of it.
type Placement struct {
	dispatcher *Dispatcher
	request    *request
	// First answers the request; Helpers prefill parts of the prompt.
	First   Instance
	Helpers []Instance
	// HelperMemoryTokens are the memory that helpers are to hold of a prompt that is too
	// long for the first engine, by their IDs; empty for others.
	HelperMemoryTokens map[string]int
	// ExpectedFirstByte is how long the first byte is expected to take.
	ExpectedFirstByte time.Duration
	// Load is the first upstream's before this request, for the log.
	Load Load
}

// FirstByteSeen reports that the first byte of the answer was seen.
func (p *Placement) FirstByteSeen(now time.Time) {
	b, r := p.dispatcher, p.request
	b.lock.Lock()
	defer b.lock.Unlock()
	isJoint := len(r.assignments) > 1
	u := r.assignments[0].upstream
	if u.queue != nil && !isJoint {
		u.queue.PassSeen(now)
	}
	r.recordFirstByte(now)
	if isJoint || r.assignments[0].job.Prefill > minReportedPrefill {
		b.queueUpdate(r)
	}
	u.health.recordSuccess(now)
	if p.ExpectedFirstByte > 0 && !isJoint {
		u.health.recordPace(now, float64(now.Sub(r.placedAt))/float64(p.ExpectedFirstByte+paceSlack))
	}
}

// EventSeen reports that one more event of the answer was seen: the engine has
// just ended a pass.
func (p *Placement) EventSeen(now time.Time) {
	p.dispatcher.lock.Lock()
	defer p.dispatcher.lock.Unlock()
	if u := p.request.assignments[0].upstream; u.queue != nil {
		u.queue.PassSeen(now)
	}
}

// recordFirstByte notes that the first event of the answer was seen.
func (r *request) recordFirstByte(now time.Time) {
	r.firstByteSeen = true
	for _, a := range r.assignments {
		if a.upstream.queue != nil {
			a.upstream.queue.Begun(now, &a.job)
		}
	}
}

// minReportedPrefill is the prefill whose end is worth a message to peers: what is
// shorter they expect to be done by the time it reaches them.
const minReportedPrefill = 100 * time.Millisecond

// ExpectedSilence is how long the request's upstream may say nothing because of what it
// is expected to prefill.
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
	pass := predictor.DecodePass(first.engine, l.Running, l.MemoryTokens)
	return prefill + time.Duration(float64(pass)*first.health.pace(now)) + l.Overdue
}

// paceSlack is added to an expected time before a real one is measured
// against it: network, scheduling and half a pass.
const paceSlack = 60 * time.Millisecond

// Result is what became of a placement at its first upstream.
type Result int

// The results.
const (
	// Answered: a whole answer came.
	Answered Result = iota
	// Abandoned: the request ended for a reason that shows nothing of the upstream, as its caller left.
	Abandoned
	// Failed: the upstream answered that it failed.
	Failed
	// Incomplete: no whole answer came.
	Incomplete
	// Unreachable: no connection was had.
	Unreachable
	// Full: the upstream said that it had no room.
	Full
)

// outcome is what peers are told of a result. What this entry did not hear may have been lost on
// links of its own, and what is full for one is told by the load.
func (r Result) outcome() Outcome {
	switch r {
	case Answered:
		return OutcomeAnswered
	case Failed:
		return OutcomeFailed
	default:
		return OutcomeUnknown
	}
}

// End takes the request off the board.
func (p *Placement) End(now time.Time, result Result) {
	b, r := p.dispatcher, p.request
	b.lock.Lock()
	defer b.lock.Unlock()
	h := &r.assignments[0].upstream.health
	switch result {
	case Failed, Incomplete, Full:
		h.recordFailure(now)
	case Unreachable:
		h.recordUnreachable(now)
	}
	delete(b.ownRequests, r.wireID)
	b.unassign(now, r)
	b.queueEnd(r, result.outcome())
}

// unassign takes a request's parts off their workers.
func (b *Dispatcher) unassign(now time.Time, r *request) {
	for _, a := range r.assignments {
		a.upstream.remove(now, a)
	}
}

// OnRestart has a function called once, when one of the request's upstreams is known to
// have started anew: what it had of the request is gone. The function must not block
// nor call the board.
func (p *Placement) OnRestart(call func()) {
	b, r := p.dispatcher, p.request
	b.lock.Lock()
	defer b.lock.Unlock()
	r.onRestart = call
	if r.upstreamRestarted {
		r.notifyRestart()
	}
}

// notifyRestart notes that an upstream of the request has started anew.
func (r *request) notifyRestart() {
	r.upstreamRestarted = true
	if r.onRestart != nil {
		r.onRestart()
		r.onRestart = nil
	}
}

// ReportHelperFailure notes that a helper failed a request.
func (b *Dispatcher) ReportHelperFailure(now time.Time, helper Instance) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if u, ok := b.upstreams[helper.ID]; ok && u.instance.SameIncarnation(helper) {
		u.health.recordFailure(now)
	}
}

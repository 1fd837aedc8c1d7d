package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/predictor"
)

// Placement is a request's place. Its owner reports what becomes of it.
type Placement struct {
	board   *Dispatcher
	request *request
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
	b, r := p.board, p.request
	b.lock.Lock()
	defer b.lock.Unlock()
	joint := len(r.parts) > 1
	w := r.parts[0].worker
	if w.queue != nil && !joint {
		w.queue.PassSeen(now)
	}
	r.begin(now)
	if joint || r.parts[0].job.Prefill > toldPrefill {
		b.tell(r)
	}
	w.health.succeeded(now)
	if p.ExpectedFirstByte > 0 && !joint {
		w.health.paced(now, float64(now.Sub(r.placed))/float64(p.ExpectedFirstByte+paceSlack))
	}
}

// EventSeen reports that one more event of the answer was seen: the engine has
// just ended a pass.
func (p *Placement) EventSeen(now time.Time) {
	p.board.lock.Lock()
	defer p.board.lock.Unlock()
	if w := p.request.parts[0].worker; w.queue != nil {
		w.queue.PassSeen(now)
	}
}

// begin notes that the first event of the answer was seen.
func (r *request) begin(now time.Time) {
	r.begun = true
	for _, p := range r.parts {
		if p.worker.queue != nil {
			p.worker.queue.Begun(now, &p.job)
		}
	}
}

// toldPrefill is the prefill whose end is worth a message to peers: what is
// shorter they expect to be done by the time it reaches them.
const toldPrefill = 100 * time.Millisecond

// ExpectedSilence is how long the request's upstream may say nothing because of what it
// is expected to prefill.
func (p *Placement) ExpectedSilence() time.Duration {
	p.board.lock.Lock()
	defer p.board.lock.Unlock()
	first := p.request.parts[0].worker
	if first.engine == nil {
		return 0
	}
	now := time.Now()
	l := first.load(now)
	prefill := l.PrefillBacklog
	for _, o := range p.request.parts {
		if !p.request.begun {
			prefill = max(prefill, o.worker.load(now).PrefillBacklog)
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
	b, r := p.board, p.request
	b.lock.Lock()
	defer b.lock.Unlock()
	h := &r.parts[0].worker.health
	switch result {
	case Failed, Incomplete, Full:
		h.failed(now)
	case Unreachable:
		h.unreachable(now)
	}
	delete(b.own, r.token)
	b.drop(now, r)
	b.tellEnd(r, result.outcome())
}

// drop takes a request's parts off their workers.
func (b *Dispatcher) drop(now time.Time, r *request) {
	for _, p := range r.parts {
		p.worker.remove(now, p)
	}
}

// OnRestart has a function called once, when one of the request's upstreams is known to
// have started anew: what it had of the request is gone. The function must not block
// nor call the board.
func (p *Placement) OnRestart(call func()) {
	b, r := p.board, p.request
	b.lock.Lock()
	defer b.lock.Unlock()
	r.onLost = call
	if r.lost {
		r.lose()
	}
}

// lose notes that an upstream of the request has started anew.
func (r *request) lose() {
	r.lost = true
	if r.onLost != nil {
		r.onLost()
		r.onLost = nil
	}
}

// ReportHelperFailure notes that a helper failed a request.
func (b *Dispatcher) ReportHelperFailure(now time.Time, helper Instance) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if w, ok := b.workers[helper.ID]; ok && w.instance.SameIncarnation(helper) {
		w.health.failed(now)
	}
}

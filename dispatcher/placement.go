package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/predictor"
)

// Placement is a request's place. Its owner reports what becomes of it.
type Placement struct {
	board *Board
	// First answers the request; Helpers prefill parts of the prompt.
	First   Instance
	Helpers []Instance
	// Shares are the memory that helpers are to hold of a prompt that is too
	// long for the first engine, by their IDs; empty for others.
	Shares map[string]int
	// Expected is how long the first byte is expected to take.
	Expected time.Duration
	// Load is the first upstream's before this request, for the log.
	Load Load

	placed time.Time
	// begun is true once the first byte of the answer was seen.
	begun bool
	parts map[*worker]*part
}

// Began reports that the first byte of the answer was seen.
func (p *Placement) Began(now time.Time) {
	p.board.lock.Lock()
	defer p.board.lock.Unlock()
	p.begun = true
	for w, t := range p.parts {
		if t.prefill > toldPrefill {
			p.board.touch(w)
		}
	}
	w := p.worker()
	w.health.succeeded(now)
	if p.Expected > 0 && len(p.Helpers) == 0 {
		w.health.paced(now, float64(now.Sub(p.placed))/float64(p.Expected+paceSlack))
	}
}

// toldPrefill is the prefill whose end is worth a message to peers: what is
// shorter they expect to be done by the time it reaches them.
const toldPrefill = 100 * time.Millisecond

// Busy is how long the request's upstream may say nothing because of what it
// is expected to prefill.
func (p *Placement) Busy() time.Duration {
	p.board.lock.Lock()
	defer p.board.lock.Unlock()
	w := p.worker()
	if w == nil || w.engine == nil {
		return 0
	}
	now := time.Now()
	l := w.all(now)
	prefill := l.Prefill
	for o := range p.parts {
		if !p.begun {
			prefill = max(prefill, o.all(now).Prefill)
		}
	}
	pace := w.health.pace(now)
	return time.Duration(float64(prefill+predictor.DecodePass(w.engine, l.Running, l.Tokens)) * pace)
}

// finish is when the last part is expected to be prefilled.
func (p *Placement) finish() time.Time {
	last := p.placed
	for _, t := range p.parts {
		if t.finish.After(last) {
			last = t.finish
		}
	}
	return last
}

// paceSlack is added to an expected time before a real one is measured
// against it: network, scheduling and half a pass.
const paceSlack = 60 * time.Millisecond

func (p *Placement) worker() *worker {
	for w, t := range p.parts {
		if t.decodes {
			return w
		}
	}
	return nil
}

// Result is what became of a placement at its first upstream.
type Result int

// The results.
const (
	// Answered: a whole answer came, or the caller ended the request.
	Answered Result = iota
	// Failed: the upstream failed the request.
	Failed
	// Unreachable: no connection was had.
	Unreachable
	// Full: the upstream said that it had no room.
	Full
)

// End takes the request off the board.
func (p *Placement) End(now time.Time, r Result) {
	p.board.lock.Lock()
	defer p.board.lock.Unlock()
	w := p.worker()
	switch r {
	case Failed:
		w.health.failed(now)
	case Unreachable:
		w.health.unreachable(now)
	case Full:
		w.health.failed(now)
	}
	for w, t := range p.parts {
		delete(w.parts, t)
		p.board.touch(w)
	}
}

// Blame notes that a helper failed a request.
func (b *Board) Blame(now time.Time, id string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if w, ok := b.workers[id]; ok {
		w.health.failed(now)
	}
}

package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/assigner"
	"github.com/sapphireramp/sapphireramp/predictor"
)

// Place finds a place for a request and notes it on the board.
func (b *Dispatcher) Place(now time.Time, d Demand) (*Placement, *Refusal) {
	b.lock.Lock()
	defer b.lock.Unlock()
	p, refusal := b.find(now, d)
	if refusal != nil {
		return nil, refusal
	}
	b.own[p.request.token] = p.request
	for _, t := range p.request.parts {
		t.worker.add(now, t)
	}
	b.tell(p.request)
	return p, nil
}

// Accepts reports whether a request would be placed, and begun without waiting for a slot. Where
// all slots are taken a silent engine is no worse than others, and prompts that are prefilled anew
// elsewhere would keep the fleet full.
func (b *Dispatcher) Accepts(now time.Time, d Demand) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	p, refusal := b.find(now, d)
	if refusal != nil {
		return false
	}
	w := p.request.parts[0].worker
	if w.health.blocked(now) {
		return false // it is chosen only where there is no other
	}
	return w.engine == nil || p.Load.Running+spareSlots < w.engine.Slots
}

// find finds a place for a request.
func (b *Dispatcher) find(now time.Time, d Demand) (*Placement, *Refusal) {
	workers := b.usable(now, d)
	if len(workers) == 0 {
		return nil, b.noneUsable(now, d)
	}
	if workers[0].engine == nil || d.PromptTokens == 0 {
		if d.EndWithin > 0 {
			return nil, ending(0)
		}
		return b.placePlain(now, d, workers), nil
	}
	return b.placePrompt(now, d, workers)
}

func (b *Dispatcher) placePlain(now time.Time, d Demand, workers []*worker) *Placement {
	best, least := workers[0], 0.0
	for i, w := range workers {
		l := w.load(now)
		cost := float64(l.Running)/float64(max(1, w.instance.Slots)) + failingCost*l.FailureRate + slowCost*(w.health.pace(now)-1)
		cost += spread * b.random.Float64()
		if w.instance.DataCentre != b.dataCentre {
			cost += farCost
		}
		if i == 0 || cost < least {
			best, least = w, cost
		}
	}
	p := b.newPlacement(now, d)
	p.First, p.Load = best.instance, best.load(now)
	p.request.add(best, predictor.Job{Decodes: true, Arrived: now}, 0)
	return p
}

// newPlacement returns a placement that has no place yet.
func (b *Dispatcher) newPlacement(now time.Time, d Demand) *Placement {
	return &Placement{board: b, HelperMemoryTokens: map[string]int{}, request: &request{
		token: WireID(b.random.Uint32()), prompt: d.PromptTokens, answer: d.AnswerTokens, target: d.FirstByteTarget, pause: d.GapTarget, value: valueOf(d.PromptTokens), left: d.Remaining, placed: now, since: now.Add(-d.Waited),
	}}
}

// add gives a request a part at a worker.
func (r *request) add(w *worker, j predictor.Job, held int) {
	r.parts = append(r.parts, &part{worker: w, request: r, job: j, held: held})
}

// What weighs on the choice of a plain upstream, in loads of a full one.
const (
	// farCost is of another data centre: a round trip there is a tenth of the
	// usual work.
	farCost = 0.1
	// failingCost is of an upstream that fails every request: it is asked last,
	// also where all others are full and have as much waiting again.
	failingCost = 4
	// slowCost is of one that works twice as long.
	slowCost = 0.5
	// spread keeps entries with the same picture from choosing alike.
	spread = 0.1
)

// look lists the engines that may take a prompt, with what they have to do.
func (b *Dispatcher) look(now time.Time, d Demand, workers []*worker) []candidate {
	for _, w := range workers {
		w.look(now, &b.forecast)
	}
	// Where a joint answer begins depends on all engines of its prompt.
	for _, w := range workers {
		if w.meet() {
			w.look(now, &b.forecast)
		}
	}
	loads := make([]candidate, len(workers))
	for i, w := range workers {
		loads[i] = candidate{worker: w, load: w.load(now), rank: assigner.Weight(b.rankSalt, w.instance.ID), jitter: jitter(b.peers) * b.random.Float64()}
		loads[i].note(d)
	}
	price := slotPrice(loads)
	for i := range loads {
		loads[i].slotPrice = price
	}
	return loads
}

// cheapest finds the engines that lose least by a prompt.
func (b *Dispatcher) cheapest(now time.Time, d Demand, loads []candidate) (group, bool) {
	s := b.newSearch(d, loads)
	best, found := s.alone(now, d, loads)
	sizes := groupSizes(d, loads[0].worker.engine, loads)
	if len(loads) > mostWeighed && len(sizes) > 1 {
		loads = s.foremost(now, d, loads, sizes[len(sizes)-1])
		sizes = fewSizes(sizes)
	}
	for _, k := range sizes {
		if k == 1 {
			continue
		}
		if g := s.joint(now, d, loads, k); !found || g.cost < best.cost {
			best, found = g, true
		}
	}
	return best, found
}

func (b *Dispatcher) placePrompt(now time.Time, d Demand, workers []*worker) (*Placement, *Refusal) {
	loads := b.look(now, d, workers)
	best, found := b.cheapest(now, d, loads)
	if !found {
		return nil, &Refusal{Reason: "no_memory", RetryAfter: leastRetry}
	}
	if !d.Admitted && d.MaxWait > 0 && best.finish > d.MaxWait {
		return nil, &Refusal{Reason: "overloaded", Temporary: true, ExpectedFirstByte: best.finish, RetryAfter: min(mostRetry, max(leastRetry, best.finish-d.MaxWait/2))}
	}
	held, fits := memoryShares(d, best.offers)
	if !fits {
		return nil, &Refusal{Reason: "no_memory", ExpectedFirstByte: best.finish, RetryAfter: leastRetry}
	}
	if d.EndWithin > 0 && (d.MaxAnswerTokens <= 0 || d.latestEnd(now, best) > d.EndWithin) {
		return nil, ending(best.finish)
	}
	if r := tooCostly(d, workers[0].engine, loads, best.cost); r != nil {
		r.ExpectedFirstByte = best.finish
		return nil, r
	}
	if r := tooEarly(d, workers[0].engine, best, groupBacklog(best)); r != nil {
		return nil, r
	}
	p := b.newPlacement(now, d)
	p.First, p.Load, p.ExpectedFirstByte = best.offers[0].worker.instance, best.offers[0].load, best.finish
	for i, o := range best.offers {
		if i > 0 {
			p.Helpers = append(p.Helpers, o.worker.instance)
		}
		if i > 0 && held[i] > 0 {
			p.HelperMemoryTokens[o.worker.instance.ID] = held[i]
		}
		p.request.add(o.worker, o.job, held[i])
	}
	return p, nil
}

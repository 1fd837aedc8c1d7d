package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/assigner"
)

// Place finds a place for a request and notes it on the board.
func (b *Board) Place(now time.Time, d Demand) (*Placement, *Refusal) {
	b.lock.Lock()
	defer b.lock.Unlock()
	p, parts, refusal := b.find(now, d)
	if refusal != nil {
		return nil, refusal
	}
	for _, t := range parts {
		if len(parts) > 1 {
			t.worker.delay(now, t.prefill)
		}
	}
	for _, t := range parts {
		p.parts[t.worker] = t
		t.worker.parts[t] = true
		b.touch(t.worker)
	}
	return p, nil
}

// Takes reports whether a request would be placed.
func (b *Board) Takes(now time.Time, d Demand) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	_, _, refusal := b.find(now, d)
	return refusal == nil
}

// find finds a place for a request, with its parts, the first upstream's first.
func (b *Board) find(now time.Time, d Demand) (*Placement, []*part, *Refusal) {
	workers := b.usable(now, d)
	if len(workers) == 0 {
		return nil, nil, &Refusal{Reason: "no_upstream", RetryAfter: leastRetry}
	}
	if workers[0].engine == nil || d.Prompt == 0 {
		p, parts := b.placePlain(now, d, workers)
		return p, parts, nil
	}
	return b.placePrompt(now, d, workers)
}

func (b *Board) placePlain(now time.Time, d Demand, workers []*worker) (*Placement, []*part) {
	best, least := workers[0], 0.0
	for i, w := range workers {
		l := w.all(now)
		cost := float64(l.Running)/float64(max(1, w.instance.Slots)) + failingCost*w.health.rate(now) + slowCost*(w.health.pace(now)-1)
		cost += spread * b.random.Float64()
		if w.instance.DataCentre != b.dataCentre {
			cost += farCost
		}
		if i == 0 || cost < least {
			best, least = w, cost
		}
	}
	p := &Placement{board: b, First: best.instance, Load: best.all(now), placed: now, parts: map[*worker]*part{}}
	return p, []*part{{worker: best, decodes: true, value: 1, placement: p}}
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

func (b *Board) placePrompt(now time.Time, d Demand, workers []*worker) (*Placement, []*part, *Refusal) {
	loads := make([]candidate, len(workers))
	for i, w := range workers {
		loads[i] = candidate{
			worker: w, load: w.all(now), rank: assigner.Weight(b.rankSalt, w.instance.ID), blind: b.blind, jitter: jitter(b.peers) * b.random.Float64(),
		}
	}
	var best []candidate
	least, expected := 0.0, time.Duration(0)
	scratch := newSearch(len(loads))
	for _, k := range groupSizes(d, workers[0].engine, loads) {
		chosen, cost, finish := scratch.cheapest(now, d, loads, k)
		if chosen != nil && (best == nil || cost < least) {
			best, least, expected = append(best[:0], chosen...), cost, finish
		}
	}
	if best == nil {
		return nil, nil, &Refusal{Reason: "no_memory", RetryAfter: leastRetry}
	}
	if !d.Admitted && d.Patience > 0 && expected > d.Patience {
		return nil, nil, &Refusal{Reason: "overloaded", Passing: true, Expected: expected, RetryAfter: min(mostRetry, max(leastRetry, expected-d.Patience/2))}
	}
	held, fits := memoryShares(d, best)
	if !fits {
		return nil, nil, &Refusal{Reason: "no_memory", Expected: expected, RetryAfter: leastRetry}
	}
	if r := tooCostly(d, workers[0].engine, loads, least); r != nil {
		r.Expected = expected
		return nil, nil, r
	}
	p := &Placement{
		board: b, First: best[0].worker.instance, Load: best[0].load, Expected: expected,
		placed: now, parts: map[*worker]*part{}, Shares: map[string]int{},
	}
	var parts []*part
	for i, o := range best {
		if i > 0 {
			p.Helpers = append(p.Helpers, o.worker.instance)
		}
		if i > 0 && held[i] > 0 {
			p.Shares[o.worker.instance.ID] = held[i]
		}
		parts = append(parts, &part{
			worker: o.worker, placement: p, prefill: o.part, finish: now.Add(o.finish), tokens: held[i], placed: now,
			target: d.FirstByteTarget, pause: d.PauseTarget, value: value(d), decodes: i == 0,
		})
	}
	return p, parts, nil
}

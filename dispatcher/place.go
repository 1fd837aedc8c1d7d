package dispatcher

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/assigner"
	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

// Demand is what a request needs.
type Demand struct {
	Service string
	// Prompt and Answer are token counts; Prompt is 0 for plain services.
	Prompt, Answer int
	// FirstByteAim and PauseAim are those of the route.
	FirstByteAim, PauseAim time.Duration
	// Patience is how long the caller waits for the first byte.
	Patience time.Duration
	// Avoid lists the IDs of upstreams that failed the request.
	Avoid []string
	// Admitted requests were placed before and are not refused for what they
	// cost or how long they wait.
	Admitted bool
	// Alone forbids helpers: a group has failed the request before.
	Alone bool
}

// Refusal says that no upstream can serve a request now.
type Refusal struct {
	Reason string
	// RetryAfter is when one is expected to.
	RetryAfter time.Duration
	// Expected is how long the first byte would have taken, 0 if unknown.
	Expected time.Duration
	// Passing refusals may be other in a moment, as engines read on.
	Passing bool
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%s, expected %s, retry after %s", r.Reason, r.Expected, r.RetryAfter)
}

const (
	// valueTokens is the prompt that is worth as much as a request by itself:
	// what a caller loses with a late answer grows with what it asked for.
	valueTokens = 8000
	// lateLoss is the part of an answer's worth that lateness loses. Both
	// users' sheets pay a quarter for a late answer.
	lateLoss = 0.75
	// lateFrom and lateTo are the parts of an aim between which an expected
	// time goes from surely on time to surely late: predictions are off by
	// about a quarter.
	lateFrom, lateTo = 0.75, 1.25
	// slope makes an earlier answer better among those that are on time.
	slope = 0.05
	// helperCost is what each helper adds to the risk that one is gone.
	helperCost = 0.02
	// openCost is what it costs to place a light prompt where no answer with
	// as short a pause is written, and the less the more there are: light
	// prompts are packed on few engines, and the others left to long ones.
	openCost = 0.3
	// lightPart is the part of its own longest pause up to which the reading
	// of a prompt counts as light.
	lightPart = 0.5
	// mostHelpers is how many engines the first may list.
	mostHelpers = 16
	// spareSlots are kept free of what other entries may not have told yet.
	spareSlots = 2
	// queuedCost is the part of a request's worth lost by each request that
	// waits for a slot before it, in engines' slots.
	queuedCost = 4
	// leastRetry and mostRetry bound what a refused caller is told.
	leastRetry = 200 * time.Millisecond
	mostRetry  = 3 * time.Second
)

// Placement is a request's place. Its owner reports what becomes of it.
type Placement struct {
	board *Board
	// First answers the request; Helpers read parts of the prompt.
	First   Instance
	Helpers []Instance
	// Shares are the memory that helpers are to hold of a prompt that is too
	// long for the first engine, by their IDs; empty for others.
	Shares map[string]int
	// Expected is how long the first byte is expected to take.
	Expected time.Duration
	// Load is the first upstream's before this request, for the log.
	Load Load

	demand Demand
	placed time.Time
	// begun is true once the first byte of the answer was seen.
	begun bool
	parts map[*worker]*part
}

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
			t.worker.delay(now, t.reading)
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
		cost := float64(l.Running)/float64(max(1, w.instance.Slots)) + 4*w.health.rate(now) + 0.5*(w.health.pace(now)-1)
		cost += 0.1 * b.random.Float64()
		if w.instance.DataCentre != b.dataCentre {
			cost += farCost
		}
		if i == 0 || cost < least {
			best, least = w, cost
		}
	}
	p := &Placement{board: b, First: best.instance, Load: best.all(now), demand: d, placed: now, parts: map[*worker]*part{}}
	return p, []*part{{worker: best, writes: true, value: 1, placement: p}}
}

// farCost is what a plain request loses in another data centre, in loads of
// one upstream: a round trip there is a tenth of the usual work.
const farCost = 0.1

// value is what a caller loses with an answer, in requests.
func value(d Demand) float64 { return 1 + float64(d.Prompt)/valueTokens }

// lateness is how likely a time is to be over its aim.
func lateness(expected, aim time.Duration) float64 {
	if aim <= 0 {
		return 0
	}
	x := (float64(expected)/float64(aim) - lateFrom) / (lateTo - lateFrom)
	return min(1, max(0, x))
}

// Callers abandon a stream after the longest of a gap of two seconds and eight
// times the pause that is on time, or four times the aim of the first event.
const (
	leastAbandon = 2 * time.Second
	pauseAbandon = 8
	aimAbandon   = 4
	// abandonLoss is the part of an answer's worth that is lost beside its
	// lateness where the caller leaves: what late answers are paid, and as
	// much again for an answer not had at all.
	abandonLoss = 0.5
)

// pauseLoss is the part of an answer's worth that a pause loses.
func pauseLoss(pause, aim time.Duration) float64 {
	return lateLoss*lateness(pause, aim) + abandonLoss*lateness(pause, max(leastAbandon, pauseAbandon*aim))
}

// waitLoss is the part of an answer's worth that a wait for its first event
// loses.
func waitLoss(wait time.Duration, d Demand) float64 {
	abandon := max(leastAbandon, aimAbandon*d.FirstByteAim, pauseAbandon*d.PauseAim)
	loss := lateLoss*lateness(wait, d.FirstByteAim) + abandonLoss*lateness(wait, abandon)
	return loss + slope*float64(wait)/float64(max(1, d.FirstByteAim))
}

// offer is what one engine would make of a part of a prompt.
type offer struct {
	worker *worker
	load   Load
	// cost is what answers being written there would lose.
	cost   float64
	finish time.Duration
	part   time.Duration
	// writes is false where the engine could only help.
	writes bool
	// rank orders engines where costs are equal.
	rank uint64
	// blind offers are made without knowing what other entries place.
	blind bool
}

func (b *Board) placePrompt(now time.Time, d Demand, workers []*worker) (*Placement, []*part, *Refusal) {
	loads := make([]offer, len(workers))
	for i, w := range workers {
		loads[i] = offer{worker: w, load: w.all(now), rank: assigner.Weight(b.rankSalt, w.instance.ID), blind: b.blind}
	}
	var best []offer
	least, expected := 0.0, time.Duration(0)
	scratch := newAuction(len(loads))
	for _, k := range groupSizes(d, workers[0].engine, loads) {
		chosen, cost, finish := scratch.bid(now, d, loads, k)
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
	if r := dear(d, workers[0].engine, loads, least); r != nil {
		r.Expected = expected
		return nil, nil, r
	}
	p := &Placement{
		board: b, First: best[0].worker.instance, Load: best[0].load, Expected: expected,
		demand: d, placed: now, parts: map[*worker]*part{}, Shares: map[string]int{},
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
			worker: o.worker, placement: p, reading: o.part, finish: now.Add(o.finish), tokens: held[i], placed: now,
			aim: d.FirstByteAim, pause: d.PauseAim, value: value(d), writes: i == 0,
		})
	}
	return p, parts, nil
}

const (
	// timePrice is what a second of an engine's time is worth to other callers
	// for each second that engines have yet to read on average, in requests a
	// second squared. At 0.25 s of backlog nothing is refused that would be on
	// time; at 1 s prompts that take over seven seconds to read are, which
	// would displace several times their worth of others.
	timePrice = 4.0
	// heavyReading is the reading from which a prompt is heavy enough to be
	// refused for what it costs others.
	heavyReading = time.Second
	// drainFactor is in how many backlogs a refused caller is asked to return.
	drainFactor = 4
)

// dear refuses a prompt that would lose others more than it is worth. Cost is
// what its place would lose, its own lateness included.
func dear(d Demand, e *matcher.Engine, loads []offer, cost float64) *Refusal {
	reading := predictor.Reading(e, d.Prompt)
	if d.Admitted || reading < heavyReading {
		return nil
	}
	backlog := time.Duration(0)
	for _, o := range loads {
		backlog += o.load.Reading
	}
	backlog /= time.Duration(len(loads))
	price := timePrice * backlog.Seconds() * reading.Seconds()
	if value(d)-cost-price > 0 {
		return nil
	}
	return &Refusal{Reason: "too_dear", Passing: true, RetryAfter: min(mostRetry, max(leastRetry, drainFactor*backlog))}
}

// groupSizes lists how many engines may read a prompt. A short one is read by
// one, unless all engines have something to read: with a helper it goes first.
func groupSizes(d Demand, e *matcher.Engine, loads []offer) []int {
	most := min(len(loads), mostHelpers+1)
	if predictor.Reading(e, d.Prompt) < d.PauseAim/4 {
		idle := slices.ContainsFunc(loads, func(o offer) bool { return o.load.Reading < d.FirstByteAim/2 })
		most = min(most, 2)
		if idle {
			most = 1
		}
	}
	if d.Alone {
		most = 1
	}
	var sizes []int
	for k := 1; k <= most; k++ {
		sizes = append(sizes, k)
	}
	return sizes
}

// auction holds what is worked out for one number of engines, to be used again
// for the next.
type auction struct {
	offers, chosen []offer
	// ranked is what each offer would cost by itself, order the offers from
	// the cheapest on.
	ranked []float64
	order  []int
}

func newAuction(engines int) *auction {
	return &auction{
		offers: make([]offer, engines), chosen: make([]offer, 0, engines), ranked: make([]float64, engines), order: make([]int, engines),
	}
}

// bid finds the k engines that lose least by reading a prompt together. The
// first of them writes the answer. It returns nil where no engine could. What
// it returns is valid until the next call.
func (a *auction) bid(now time.Time, d Demand, loads []offer, k int) ([]offer, float64, time.Duration) {
	offers, ranked, order := a.offers, a.ranked, a.order
	worth := value(d)
	for i, o := range loads {
		o = o.bid(now, d, k)
		offers[i] = o
		ranked[i] = o.cost + worth*waitLoss(o.finish, d)
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int {
		return cmp.Or(cmp.Compare(ranked[i], ranked[j]), cmp.Compare(offers[i].rank, offers[j].rank))
	})
	writer := -1
	for _, i := range order {
		if offers[i].writes {
			writer = i
			break
		}
	}
	if writer < 0 {
		return nil, 0, 0
	}
	chosen := append(a.chosen[:0], offers[writer])
	for _, i := range order {
		if len(chosen) < k && i != writer {
			chosen = append(chosen, offers[i])
		}
	}
	if len(chosen) < k {
		return nil, 0, 0
	}
	cost, finish := helperCost*float64(k-1), time.Duration(0)
	for _, o := range chosen {
		cost += o.cost
		finish = max(finish, o.finish)
	}
	cost += worth * waitLoss(finish, d)
	return chosen, cost, finish
}

// bid fills in what the engine would make of one of k parts.
func (o offer) bid(now time.Time, d Demand, k int) offer {
	e, w := o.worker.engine, o.worker
	pace := w.health.pace(now)
	o.part = time.Duration(float64(predictor.Part(e, d.Prompt, k)) * pace)
	writers := 0
	similar := 0
	for _, g := range o.load.Writers {
		writers += g.Count
		if g.Pause <= d.PauseAim {
			similar += g.Count
		}
	}
	pass := time.Duration(float64(predictor.Writing(e, writers, o.load.Tokens)) * pace)
	// On average a prompt arrives in the middle of a pass, and its first event
	// follows at the end of the one that has read it. Of prompts that several
	// engines read the newest goes first, so that it waits for nothing but
	// holds up all that is being read; others wait for all of that.
	own := time.Duration(float64(predictor.Writing(e, writers+1, o.load.Tokens+d.Prompt)) * pace)
	o.finish = pass/2 + o.part + own
	if k > 1 {
		o.cost += delayCost(o.load, o.part)
	} else {
		o.finish += o.load.Reading
	}
	for _, g := range o.load.Writers {
		before := pauseLoss(pass+o.load.Reading, g.Pause)
		after := pauseLoss(pass+o.load.Reading+o.part, g.Pause)
		o.cost += g.Value * (after - before)
	}
	worth := value(d)
	o.cost += worth * 1.5 * w.health.rate(now)
	slots := e.Slots - spareSlots
	if waiting := o.load.Running + 1 - slots; waiting > 0 {
		o.finish += time.Duration(waiting) * slotTime(e, pass)
		o.cost += worth * queuedCost * float64(waiting) / float64(max(1, e.Slots))
	}
	if k == 1 && !o.blind && float64(predictor.Reading(e, d.Prompt)) <= lightPart*float64(d.PauseAim) {
		o.cost += openCost * (1 - float64(min(similar, slots))/float64(max(1, slots)))
	}
	o.writes = k > 1 || d.Prompt+d.Answer <= e.MemoryTokens
	if free := e.MemoryTokens - o.load.Tokens; k == 1 && d.Prompt+d.Answer > free {
		o.cost += worth
	}
	return o
}

// slotTime is how soon a slot of a full engine is free: answers are written in
// UsualAnswer / Stride passes, and end evenly.
func slotTime(e *matcher.Engine, pass time.Duration) time.Duration {
	passes := float64(e.UsualAnswer) / float64(max(1, e.Stride))
	return time.Duration(passes * float64(pass) / float64(max(1, e.Slots)))
}

// memoryPart is the part of an engine's free memory that one prompt is given:
// the rest is for what other entries have not told yet.
const memoryPart = 0.85

// free is the memory of an engine that one prompt may have.
func (o offer) free() int {
	return int(memoryPart * float64(max(0, o.worker.engine.MemoryTokens-o.load.Tokens)))
}

// memoryShares says how much of a prompt and its answer each of the chosen
// engines holds, the first of them first. A prompt that fits there is held by
// the first alone; what doesn't fit is held by few of the others.
func memoryShares(d Demand, chosen []offer) ([]int, bool) {
	shares := make([]int, len(chosen))
	need := d.Prompt + d.Answer
	first := chosen[0]
	if need <= first.worker.engine.MemoryTokens && (need <= first.free() || len(chosen) == 1) {
		shares[0] = need
		return shares, true
	}
	shares[0] = min(need, first.free())
	need -= shares[0]
	order := make([]int, 0, len(chosen))
	for i := 1; i < len(chosen); i++ {
		order = append(order, i)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(chosen[b].free(), chosen[a].free()) })
	for _, i := range order {
		shares[i] = min(need, chosen[i].free())
		need -= shares[i]
	}
	return shares, need == 0
}

// delayCost is what the requests that wait at an engine lose by a part that is
// read before them.
func delayCost(l Load, part time.Duration) float64 {
	cost := 0.0
	for _, w := range l.Waits {
		d := Demand{FirstByteAim: w.Aim}
		cost += w.Value * (waitLoss(max(w.Expected, w.Here+part), d) - waitLoss(w.Expected, d))
	}
	return cost
}

// Began reports that the first byte of the answer was seen.
func (p *Placement) Began(now time.Time) {
	p.board.lock.Lock()
	defer p.board.lock.Unlock()
	p.begun = true
	for w, t := range p.parts {
		if t.reading > toldReading {
			p.board.touch(w)
		}
	}
	w := p.worker()
	w.health.succeeded(now)
	if p.Expected > 0 && len(p.Helpers) == 0 {
		w.health.paced(now, float64(now.Sub(p.placed))/float64(p.Expected+paceSlack))
	}
}

// toldReading is the reading whose end is worth a message to peers: what is
// shorter they expect to be done by the time it reaches them.
const toldReading = 100 * time.Millisecond

// Busy is how long the request's upstream may say nothing because of what it
// is expected to read.
func (p *Placement) Busy() time.Duration {
	p.board.lock.Lock()
	defer p.board.lock.Unlock()
	w := p.worker()
	if w == nil || w.engine == nil {
		return 0
	}
	now := time.Now()
	l := w.all(now)
	reading := l.Reading
	for o := range p.parts {
		if !p.begun {
			reading = max(reading, o.all(now).Reading)
		}
	}
	pace := w.health.pace(now)
	return time.Duration(float64(reading+predictor.Writing(w.engine, l.Running, l.Tokens)) * pace)
}

// finish is when the last part is expected to be read.
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
		if t.writes {
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

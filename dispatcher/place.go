package dispatcher

import (
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/assigner"
	"github.com/sapphireramp/sapphireramp/predictor"
)

// Place chooses upstreams for a request and adds the request to their load. It returns a refusal
// where no upstream can be sent the request now. Each placement must be ended with End.
func (b *Dispatcher) Place(now time.Time, d Demand) (*Placement, *Refusal) {
	b.lock.Lock()
	defer b.lock.Unlock()
	p, refusal := b.choose(now, d)
	if refusal != nil {
		return nil, refusal
	}
	b.ownRequests[p.request.compactID] = p.request
	for _, a := range p.request.assignments {
		a.upstream.add(now, a)
		b.recordColdRequest(now, a.upstream)
		b.takeRateToken(now, a.upstream)
	}
	b.countUse(p.request)
	b.queueUpdate(p.request)
	return p, nil
}

// FindAccepting returns the first upstream on which a request would be placed, if that accepts connections
// and the request would start there without waiting for a slot. It records nothing. A request that moved away
// from a silent engine to wait for a slot would only wait elsewhere, and prompts that are prefilled a
// second time would keep all slots taken.
func (b *Dispatcher) FindAccepting(now time.Time, d Demand) (upstream Instance, ok bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	p, refusal := b.choose(now, d)
	if refusal != nil {
		return Instance{}, false
	}
	u := p.request.assignments[0].upstream
	if u.health.isBlocked(now) {
		return Instance{}, false // chosen only where there is no other
	}
	return p.First, u.engine == nil || p.Load.Running+spareSlots < u.engine.Slots
}

// choose chooses upstreams for a request without recording the placement. The lock must be held.
func (b *Dispatcher) choose(now time.Time, d Demand) (*Placement, *Refusal) {
	if refusal := b.refuseOverShare(now, d); refusal != nil {
		return nil, refusal
	}
	upstreams := b.usableUpstreams(now, d)
	if len(upstreams) == 0 {
		return nil, b.refuseNoneUsable(now, d)
	}
	p, refusal := b.chooseAmong(now, d, upstreams)
	if refusal != nil || len(p.Helpers) > 0 {
		return p, refusal
	}
	var narrowed []*upstream
	switch {
	case d.Isolated:
		narrowed = b.leastLoaded(now, upstreams)
	case d.Prefer.ID != "":
		narrowed = preferred(upstreams, d.Prefer)
	}
	if len(narrowed) == 0 {
		return p, nil
	}
	if q, refusal := b.chooseAmong(now, d, narrowed); refusal == nil {
		return q, nil
	}
	return p, nil
}

// preferred returns the upstream of an incarnation, or none if it is not among the upstreams.
func preferred(upstreams []*upstream, i Instance) []*upstream {
	at := slices.IndexFunc(upstreams, func(u *upstream) bool { return u.instance.SameIncarnation(i) })
	if at < 0 {
		return nil
	}
	return upstreams[at : at+1]
}

// leastLoaded returns one of the upstreams with the fewest requests, at random, of those that fail no more often than
// the others. The lock must be held.
func (b *Dispatcher) leastLoaded(now time.Time, upstreams []*upstream) []*upstream {
	lowestRate := 1.0
	for _, u := range upstreams {
		lowestRate = min(lowestRate, u.load(now).FailureRate)
	}
	var best []*upstream
	fewest := 0
	for _, u := range upstreams {
		load := u.load(now)
		if load.FailureRate > lowestRate+isolationRateMargin || len(best) > 0 && load.Running > fewest {
			continue
		}
		if len(best) > 0 && load.Running < fewest {
			best = nil
		}
		best, fewest = append(best, u), load.Running
	}
	return []*upstream{best[b.random.IntN(len(best))]}
}

// isolationRateMargin is the difference of failure rates up to which two upstreams count as equally healthy for a
// request that is placed alone.
const isolationRateMargin = 0.05

// chooseAmong chooses among the given upstreams, of which there is at least one. The lock must be held.
func (b *Dispatcher) chooseAmong(now time.Time, d Demand, upstreams []*upstream) (*Placement, *Refusal) {
	if upstreams[0].engine == nil || d.PromptTokens == 0 {
		if d.EndWithin > 0 {
			return nil, refuseOutlivesEntry(0)
		}
		return b.placePlain(now, d, upstreams), nil
	}
	return b.placePrompt(now, d, upstreams)
}

// placePlain chooses the upstream of a plain service with the lowest cost, which depends on the
// load, failure rate, slowdown and data centre of each upstream, and on a random number.
func (b *Dispatcher) placePlain(now time.Time, d Demand, upstreams []*upstream) *Placement {
	best, lowestCost := upstreams[0], 0.0
	for i, u := range upstreams {
		l := u.load(now)
		cost := float64(l.Running)/float64(max(1, u.instance.Slots)) + failingCost*l.FailureRate + slowCost*(u.health.slowdown(now)-1)
		cost += plainJitter * b.random.Float64()
		if u.instance.DataCentre != b.dataCentre {
			cost += remoteCost
		}
		if i == 0 || cost < lowestCost {
			best, lowestCost = u, cost
		}
	}
	p := b.newPlacement(now, d)
	p.First, p.Load = best.instance, best.load(now)
	p.request.ahead = best.slotsAhead(p.Load.Running)
	p.request.assign(best, predictor.Job{Decodes: true, Arrived: now}, 0)
	return p
}

// newPlacement returns a placement of a request that has no assignments yet.
func (b *Dispatcher) newPlacement(now time.Time, d Demand) *Placement {
	return &Placement{dispatcher: b, HelperMemoryTokens: map[string]int{}, request: &request{
		compactID: CompactID(b.random.Uint32()), organisation: d.Organisation, rank: d.Rank, promptTokens: d.PromptTokens, answerTokens: d.AnswerTokens, firstByteTarget: d.FirstByteTarget, gapTarget: d.GapTarget, value: promptValue(d.PromptTokens), remaining: d.Remaining, placedAt: now, waitingSince: now.Add(-d.Waited),
	}}
}

// assign adds an assignment at an upstream to the request. The upstream does not record it yet.
func (r *request) assign(u *upstream, j predictor.Job, memoryTokens int) {
	r.assignments = append(r.assignments, &assignment{upstream: u, request: r, job: j, memoryTokens: memoryTokens})
}

// Costs of an upstream of a plain service. The unit is the load of an upstream whose slots are all
// taken.
const (
	// remoteCost is the cost of an upstream in another data centre: the round trip takes a tenth of
	// the usual time of a request.
	remoteCost = 0.1
	// failingCost is the cost of an upstream that fails every request. Such an upstream is chosen
	// last, even where all others are full and as many requests again wait at each.
	failingCost = 4
	// slowCost is the cost of an upstream with a slowdown of 2. The cost is proportional to the
	// excess of the slowdown over 1.
	slowCost = 0.5
	// plainJitter is the maximum random cost, which keeps entries with the same view from all
	// choosing the same upstream.
	plainJitter = 0.1
)

// newCandidates returns the engines that a prompt may be placed on, with their load and the
// projections of their requests.
func (b *Dispatcher) newCandidates(now time.Time, d Demand, upstreams []*upstream) []candidate {
	for _, u := range upstreams {
		u.project(now, &b.simulator)
	}
	// The answer of a group starts only when all engines of the group have prefilled their shards.
	// The projections above predict that time; those below use it.
	for _, u := range upstreams {
		if u.updateJointJobs() {
			u.project(now, &b.simulator)
		}
	}
	candidates := make([]candidate, len(upstreams))
	for i, u := range upstreams {
		candidates[i] = candidate{upstream: u, load: u.load(now), rank: assigner.Weight(b.rankSalt, u.instance.ID), jitter: jitterRange(b.peerCount) * b.random.Float64()}
		candidates[i].computeBaseline(d)
	}
	price := slotPrice(candidates)
	for i := range candidates {
		candidates[i].slotPrice = price
	}
	return candidates
}

// cheapestGroup returns the engine or the group of engines with the lowest cost for a prompt, of
// those that the search considers (see groupSizes and shortlist). It reports false where no engine
// or group has enough memory for the prompt.
func (b *Dispatcher) cheapestGroup(now time.Time, d Demand, candidates []candidate) (group, bool) {
	s := b.newSearch(d, candidates)
	best, found := s.bestSingle(now, d, candidates)
	sizes := groupSizes(d, candidates[0].upstream.engine, candidates)
	if len(candidates) > maxCandidates && len(sizes) > 1 {
		candidates = s.shortlist(now, d, candidates, sizes[len(sizes)-1])
		sizes = sparseSizes(sizes)
	}
	for _, size := range sizes {
		if size == 1 {
			continue
		}
		if g := s.bestJoint(now, d, candidates, size); !found || g.cost < best.cost {
			best, found = g, true
		}
	}
	return best, found
}

// placePrompt chooses the engines for a prompt, or returns the reason why it is refused.
func (b *Dispatcher) placePrompt(now time.Time, d Demand, upstreams []*upstream) (*Placement, *Refusal) {
	candidates := b.newCandidates(now, d, upstreams)
	best, found := b.cheapestGroup(now, d, candidates)
	if !found {
		return nil, &Refusal{Reason: "no_memory", RetryAfter: minRetryAfter}
	}
	if !d.SentBefore && d.MaxWait > 0 && best.prefillDelay > d.MaxWait {
		return nil, &Refusal{Reason: "overloaded", Temporary: true, ExpectedFirstByte: best.prefillDelay, RetryAfter: min(maxRetryAfter, max(minRetryAfter, best.prefillDelay-d.MaxWait/2))}
	}
	memoryTokens, fits := splitMemory(d, best.estimates)
	if !fits {
		return nil, &Refusal{Reason: "no_memory", ExpectedFirstByte: best.prefillDelay, RetryAfter: minRetryAfter}
	}
	if d.EndWithin > 0 && (d.MaxAnswerTokens <= 0 || d.latestEnd(now, best) > d.EndWithin) {
		return nil, refuseOutlivesEntry(best.prefillDelay)
	}
	if r := refuseTooCostly(d, upstreams[0].engine, candidates, best.cost); r != nil {
		r.ExpectedFirstByte = best.prefillDelay
		return nil, r
	}
	if r := refuseTooEarly(d, upstreams[0].engine, best, groupBacklog(best)); r != nil {
		return nil, r
	}
	p := b.newPlacement(now, d)
	p.First, p.Load, p.ExpectedFirstByte = best.estimates[0].upstream.instance, best.estimates[0].load, best.prefillDelay
	for i, est := range best.estimates {
		if i > 0 {
			p.Helpers = append(p.Helpers, est.upstream.instance)
		}
		if i > 0 && memoryTokens[i] > 0 {
			p.HelperMemoryTokens[est.upstream.instance.ID] = memoryTokens[i]
		}
		p.request.assign(est.upstream, est.job, memoryTokens[i])
	}
	return p, nil
}

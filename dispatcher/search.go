package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

const (
	// helperRiskCost is the cost of each helper, in requests, for the risk that the helper fails.
	helperRiskCost = 0.02
	// maxHelpers is the maximum number of helpers that a request to the answering engine may list.
	maxHelpers = 16
	// maxAnsweringCandidates is the maximum number of engines that are considered as the one of a
	// group that answers.
	maxAnsweringCandidates = 4
)

// groupSizes returns the group sizes to consider for a prompt, in ascending order; 1 stands for a
// single engine. A prompt whose prefill takes less than a quarter of its gap target gets one
// engine. Two are considered for it only where every engine has a prefill backlog of half the
// first-byte target or more, since the shards of a group are prefilled before other work.
func groupSizes(d Demand, e *matcher.EngineProfile, candidates []candidate) []int {
	maxSize := min(len(candidates), maxHelpers+1)
	if predictor.PrefillTime(e, d.PromptTokens) < d.GapTarget/4 {
		hasShortBacklog := slices.ContainsFunc(candidates, func(c candidate) bool { return c.load.PrefillBacklog < d.FirstByteTarget/2 })
		maxSize = min(maxSize, 2)
		if hasShortBacklog {
			maxSize = 1
		}
	}
	if d.NoHelpers {
		maxSize = 1
	}
	var sizes []int
	for size := 1; size <= maxSize; size++ {
		sizes = append(sizes, size)
	}
	return sizes
}

// maxCandidates is the maximum number of engines that are considered for each group size, those
// that would answer not counted: twice the largest group. In a larger fleet the engines that would
// cost most with the smallest shard are left out, and only some sizes are tried. For a long prompt
// and 112 engines this reduces the processor time from 3.3 ms to 0.9 ms (BenchmarkPlace).
const maxCandidates = 2 * (maxHelpers + 1)

// shortlist returns the maxCandidates candidates that cost least when they prefill one of the given
// number of shards, cheapest first, followed by those not among them that are considered as the one
// that answers.
func (s *search) shortlist(now time.Time, d Demand, candidates []candidate, shards int) []candidate {
	s.estimateShards(now, d, candidates, shards)
	chosen := slices.Clone(s.order[:maxCandidates])
	for _, i := range s.answeringCandidates(d) {
		if !slices.Contains(chosen, i) {
			chosen = append(chosen, i)
		}
	}
	out := make([]candidate, 0, len(chosen))
	for _, i := range chosen {
		out = append(out, candidates[i])
	}
	return out
}

// sparseSizes returns about half of the given group sizes: each up to six, then in steps of three
// eighths of the size before, and the largest.
func sparseSizes(sizes []int) []int {
	var sparse []int
	next := 1
	for i, size := range sizes {
		if size < next && i < len(sizes)-1 {
			continue
		}
		sparse = append(sparse, size)
		next = size + max(1, 3*size/8)
	}
	return sparse
}

// group is a set of engines for a prompt, the one that answers first.
type group struct {
	estimates []estimate
	// displacementCost is the predicted loss that the prompt adds to other requests on the group's
	// engines. cost adds the prompt's own predicted loss, helperRiskCost for each helper and, where
	// they apply, the packing cost and the jitter. Both are in requests. prefillDelay is the time
	// from now until the last shard is prefilled.
	cost, displacementCost float64
	prefillDelay           time.Duration
}

// search looks for the cheapest engines for one prompt. Its buffers are reused from one group size
// to the next.
type search struct {
	simulator *predictor.Simulator
	// isPacking is true where the search prefers engines that already decode answers with as short
	// a gap target as the prompt's (see packingCost).
	isPacking bool
	estimates []estimate
	// costs holds the cost of each estimate, including the prompt's own loss if no other engine
	// took part. order holds the indexes of the estimates, the cheapest first.
	costs []float64
	order []int
}

// newSearch returns a search for the engines of a prompt. It prefers engines that already decode
// answers with as short a gap target, unless the prompt is long or this entry receives no load
// updates from its peers: all such entries would then fill the same engines.
func (b *Dispatcher) newSearch(d Demand, candidates []candidate) search {
	return search{simulator: &b.simulator, isPacking: !b.isolated && !hasLongPrefill(candidates[0].upstream.engine, d.PromptTokens)}
}

// estimateShards predicts, for each candidate, the effect of prefilling one shard of the prompt
// there as a helper, the prompt being split into the given number of equal shards. It sets
// s.estimates in the order of the candidates, and s.costs and s.order.
func (s *search) estimateShards(now time.Time, d Demand, candidates []candidate, shards int) {
	s.estimates = s.estimates[:0]
	for i := range candidates {
		s.estimates = append(s.estimates, candidates[i].estimate(now, d, shards, false, s.simulator))
	}
	s.sortByCost(d)
}

// sortByCost sets s.costs and s.order from s.estimates. Estimates with equal costs are ordered by
// the rank of their engines.
func (s *search) sortByCost(d Demand) {
	s.costs, s.order = s.costs[:0], s.order[:0]
	for i, est := range s.estimates {
		s.costs = append(s.costs, est.cost+d.loss(est.prefillDelay, est.longestGap, est.unfinishedRisk))
		s.order = append(s.order, i)
	}
	slices.SortFunc(s.order, func(i, j int) int {
		return cmp.Or(cmp.Compare(s.costs[i], s.costs[j]), cmp.Compare(s.estimates[i].rank, s.estimates[j].rank))
	})
}

// bestSingle returns the engine with the lowest cost for a whole prompt. It reports false where no
// engine has enough memory in total for the prompt and its answer.
func (s *search) bestSingle(now time.Time, d Demand, candidates []candidate) (group, bool) {
	s.estimates = s.estimates[:0]
	addsJitter := s.isPacking && hasShortPrefill(d, candidates[0].upstream.engine)
	for i := range candidates {
		est := candidates[i].estimate(now, d, 1, true, s.simulator)
		if !est.canDecode {
			continue
		}
		est.cost += s.packingCost(d, est.candidate)
		if addsJitter {
			est.cost += est.jitter
		}
		s.estimates = append(s.estimates, est)
	}
	if len(s.estimates) == 0 {
		return group{}, false
	}
	s.sortByCost(d)
	best := s.estimates[s.order[0]]
	return group{estimates: []estimate{best}, cost: s.costs[s.order[0]], displacementCost: best.displacementCost, prefillDelay: best.prefillDelay}, true
}

// packingCost returns the cost, in requests, of decoding the prompt's answer on an engine that
// decodes few answers with as short a gap target; 0 unless isPacking is true.
func (s *search) packingCost(d Demand, c *candidate) float64 {
	if !s.isPacking {
		return 0
	}
	return unpackedCost * promptValue(d.PromptTokens) * (1 - c.packedDegree)
}

// answeringCandidates returns the indexes in s.estimates of the engines that are considered as the
// one that answers, at most maxAnsweringCandidates: those that cost least as helpers, with the
// packing cost added.
func (s *search) answeringCandidates(d Demand) []int {
	n := min(len(s.order), maxAnsweringCandidates)
	if !s.isPacking {
		return s.order[:n]
	}
	byTotalCost := func(i, j int) int {
		return cmp.Compare(s.costs[i]+s.packingCost(d, s.estimates[i].candidate), s.costs[j]+s.packingCost(d, s.estimates[j].candidate))
	}
	return slices.SortedStableFunc(slices.Values(s.order), byTotalCost)[:n]
}

// bestJoint returns a group of the given size with a low cost for a prompt: the one of the
// answering candidates that costs least, and the engines that cost least as helpers. Not all groups
// of that size are compared.
func (s *search) bestJoint(now time.Time, d Demand, candidates []candidate, size int) group {
	s.estimateShards(now, d, candidates, size)
	first, answering := -1, estimate{}
	lowestCost := 0.0
	for _, i := range s.answeringCandidates(d) {
		est := s.estimates[i].estimate(now, d, size, true, s.simulator)
		est.cost += s.packingCost(d, est.candidate)
		cost := est.cost - s.estimates[i].cost + d.loss(est.prefillDelay, est.longestGap, est.unfinishedRisk)
		if first < 0 || cost < lowestCost {
			first, answering, lowestCost = i, est, cost
		}
	}
	g := group{estimates: append(make([]estimate, 0, size), answering)}
	for _, i := range s.order {
		if len(g.estimates) < size && i != first {
			g.estimates = append(g.estimates, s.estimates[i])
		}
	}
	for _, est := range g.estimates {
		g.cost += est.cost
		g.displacementCost += est.displacementCost
		g.prefillDelay = max(g.prefillDelay, est.prefillDelay)
	}
	g.cost += helperRiskCost*float64(size-1) + d.loss(g.prefillDelay, answering.longestGap, answering.unfinishedRisk)
	return g
}

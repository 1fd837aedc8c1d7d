package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

const (
	// helperRiskCost is what each helper adds to the risk that one is gone.
	helperRiskCost = 0.02
	// maxHelpers is how many engines the first may list.
	maxHelpers = 16
	// maxAnswering is how many engines are weighed as the one that answers.
	maxAnswering = 4
)

// groupSizes lists how many engines may prefill a prompt. A short one is
// prefilled by one, unless all engines have something to prefill: with a helper it goes first.
func groupSizes(d Demand, e *matcher.Engine, candidates []candidate) []int {
	maxSize := min(len(candidates), maxHelpers+1)
	if predictor.Prefill(e, d.PromptTokens) < d.GapTarget/4 {
		hasIdle := slices.ContainsFunc(candidates, func(c candidate) bool { return c.load.PrefillBacklog < d.FirstByteTarget/2 })
		maxSize = min(maxSize, 2)
		if hasIdle {
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

// maxWeighed is how many engines are weighed for each size of a group: twice the most that
// one may have. In a larger fleet the others are left out that would cost most with the
// smallest part, and sizes are not tried one by one: for a long prompt before 112 engines
// that takes 0.9 ms of a core, 3.3 ms with all (BenchmarkPlace).
const maxWeighed = 2 * (maxHelpers + 1)

// shortlist returns the candidates that would cost least with one of k parts, in the order
// of the cost.
func (s *search) shortlist(now time.Time, d Demand, candidates []candidate, shards int) []candidate {
	s.estimateShards(now, d, candidates, shards)
	chosen := slices.Clone(s.order[:maxWeighed])
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

// sparseSizes returns about half of the sizes of a group: each up to six, then in steps of
// three eighths, and the largest.
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

// group is a number of engines for a prompt, the one that answers first.
type group struct {
	estimates []estimate
	// cost is what all lose by it, the request too; harm what others lose.
	cost, displacementCost float64
	prefillDelay           time.Duration
}

// search holds what is worked out for one number of engines, to be used again
// for the next.
type search struct {
	forecast *predictor.Forecast
	// packs is true where the prompt is to be packed with others.
	packs     bool
	estimates []estimate
	// costs is what each offer would cost by itself, order the offers from
	// the cheapest on.
	costs []float64
	order []int
}

// newSearch returns a search for a prompt's place. A blind entry packs nothing: all of them would fill the
// same engines.
func (b *Dispatcher) newSearch(d Demand, candidates []candidate) search {
	return search{forecast: &b.forecast, packs: !b.isolated && !hasLongPrefill(candidates[0].upstream.engine, d.PromptTokens)}
}

// estimateShards ranks what each candidate would cost as a helper, with one of k parts.
func (s *search) estimateShards(now time.Time, d Demand, candidates []candidate, shards int) {
	s.estimates = s.estimates[:0]
	for i := range candidates {
		s.estimates = append(s.estimates, candidates[i].estimate(now, d, shards, false, s.forecast))
	}
	s.sortByCost(d)
}

// sortByCost orders offers from the one that costs least on.
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

// bestSingle finds the engine that loses least by taking a prompt alone.
func (s *search) bestSingle(now time.Time, d Demand, candidates []candidate) (group, bool) {
	s.estimates = s.estimates[:0]
	addsJitter := s.packs && hasShortPrefill(d, candidates[0].upstream.engine)
	for i := range candidates {
		est := candidates[i].estimate(now, d, 1, true, s.forecast)
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

// packingCost is what it costs to have an engine decode an answer where it has none like it.
func (s *search) packingCost(d Demand, c *candidate) float64 {
	if !s.packs {
		return 0
	}
	return unpackedCost * promptValue(d.PromptTokens) * (1 - c.packed)
}

// answeringCandidates lists the offers that are weighed as the one that answers: those that cost least as helpers,
// with what it costs to open their engines.
func (s *search) answeringCandidates(d Demand) []int {
	n := min(len(s.order), maxAnswering)
	if !s.packs {
		return s.order[:n]
	}
	byTotalCost := func(i, j int) int {
		return cmp.Compare(s.costs[i]+s.packingCost(d, s.estimates[i].candidate), s.costs[j]+s.packingCost(d, s.estimates[j].candidate))
	}
	return slices.SortedStableFunc(slices.Values(s.order), byTotalCost)[:n]
}

// bestJoint finds the k engines that lose least by prefilling a prompt together.
func (s *search) bestJoint(now time.Time, d Demand, candidates []candidate, size int) group {
	s.estimateShards(now, d, candidates, size)
	first, answering := -1, estimate{}
	lowestCost := 0.0
	for _, i := range s.answeringCandidates(d) {
		est := s.estimates[i].estimate(now, d, size, true, s.forecast)
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

package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

const (
	// helperCost is what each helper adds to the risk that one is gone.
	helperCost = 0.02
	// mostHelpers is how many engines the first may list.
	mostHelpers = 16
	// mostFirsts is how many engines are weighed as the one that answers.
	mostFirsts = 4
)

// groupSizes lists how many engines may prefill a prompt. A short one is
// prefilled by one, unless all engines have something to prefill: with a helper it goes first.
func groupSizes(d Demand, e *matcher.Engine, loads []candidate) []int {
	most := min(len(loads), mostHelpers+1)
	if predictor.Prefill(e, d.PromptTokens) < d.GapTarget/4 {
		idle := slices.ContainsFunc(loads, func(c candidate) bool { return c.load.PrefillBacklog < d.FirstByteTarget/2 })
		most = min(most, 2)
		if idle {
			most = 1
		}
	}
	if d.NoHelpers {
		most = 1
	}
	var sizes []int
	for k := 1; k <= most; k++ {
		sizes = append(sizes, k)
	}
	return sizes
}

// mostWeighed is how many engines are weighed for each size of a group: twice the most that
// one may have. In a larger fleet the others are left out that would cost most with the
// smallest part, and sizes are not tried one by one: for a long prompt before 112 engines
// that takes 0.9 ms of a core, 3.3 ms with all (BenchmarkPlace).
const mostWeighed = 2 * (mostHelpers + 1)

// foremost returns the candidates that would cost least with one of k parts, in the order
// of the cost.
func (s *search) foremost(now time.Time, d Demand, loads []candidate, k int) []candidate {
	s.weigh(now, d, loads, k)
	chosen := slices.Clone(s.order[:mostWeighed])
	for _, i := range s.firsts(d) {
		if !slices.Contains(chosen, i) {
			chosen = append(chosen, i)
		}
	}
	out := make([]candidate, 0, len(chosen))
	for _, i := range chosen {
		out = append(out, loads[i])
	}
	return out
}

// fewSizes returns about half of the sizes of a group: each up to six, then in steps of
// three eighths, and the largest.
func fewSizes(sizes []int) []int {
	var few []int
	next := 1
	for i, k := range sizes {
		if k < next && i < len(sizes)-1 {
			continue
		}
		few = append(few, k)
		next = k + max(1, 3*k/8)
	}
	return few
}

// group is a number of engines for a prompt, the one that answers first.
type group struct {
	offers []offer
	// cost is what all lose by it, the request too; harm what others lose.
	cost, harm float64
	finish     time.Duration
}

// search holds what is worked out for one number of engines, to be used again
// for the next.
type search struct {
	forecast *predictor.Forecast
	// packs is true where the prompt is to be packed with others.
	packs  bool
	offers []offer
	// ranked is what each offer would cost by itself, order the offers from
	// the cheapest on.
	ranked []float64
	order  []int
}

// newSearch returns a search for a prompt's place. A blind entry packs nothing: all of them would fill the
// same engines.
func (b *Dispatcher) newSearch(d Demand, loads []candidate) search {
	return search{forecast: &b.forecast, packs: !b.blind && !heavy(loads[0].worker.engine, d.PromptTokens)}
}

// weigh ranks what each candidate would cost as a helper, with one of k parts.
func (s *search) weigh(now time.Time, d Demand, loads []candidate, k int) {
	s.offers = s.offers[:0]
	for i := range loads {
		s.offers = append(s.offers, loads[i].offer(now, d, k, false, s.forecast))
	}
	s.rank(d)
}

// rank orders offers from the one that costs least on.
func (s *search) rank(d Demand) {
	s.ranked, s.order = s.ranked[:0], s.order[:0]
	for i, o := range s.offers {
		s.ranked = append(s.ranked, o.cost+d.loss(o.finish, o.pause, o.unfinished))
		s.order = append(s.order, i)
	}
	slices.SortFunc(s.order, func(i, j int) int {
		return cmp.Or(cmp.Compare(s.ranked[i], s.ranked[j]), cmp.Compare(s.offers[i].rank, s.offers[j].rank))
	})
}

// alone finds the engine that loses least by taking a prompt alone.
func (s *search) alone(now time.Time, d Demand, loads []candidate) (group, bool) {
	s.offers = s.offers[:0]
	draws := s.packs && light(d, loads[0].worker.engine)
	for i := range loads {
		o := loads[i].offer(now, d, 1, true, s.forecast)
		if !o.decodes {
			continue
		}
		o.cost += s.opening(d, o.candidate)
		if draws {
			o.cost += o.jitter
		}
		s.offers = append(s.offers, o)
	}
	if len(s.offers) == 0 {
		return group{}, false
	}
	s.rank(d)
	best := s.offers[s.order[0]]
	return group{offers: []offer{best}, cost: s.ranked[s.order[0]], harm: best.harm, finish: best.finish}, true
}

// opening is what it costs to have an engine decode an answer where it has none like it.
func (s *search) opening(d Demand, c *candidate) float64 {
	if !s.packs {
		return 0
	}
	return openCost * valueOf(d.PromptTokens) * (1 - c.packed)
}

// firsts lists the offers that are weighed as the one that answers: those that cost least as helpers,
// with what it costs to open their engines.
func (s *search) firsts(d Demand) []int {
	n := min(len(s.order), mostFirsts)
	if !s.packs {
		return s.order[:n]
	}
	byOpening := func(i, j int) int {
		return cmp.Compare(s.ranked[i]+s.opening(d, s.offers[i].candidate), s.ranked[j]+s.opening(d, s.offers[j].candidate))
	}
	return slices.SortedStableFunc(slices.Values(s.order), byOpening)[:n]
}

// joint finds the k engines that lose least by prefilling a prompt together.
func (s *search) joint(now time.Time, d Demand, loads []candidate, k int) group {
	s.weigh(now, d, loads, k)
	first, answering := -1, offer{}
	least := 0.0
	for _, i := range s.firsts(d) {
		o := s.offers[i].offer(now, d, k, true, s.forecast)
		o.cost += s.opening(d, o.candidate)
		cost := o.cost - s.offers[i].cost + d.loss(o.finish, o.pause, o.unfinished)
		if first < 0 || cost < least {
			first, answering, least = i, o, cost
		}
	}
	g := group{offers: append(make([]offer, 0, k), answering)}
	for _, i := range s.order {
		if len(g.offers) < k && i != first {
			g.offers = append(g.offers, s.offers[i])
		}
	}
	for _, o := range g.offers {
		g.cost += o.cost
		g.harm += o.harm
		g.finish = max(g.finish, o.finish)
	}
	g.cost += helperCost*float64(k-1) + d.loss(g.finish, answering.pause, answering.unfinished)
	return g
}

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
)

// groupSizes lists how many engines may prefill a prompt. A short one is
// prefilled by one, unless all engines have something to prefill: with a helper it goes first.
func groupSizes(d Demand, e *matcher.Engine, loads []candidate) []int {
	most := min(len(loads), mostHelpers+1)
	if predictor.Prefill(e, d.Prompt) < d.PauseTarget/4 {
		idle := slices.ContainsFunc(loads, func(c candidate) bool { return c.load.Prefill < d.FirstByteTarget/2 })
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

// search holds what is worked out for one number of engines, to be used again
// for the next.
type search struct {
	candidates, chosen []candidate
	// ranked is what each candidate would cost by itself, order the candidates from
	// the cheapest on.
	ranked []float64
	order  []int
}

func newSearch(engines int) *search {
	return &search{
		candidates: make([]candidate, engines), chosen: make([]candidate, 0, engines), ranked: make([]float64, engines), order: make([]int, engines),
	}
}

// cheapest finds the k engines that lose least by prefilling a prompt together. The
// first of them decodes the answer. It returns nil where no engine could. What
// it returns is valid until the next call.
func (s *search) cheapest(now time.Time, d Demand, loads []candidate, k int) ([]candidate, float64, time.Duration) {
	candidates, ranked, order := s.candidates, s.ranked, s.order
	worth := value(d)
	for i, o := range loads {
		o = o.evaluate(now, d, k)
		candidates[i] = o
		ranked[i] = o.cost + worth*waitLoss(o.finish, d)
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int {
		return cmp.Or(cmp.Compare(ranked[i], ranked[j]), cmp.Compare(candidates[i].rank, candidates[j].rank))
	})
	first := -1
	for _, i := range order {
		if candidates[i].decodes {
			first = i
			break
		}
	}
	if first < 0 {
		return nil, 0, 0
	}
	chosen := append(s.chosen[:0], candidates[first])
	for _, i := range order {
		if len(chosen) < k && i != first {
			chosen = append(chosen, candidates[i])
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

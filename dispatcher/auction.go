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

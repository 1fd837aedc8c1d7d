package dispatcher

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// With 112 engines that answer six requests each, and some long prompts in progress, the group
// chosen for a long prompt costs hardly more than the best of all groups. The search over a
// shortlist saves processor time, and must not make callers wait longer.
func TestShortlistLosesLittle(t *testing.T) {
	is := is.New(t)
	dispatcher := loadedDispatcher(t, 6)
	now := startTime.Add(20 * time.Millisecond)
	worst := 0.0
	for i := range 12 {
		d := withPrompt(longDemand, 60000+40000*(i%6))
		d.SentBefore = true
		candidates := dispatcher.newCandidates(now, d, dispatcher.usableUpstreams(now, d))
		for j := range candidates {
			candidates[j].jitter = 0
		}
		got, found := dispatcher.cheapestGroup(now, d, candidates)
		is.True(found)
		s := dispatcher.newSearch(d, candidates)
		best, _ := s.bestSingle(now, d, candidates)
		for k := 2; k <= maxHelpers+1; k++ {
			if g := s.bestJoint(now, d, candidates, k); g.cost < best.cost {
				best = g
			}
		}
		worst = max(worst, got.cost-best.cost)
		is.True(got.cost-best.cost < 0.02*promptValue(d.PromptTokens)) // a fraction of the prompt's value
		place(t, dispatcher, now, d)
	}
	t.Logf("at most %.3f of a request's value lost", worst)
}

func TestSparseSizes(t *testing.T) {
	is := is.New(t)
	var all []int
	for k := 1; k <= 17; k++ {
		all = append(all, k)
	}
	sparse := sparseSizes(all)
	is.Equal(sparse, []int{1, 2, 3, 4, 5, 6, 8, 11, 15, 17})
	is.Equal(sparseSizes([]int{1, 2}), []int{1, 2})
	is.True(slices.IsSorted(sparse))
}

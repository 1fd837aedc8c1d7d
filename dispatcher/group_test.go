package dispatcher

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// On a fleet of 112 engines that answer six requests each, with some long prompts under way,
// a long prompt gets a group that loses hardly more than the best of all groups would: what
// the shorter search saves in processor time is not paid by callers.
func TestShortlistLosesLittle(t *testing.T) {
	is := is.New(t)
	board := loadedBoard(t, 6)
	now := start.Add(20 * time.Millisecond)
	worst := 0.0
	for i := range 12 {
		d := withPrompt(audit, 60000+40000*(i%6))
		d.Admitted = true
		loads := board.look(now, d, board.usable(now, d))
		for j := range loads {
			loads[j].jitter = 0
		}
		got, found := board.cheapest(now, d, loads)
		is.True(found)
		s := board.newSearch(d, loads)
		best, _ := s.alone(now, d, loads)
		for k := 2; k <= mostHelpers+1; k++ {
			if g := s.joint(now, d, loads, k); g.cost < best.cost {
				best = g
			}
		}
		worst = max(worst, got.cost-best.cost)
		is.True(got.cost-best.cost < 0.02*valueOf(d.PromptTokens)) // of what the prompt is worth
		place(t, board, now, d)
	}
	t.Logf("at most %.3f requests' worth lost", worst)
}

func TestSparseSizes(t *testing.T) {
	is := is.New(t)
	var all []int
	for k := 1; k <= 17; k++ {
		all = append(all, k)
	}
	few := fewSizes(all)
	is.Equal(few, []int{1, 2, 3, 4, 5, 6, 8, 11, 15, 17})
	is.Equal(fewSizes([]int{1, 2}), []int{1, 2})
	is.True(slices.IsSorted(few))
}

package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/router"
)

func Example() {
	now := time.Now()
	busy := &router.Engine{Name: "busy", Model: "m", MemoryTokens: 1000, PrefillRate: 100, Load: &router.Load{}}
	idle := &router.Engine{Name: "idle", Model: "m", MemoryTokens: 1000, PrefillRate: 100, Load: &router.Load{}}
	busy.Load.RecordReport(now, router.TokensByClass{500}, 500)
	index := router.NewEngineIndex([]*router.Engine{busy, idle})
	random := rand.New(rand.NewPCG(1, 1))
	for _, c := range index.Choose(now, router.Predicted, router.Requirements{Model: "m", PrefillTokens: 100, MemoryTokens: 100}, 2, random) {
		fmt.Println(c.Engine.Name, c.PredictedTime)
	}
	// Output:
	// idle 1s
	// busy 6s
}

func TestChooseRespectsRequirements(t *testing.T) {
	is := is.New(t)
	small := &router.Engine{Name: "small", Model: "m", Version: "1", MemoryTokens: 10, Load: &router.Load{}}
	large := &router.Engine{Name: "large", Model: "m", Version: "2", Adapters: []string{"x"}, MemoryTokens: 100, Load: &router.Load{}}
	index := router.NewEngineIndex([]*router.Engine{small, large})
	for _, policy := range []router.Policy{router.Predicted, router.PowerOfTwo, router.FewestOwn, router.RoundRobin, router.RandomOrder} {
		choose := func(needs router.Requirements) int {
			needs.Model = "m"
			return len(index.Choose(time.Now(), policy, needs, 3, rand.New(rand.NewPCG(1, 1))))
		}
		is.Equal(choose(router.Requirements{}), 2)
		is.Equal(choose(router.Requirements{MemoryTokens: 50}), 1)
		is.Equal(choose(router.Requirements{Version: "1"}), 1)
		is.Equal(choose(router.Requirements{Adapter: "x"}), 1)
		is.Equal(choose(router.Requirements{Exclude: []string{"small", "large"}}), 0)
	}
}

// An engine that generates slowly is chosen last until the measurement has expired.
func TestSlowEngineIsChosenLast(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	slow := &router.Engine{Name: "slow", Model: "m", MemoryTokens: 1000, PrefillRate: 1000, Load: &router.Load{}}
	fast := &router.Engine{Name: "fast", Model: "m", MemoryTokens: 1000, PrefillRate: 100, Load: &router.Load{}}
	index := router.NewEngineIndex([]*router.Engine{slow, fast})
	first := func(now time.Time) string {
		needs := router.Requirements{Model: "m", PrefillTokens: 100, MemoryTokens: 100, MaxAnswerTokens: 100}
		return index.Choose(now, router.Predicted, needs, 2, rand.New(rand.NewPCG(1, 1)))[0].Engine.Name
	}
	is.Equal(first(now), "slow")
	slow.Load.RecordTimePerToken(now, 120*time.Millisecond)
	fast.Load.RecordTimePerToken(now, 30*time.Millisecond)
	is.Equal(first(now), "fast")
	is.Equal(first(now.Add(10*time.Minute)), "slow")
}

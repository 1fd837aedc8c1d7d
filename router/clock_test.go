package router_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/router"
	"github.com/sapphireramp/sapphireramp/standin/clock"
)

// Guards against a step of the time of day that empties the queue of an engine, or lengthens it.
func TestTimeOfDayStepsDoNotChangePredictions(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	e := &router.Engine{Name: "e", Model: "m", MemoryTokens: 100_000, PrefillRate: 1000, Load: &router.Load{}}
	e.Load.RecordReport(now, router.TokensByClass{router.Short: 5000}, 1000)
	later := now.Add(time.Second)
	want := e.PredictFirstToken(later, router.Short, 100)
	for _, seconds := range []int{12, -12} {
		is.Equal(e.PredictFirstToken(clock.StepTimeOfDay(later, seconds), router.Short, 100), want)
	}
}

// Guards against a step of the time of day that makes an entry forget how slowly an engine generates.
func TestTimeOfDayStepsDoNotEndMeasurements(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	slow := &router.Engine{Name: "slow", Model: "m", MemoryTokens: 1000, PrefillRate: 1000, Load: &router.Load{}}
	fast := &router.Engine{Name: "fast", Model: "m", MemoryTokens: 1000, PrefillRate: 100, Load: &router.Load{}}
	slow.Load.RecordTimePerToken(now, 120*time.Millisecond)
	fast.Load.RecordTimePerToken(now, 30*time.Millisecond)
	index := router.NewEngineIndex([]*router.Engine{slow, fast})
	needs := router.Requirements{Model: "m", PrefillTokens: 100, MemoryTokens: 100, MaxAnswerTokens: 100}
	for _, seconds := range []int{0, 3600, -3600} {
		candidates := index.Choose(clock.StepTimeOfDay(now.Add(time.Second), seconds), router.Predicted, needs, 2, rand.New(rand.NewPCG(1, 1)))
		is.Equal(candidates[0].Engine.Name, "fast")
	}
}

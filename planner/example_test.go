package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/planner"
)

var config = planner.Config{Keeper: "entry-1", SettleTime: 6 * time.Second, RetryInterval: 30 * time.Second, WeightLoadInterval: time.Second}

func Example() {
	now := time.Now()
	p := planner.New(config)
	wanted := api.EngineOrder{Model: "m", Version: "2", Role: "Mixed"}
	load := api.EngineLoad{Name: "engine-1", Model: "m", Version: "1", Role: "Mixed"}
	fmt.Println(p.Plan(now, wanted, load, 3, 7).Step)
	now = now.Add(10 * time.Second)
	fmt.Println(p.Plan(now, wanted, load, 3, 7).Step)
	fmt.Println(p.Plan(now, wanted, load, 0, 7).Step)
	fmt.Println(p.Plan(now, wanted, load, 0, 7).Step)
	load.Version = "2"
	fmt.Println(p.Plan(now, wanted, load, 0, 7).Step)
	// Output:
	// Drain
	// Drain
	// Send
	// Await
	// Nothing
}

// Every order has a greater fencing number than the engine has reported, and two keepers of one engine
// choose different numbers. Guards against an engine that can't tell the later of two orders.
func TestNextFenceIsGreaterAndUnique(t *testing.T) {
	is := is.New(t)
	a, b := planner.NextFencingNumber(5, "entry-1"), planner.NextFencingNumber(5, "entry-2")
	is.True(a > 5)
	is.True(b > 5)
	is.True(a != b)
	is.True(planner.NextFencingNumber(max(a, b), "entry-1") > max(a, b))
}

// An entry spaces its loads from the weight store by the interval multiplied by the number of
// entries.
func TestWeightLoadsAreSpaced(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := planner.New(config)
	wanted := api.EngineOrder{Model: "m", Version: "2"}
	one := api.EngineLoad{Name: "engine-1", Model: "m", Version: "1"}
	two := api.EngineLoad{Name: "engine-2", Model: "m", Version: "1"}
	p.Plan(now, wanted, one, 0, 7)
	p.Plan(now, wanted, two, 0, 7)
	now = now.Add(config.SettleTime)
	is.Equal(p.Plan(now, wanted, one, 0, 7).Step, planner.Send)
	is.Equal(p.Plan(now, wanted, two, 0, 7).Step, planner.Pace)
	now = now.Add(7 * config.WeightLoadInterval)
	is.Equal(p.Plan(now, wanted, two, 0, 7).Step, planner.Send)
}

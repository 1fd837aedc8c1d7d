package keeper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/keeper"
)

var config = keeper.Config{Engine: "engine-1", Lease: 6 * time.Second, GrantLife: 2 * time.Second, MemoryTokens: 1000, PrefillRate: 100}

var load = api.EngineLoad{Name: "engine-1", Incarnation: 1, Model: "m", MemoryTokens: 1000}

func ask(id string, tokens int) keeper.Ask {
	return keeper.Ask{AttemptID: id, Model: "m", PrefillTokens: tokens, MemoryTokens: tokens, Remaining: time.Minute}
}

func Example() {
	now := time.Now()
	k := keeper.New(config)
	fmt.Println(k.Ask(now, ask("a", 400)).Reason)
	k.Report(now, load, nil)
	fmt.Println(k.Ask(now, ask("a", 400)))
	fmt.Println(k.Ask(now, ask("b", 400)))
	fmt.Println(k.Ask(now, ask("c", 400)).Reason)
	orphans := k.Report(now, load, []api.EngineHold{{ID: "z", Owner: "gone", Tokens: 10, AgeSeconds: 7}})
	fmt.Println(len(orphans), orphans[0].Hold.ID)
	// Output:
	// not_heard
	// {true 0s free}
	// {true 4s free}
	// memory
	// 1 z
}

func TestGrantLapsesWhenTheEngineNeverListsIt(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	k := keeper.New(config)
	k.Report(now, load, nil)
	is.True(k.Ask(now, ask("a", 800)).Granted)
	is.Equal(k.FreeTokens(), 200)
	now = now.Add(3 * time.Second)
	k.Report(now, load, nil)
	is.Equal(k.FreeTokens(), 1000)
}

// A hold that the engine lists replaces the grant it was made under, so that
// memory is not counted twice.
func TestListedHoldReplacesGrant(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	k := keeper.New(config)
	k.Report(now, load, nil)
	is.True(k.Ask(now, ask("a", 400)).Granted)
	k.Report(now, load, []api.EngineHold{{ID: "a", Tokens: 400}})
	is.Equal(k.FreeTokens(), 600)
	is.Equal(k.Grants(), 0)
	k.Done("a")
	is.Equal(k.FreeTokens(), 1000)
}

// An engine that started anew is not granted on until it has been listed.
func TestNewIncarnationIsListedFirst(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	k := keeper.New(config)
	k.Report(now, load, nil)
	again := load
	again.Incarnation = 2
	k.ReportLoad(now, again)
	is.Equal(k.Ask(now, ask("a", 1)).Reason, keeper.NotHeard)
	k.Report(now, again, nil)
	is.True(k.Ask(now, ask("a", 1)).Granted)
}

// What can't be prefilled in time is refused at once.
func TestTooLate(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	k := keeper.New(config)
	k.Report(now, load, nil)
	a := ask("a", 500)
	a.Remaining = 4 * time.Second
	is.Equal(k.Ask(now, a).Reason, keeper.TooLate)
	is.Equal(k.FreeTokens(), 1000)
}

func TestClosed(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	k := keeper.New(config)
	leaving := load
	leaving.Leaving = true
	k.Report(now, leaving, nil)
	is.Equal(k.Ask(now, ask("a", 1)).Reason, keeper.Leaving)
	k.Report(now, load, nil)
	k.Changing(true)
	is.Equal(k.Ask(now, ask("a", 1)).Reason, keeper.Changing)
	k.Changing(false)
	other := ask("a", 1)
	other.Model = "n"
	is.Equal(k.Ask(now, other).Reason, keeper.WrongModel)
	is.Equal(k.Ask(now.Add(time.Minute), ask("a", 1)).Reason, keeper.NotHeard)
}

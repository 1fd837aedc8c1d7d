package keeper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/keeper"
)

var config = keeper.Config{Engine: "engine-1", Lease: 6 * time.Second, GrantTTL: 2 * time.Second, MemoryTokens: 1000, PrefillRate: 100}

var load = api.EngineLoad{Name: "engine-1", Incarnation: 1, Model: "m", MemoryTokens: 1000}

func newRequest(id string, tokens int) keeper.GrantRequest {
	return keeper.GrantRequest{AttemptID: id, Model: "m", PrefillTokens: tokens, MemoryTokens: tokens, Remaining: time.Minute}
}

func Example() {
	now := time.Now()
	k := keeper.New(config)
	fmt.Println(k.RequestGrant(now, newRequest("a", 400)).Reason)
	k.RecordLoadAndHolds(now, load, nil)
	fmt.Println(k.RequestGrant(now, newRequest("a", 400)))
	fmt.Println(k.RequestGrant(now, newRequest("b", 400)))
	fmt.Println(k.RequestGrant(now, newRequest("c", 400)).Reason)
	orphans := k.RecordLoadAndHolds(now, load, []api.EngineHold{{ID: "z", Owner: "gone", Tokens: 10, AgeSeconds: 7}})
	fmt.Println(len(orphans), orphans[0].Hold.ID)
	// Output:
	// not_heard
	// {true 0s free}
	// {true 4s free}
	// memory
	// 1 z
}

func TestGrantExpiresIfEngineNeverListsIt(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	k := keeper.New(config)
	k.RecordLoadAndHolds(now, load, nil)
	is.True(k.RequestGrant(now, newRequest("a", 800)).Granted)
	is.Equal(k.FreeTokens(), 200)
	now = now.Add(3 * time.Second)
	k.RecordLoadAndHolds(now, load, nil)
	is.Equal(k.FreeTokens(), 1000)
}

// A hold that the engine lists replaces the grant that it was created under, so that its memory is
// not counted twice.
func TestListedHoldReplacesGrant(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	k := keeper.New(config)
	k.RecordLoadAndHolds(now, load, nil)
	is.True(k.RequestGrant(now, newRequest("a", 400)).Granted)
	k.RecordLoadAndHolds(now, load, []api.EngineHold{{ID: "a", Tokens: 400}})
	is.Equal(k.FreeTokens(), 600)
	is.Equal(k.GrantCount(), 0)
	k.EndAttempt("a")
	is.Equal(k.FreeTokens(), 1000)
}

// After an engine restarts, the keeper grants nothing until the new incarnation has listed its
// holds.
func TestNewIncarnationNeedsListingBeforeGrants(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	k := keeper.New(config)
	k.RecordLoadAndHolds(now, load, nil)
	again := load
	again.Incarnation = 2
	k.RecordLoad(now, again)
	is.Equal(k.RequestGrant(now, newRequest("a", 1)).Reason, keeper.NoReport)
	k.RecordLoadAndHolds(now, again, nil)
	is.True(k.RequestGrant(now, newRequest("a", 1)).Granted)
}

// A prompt whose prefill can't end before its deadline is refused at once and no memory is granted.
func TestRefusesPromptThatCannotBePrefilledInTime(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	k := keeper.New(config)
	k.RecordLoadAndHolds(now, load, nil)
	r := newRequest("a", 500)
	r.Remaining = 4 * time.Second
	is.Equal(k.RequestGrant(now, r).Reason, keeper.TooLate)
	is.Equal(k.FreeTokens(), 1000)
}

func TestRefusesWhileUnableToServe(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	k := keeper.New(config)
	leaving := load
	leaving.Leaving = true
	k.RecordLoadAndHolds(now, leaving, nil)
	is.Equal(k.RequestGrant(now, newRequest("a", 1)).Reason, keeper.Leaving)
	k.RecordLoadAndHolds(now, load, nil)
	k.SetOrderPending(true)
	is.Equal(k.RequestGrant(now, newRequest("a", 1)).Reason, keeper.OrderPending)
	k.SetOrderPending(false)
	other := newRequest("a", 1)
	other.Model = "n"
	is.Equal(k.RequestGrant(now, other).Reason, keeper.WrongModel)
	is.Equal(k.RequestGrant(now.Add(time.Minute), newRequest("a", 1)).Reason, keeper.NoReport)
}

package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/matcher"
)

var firstIncarnation, secondIncarnation = time.UnixMilli(1_700_000_000_000), time.UnixMilli(1_700_000_005_000)

// dispatcherWithIncarnation returns a dispatcher with the engines e00, which started at the given
// time, and e01.
func dispatcherWithIncarnation(t *testing.T, started time.Time) *Dispatcher {
	t.Helper()
	b := testDispatcher(t, 0)
	listIncarnation(t, b, started)
	return b
}

// listIncarnation lists e00 with the given start time, beside e01.
func listIncarnation(t *testing.T, b *Dispatcher, started time.Time) {
	t.Helper()
	table, err := matcher.New(matcher.Config{Services: []matcher.Service{{Name: "lm", Engine: &testEngine}, {Name: "app"}}})
	if err != nil {
		t.Fatal(err)
	}
	b.UpdateUpstreams(table, []Instance{
		{ID: "e00", Started: started, Service: "lm", DataCentre: "a", Slots: 16},
		{ID: "e01", Service: "lm", DataCentre: "a", Slots: 16},
	})
}

// placeOnFirst places a request on e00 only.
func placeOnFirst(t *testing.T, b *Dispatcher, d Demand) *Placement {
	t.Helper()
	d.Avoid = []Instance{{ID: "e01"}}
	return place(t, b, startTime, d)
}

// The state of an engine that restarts under the same ID is empty: no work of this entry or of
// peers, no memory, no failures, no block and no slowdown.
func TestNewIncarnationStartsEmpty(t *testing.T) {
	is := is.New(t)
	b, peer := dispatcherWithIncarnation(t, firstIncarnation), dispatcherWithIncarnation(t, firstIncarnation)
	for range 5 {
		placeOnFirst(t, b, shortDemand).RecordFirstByte(startTime)
		placeOnFirst(t, peer, shortDemand)
	}
	b.ApplyPeerLoads(startTime, CompactIDOf("far"), peer.TakeLoadChanges(startTime, false))
	u := b.upstreams["e00"]
	is.Equal(u.load(startTime).Running, 10)
	u.health.recordUnreachable(startTime)
	u.health.recordSlowdown(startTime, 4)
	listIncarnation(t, b, secondIncarnation)
	u = b.upstreams["e00"]
	is.Equal(u.load(startTime), Load{})
	is.True(!u.health.isBlocked(startTime))
	is.Equal(u.health.failureRate(startTime), 0.0)
	is.Equal(u.health.slowdown(startTime), 1.0)
}

// The function set with OnRestart is called once when an engine of the placement restarts, whether
// the engine answers or helps. Placements on other engines are not affected.
func TestOnRestartIsCalledOnce(t *testing.T) {
	is := is.New(t)
	b := dispatcherWithIncarnation(t, firstIncarnation)
	calls := map[string]int{}
	placeOnFirst(t, b, shortDemand).OnRestart(func() { calls["alone"]++ })
	late := placeOnFirst(t, b, shortDemand)
	big := withPrompt(longDemand, 400000)
	big.SentBefore = true
	joint := place(t, b, startTime, big)
	is.Equal(len(joint.Helpers), 1)
	joint.OnRestart(func() { calls["joint"]++ })
	other := place(t, b, startTime, Demand{Service: "lm", PromptTokens: 5000, AnswerTokens: 100, Avoid: []Instance{{ID: "e00"}}, SentBefore: true, GapTarget: time.Second})
	other.OnRestart(func() { calls["elsewhere"]++ })
	listIncarnation(t, b, firstIncarnation)
	is.Equal(len(calls), 0) // listed again, the same incarnation
	listIncarnation(t, b, secondIncarnation)
	listIncarnation(t, b, secondIncarnation)
	late.OnRestart(func() { calls["late"]++ })
	is.Equal(fmt.Sprint(calls), "map[alone:1 joint:1 late:1]")
}

// Late events, answers and failures of an earlier incarnation change nothing for the current one.
func TestLateReportsOfEarlierIncarnationAreIgnored(t *testing.T) {
	is := is.New(t)
	b := dispatcherWithIncarnation(t, firstIncarnation)
	var old []*Placement
	for range 4 {
		old = append(old, placeOnFirst(t, b, shortDemand))
	}
	listIncarnation(t, b, secondIncarnation)
	placeOnFirst(t, b, shortDemand)
	before := b.Upstreams(startTime)
	now := startTime.Add(50 * time.Millisecond)
	for i, p := range old {
		p.RecordFirstByte(now)
		p.RecordEvent(now)
		p.End(now, []PlacementResult{Answered, Failed, Unreachable, NotRun}[i])
	}
	b.RecordHelperFailure(now, old[0].First)
	is.Equal(b.Upstreams(startTime), before)
	is.True(!b.upstreams["e00"].health.isBlocked(now))
	b.RecordHelperFailure(now, b.upstreams["e00"].instance)
	is.True(b.upstreams["e00"].health.failureRate(now) > 0)
}

// Load updates refer to incarnations. A report of a peer that has not noticed the restart yet adds
// no load to the new incarnation. A report of a peer that noticed the restart first adds its load
// as soon as this entry lists the new incarnation too.
func TestLoadUpdatesCountForTheirIncarnationOnly(t *testing.T) {
	is := is.New(t)
	b, behind, ahead := dispatcherWithIncarnation(t, secondIncarnation), dispatcherWithIncarnation(t, firstIncarnation), dispatcherWithIncarnation(t, firstIncarnation)
	placeOnFirst(t, behind, shortDemand)
	b.ApplyPeerLoads(startTime, CompactIDOf("behind"), behind.TakeLoadChanges(startTime, false))
	is.Equal(b.upstreams["e00"].load(startTime).Running, 0)
	listIncarnation(t, ahead, secondIncarnation.Add(time.Second))
	placeOnFirst(t, ahead, shortDemand)
	b.ApplyPeerLoads(startTime, CompactIDOf("ahead"), ahead.TakeLoadChanges(startTime, false))
	is.Equal(b.upstreams["e00"].load(startTime).Running, 0)
	listIncarnation(t, b, secondIncarnation.Add(time.Second))
	is.Equal(b.upstreams["e00"].load(startTime).Running, 1)
}

// An upstream that never reports its start time is one incarnation. One that begins to report it is
// still the same incarnation.
func TestUnknownStartIsTheSameIncarnation(t *testing.T) {
	is := is.New(t)
	b := dispatcherWithIncarnation(t, time.Time{})
	placeOnFirst(t, b, shortDemand)
	listIncarnation(t, b, time.Time{})
	is.Equal(b.upstreams["e00"].load(startTime).Running, 1)
	listIncarnation(t, b, firstIncarnation)
	listIncarnation(t, b, time.Time{})
	is.Equal(b.upstreams["e00"].load(startTime).Running, 1)
	listIncarnation(t, b, secondIncarnation)
	is.Equal(b.upstreams["e00"].load(startTime).Running, 0)
}

// A clock that stepped back makes a later incarnation seem older, but it is still another one.
func TestEarlierStartIsAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	b := dispatcherWithIncarnation(t, secondIncarnation)
	placeOnFirst(t, b, shortDemand)
	listIncarnation(t, b, firstIncarnation)
	is.Equal(b.upstreams["e00"].load(startTime).Running, 0)
}

// A request avoids the incarnation of an upstream that failed it, but not a later one.
func TestAvoidedUpstreamServesAfterRestart(t *testing.T) {
	is := is.New(t)
	b := dispatcherWithIncarnation(t, firstIncarnation)
	d := shortDemand
	d.Avoid = []Instance{{ID: "e01"}, {ID: "e00", Started: firstIncarnation}}
	_, refusal := b.Place(startTime, d)
	is.True(refusal != nil)
	listIncarnation(t, b, secondIncarnation)
	_, refusal = b.Place(startTime, d)
	is.True(refusal == nil)
}

package dispatcher

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/matcher"
)

// placeCall places a plain request at one entry, and exchanges load updates. The function end
// returns how long the instance takes and with which result the request ends.
func placeCall(t *testing.T, dispatchers []*Dispatcher, now time.Time, entry int, end func(Instance) (time.Duration, PlacementResult)) PlacementResult {
	t.Helper()
	p := place(t, dispatchers[entry], now, Demand{Service: "app"})
	took, result := end(p.First)
	if took > updateDelay {
		exchangeUpdates(t, now, dispatchers, false)
	}
	p.RecordFirstByte(now.Add(took))
	p.End(now.Add(took), result)
	exchangeUpdates(t, now.Add(took), dispatchers, false)
	return result
}

// updateDelay is the time after which entries report a change.
const updateDelay = 5 * time.Millisecond

// One of three instances fails half of its requests at once for seven seconds, while its health
// check passes. Fourteen requests a second, which must not be repeated, reach fifteen entries in
// turn. If entries did not report failures to each other, at least one request would fail at each
// entry.
func TestFailuresAreReportedToPeers(t *testing.T) {
	is := is.New(t)
	const entries, perSecond, seconds = 15, 14, 7
	dispatchers := newPeers(t, entries, 0)
	random := rand.New(rand.NewPCG(3, 4))
	now, failed, counts := time.Now(), 0, map[string]int{}
	for i := range perSecond * seconds {
		now = now.Add(time.Second / perSecond)
		result := placeCall(t, dispatchers, now, i%entries, func(at Instance) (time.Duration, PlacementResult) {
			counts[at.ID]++
			if at.ID == "s0" && random.IntN(2) == 0 {
				return time.Millisecond, Failed
			}
			return 17 * time.Millisecond, Answered
		})
		if result == Failed {
			failed++
		}
	}
	is.True(failed <= 4)
	is.True(counts["s1"] > 2*counts["s0"] && counts["s2"] > 2*counts["s0"])
}

// One in seven requests fails on any instance, because the request itself is faulty. All instances
// stay in use.
func TestCallsThatFailEverywhereKeepAllInUse(t *testing.T) {
	is := is.New(t)
	const entries, calls = 15, 2000
	dispatchers := newPeers(t, entries, 0)
	random := rand.New(rand.NewPCG(3, 4))
	now, counts := time.Now(), map[string]int{}
	for i := range calls {
		now = now.Add(20 * time.Millisecond)
		placeCall(t, dispatchers, now, i%entries, func(at Instance) (time.Duration, PlacementResult) {
			counts[at.ID]++
			if random.IntN(7) == 0 {
				return 17 * time.Millisecond, Failed
			}
			return 17 * time.Millisecond, Answered
		})
	}
	for _, id := range []string{"s0", "s1", "s2"} {
		is.True(counts[id] > calls/5)
	}
}

// A failure raises the failure rate at a peer once, although calls of TakeLoadChanges with all set
// repeat the end of its request. An answer that an entry did not receive, or a request that it
// ended itself, does not change the rate at peers.
func TestOutcomeIsReportedOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	for result, want := range map[PlacementResult]float64{Failed: failureWeight, Incomplete: 0, Unreachable: 0, NotRun: 0, Abandoned: 0, Answered: 0} {
		dispatchers := newPeers(t, 2, 0)
		p := place(t, dispatchers[0], now, Demand{Service: "app"})
		p.End(now, result)
		exchangeUpdates(t, now, dispatchers, false)
		exchangeUpdates(t, now, dispatchers, true)
		exchangeUpdates(t, now, dispatchers, true)
		is.Equal(dispatchers[1].upstreams[p.First.ID].health.failureRate(now), want)
	}
}

// An entry receives the report of a group's request before the engine that answers is in its
// instance list. The answer lowers the failure rate of that engine, and not that of the helper that
// was listed first.
func TestAnswerCountsForTheAnsweringEngine(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table, err := matcher.New(matcher.Config{Services: []matcher.Service{{Name: "lm", Engine: &testEngine}}})
	is.NoErr(err)
	helper, first := Instance{ID: "helper", Service: "lm", Slots: 16}, Instance{ID: "first", Service: "lm", Slots: 16}
	b := New("a", rand.New(rand.NewPCG(1, 2)))
	b.UpdateUpstreams(table, []Instance{helper})
	s := RequestLoad{ID: 7, PromptTokens: 60000, AnswerTokens: 500, FirstByteTarget: time.Second, GapTarget: time.Second, Assignments: []AssignmentLoad{{Upstream: first.IncarnationID(), Decodes: true}, {Upstream: helper.IncarnationID()}}}
	b.ApplyPeerLoads(now, 1, []RequestLoad{s})
	b.UpdateUpstreams(table, []Instance{helper, first})
	for _, u := range b.upstreams {
		u.health.recordFailure(now)
	}
	b.ApplyPeerLoads(now, 1, []RequestLoad{{ID: 7, Ended: true, Outcome: OutcomeAnswered}})
	is.Equal(b.upstreams["helper"].health.failureRate(now), failureWeight)
	is.Equal(b.upstreams["first"].health.failureRate(now), failureWeight*(1-successWeight))
}

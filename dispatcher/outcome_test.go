package dispatcher

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/matcher"
)

// call has one entry place a call that ends after a time.
func call(t *testing.T, boards []*Dispatcher, now time.Time, entry int, end func(Instance) (time.Duration, Result)) Result {
	t.Helper()
	p := place(t, boards[entry], now, Demand{Service: "app"})
	took, result := end(p.First)
	if took > tellTime {
		tellAll(t, now, boards, false)
	}
	p.FirstByteSeen(now.Add(took))
	p.End(now.Add(took), result)
	tellAll(t, now.Add(took), boards, false)
	return result
}

// tellTime is how soon entries tell of a change.
const tellTime = 5 * time.Millisecond

// One of three instances fails half of its calls at once, for seven seconds, while its health check is good. Fourteen calls a
// second, which must not be repeated, come to fifteen entries by turns: one failed call at least at each of
// them, if each learns by itself.
func TestFailuresAreReportedToPeers(t *testing.T) {
	is := is.New(t)
	const entries, perSecond, seconds = 15, 14, 7
	boards := entriesBefore(t, entries, 0)
	random := rand.New(rand.NewPCG(3, 4))
	now, failed, elsewhere := time.Now(), 0, map[string]int{}
	for i := range perSecond * seconds {
		now = now.Add(time.Second / perSecond)
		result := call(t, boards, now, i%entries, func(at Instance) (time.Duration, Result) {
			elsewhere[at.ID]++
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
	is.True(elsewhere["s1"] > 2*elsewhere["s0"] && elsewhere["s2"] > 2*elsewhere["s0"])
}

// Calls of one kind fail one time in seven wherever they run, as they are at fault themselves. All
// instances go on being used.
func TestCallsThatFailEverywhereKeepAllInUse(t *testing.T) {
	is := is.New(t)
	const entries, calls = 15, 2000
	boards := entriesBefore(t, entries, 0)
	random := rand.New(rand.NewPCG(3, 4))
	now, taken := time.Now(), map[string]int{}
	for i := range calls {
		now = now.Add(20 * time.Millisecond)
		call(t, boards, now, i%entries, func(at Instance) (time.Duration, Result) {
			taken[at.ID]++
			if random.IntN(7) == 0 {
				return 17 * time.Millisecond, Failed
			}
			return 17 * time.Millisecond, Answered
		})
	}
	for _, id := range []string{"s0", "s1", "s2"} {
		is.True(taken[id] > calls/5)
	}
}

// A failure that is told again with all of the load counts once, and what an entry did not hear, or ended by
// itself, counts at that entry alone.
func TestOutcomeIsReportedOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	for result, want := range map[Result]float64{Failed: failureWeight, Incomplete: 0, Unreachable: 0, Full: 0, Abandoned: 0, Answered: 0} {
		boards := entriesBefore(t, 2, 0)
		p := place(t, boards[0], now, Demand{Service: "app"})
		p.End(now, result)
		tellAll(t, now, boards, false)
		tellAll(t, now, boards, true)
		tellAll(t, now, boards, true)
		is.Equal(boards[1].workers[p.First.ID].health.rate(now), want)
	}
}

// An entry hears of a group before it knows the engine that answers: the answer speaks for that one, not
// for the helper that was known first.
func TestAnswerCountsForTheAnsweringEngine(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table, err := matcher.New(matcher.Config{Services: []matcher.Service{{Name: "lm", Engine: &testEngine}}})
	is.NoErr(err)
	helper, first := Instance{ID: "helper", Service: "lm", Slots: 16}, Instance{ID: "first", Service: "lm", Slots: 16}
	b := New("a", rand.New(rand.NewPCG(1, 2)))
	b.Update(table, []Instance{helper})
	s := RequestLoad{ID: 7, PromptTokens: 60000, AnswerTokens: 500, FirstByteTarget: time.Second, GapTarget: time.Second, Assignments: []AssignmentLoad{{Upstream: first.IncarnationID(), Decodes: true}, {Upstream: helper.IncarnationID()}}}
	b.Import(now, 1, []RequestLoad{s})
	b.Update(table, []Instance{helper, first})
	for _, w := range b.workers {
		w.health.failed(now)
	}
	b.Import(now, 1, []RequestLoad{{ID: 7, Ended: true, Outcome: OutcomeAnswered}})
	is.Equal(b.workers["helper"].health.rate(now), failureWeight)
	is.Equal(b.workers["first"].health.rate(now), failureWeight*(1-successWeight))
}

package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/matcher"
)

// fleet is a number of entries that tell each other of their load, without a network.
type fleet []*Board

func testFleet(t *testing.T, entries int) fleet {
	t.Helper()
	var f fleet
	for i := range entries {
		b := testBoard(t, 0)
		b.random = rand.New(rand.NewPCG(uint64(i), 7))
		b.SetPeers(entries-1, false)
		f = append(f, b)
	}
	return f
}

// exchange has all entries hear what changed at each.
func (f fleet) exchange(t *testing.T, now time.Time, all bool) {
	t.Helper()
	for i, from := range f {
		for _, m := range EncodeShares(TokenOf(fmt.Sprint(i)), from.Export(now, all)) {
			peer, shares, err := DecodeShares(m)
			if err != nil {
				t.Fatal(err)
			}
			for j, to := range f {
				if j != i {
					to.Import(now, peer, shares)
				}
			}
		}
	}
}

// call has one entry place a call that ends after a time.
func (f fleet) call(t *testing.T, now time.Time, entry int, end func(Instance) (time.Duration, Result)) Result {
	t.Helper()
	p := place(t, f[entry], now, Demand{Service: "app"})
	took, result := end(p.First)
	if took > tellTime {
		f.exchange(t, now, false)
	}
	p.Began(now.Add(took))
	p.End(now.Add(took), result)
	f.exchange(t, now.Add(took), false)
	return result
}

// tellTime is how soon entries tell of a change.
const tellTime = 5 * time.Millisecond

// One of three instances fails half of its calls at once, for seven seconds, while its health check is good. Fourteen calls a
// second, which must not be repeated, come to fifteen entries by turns: one failed call at least at each of
// them, if each learns by itself.
func TestEntriesTellOfFailingUpstream(t *testing.T) {
	is := is.New(t)
	const entries, perSecond, seconds = 15, 14, 7
	f := testFleet(t, entries)
	random := rand.New(rand.NewPCG(3, 4))
	now, failed, elsewhere := time.Now(), 0, map[string]int{}
	for i := range perSecond * seconds {
		now = now.Add(time.Second / perSecond)
		result := f.call(t, now, i%entries, func(at Instance) (time.Duration, Result) {
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
	f := testFleet(t, entries)
	random := rand.New(rand.NewPCG(3, 4))
	now, taken := time.Now(), map[string]int{}
	for i := range calls {
		now = now.Add(20 * time.Millisecond)
		f.call(t, now, i%entries, func(at Instance) (time.Duration, Result) {
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
func TestOutcomeIsToldOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	for result, want := range map[Result]float64{Failed: failureWeight, Broken: 0, Unreachable: 0, Full: 0, Abandoned: 0, Answered: 0} {
		f := testFleet(t, 2)
		p := place(t, f[0], now, Demand{Service: "app"})
		p.End(now, result)
		f.exchange(t, now, false)
		f.exchange(t, now, true)
		f.exchange(t, now, true)
		is.Equal(f[1].workers[p.First.ID].health.rate(now), want)
	}
}

// An entry hears of a group before it knows the engine that answers: the answer speaks for that one, not
// for the helper that was known first.
func TestAnswerSpeaksForTheFirstEngine(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table, err := matcher.New(matcher.Config{Services: []matcher.Service{{Name: "lm", Engine: &testEngine}}})
	is.NoErr(err)
	helper, first := Instance{ID: "helper", Service: "lm", Slots: 16}, Instance{ID: "first", Service: "lm", Slots: 16}
	b := New("a", rand.New(rand.NewPCG(1, 2)))
	b.Update(table, []Instance{helper})
	s := Share{Request: 7, Prompt: 60000, Answer: 500, Target: time.Second, Pause: time.Second, Parts: []SharePart{{Upstream: first.Run(), Answers: true}, {Upstream: helper.Run()}}}
	b.Import(now, 1, []Share{s})
	b.Update(table, []Instance{helper, first})
	for _, w := range b.workers {
		w.health.failed(now)
	}
	b.Import(now, 1, []Share{{Request: 7, Ended: true, Outcome: OutcomeAnswered}})
	is.Equal(b.workers["helper"].health.rate(now), failureWeight)
	is.Equal(b.workers["first"].health.rate(now), failureWeight*(1-successWeight))
}

package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/matcher"
)

var firstRun, secondRun = time.UnixMilli(1_700_000_000_000), time.UnixMilli(1_700_000_005_000)

// bornBoard is a board of two engines, of which e00 was born at a time.
func bornBoard(t *testing.T, born time.Time) *Dispatcher {
	t.Helper()
	b := testBoard(t, 0)
	restart(t, b, born)
	return b
}

// restart lists e00 as born at a time, beside e01.
func restart(t *testing.T, b *Dispatcher, born time.Time) {
	t.Helper()
	table, err := matcher.New(matcher.Config{Services: []matcher.Service{{Name: "lm", Engine: &testEngine}, {Name: "app"}}})
	if err != nil {
		t.Fatal(err)
	}
	b.Update(table, []Instance{
		{ID: "e00", Started: born, Service: "lm", DataCentre: "a", Slots: 16},
		{ID: "e01", Service: "lm", DataCentre: "a", Slots: 16},
	})
}

// onFirst places prompts at e00 only.
func onFirst(t *testing.T, b *Dispatcher, d Demand) *Placement {
	t.Helper()
	d.Avoid = []Instance{{ID: "e01"}}
	return place(t, b, start, d)
}

// An engine that starts again under its ID holds nothing: neither work of this entry nor
// of peers, no memory, no failures, no block, no pace.
func TestNewIncarnationStartsEmpty(t *testing.T) {
	is := is.New(t)
	b, far := bornBoard(t, firstRun), bornBoard(t, firstRun)
	for range 5 {
		onFirst(t, b, tower).FirstByteSeen(start)
		onFirst(t, far, tower)
	}
	b.Import(start, WireIDOf("far"), far.Export(start, false))
	w := b.workers["e00"]
	is.Equal(w.load(start).Running, 10)
	w.health.unreachable(start)
	w.health.paced(start, 4)
	restart(t, b, secondRun)
	w = b.workers["e00"]
	is.Equal(w.load(start), Load{})
	is.True(!w.health.blocked(start))
	is.Equal(w.health.rate(start), 0.0)
	is.Equal(w.health.pace(start), 1.0)
}

// What was placed at a run that is over is told to its owner once, at the engine that
// answers and at a helper; placements elsewhere go on.
func TestOnRestartIsCalledOnce(t *testing.T) {
	is := is.New(t)
	b := bornBoard(t, firstRun)
	calls := map[string]int{}
	onFirst(t, b, tower).OnRestart(func() { calls["alone"]++ })
	late := onFirst(t, b, tower)
	big := withPrompt(audit, 400000)
	big.Admitted = true
	joint := place(t, b, start, big)
	is.Equal(len(joint.Helpers), 1)
	joint.OnRestart(func() { calls["joint"]++ })
	other := place(t, b, start, Demand{Service: "lm", PromptTokens: 5000, AnswerTokens: 100, Avoid: []Instance{{ID: "e00"}}, Admitted: true, GapTarget: time.Second})
	other.OnRestart(func() { calls["elsewhere"]++ })
	restart(t, b, firstRun)
	is.Equal(len(calls), 0) // listed again, the same run
	restart(t, b, secondRun)
	restart(t, b, secondRun)
	late.OnRestart(func() { calls["asked after it"]++ })
	is.Equal(fmt.Sprint(calls), "map[alone:1 asked after it:1 joint:1]")
}

// Events, answers and failures of an earlier run that come late change nothing of the
// run that is there now.
func TestLateReportsOfEarlierIncarnationAreIgnored(t *testing.T) {
	is := is.New(t)
	b := bornBoard(t, firstRun)
	var old []*Placement
	for range 4 {
		old = append(old, onFirst(t, b, tower))
	}
	restart(t, b, secondRun)
	onFirst(t, b, tower)
	before := b.Upstreams(start)
	now := start.Add(50 * time.Millisecond)
	for i, p := range old {
		p.FirstByteSeen(now)
		p.EventSeen(now)
		p.End(now, []Result{Answered, Failed, Unreachable, Full}[i])
	}
	b.ReportHelperFailure(now, old[0].First)
	is.Equal(b.Upstreams(start), before)
	is.True(!b.workers["e00"].health.blocked(now))
	b.ReportHelperFailure(now, b.workers["e00"].instance)
	is.True(b.workers["e00"].health.rate(now) > 0)
}

// Peers tell of runs: what one that does not know of the restart yet tells counts for
// nothing at the new run, and what one tells that knew first counts as soon as this
// entry knows too.
func TestLoadUpdatesCountForTheirIncarnationOnly(t *testing.T) {
	is := is.New(t)
	b, behind, ahead := bornBoard(t, secondRun), bornBoard(t, firstRun), bornBoard(t, firstRun)
	onFirst(t, behind, tower)
	b.Import(start, WireIDOf("behind"), behind.Export(start, false))
	is.Equal(b.workers["e00"].load(start).Running, 0)
	restart(t, ahead, secondRun.Add(time.Second))
	onFirst(t, ahead, tower)
	b.Import(start, WireIDOf("ahead"), ahead.Export(start, false))
	is.Equal(b.workers["e00"].load(start).Running, 0)
	restart(t, b, secondRun.Add(time.Second))
	is.Equal(b.workers["e00"].load(start).Running, 1)
}

// An upstream that never says when it started is one run, and one that begins to say
// so is the run that it was.
func TestUnknownStartIsTheSameIncarnation(t *testing.T) {
	is := is.New(t)
	b := bornBoard(t, time.Time{})
	onFirst(t, b, tower)
	restart(t, b, time.Time{})
	is.Equal(b.workers["e00"].load(start).Running, 1)
	restart(t, b, firstRun)
	restart(t, b, time.Time{})
	is.Equal(b.workers["e00"].load(start).Running, 1)
	restart(t, b, secondRun)
	is.Equal(b.workers["e00"].load(start).Running, 0)
}

// A clock that stepped back makes a later run seem older; it is another run all the same.
func TestEarlierStartIsAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	b := bornBoard(t, secondRun)
	onFirst(t, b, tower)
	restart(t, b, firstRun)
	is.Equal(b.workers["e00"].load(start).Running, 0)
}

// An upstream that failed a request is avoided by it only as the run that it was.
func TestAvoidedUpstreamServesAfterRestart(t *testing.T) {
	is := is.New(t)
	b := bornBoard(t, firstRun)
	d := tower
	d.Avoid = []Instance{{ID: "e01"}, {ID: "e00", Started: firstRun}}
	_, refusal := b.Place(start, d)
	is.True(refusal != nil)
	restart(t, b, secondRun)
	_, refusal = b.Place(start, d)
	is.True(refusal == nil)
}

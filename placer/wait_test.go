package placer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/keeper"
	"github.com/sapphireramp/sapphireramp/placer"
	"github.com/sapphireramp/sapphireramp/router"
)

// searchTime returns for how long a placer searches whose engines, none or one, have no room, and how the search
// ends.
func searchTime(p *placer.Placer, start time.Time, candidates []router.Candidate) (time.Duration, placer.StepKind) {
	for now := start; ; {
		switch step := p.Next(now); step.Kind {
		case placer.Choose:
			p.SetCandidates(candidates)
		case placer.Ask:
			p.RecordReply(keeper.GrantReply{Reason: keeper.MemoryFull})
		case placer.Pause:
			now = now.Add(step.Pause)
		default:
			return now.Sub(start), step.Kind
		}
	}
}

// Guards against an answer that is given up half-way while its caller would wait for its end.
func TestBegunAnswerWaitsUntilItsDeadline(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	full := []router.Candidate{{Engine: &router.Engine{Name: "engine-1"}}}
	newPlacer := func() *placer.Placer { return placer.New(start, 20*time.Second, rand.New(rand.NewPCG(1, 1))) }
	begun := func() *placer.Placer {
		p := newPlacer()
		p.WaitUntil(start.Add(20 * time.Second))
		return p
	}
	took, end := searchTime(newPlacer(), start, full)
	is.Equal(end, placer.NoRoom)
	is.Equal(took.Truncate(time.Second), 5*time.Second)
	took, end = searchTime(begun(), start, full)
	is.Equal(end, placer.NoRoom)
	is.Equal(took.Truncate(time.Second), 20*time.Second)
	took, end = searchTime(newPlacer(), start, nil)
	is.Equal(end, placer.NoEngine)
	is.Equal(took, time.Duration(0))
	took, end = searchTime(begun(), start, nil)
	is.Equal(end, placer.NoEngine)
	is.Equal(took.Truncate(time.Second), 20*time.Second)
}

package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/keeper"
	"github.com/sapphireramp/sapphireramp/placer"
	"github.com/sapphireramp/sapphireramp/router"
)

func Example() {
	now := time.Now()
	p := placer.New(now, 10*time.Second, rand.New(rand.NewPCG(1, 1)))
	fmt.Println(p.Next(now).Kind)
	p.SetCandidates([]router.Candidate{{Engine: &router.Engine{Name: "a"}}, {Engine: &router.Engine{Name: "b"}}})
	fmt.Println(p.Next(now).Candidate.Engine.Name)
	p.RecordReply(keeper.GrantReply{Reason: keeper.MemoryFull})
	fmt.Println(p.Next(now).Candidate.Engine.Name)
	p.RecordReply(keeper.GrantReply{Granted: true})
	fmt.Println(p.Next(now).Kind, p.Next(now).Candidate.Engine.Name)
	// Output:
	// Choose
	// a
	// b
	// Placed b
}

// If every engine is too late the search ends at once. If engines lack free memory it ends after a
// fraction of the remaining time, long before the deadline.
func TestGivesUpSearch(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	one := []router.Candidate{{Engine: &router.Engine{Name: "a"}}}
	p := placer.New(now, 8*time.Second, rand.New(rand.NewPCG(1, 1)))
	p.SetCandidates(nil)
	is.Equal(p.Next(now).Kind, placer.NoEngine)
	p.SetCandidates(one)
	p.RecordReply(keeper.GrantReply{Reason: keeper.TooLate})
	is.Equal(p.Next(now).Kind, placer.TooLate)
	p.SetCandidates(one)
	p.RecordReply(keeper.GrantReply{Reason: keeper.MemoryFull})
	is.Equal(p.Next(now).Kind, placer.Pause)
	is.Equal(p.Next(now).Kind, placer.Choose)
	p.SetCandidates(one)
	p.RecordReply(keeper.GrantReply{Reason: keeper.MemoryFull})
	is.Equal(p.Next(now.Add(2*time.Second)).Kind, placer.NoRoom)
}

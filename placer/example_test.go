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
	p.Round([]router.Choice{{Engine: &router.Engine{Name: "a"}}, {Engine: &router.Engine{Name: "b"}}})
	fmt.Println(p.Next(now).Choice.Engine.Name)
	p.Answered(keeper.Answer{Reason: keeper.Memory})
	fmt.Println(p.Next(now).Choice.Engine.Name)
	p.Answered(keeper.Answer{Granted: true})
	fmt.Println(p.Next(now).Kind, p.Next(now).Choice.Engine.Name)
	// Output:
	// Choose
	// a
	// b
	// Placed b
}

// What can't be done in time is given up at once; what finds no room after a
// part of its time, long before its deadline.
func TestGivesUp(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	one := []router.Choice{{Engine: &router.Engine{Name: "a"}}}
	p := placer.New(now, 8*time.Second, rand.New(rand.NewPCG(1, 1)))
	p.Round(nil)
	is.Equal(p.Next(now).Kind, placer.NoEngine)
	p.Round(one)
	p.Answered(keeper.Answer{Reason: keeper.TooLate})
	is.Equal(p.Next(now).Kind, placer.TooLate)
	p.Round(one)
	p.Answered(keeper.Answer{Reason: keeper.Memory})
	is.Equal(p.Next(now).Kind, placer.Pause)
	is.Equal(p.Next(now).Kind, placer.Choose)
	p.Round(one)
	p.Answered(keeper.Answer{Reason: keeper.Memory})
	is.Equal(p.Next(now.Add(2*time.Second)).Kind, placer.NoRoom)
}

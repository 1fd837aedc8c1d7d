package reserver_test

import (
	"errors"
	"fmt"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sapphireramp/sapphireramp/reserver"
)

func counter() func() string {
	n := 0
	return func() string { n++; return strconv.Itoa(n) }
}

var engines = []reserver.Candidate{
	{Name: "c", DataCentre: "x", FreeTokens: 100, MemoryTokens: 100},
	{Name: "a", DataCentre: "x", FreeTokens: 100, MemoryTokens: 100},
	{Name: "b", DataCentre: "x", FreeTokens: 20, MemoryTokens: 100},
}

func Example() {
	shards, err := reserver.PlanShards(engines, 150, 3, counter())
	fmt.Println(shards, err)
	r := reserver.New(shards)
	fmt.Println(r.Next().Reserve.Engine)
	r.RecordReserved()
	r.RecordRefused(false)
	fmt.Println(r.Next().Release.Engine)
	r.RecordReleased()
	fmt.Println(r.Next().Failed)
	// Output:
	// [{a 1 75} {c 2 75}] <nil>
	// a
	// a
	// true
}

func TestPlanErrors(t *testing.T) {
	is := is.New(t)
	_, err := reserver.PlanShards(engines, 1000, 3, counter())
	var tooLong reserver.TooLongError
	is.True(errors.As(err, &tooLong))
	_, err = reserver.PlanShards(engines, 250, 3, counter())
	var busy reserver.NotEnoughFreeError
	is.True(errors.As(err, &busy))
}

// Whatever the engines reply, in the end either all shards are held or none is.
func TestReservesAllShardsOrNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []reserver.Candidate
		for i := range rapid.IntRange(1, 8).Draw(t, "engines") {
			free := rapid.IntRange(0, 100).Draw(t, "free")
			candidates = append(candidates, reserver.Candidate{Name: fmt.Sprint(i), DataCentre: "x", FreeTokens: free, MemoryTokens: 100})
		}
		tokens := rapid.IntRange(1, 500).Draw(t, "tokens")
		shards, err := reserver.PlanShards(candidates, tokens, 4, counter())
		if err != nil {
			return
		}
		sum := 0
		for _, s := range shards {
			sum += s.Tokens
		}
		if sum != tokens {
			t.Fatalf("shards of %d add up to %d", tokens, sum)
		}
		runReservation(t, reserver.New(shards), len(shards))
	})
}

func runReservation(t *rapid.T, r *reserver.Reserver, shardCount int) {
	held := map[string]bool{}
	for {
		action := r.Next()
		switch {
		case action.AllHeld:
			if len(held) != shardCount {
				t.Fatalf("held %d of %d", len(held), shardCount)
			}
			return
		case action.Failed:
			if len(held) != 0 {
				t.Fatalf("failed with %v held", held)
			}
			return
		case action.Release != nil:
			delete(held, action.Release.HoldID)
			r.RecordReleased()
		case rapid.IntRange(0, 3).Draw(t, "answer") > 0:
			held[action.Reserve.HoldID] = true
			r.RecordReserved()
		default:
			maybeHeld := rapid.Bool().Draw(t, "maybe")
			if maybeHeld {
				held[action.Reserve.HoldID] = true
			}
			r.RecordRefused(maybeHeld)
		}
	}
}

package apportioner_test

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sapphireramp/sapphireramp/apportioner"
)

const (
	greedy apportioner.Organisation = iota + 1
	small
	third
)

var normal, urgent, later = apportioner.NewRank(0, 1), apportioner.NewRank(0, 0), apportioner.NewRank(0, 2)

// fill adds requests of cost 1.
func fill(u *apportioner.Uses, o apportioner.Organisation, r apportioner.Rank, requests int) {
	for range requests {
		u.Add(o, r, 1)
	}
}

// Guards against one organisation that offers more than there is room for and takes the room of another.
func TestOrganisationBelowItsShareIsEntitled(t *testing.T) {
	is := is.New(t)
	var u apportioner.Uses
	fill(&u, greedy, normal, 16)
	is.True(u.IsEntitled(16, small, normal, 1))
	is.True(!u.IsEntitled(16, greedy, normal, 1))
	fill(&u, small, normal, 8)
	is.True(!u.IsEntitled(16, small, normal, 1))
}

// Guards against capacity that stays unused because shares are fixed.
func TestUnusedShareGoesToOthers(t *testing.T) {
	is := is.New(t)
	var u apportioner.Uses
	fill(&u, small, normal, 2)
	fill(&u, greedy, normal, 13)
	is.True(u.IsEntitled(16, greedy, normal, 1))
	is.True(math.Abs(u.Share(16, greedy, normal)-14) < 0.001)
	is.True(math.Abs(u.Share(16, small, normal)-8) < 0.001)
	is.True(math.Abs(u.Share(16, third, normal)-7) < 0.001) // 2 of small, 7 of greedy, 7
}

// Guards against less urgent requests that take the room of urgent ones, and against urgent ones that leave nothing.
func TestUrgentRequestsLeaveAFifth(t *testing.T) {
	is := is.New(t)
	var u apportioner.Uses
	fill(&u, greedy, later, 20)
	is.True(math.Abs(u.Share(20, small, urgent)-16) < 0.001)
	var v apportioner.Uses
	fill(&v, greedy, urgent, 20)
	is.True(math.Abs(v.Share(20, small, later)-4) < 0.001)
}

// Guards against a kind of request that starves beside a more urgent one of its own organisation.
func TestLessUrgentRequestsOfOneOrganisation(t *testing.T) {
	is := is.New(t)
	var u apportioner.Uses
	fill(&u, greedy, urgent, 20)
	is.True(math.Abs(u.Share(20, greedy, later)-4) < 0.001)
}

// Guards against an organisation that gets more by dividing its requests between routes of several priorities.
func TestDividingRequestsBetweenRanksGainsNothing(t *testing.T) {
	is := is.New(t)
	var u apportioner.Uses
	fill(&u, greedy, urgent, 6)
	fill(&u, greedy, normal, 6)
	fill(&u, small, normal, 4)
	is.True(u.IsEntitled(16, small, normal, 1))
	is.True(!u.IsEntitled(16, greedy, normal, 1))
}

// Guards against a route's priority that goes before that of the organisation.
func TestOrganisationPriorityGoesFirst(t *testing.T) {
	is := is.New(t)
	is.True(apportioner.NewRank(0, 9) < apportioner.NewRank(1, 0))
	is.Equal(apportioner.NewRank(-5, 1<<20), apportioner.NewRank(0, 1023))
}

// Guards against uses that are lost or stay when requests end in any order, and against a share that differs from what
// its organisation is admitted for.
func TestShareIsWhatAnOrganisationIsAdmittedFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(1, 50).Draw(t, "capacity")
		type request struct {
			o    apportioner.Organisation
			r    apportioner.Rank
			cost float64
		}
		var u apportioner.Uses
		var running []request
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			if len(running) > 0 && rapid.IntRange(0, 3).Draw(t, "end") == 0 {
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				u.Remove(running[i].o, running[i].r, running[i].cost)
				running = append(running[:i], running[i+1:]...)
				continue
			}
			x := request{apportioner.Organisation(rapid.IntRange(0, 4).Draw(t, "organisation")), apportioner.NewRank(0, rapid.IntRange(0, 2).Draw(t, "rank")), rapid.Float64Range(0.01, 3).Draw(t, "cost")}
			own := x.cost
			for _, other := range running {
				if other.o == x.o && other.r == x.r {
					own += other.cost
				}
			}
			if share := u.Share(capacity, x.o, x.r); math.Abs(own-share) > 0.001 && u.IsEntitled(capacity, x.o, x.r, x.cost) != (own < share) {
				t.Fatalf("use %g, share %g, entitled %v", own, share, own > share)
			}
			u.Add(x.o, x.r, x.cost)
			running = append(running, x)
		}
		sum := 0.0
		for o := range apportioner.Organisation(5) {
			sum += u.Of(o)
		}
		if math.Abs(sum-u.Total()) > 1e-9 || u.Count() != len(running) {
			t.Fatalf("uses %g and %g of %d, %d running", sum, u.Total(), u.Count(), len(running))
		}
	})
}

// Guards against shares at a common level that add up to more than the capacity: what every organisation of a rank may
// have when all offer as much as they can fits into it, and each gets an equal part.
func TestSharesOfEqualsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		organisations := rapid.IntRange(1, 6).Draw(t, "organisations")
		var u apportioner.Uses
		for o := range organisations {
			fill(&u, apportioner.Organisation(o), normal, rapid.IntRange(0, 30).Draw(t, "requests"))
		}
		// Each turn, one organisation above its share loses a request and one below it gets one.
		const capacity = 60
		for range 2000 {
			for o := range apportioner.Organisation(organisations) {
				if u.IsEntitled(capacity, o, normal, 1) {
					u.Add(o, normal, 1)
				} else if u.Of(o) > u.Share(capacity, o, normal) {
					u.Remove(o, normal, 1)
				}
			}
		}
		for o := range apportioner.Organisation(organisations) {
			if got, want := u.Of(o), float64(capacity/organisations); math.Abs(got-want) > 1 {
				t.Fatalf("organisation %d of %d uses %g, want %g", o, organisations, got, want)
			}
		}
	})
}

// Guards against requests that are limited although no others than those of their organisation and rank are there.
func TestIsOnly(t *testing.T) {
	is := is.New(t)
	var u apportioner.Uses
	is.True(u.IsOnly(greedy, normal))
	fill(&u, greedy, normal, 2)
	is.True(u.IsOnly(greedy, normal))
	is.True(!u.IsOnly(greedy, urgent) && !u.IsOnly(small, normal))
	fill(&u, greedy, urgent, 1)
	is.True(!u.IsOnly(greedy, normal))
}

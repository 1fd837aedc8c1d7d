package queuer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/apportioner"
)

func noUse(apportioner.Organisation) float64 { return 0 }

func always() bool { return true }

// Guards against requests that are placed in another order than by rank, use of their organisation and arrival.
func TestOrder(t *testing.T) {
	is := is.New(t)
	var q Queue
	greedy, late := q.Add(1, 1, always), q.Add(1, 1, always)
	modest, urgent := q.Add(2, 1, always), q.Add(3, 0, always)
	useOf := func(o apportioner.Organisation) float64 {
		return map[apportioner.Organisation]float64{1: 9, 2: 1, 3: 20}[o]
	}
	for _, want := range []*Waiter{urgent, modest, greedy, late} {
		is.Equal(q.CallNext(useOf), want)
		is.Equal(len(want.Turn()), 1)
		q.Remove(want)
	}
	is.True(q.CallNext(useOf) == nil)
	is.Equal(q.Len(), 0)
}

// Guards against an urgent request over its share that keeps those behind it from being placed, which would starve
// less urgent ones.
func TestRequestsOverTheirShareBlockNoOthers(t *testing.T) {
	is := is.New(t)
	var q Queue
	q.Add(1, 0, func() bool { return false })
	entitled := q.Add(2, 5, always)
	is.Equal(q.CallNext(noUse), entitled)
}

// Guards against new requests that overtake waiting ones of their organisation, and against such that wait for less
// urgent ones or those of others.
func TestAheadCountsOwnOrganisationUpToRank(t *testing.T) {
	is := is.New(t)
	var q Queue
	q.Add(1, 0, always)
	q.Add(1, 2, always)
	q.Add(2, 0, always)
	is.Equal(q.Ahead(1, 0), 1)
	is.Equal(q.Ahead(1, 2), 2)
	is.Equal(q.Ahead(3, 2), 0)
}

// Package queuer orders the requests that wait at an entry for a placement at one service: by rank, then by
// the use that their organisation makes of the service, least first, then by arrival. The package does no I/O.
//
// A queue holds only requests that were refused for their organisation's share, at most as many as are
// served in the time for which they may wait, so that it is short: it is searched from end to end.
package queuer

import (
	"cmp"
	"slices"
	"sync"

	"github.com/sapphireramp/sapphireramp/apportioner"
)

// Waiter is a request in a queue.
type Waiter struct {
	organisation apportioner.Organisation
	rank         apportioner.Rank
	// arrival is the number of requests that were added to the queue before.
	arrival uint64
	// isAdmitted reports whether the request would be admitted now.
	isAdmitted func() bool
	// turn has capacity 1, and an element once it is the request's turn.
	turn chan struct{}
}

// Turn returns a channel that is sent an element when it is the request's turn to be placed.
func (w *Waiter) Turn() <-chan struct{} { return w.turn }

// Queue holds the requests that wait for one service. The zero value is empty. It is safe for concurrent use.
type Queue struct {
	lock     sync.Mutex
	waiters  []*Waiter
	arrivals uint64
}

// Add adds a request. The function isAdmitted reports whether it would be admitted now; it must not call the queue.
func (q *Queue) Add(o apportioner.Organisation, r apportioner.Rank, isAdmitted func() bool) *Waiter {
	q.lock.Lock()
	defer q.lock.Unlock()
	w := &Waiter{organisation: o, rank: r, arrival: q.arrivals, isAdmitted: isAdmitted, turn: make(chan struct{}, 1)}
	q.arrivals++
	q.waiters = append(q.waiters, w)
	return w
}

// Remove removes a request that was placed or no longer waits.
func (q *Queue) Remove(w *Waiter) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int {
	q.lock.Lock()
	defer q.lock.Unlock()
	return len(q.waiters)
}

// Ahead returns the number of waiting requests of an organisation that a new one with the given rank must not
// overtake: those with the same or a more urgent rank.
func (q *Queue) Ahead(o apportioner.Organisation, r apportioner.Rank) int {
	q.lock.Lock()
	defer q.lock.Unlock()
	n := 0
	for _, w := range q.waiters {
		if w.organisation == o && w.rank <= r {
			n++
		}
	}
	return n
}

// CallNext gives the turn to the first request, in the order of the queue, that would be admitted now, and returns
// it; nil if there is none. UseOf returns the use of an organisation. Requests of one organisation and rank are
// admitted alike, so that only the first of them is asked.
func (q *Queue) CallNext(useOf func(apportioner.Organisation) float64) *Waiter {
	q.lock.Lock()
	defer q.lock.Unlock()
	for _, w := range q.firstOfEach(useOf) {
		if !w.isAdmitted() {
			continue
		}
		select {
		case w.turn <- struct{}{}:
		default: // it has the turn already
		}
		return w
	}
	return nil
}

// firstOfEach returns the request of each organisation and rank that arrived first, in the order in which these are
// to be placed.
func (q *Queue) firstOfEach(useOf func(apportioner.Organisation) float64) []*Waiter {
	type kind struct {
		organisation apportioner.Organisation
		rank         apportioner.Rank
	}
	seen, uses := map[kind]bool{}, map[apportioner.Organisation]float64{}
	var first []*Waiter
	for _, w := range q.waiters { // in the order of arrival
		if k := (kind{w.organisation, w.rank}); !seen[k] {
			seen[k], first = true, append(first, w)
		}
		if _, ok := uses[w.organisation]; !ok {
			uses[w.organisation] = useOf(w.organisation)
		}
	}
	slices.SortFunc(first, func(a, b *Waiter) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(uses[a.organisation], uses[b.organisation]), cmp.Compare(a.arrival, b.arrival))
	})
	return first
}

// Package apportioner divides the capacity of a service between organisations while there is too
// little of it. Organisations of equal rank get max-min fair shares: what one does not use, the
// others get. More urgent requests go before less urgent ones, but leave them a part, so that
// nobody starves. The package keeps no history and does no I/O: shares follow from the requests in
// progress alone.
//
// Uses, costs and capacities have the same unit, such as slots or engines.
package apportioner

import "github.com/cespare/xxhash/v2"

// urgencyRatio is the ratio of the level up to which more urgent use is protected to that of less
// urgent use. If a and b requests of two ranks are offered at a time, the less urgent ones get at
// least 1/(urgencyRatio·a+b) each, and so no less than a quarter of the rate at which all are served.
const urgencyRatio = 4

// maxPriority is the highest priority, and so the least urgent one, that a Rank tells apart from
// others.
const maxPriority = 1<<10 - 1

// Rank orders requests by urgency; the lowest is the most urgent.
type Rank uint32

// NewRank returns the rank of a request by the priorities of its organisation and of its route, in
// that order; 0 is the most urgent. Priorities outside 0 to 1023 count as the nearest in it.
func NewRank(organisationPriority, routePriority int) Rank {
	return Rank(clampPriority(organisationPriority)<<10 | clampPriority(routePriority))
}

func clampPriority(p int) int { return min(maxPriority, max(0, p)) }

// Organisation identifies an organisation by a hash of its name; 0 stands for all requests without
// one. Two organisations with equal hashes share as one.
type Organisation uint32

// NewOrganisation returns the identifier of the organisation with a name; 0 for an empty name.
func NewOrganisation(name string) Organisation {
	if name == "" {
		return 0
	}
	return Organisation(max(1, uint32(xxhash.Sum64String(name))))
}

// rankUse is the use of one organisation by requests of one rank.
type rankUse struct {
	rank   Rank
	amount float64
	// count is the number of requests whose uses add up to amount; at least 1.
	count int
}

// Uses holds the use that organisations make of one service. The zero value is empty. It is not
// safe for concurrent use.
type Uses struct {
	// byOrganisation holds the uses by rank, in any order, of each organisation that has any.
	byOrganisation map[Organisation][]rankUse
	total          float64
	count          int
}

// Add adds the use of one request.
func (u *Uses) Add(o Organisation, r Rank, amount float64) {
	if u.byOrganisation == nil {
		u.byOrganisation = map[Organisation][]rankUse{}
	}
	u.count++
	u.total += amount
	ranks := u.byOrganisation[o]
	for i := range ranks {
		if ranks[i].rank == r {
			ranks[i].amount += amount
			ranks[i].count++
			return
		}
	}
	u.byOrganisation[o] = append(ranks, rankUse{rank: r, amount: amount, count: 1})
}

// Remove removes the use of one request that was added with the same arguments.
func (u *Uses) Remove(o Organisation, r Rank, amount float64) {
	ranks := u.byOrganisation[o]
	for i := range ranks {
		if ranks[i].rank != r {
			continue
		}
		u.count--
		u.total -= amount
		if u.count == 0 {
			u.total = 0 // without the rounding errors of the sum
		}
		ranks[i].amount -= amount
		ranks[i].count--
		if ranks[i].count > 0 {
			return
		}
		ranks[i] = ranks[len(ranks)-1]
		if len(ranks) == 1 {
			delete(u.byOrganisation, o)
			return
		}
		u.byOrganisation[o] = ranks[:len(ranks)-1]
		return
	}
}

// Total returns the use of all organisations.
func (u *Uses) Total() float64 { return u.total }

// Count returns the number of requests whose uses were added and not removed.
func (u *Uses) Count() int { return u.count }

// Of returns the use of one organisation.
func (u *Uses) Of(o Organisation) float64 {
	sum := 0.0
	for _, r := range u.byOrganisation[o] {
		sum += r.amount
	}
	return sum
}

// split returns the use of an organisation by requests that are more urgent than r, as urgent, and
// less urgent.
func (u *Uses) split(o Organisation, r Rank) (urgent, equal, lower float64) {
	for _, x := range u.byOrganisation[o] {
		switch {
		case x.rank < r:
			urgent += x.amount
		case x.rank == r:
			equal += x.amount
		default:
			lower += x.amount
		}
	}
	return urgent, equal, lower
}

// IsEntitled reports whether a request of an organisation is within the organisation's share of a
// capacity: it would be served if all organisations that now have requests in progress, and this
// one, offered as many as they could.
func (u *Uses) IsEntitled(capacity float64, o Organisation, r Rank, cost float64) bool {
	_, equal, _ := u.split(o, r)
	return u.rivals(o, r).protected(equal+cost) <= capacity
}

// rankSplit is the use of one organisation by requests that are more urgent than a rank, as urgent, and less urgent.
type rankSplit struct{ urgent, equal, lower float64 }

// rivals is what the share of one organisation at one rank depends on: its own use, and that of each other one.
type rivals struct {
	own    rankSplit
	others []rankSplit
}

// rivals returns the uses of an organisation and of all others, split by a rank.
func (u *Uses) rivals(o Organisation, r Rank) rivals {
	v := rivals{others: make([]rankSplit, 0, len(u.byOrganisation))}
	for other := range u.byOrganisation {
		if other != o {
			v.others = append(v.others, newRankSplit(u.split(other, r)))
		}
	}
	v.own = newRankSplit(u.split(o, r))
	return v
}

func newRankSplit(urgent, equal, lower float64) rankSplit { return rankSplit{urgent, equal, lower} }

// protected returns the capacity that a request needs to be within the share of its organisation, which then uses the
// amount own by requests of its rank: own, and the use of others that goes before it.
func (v rivals) protected(own float64) float64 {
	level := own + min(v.own.urgent, urgencyRatio*own) + min(v.own.lower, own/urgencyRatio)
	sum := level
	for _, other := range v.others {
		part := min(other.urgent, urgencyRatio*level)
		part += min(other.equal, max(0, level-part))
		part += min(other.lower, max(0, level/urgencyRatio-part))
		sum += part
	}
	return sum
}

// shareSteps is the number of bisections by which Share searches; it is exact to a millionth of the
// capacity.
const shareSteps = 20

// Share returns the use by requests of rank r up to which an organisation's requests are within its
// share of a capacity, given the present use of all others.
func (u *Uses) Share(capacity float64, o Organisation, r Rank) float64 {
	v := u.rivals(o, r)
	low, high := 0.0, capacity
	for range shareSteps {
		middle := (low + high) / 2
		if v.protected(middle) <= capacity {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// CountOver returns the number of organisations whose use is greater than an equal part of a
// capacity.
func (u *Uses) CountOver(capacity float64) int {
	equalPart, over := capacity/float64(max(1, len(u.byOrganisation))), 0
	for o := range u.byOrganisation {
		if u.Of(o) > equalPart {
			over++
		}
	}
	return over
}

// IsOnly reports whether no requests but those of one organisation and rank make any use.
func (u *Uses) IsOnly(o Organisation, r Rank) bool {
	if len(u.byOrganisation) == 0 {
		return true
	}
	ranks, ok := u.byOrganisation[o]
	return ok && len(u.byOrganisation) == 1 && len(ranks) == 1 && ranks[0].rank == r
}

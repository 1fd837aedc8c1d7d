package lender

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"
)

// Ask is a request for loans, as encoded in calls between entries.
type Ask struct {
	// ID distinguishes the requests of one borrower. Borrower and Incarnation identify the process that asks.
	ID          uint64
	Borrower    string
	Incarnation uint64
	Items       []AskItem
}

// AskItem asks for a loan of Parts parts of a resource, in place of an earlier loan of the same lender.
type AskItem struct {
	Resource string
	Parts    float64
}

// Grant is the reply to an Ask. Items has an element for each loan that was granted.
type Grant struct {
	ID    uint64
	Items []GrantItem
	// Lease is the time from the moment at which the borrower sent the Ask until the loans end.
	Lease time.Duration
}

// GrantItem is a loan of Parts parts, each of which is the fraction Unit of the whole of the resource.
type GrantItem struct {
	Resource    string
	Parts, Unit float64
}

// maxItems is the maximum number of resources in an Ask; further ones are ignored.
const maxItems = 8

// Lend decides on a request for loans that arrives at the time now. The function stateOf returns this entry's state of
// a resource, or false if it has none. A request that arrives twice is decided twice: the second loan replaces the first.
func (l *Ledger) Lend(now time.Time, ask Ask, stateOf func(resource string) (State, bool)) Grant {
	grant := Grant{ID: ask.ID, Lease: Lease}
	borrower := ask.Borrower + " " + strconv.FormatUint(ask.Incarnation, 10)
	for _, item := range ask.Items[:min(len(ask.Items), maxItems)] {
		s, ok := stateOf(item.Resource)
		if !ok || math.IsNaN(item.Parts) {
			continue
		}
		if parts := l.lend(now, borrower, item, s); parts > 0 {
			grant.Items = append(grant.Items, GrantItem{Resource: item.Resource, Parts: parts, Unit: s.Unit})
		}
	}
	return grant
}

// lend records a loan and returns its size in parts, 0 if it is refused.
func (l *Ledger) lend(now time.Time, borrower string, item AskItem, s State) float64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	at := l.at(now)
	l.forget(at)
	if !s.Owns || s.IsFixed || s.Unit <= 0 || at.Before(l.reservedUntil(s)) {
		return 0
	}
	a := l.account(at, item.Resource)
	if a == nil || len(a.lent) >= maxLoans || a.demand.isCurrent(at) || total(a.borrowed, at, 0, 1, "") > 0 {
		return 0
	}
	free := s.free() - total(a.lent, at, s.Window, 1, borrower)
	parts := inSteps(min(item.Parts, free))
	if parts <= 0 {
		return 0
	}
	a.lent = addLoan(a.lent, loan{other: borrower, parts: parts, unit: 1, from: at, until: at.Add(Lease + margin), keep: historyTime + 2*s.Window})
	return parts
}

// inSteps returns the largest multiple of minLoan that is not larger than a number of parts, so that a renewal mostly has
// the size of the loan that it renews.
func inSteps(parts float64) float64 { return math.Floor(parts/minLoan+1e-9) * minLoan }

// addLoan adds a loan to others, which are sorted by the other entry. One that renews another of the same size, which has not ended, extends that.
func addLoan(loans []loan, added loan) []loan {
	for i, x := range loans {
		if x.other == added.other && x.parts == added.parts && x.unit == added.unit && !x.until.Before(added.from) {
			loans[i].until, loans[i].keep = later(x.until, added.until), max(x.keep, added.keep)
			return loans
		}
	}
	i, _ := slices.BinarySearchFunc(loans, added.other, func(x loan, other string) int { return cmp.Compare(x.other, other) })
	return slices.Insert(loans, i, added)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

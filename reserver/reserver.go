// Package reserver reserves a group of engines for a prompt that no single
// engine holds: all of them or none, asked in one fixed order, each share
// under a hold id of its own and a lease.
package reserver

import (
	"fmt"
	"slices"
	"strings"
)

// Candidate is an engine that may join a group.
type Candidate struct {
	Name       string
	DataCentre string
	// FreeTokens is the memory estimated to be free.
	FreeTokens int
	// MemoryTokens is all the engine's memory.
	MemoryTokens int
}

// Share is one engine's part of a group.
type Share struct {
	Engine string
	HoldID string
	Tokens int
}

// TooLongError says that no group of the fleet could ever hold a prompt.
type TooLongError struct {
	Tokens, Most, MaxGroup int
}

func (e TooLongError) Error() string {
	return fmt.Sprintf("prompt and answer take %d tokens of memory: a group of at most %d engines holds %d", e.Tokens, e.MaxGroup, e.Most)
}

// BusyError says that a group could hold the prompt, but not now.
type BusyError struct {
	Tokens, Free int
}

func (e BusyError) Error() string {
	return fmt.Sprintf("prompt and answer take %d tokens of memory: %d are free in one data centre now", e.Tokens, e.Free)
}

// Plan picks the fewest engines of one data centre whose free memory holds
// the tokens. The shares are in order of name, which is the order in which
// every entry reserves.
func Plan(candidates []Candidate, tokens, maxGroup int, newID func() string) ([]Share, error) {
	centres := map[string][]Candidate{}
	for _, c := range candidates {
		centres[c.DataCentre] = append(centres[c.DataCentre], c)
	}
	var best []Candidate
	most, mostFree := 0, 0
	for _, name := range sortedKeys(centres) {
		centre := centres[name]
		most = max(most, largest(centre, maxGroup, func(c Candidate) int { return c.MemoryTokens }))
		free := largest(centre, maxGroup, func(c Candidate) int { return c.FreeTokens })
		mostFree = max(mostFree, free)
		if free < tokens {
			continue
		}
		group := fewest(centre, tokens)
		if best == nil || len(group) < len(best) {
			best = group
		}
	}
	if most < tokens {
		return nil, TooLongError{Tokens: tokens, Most: most, MaxGroup: maxGroup}
	}
	if best == nil {
		return nil, BusyError{Tokens: tokens, Free: mostFree}
	}
	return shares(best, tokens, newID), nil
}

func sortedKeys(m map[string][]Candidate) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// largest adds up the greatest count values.
func largest(candidates []Candidate, count int, value func(Candidate) int) int {
	values := make([]int, len(candidates))
	for i, c := range candidates {
		values[i] = value(c)
	}
	slices.Sort(values)
	slices.Reverse(values)
	sum := 0
	for _, v := range values[:min(count, len(values))] {
		sum += v
	}
	return sum
}

func fewest(candidates []Candidate, tokens int) []Candidate {
	byFree := slices.Clone(candidates)
	slices.SortFunc(byFree, func(a, b Candidate) int {
		if a.FreeTokens != b.FreeTokens {
			return b.FreeTokens - a.FreeTokens
		}
		return strings.Compare(a.Name, b.Name)
	})
	sum := 0
	for i, c := range byFree {
		sum += c.FreeTokens
		if sum >= tokens {
			return byFree[:i+1]
		}
	}
	return nil
}

// shares splits the tokens in proportion to free memory.
func shares(group []Candidate, tokens int, newID func() string) []Share {
	slices.SortFunc(group, func(a, b Candidate) int { return strings.Compare(a.Name, b.Name) })
	total := 0
	for _, c := range group {
		total += c.FreeTokens
	}
	out := make([]Share, len(group))
	left := tokens
	for i, c := range group {
		part := min(left, c.FreeTokens, (tokens*c.FreeTokens+total-1)/total)
		out[i] = Share{Engine: c.Name, HoldID: newID(), Tokens: part}
		left -= part
	}
	return out
}

// Effect is what the owner has to do next.
type Effect struct {
	// Reserve or Release is set, never both.
	Reserve *Share
	Release *Share
	// Held says that every share is held.
	Held bool
	// Failed says that nothing is held and the group can't be had now.
	Failed bool
}

// Reserver drives one reservation. It is not safe for concurrent use.
type Reserver struct {
	shares []Share
	// held is how many of shares, from the first, are or may be held.
	held    int
	failing bool
}

// New returns a reservation of the shares, of which none is held.
func New(shares []Share) *Reserver {
	return &Reserver{shares: shares}
}

// Next returns what to do. Every Reserve is followed by Reserved or Refused;
// every Release by Released.
func (r *Reserver) Next() Effect {
	switch {
	case r.failing && r.held > 0:
		return Effect{Release: &r.shares[r.held-1]}
	case r.failing:
		return Effect{Failed: true}
	case r.held < len(r.shares):
		return Effect{Reserve: &r.shares[r.held]}
	}
	return Effect{Held: true}
}

// Reserved notes that the share asked for last is held.
func (r *Reserver) Reserved() { r.held++ }

// Refused notes that the share asked for last is not held, or, where maybe is
// true, that it is not known: it is released too, to be sure.
func (r *Reserver) Refused(maybe bool) {
	if maybe {
		r.held++
	}
	r.failing = true
}

// Released notes that the share named last is given up. One that could not be
// reached is left to its lease.
func (r *Reserver) Released() { r.held-- }

// Release starts to give back a group that is held or partly held.
func (r *Reserver) Release() { r.failing = true }

// Shares are the shares of the group, in the order of reservation.
func (r *Reserver) Shares() []Share { return r.shares }

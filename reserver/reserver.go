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

// Shard is one engine's part of a group.
type Shard struct {
	Engine string
	HoldID string
	Tokens int
}

// TooLongError says that no group of the fleet could ever hold a prompt.
type TooLongError struct {
	Tokens, MaxTokens, MaxGroup int
}

func (e TooLongError) Error() string {
	return fmt.Sprintf("prompt and answer take %d tokens of memory: a group of at most %d engines holds %d", e.Tokens, e.MaxGroup, e.MaxTokens)
}

// BusyError says that a group could hold the prompt, but not now.
type BusyError struct {
	Tokens, FreeTokens int
}

func (e BusyError) Error() string {
	return fmt.Sprintf("prompt and answer take %d tokens of memory: %d are free in one data centre now", e.Tokens, e.FreeTokens)
}

// Plan picks the fewest engines of one data centre whose free memory holds
// the tokens. The shares are in order of name, which is the order in which
// every entry reserves.
func Plan(candidates []Candidate, tokens, maxGroup int, newID func() string) ([]Shard, error) {
	centres := map[string][]Candidate{}
	for _, c := range candidates {
		centres[c.DataCentre] = append(centres[c.DataCentre], c)
	}
	var best []Candidate
	maxTokens, maxFreeTokens := 0, 0
	for _, name := range sortedKeys(centres) {
		centre := centres[name]
		maxTokens = max(maxTokens, sumLargest(centre, maxGroup, func(c Candidate) int { return c.MemoryTokens }))
		free := sumLargest(centre, maxGroup, func(c Candidate) int { return c.FreeTokens })
		maxFreeTokens = max(maxFreeTokens, free)
		if free < tokens {
			continue
		}
		group := fewestEngines(centre, tokens)
		if best == nil || len(group) < len(best) {
			best = group
		}
	}
	if maxTokens < tokens {
		return nil, TooLongError{Tokens: tokens, MaxTokens: maxTokens, MaxGroup: maxGroup}
	}
	if best == nil {
		return nil, BusyError{Tokens: tokens, FreeTokens: maxFreeTokens}
	}
	return splitTokens(best, tokens, newID), nil
}

func sortedKeys(m map[string][]Candidate) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// sumLargest adds up the greatest count values.
func sumLargest(candidates []Candidate, n int, value func(Candidate) int) int {
	values := make([]int, len(candidates))
	for i, c := range candidates {
		values[i] = value(c)
	}
	slices.Sort(values)
	slices.Reverse(values)
	sum := 0
	for _, v := range values[:min(n, len(values))] {
		sum += v
	}
	return sum
}

func fewestEngines(candidates []Candidate, tokens int) []Candidate {
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

// splitTokens splits the tokens in proportion to free memory.
func splitTokens(group []Candidate, tokens int, newID func() string) []Shard {
	slices.SortFunc(group, func(a, b Candidate) int { return strings.Compare(a.Name, b.Name) })
	total := 0
	for _, c := range group {
		total += c.FreeTokens
	}
	shards := make([]Shard, len(group))
	remaining := tokens
	for i, c := range group {
		shardTokens := min(remaining, c.FreeTokens, (tokens*c.FreeTokens+total-1)/total)
		shards[i] = Shard{Engine: c.Name, HoldID: newID(), Tokens: shardTokens}
		remaining -= shardTokens
	}
	return shards
}

// Action is what the owner has to do next.
type Action struct {
	// Reserve or Release is set, never both.
	Reserve *Shard
	Release *Shard
	// AllHeld says that every share is held.
	AllHeld bool
	// Failed says that nothing is held and the group can't be had now.
	Failed bool
}

// Reserver drives one reservation. It is not safe for concurrent use.
type Reserver struct {
	shards []Shard
	// heldCount is how many of shares, from the first, are or may be held.
	heldCount int
	releasing bool
}

// New returns a reservation of the shares, of which none is held.
func New(shards []Shard) *Reserver {
	return &Reserver{shards: shards}
}

// Next returns what to do. Every Reserve is followed by Reserved or Refused;
// every Release by Released.
func (r *Reserver) Next() Action {
	switch {
	case r.releasing && r.heldCount > 0:
		return Action{Release: &r.shards[r.heldCount-1]}
	case r.releasing:
		return Action{Failed: true}
	case r.heldCount < len(r.shards):
		return Action{Reserve: &r.shards[r.heldCount]}
	}
	return Action{AllHeld: true}
}

// RecordReserved notes that the share asked for last is held.
func (r *Reserver) RecordReserved() { r.heldCount++ }

// RecordRefused notes that the share asked for last is not held, or, where maybe is
// true, that it is not known: it is released too, to be sure.
func (r *Reserver) RecordRefused(maybeHeld bool) {
	if maybeHeld {
		r.heldCount++
	}
	r.releasing = true
}

// RecordReleased notes that the share named last is given up. One that could not be
// reached is left to its lease.
func (r *Reserver) RecordReleased() { r.heldCount-- }

// ReleaseAll starts to give back a group that is held or partly held.
func (r *Reserver) ReleaseAll() { r.releasing = true }

// Shards are the shares of the group, in the order of reservation.
func (r *Reserver) Shards() []Shard { return r.shards }

// Package reserver reserves memory on a group of engines for a prompt that does not fit on a single
// engine. It ends with a reservation of every shard or of none. Each shard is reserved at its engine
// under a hold ID of its own and a lease. All entries reserve in the order of the engines' names, so
// that of two reservations for the same engines one can succeed.
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
	// FreeTokens is the engine's estimated free memory in tokens.
	FreeTokens int
	// MemoryTokens is the engine's total memory in tokens.
	MemoryTokens int
}

// Shard is the part of a prompt's memory that one engine of a group holds.
type Shard struct {
	// Engine is the name of the engine.
	Engine string
	// HoldID identifies the reservation of the shard's memory at the engine.
	HoldID string
	// Tokens is the memory of the shard in tokens.
	Tokens int
}

// TooLongError reports that no group of at most MaxGroup engines in one data centre could hold a
// prompt and its answer, even if all their memory were free.
type TooLongError struct {
	// Tokens is the memory needed and MaxTokens the total memory of the largest possible group, both
	// in tokens.
	Tokens, MaxTokens, MaxGroup int
}

func (e TooLongError) Error() string {
	return fmt.Sprintf("prompt and answer need %d tokens of memory: a group of at most %d engines holds %d", e.Tokens, e.MaxGroup, e.MaxTokens)
}

// NotEnoughFreeError reports that a group could hold the prompt and its answer, but that no group has
// enough free memory now.
type NotEnoughFreeError struct {
	// Tokens is the memory needed and FreeTokens the most memory that is free in a group of permitted
	// size, both in tokens.
	Tokens, FreeTokens int
}

func (e NotEnoughFreeError) Error() string {
	return fmt.Sprintf("prompt and answer need %d tokens of memory: %d are free in one data centre now", e.Tokens, e.FreeTokens)
}

// PlanShards chooses a group of at most maxGroup engines in one data centre whose free memory is at
// least the given number of tokens, with as few engines as possible, and returns a shard for each.
// Shards are in the order of the engines' names. PlanShards calls newID for the hold ID of each shard.
// The error is a TooLongError or a NotEnoughFreeError.
func PlanShards(candidates []Candidate, tokens, maxGroup int, newID func() string) ([]Shard, error) {
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
		return nil, NotEnoughFreeError{Tokens: tokens, FreeTokens: maxFreeTokens}
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

// sumLargest returns the sum of the n largest values of the candidates.
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

// fewestEngines returns the smallest set of candidates whose free memory is at least the given number
// of tokens, preferring those with most free memory; nil if all of them together have less.
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

// splitTokens returns a shard for each engine of the group, in the order of their names. It splits the
// tokens in proportion to the engines' free memory.
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

// Action is what the caller of Reserver.Next must do next, or how the reservation ended. Exactly one
// field is set.
type Action struct {
	// Reserve is the shard to reserve at its engine.
	Reserve *Shard
	// Release is the shard whose hold is to be released at its engine.
	Release *Shard
	// AllHeld is true when every shard is held.
	AllHeld bool
	// Failed is true when all shards have been released, after an engine refused one or ReleaseAll was
	// called.
	Failed bool
}

// Reserver is the state of the reservation of one prompt's shards. It is not safe for concurrent use.
type Reserver struct {
	shards []Shard
	// heldCount is the number of shards, the first ones of shards, that are held or may be held by
	// their engines for this reservation.
	heldCount int
	// releasing is true once an engine refused a shard or ReleaseAll was called. No shards are reserved
	// then, and those held are released.
	releasing bool
}

// New returns a reservation of the shards, none of which is held yet.
func New(shards []Shard) *Reserver {
	return &Reserver{shards: shards}
}

// Next returns the next action. The caller must report the result of a Reserve action with
// RecordReserved or RecordRefused, and that of a Release action with RecordReleased.
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

// RecordReserved records that the engine reserved the shard of the last Reserve action.
func (r *Reserver) RecordReserved() { r.heldCount++ }

// RecordRefused records that the engine refused the shard of the last Reserve action, or did not
// reply. From then on, Next returns Release actions for the shards held. MaybeHeld is true if the
// engine may have reserved the shard, which is then released too.
func (r *Reserver) RecordRefused(maybeHeld bool) {
	if maybeHeld {
		r.heldCount++
	}
	r.releasing = true
}

// RecordReleased records that the shard of the last Release action was released, or that its engine
// could not be reached; in that case the hold is freed once its lease has expired.
func (r *Reserver) RecordReleased() { r.heldCount-- }

// ReleaseAll requires all shards that are held to be released. From then on, Next returns Release
// actions for them.
func (r *Reserver) ReleaseAll() { r.releasing = true }

// Shards returns the shards, held or not, in the order of reservation.
func (r *Reserver) Shards() []Shard { return r.shards }

// Package reserver reserves memory on a group of engines for a prompt that does not fit on a single
// engine. Either every engine of the group holds its shard or none does. Each shard is reserved
// under a hold ID of its own and a lease, and all entries reserve in the same order.
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
	// FreeTokens is the estimated free memory in tokens.
	FreeTokens int
	// MemoryTokens is the engine's total memory in tokens.
	MemoryTokens int
}

// Shard is the part of a prompt's memory that one engine of a group holds.
type Shard struct {
	// Engine is the name of the engine.
	Engine string
	// HoldID identifies the hold at the engine.
	HoldID string
	// Tokens is the memory of the shard in tokens.
	Tokens int
}

// TooLongError reports that no group of engines could hold a prompt, even if all their memory were
// free.
type TooLongError struct {
	// Tokens is the memory needed; MaxTokens is the memory of the largest possible group, of at
	// most MaxGroup engines.
	Tokens, MaxTokens, MaxGroup int
}

func (e TooLongError) Error() string {
	return fmt.Sprintf("prompt and answer need %d tokens of memory: a group of at most %d engines holds %d", e.Tokens, e.MaxGroup, e.MaxTokens)
}

// NotEnoughFreeError reports that a group could hold the prompt, but not with the memory that is free now.
type NotEnoughFreeError struct {
	// Tokens is the memory needed; FreeTokens is the most that a group in one data centre has free.
	Tokens, FreeTokens int
}

func (e NotEnoughFreeError) Error() string {
	return fmt.Sprintf("prompt and answer need %d tokens of memory: %d are free in one data centre now", e.Tokens, e.FreeTokens)
}

// PlanShards chooses the smallest group of engines in one data centre whose free memory holds the tokens,
// and returns a shard for each. Shards are ordered by engine name, which is the order in which
// every entry reserves. NewID returns a new hold ID. The error is a TooLongError or a BusyError.
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

// fewestEngines returns the smallest set of candidates whose free memory holds the tokens; nil if
// all of them together do not.
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

// splitTokens splits the tokens among the engines in proportion to their free memory.
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

// Action is the next action of a reservation. Exactly one field is set.
type Action struct {
	// Reserve is the shard to reserve next.
	Reserve *Shard
	// Release is the shard to release next.
	Release *Shard
	// AllHeld is true when every shard is held.
	AllHeld bool
	// Failed is true when no shard is held any more, after an engine refused one or ReleaseAll
	// was called.
	Failed bool
}

// Reserver is the state of one reservation of a group. It is not safe for concurrent use.
type Reserver struct {
	shards []Shard
	// heldCount is the number of shards that are held or may be held. They are the first ones of
	// shards.
	heldCount int
	// releasing is true once all shards are to be released.
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

// RecordReserved records that the engine reserved the last requested shard.
func (r *Reserver) RecordReserved() { r.heldCount++ }

// RecordRefused records that the engine refused the last requested shard, or did not reply, and
// starts to release the others. MaybeHeld is true if the engine may have reserved the shard, which
// is then released too.
func (r *Reserver) RecordRefused(maybeHeld bool) {
	if maybeHeld {
		r.heldCount++
	}
	r.releasing = true
}

// RecordReleased records that the last shard to be released was released, or that its engine could
// not be reached, in which case the hold ends with its lease.
func (r *Reserver) RecordReleased() { r.heldCount-- }

// ReleaseAll starts to release all shards that are held. Next returns the Release actions.
func (r *Reserver) ReleaseAll() { r.releasing = true }

// Shards returns the shards of the group, in the order of reservation.
func (r *Reserver) Shards() []Shard { return r.shards }

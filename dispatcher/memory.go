package dispatcher

import (
	"cmp"
	"slices"
)

// usableMemoryFraction is the part of an engine's free memory that one prompt is given:
// the rest is for what other entries have not told yet.
const usableMemoryFraction = 0.85

// freeTokens is the memory of an engine that one prompt may have.
func (c candidate) freeTokens() int {
	return int(usableMemoryFraction * float64(max(0, c.upstream.engine.MemoryTokens-c.load.MemoryTokens)))
}

// splitMemory says how much of a prompt and its answer each of the chosen
// engines holds, the first of them first. A prompt that fits there is held by
// the first alone; what doesn't fit is held by few of the others.
func splitMemory(d Demand, chosen []estimate) ([]int, bool) {
	tokens := make([]int, len(chosen))
	remaining := d.PromptTokens + d.AnswerTokens
	first := chosen[0]
	if remaining <= first.upstream.engine.MemoryTokens && (remaining <= first.freeTokens() || len(chosen) == 1) {
		tokens[0] = remaining
		return tokens, true
	}
	tokens[0] = min(remaining, first.freeTokens())
	remaining -= tokens[0]
	order := make([]int, 0, len(chosen))
	for i := 1; i < len(chosen); i++ {
		order = append(order, i)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(chosen[b].freeTokens(), chosen[a].freeTokens()) })
	for _, i := range order {
		tokens[i] = min(remaining, chosen[i].freeTokens())
		remaining -= tokens[i]
	}
	if remaining > 0 && d.PromptTokens+d.AnswerTokens <= first.upstream.engine.MemoryTokens {
		// It fits one engine, whose memory is merely taken for now: the first
		// holds all of it as soon as it has room.
		clear(tokens)
		tokens[0] = d.PromptTokens + d.AnswerTokens
		return tokens, true
	}
	return tokens, remaining == 0
}

package dispatcher

import (
	"cmp"
	"slices"
)

// usableMemoryFraction is the fraction of an engine's free memory that one prompt may use. The rest
// is kept for requests that other entries have not reported yet.
const usableMemoryFraction = 0.85

// freeTokens returns the free memory of an engine that one prompt may use, in tokens.
func (c candidate) freeTokens() int {
	return int(usableMemoryFraction * float64(max(0, c.upstream.engine.MemoryTokens-c.load.MemoryTokens)))
}

// helperTokens returns the memory that the engine may hold for a prompt that another one answers, in
// tokens. It is 0 for an engine with a rate limit: reserving memory and renewing its lease are requests,
// too.
func (c candidate) helperTokens() int {
	if c.upstream.backpressure.rateLimit.Limit.Limited {
		return 0
	}
	return c.freeTokens()
}

// splitMemory returns how much memory each of the chosen engines uses for a prompt and its answer,
// in tokens, in the order of chosen; the first engine answers. It reports false where the engines
// have too little memory. The answering engine uses all of it if it has that much free, or if there
// are no helpers; otherwise what exceeds its free memory goes to as few helpers as possible. If
// they lack free memory too, but the whole memory of the answering engine suffices, that engine
// uses all of it.
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
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(chosen[b].helperTokens(), chosen[a].helperTokens()) })
	for _, i := range order {
		tokens[i] = min(remaining, chosen[i].helperTokens())
		remaining -= tokens[i]
	}
	if remaining > 0 && d.PromptTokens+d.AnswerTokens <= first.upstream.engine.MemoryTokens {
		// The prompt fits into one engine whose memory is only taken at the moment: the answering
		// engine holds all of it as soon as it has room.
		clear(tokens)
		tokens[0] = d.PromptTokens + d.AnswerTokens
		return tokens, true
	}
	return tokens, remaining == 0
}

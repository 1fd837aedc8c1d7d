package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

// usableMemoryFraction is the fraction of an engine's free memory that one prompt may use. The rest
// is kept for requests that other entries have not reported yet.
const usableMemoryFraction = 0.85

// memoryMarginDivisor divides an engine's memory into the margin that is kept free where other entries place requests
// too: for what they have placed there within a message delay. An empty engine has no margin, so that it takes a prompt
// of its whole memory.
const memoryMarginDivisor = 16

// freeTokens returns the free memory of an engine that one prompt may use, in tokens.
func (c candidate) freeTokens() int {
	return int(usableMemoryFraction * float64(max(0, c.upstream.engine.MemoryTokens-c.load.MemoryTokens)))
}

// roomTokens returns the free memory of an engine in tokens, as far as this entry knows. An engine is never sent requests
// whose memory together is more than it has, since it may crash: a request for which none has room waits at its entry
// for a moment and is then refused.
func (c candidate) roomTokens() int {
	free := c.upstream.engine.MemoryTokens - c.load.MemoryTokens
	if c.hasPeers && c.load.MemoryTokens > 0 {
		free -= c.upstream.engine.MemoryTokens / memoryMarginDivisor
	}
	return max(0, free)
}

// withMemory returns the given engines for a prompt and the memory that each uses. If they have too little, it returns
// the engine with the lowest cost of those that have room for all of it. It reports false if there is none either.
func (b *Dispatcher) withMemory(now time.Time, d Demand, candidates []candidate, best group) (group, []int, bool) {
	if tokens, fits := splitMemory(d, best.estimates); fits {
		return best, tokens, true
	}
	s := b.newSearch(d, candidates)
	single, found := s.bestSingle(now, d, candidates)
	if !found {
		return best, nil, false
	}
	tokens, fits := splitMemory(d, single.estimates)
	return single, tokens, fits
}

// refuseNoMemory returns the refusal of a prompt for which no engine or group of engines has room. A prompt that fits
// into one engine waits at its entry, as engines free memory within a second or two, unless its caller soon stops
// waiting.
func refuseNoMemory(d Demand, e *matcher.EngineProfile, expectedFirstByte time.Duration) *Refusal {
	fitsOne := d.PromptTokens+d.AnswerTokens <= e.MemoryTokens
	canWait := d.MaxWait >= deferralWaitFactor*predictor.PrefillTime(e, d.PromptTokens)
	return &Refusal{Reason: "no_memory", Temporary: fitsOne, Deferrable: fitsOne && canWait, ExpectedFirstByte: expectedFirstByte, RetryAfter: minRetryAfter}
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
// are no helpers and it has room; otherwise what exceeds its free memory goes to as few helpers as
// possible.
func splitMemory(d Demand, chosen []estimate) ([]int, bool) {
	tokens := make([]int, len(chosen))
	remaining := d.PromptTokens + d.AnswerTokens
	first := chosen[0]
	if remaining <= first.freeTokens() || len(chosen) == 1 && remaining <= first.roomTokens() {
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
	return tokens, remaining == 0
}

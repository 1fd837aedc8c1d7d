package dispatcher

import (
	"cmp"
	"slices"
)

// memoryPart is the part of an engine's free memory that one prompt is given:
// the rest is for what other entries have not told yet.
const memoryPart = 0.85

// free is the memory of an engine that one prompt may have.
func (c candidate) free() int {
	return int(memoryPart * float64(max(0, c.worker.engine.MemoryTokens-c.load.MemoryTokens)))
}

// memoryShares says how much of a prompt and its answer each of the chosen
// engines holds, the first of them first. A prompt that fits there is held by
// the first alone; what doesn't fit is held by few of the others.
func memoryShares(d Demand, chosen []offer) ([]int, bool) {
	shares := make([]int, len(chosen))
	need := d.PromptTokens + d.AnswerTokens
	first := chosen[0]
	if need <= first.worker.engine.MemoryTokens && (need <= first.free() || len(chosen) == 1) {
		shares[0] = need
		return shares, true
	}
	shares[0] = min(need, first.free())
	need -= shares[0]
	order := make([]int, 0, len(chosen))
	for i := 1; i < len(chosen); i++ {
		order = append(order, i)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(chosen[b].free(), chosen[a].free()) })
	for _, i := range order {
		shares[i] = min(need, chosen[i].free())
		need -= shares[i]
	}
	if need > 0 && d.PromptTokens+d.AnswerTokens <= first.worker.engine.MemoryTokens {
		// It fits one engine, whose memory is merely taken for now: the first
		// holds all of it as soon as it has room.
		clear(shares)
		shares[0] = d.PromptTokens + d.AnswerTokens
		return shares, true
	}
	return shares, need == 0
}

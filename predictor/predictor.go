// Package predictor models how an engine works, from the figures in
// the configuration: how long a prompt takes to read, how long a pass takes
// while answers are written, and what reading more does to those answers. It
// keeps nothing and does no I/O.
//
// An engine works in passes. A pass that writes answers executes Stride token
// steps and reads, in between, what waits to be read. Every answer on the
// engine makes one event a pass, so the time of a pass is the pause between
// the events of each of them.
package predictor

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
)

// Reading is how long one engine reads a prompt alone: its tokens at the
// engine's rate, and the pairs of each token with every earlier one.
func Reading(e *matcher.Engine, tokens int) time.Duration {
	if e.ReadPerSecond <= 0 || tokens <= 0 {
		return 0
	}
	n := float64(tokens)
	seconds := n / e.ReadPerSecond
	millionPairs := n * n / 2 / 1e6
	return time.Duration(seconds*float64(time.Second) + millionPairs*float64(e.PerMillionPairs))
}

// Part is how long each of k engines reads its part of a prompt: parts are
// even in tokens and in pairs.
func Part(e *matcher.Engine, tokens, k int) time.Duration {
	return Reading(e, tokens) / time.Duration(max(1, k))
}

// Writing is the time of a pass without reading, for a number of answers
// being written that hold context tokens together.
func Writing(e *matcher.Engine, writers, contextTokens int) time.Duration {
	if writers <= 0 {
		return 0
	}
	step := e.Step + time.Duration(writers)*e.PerSequence
	step += time.Duration(float64(contextTokens) / 1000 * float64(e.PerThousand))
	return time.Duration(e.Stride) * step
}

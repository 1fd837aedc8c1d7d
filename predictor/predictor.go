// Package predictor models how an engine works, from the figures in
// the configuration: how long a prompt takes to prefill, how long a pass takes
// while answers are decoded, and what more prefill does to those answers. It
// keeps nothing and does no I/O.
//
// An engine works in passes. A pass that decodes answers executes Stride token
// steps and prefills, in between, what waits. Every answer on the
// engine makes one event a pass, so the time of a pass is the pause between
// the events of each of them.
package predictor

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
)

// Prefill is how long one engine prefills a prompt alone: its tokens at the
// engine's rate, and the pairs of each token with every earlier one.
func Prefill(e *matcher.EngineProfile, tokens int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 || tokens <= 0 {
		return 0
	}
	n := float64(tokens)
	seconds := n / e.PrefillTokensPerSecond
	millionPairs := n * n / 2 / 1e6
	return time.Duration(seconds*float64(time.Second) + millionPairs*float64(e.TimePerMillionPairs))
}

// ShardPrefill is how long each of k engines prefills its part of a prompt: parts are
// even in tokens and in pairs.
func ShardPrefill(e *matcher.EngineProfile, tokens, k int) time.Duration {
	return Prefill(e, tokens) / time.Duration(max(1, k))
}

// DecodePass is the time of a pass without prefill, for a number of answers
// being decoded that hold context tokens together.
func DecodePass(e *matcher.EngineProfile, streams, contextTokens int) time.Duration {
	if streams <= 0 {
		return 0
	}
	step := e.StepTime + time.Duration(streams)*e.TimePerSequence
	step += time.Duration(float64(contextTokens) / 1000 * float64(e.TimePerThousandTokens))
	return time.Duration(e.StepsPerPass) * step
}

// Package predictor models the timing of a model engine from the engine's profile in the
// configuration: how long the prefill of a prompt takes, how long a decoding pass takes, and how
// much further prefill delays the answers that are being decoded. A Queue tracks the work of one
// engine, and a Simulator simulates a queue forward. The package does no I/O.
//
// An engine works in forward passes. A pass that decodes answers executes StepsPerPass token steps
// and prefills waiting prompts along with them. Every answer on the engine emits one event per
// pass, so the duration of a pass is the gap between the events of each answer.
package predictor

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
)

// PrefillTime returns the time that a single engine needs to prefill a prompt of the given number of
// tokens: the time of the tokens at the engine's prefill rate, plus the attention time of all pairs
// of a token and an earlier one. It is 0 if the profile has no prefill rate.
func PrefillTime(e *matcher.EngineProfile, tokens int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 || tokens <= 0 {
		return 0
	}
	n := float64(tokens)
	seconds := n / e.PrefillTokensPerSecond
	millionPairs := n * n / 2 / 1e6
	return time.Duration(seconds*float64(time.Second) + millionPairs*float64(e.TimePerMillionPairs))
}

// ShardPrefillTime returns the time that each of the given number of engines needs to prefill its
// shard of a prompt of the given number of tokens. All shards are taken to have equal numbers of
// tokens and of pairs of tokens.
func ShardPrefillTime(e *matcher.EngineProfile, tokens, engines int) time.Duration {
	return PrefillTime(e, tokens) / time.Duration(max(1, engines))
}

// DecodePassTime returns the duration of a pass that decodes the given number of answers and
// prefills nothing; 0 without answers. The argument contextTokens is the number of tokens that the
// answers' context has in total.
func DecodePassTime(e *matcher.EngineProfile, answers, contextTokens int) time.Duration {
	if answers <= 0 {
		return 0
	}
	step := e.StepTime + time.Duration(answers)*e.TimePerSequence
	step += time.Duration(float64(contextTokens) / 1000 * float64(e.TimePerThousandTokens))
	return time.Duration(e.StepsPerPass) * step
}

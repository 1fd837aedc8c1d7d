package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
)

const (
	// tokensPerValue is the prompt length, in tokens, that adds as much value as a request without
	// a prompt has. A caller loses more by a late answer the longer its prompt was.
	tokensPerValue = 8000
	// lateLoss is the fraction of an answer's value that lateness loses.
	lateLoss = 0.75
	// lateFrom and lateTo are the multiples of a first-byte target between which the probability
	// that a predicted time is late rises from 0 to 1, as predictions are inexact.
	lateFrom, lateTo = 0.75, 1.25
	// gapFrom and gapTo are the multiples of a gap target between which the probability that a
	// predicted gap is late rises from 0 to 1.
	gapFrom, gapTo = 0.8, 1.0
	// endFrom and endTo are the multiples of the time until the caller's deadline between which the
	// probability that an answer does not end in time rises from 0 to 1. They are higher than the
	// others because the end of an answer is more often predicted too late than too early.
	endFrom, endTo = 1.0, 1.3
	// waitSlope is the loss by a wait as long as the first-byte target, as a fraction of an
	// answer's value. Of two answers that are both on time, it makes the earlier one cheaper.
	waitSlope = 0.05
	// abandonLoss is the fraction of an answer's value lost in addition to lateLoss where the
	// caller leaves: the quarter that lateLoss leaves of the value, and as much again because the
	// caller gets no answer.
	abandonLoss = 0.5
)

// promptValue returns the value of the answer to a prompt of the given length. The unit is the
// value of a request without a prompt.
func promptValue(tokens int) float64 { return 1 + float64(tokens)/tokensPerValue }

// lateProbability returns the probability that a predicted time exceeds a first-byte target.
func lateProbability(expected, target time.Duration) float64 {
	return overProbability(expected, target, lateFrom, lateTo)
}

// overProbability returns the probability that a predicted time exceeds its target. It is 0 up to
// lower times the target, 1 from upper times the target on, and linear between; always 0 without a
// target.
func overProbability(expected, target time.Duration, lower, upper float64) float64 {
	if target <= 0 {
		return 0
	}
	x := (float64(expected)/float64(target) - lower) / (upper - lower)
	return min(1, max(0, x))
}

// lossFraction returns the fraction of an answer's value that is lost by the wait for its first
// event, by its longest gap, and by the probability unfinishedRisk that it does not end before its
// caller leaves. An answer that is late by its wait loses nothing more by a late gap, unless the
// caller leaves.
func lossFraction(wait, target, gap, gapTarget time.Duration, unfinishedRisk float64) float64 {
	late := max(lateProbability(wait, target), overProbability(gap, gapTarget, gapFrom, gapTo))
	abandoned := max(unfinishedRisk, lateProbability(wait, matcher.CallerAbandonTime(target, gapTarget)), lateProbability(gap, matcher.CallerAbandonTime(0, gapTarget)))
	return lateLoss*late + abandonLoss*abandoned + waitSlope*float64(wait)/float64(max(1, target))
}

// loss returns the predicted loss of the request; the unit is the value of a request without a
// prompt. The arguments are the time from now until the first event, the longest gap after it, and
// the probability that the answer does not end before its caller leaves.
func (d Demand) loss(prefillDelay, longestGap time.Duration, unfinishedRisk float64) float64 {
	return promptValue(d.PromptTokens) * lossFraction(d.Waited+prefillDelay, d.FirstByteTarget, longestGap, d.GapTarget, unfinishedRisk)
}

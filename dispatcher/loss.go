package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
)

const (
	// tokensPerValue is the prompt length that adds as much value as a request has without a
	// prompt. A caller loses more by a late answer the longer its prompt was.
	tokensPerValue = 8000
	// lateLoss is the fraction of an answer's value that lateness loses.
	lateLoss = 0.75
	// lateFrom and lateTo are the multiples of a first-byte target between which the probability
	// that a predicted time is late rises from 0 to 1, as predictions are inexact.
	lateFrom, lateTo = 0.75, 1.25
	// gapFrom and gapTo are the same limits in multiples of a gap target.
	gapFrom, gapTo = 0.8, 1.0
	// endFrom and endTo are the same limits in multiples of the time until the caller's deadline.
	// The length of an answer is an estimate that is more often too long than too short here.
	endFrom, endTo = 1.0, 1.3
	// waitSlope is the loss by a wait of one target, as a fraction of an answer's value. It makes
	// the earlier of two answers better that are both on time.
	waitSlope = 0.05
	// abandonLoss is the fraction of an answer's value lost in addition to lateLoss where the
	// caller leaves: what a late answer still earns, and as much again since the caller gets no
	// answer.
	abandonLoss = 0.5
)

// promptValue returns the value of the answer to a prompt, in requests without a prompt.
func promptValue(tokens int) float64 { return 1 + float64(tokens)/tokensPerValue }

// lateProbability returns the probability that a predicted time exceeds a first-byte target.
func lateProbability(expected, target time.Duration) float64 {
	return overProbability(expected, target, lateFrom, lateTo)
}

// overProbability returns the probability that a predicted time exceeds its target. It is 0 up to
// from times the target, 1 beyond to times the target, and linear between; 0 without a target.
func overProbability(expected, target time.Duration, lower, upper float64) float64 {
	if target <= 0 {
		return 0
	}
	x := (float64(expected)/float64(target) - lower) / (upper - lower)
	return min(1, max(0, x))
}

// lossFraction returns the fraction of an answer's value that is lost by the wait for its first
// event, by its longest gap, and by not ending before its caller leaves, which unfinishedRisk gives
// the probability of. The wait and the gap are not added up: an answer that is late by one loses
// nothing more by the other, unless the caller leaves.
func lossFraction(wait, target, gap, gapTarget time.Duration, unfinishedRisk float64) float64 {
	late := max(lateProbability(wait, target), overProbability(gap, gapTarget, gapFrom, gapTo))
	abandoned := max(unfinishedRisk, lateProbability(wait, matcher.AbandonAfter(target, gapTarget)), lateProbability(gap, matcher.AbandonAfter(0, gapTarget)))
	return lateLoss*late + abandonLoss*abandoned + waitSlope*float64(wait)/float64(max(1, target))
}

// loss returns the predicted loss of the request, in requests without a prompt. The arguments are
// the time from now until the first event, the longest gap after it, and the probability that the
// answer does not end before its caller leaves.
func (d Demand) loss(prefillDelay, longestGap time.Duration, unfinishedRisk float64) float64 {
	return promptValue(d.PromptTokens) * lossFraction(d.Waited+prefillDelay, d.FirstByteTarget, longestGap, d.GapTarget, unfinishedRisk)
}

package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
)

const (
	// tokensPerValue is the prompt length, in tokens, that adds as much value as a request without
	// a prompt has. A caller loses more by a late answer the longer its prompt was.
	tokensPerValue = 8000
	// lateLoss is the fraction of an answer's value that is lost if the answer misses a latency
	// target.
	lateLoss = 0.75
	// lateFrom and lateTo are multiples of a first-byte target. The probability that an answer
	// misses the target rises from 0 where the predicted time is the first to 1 where it is the
	// second, as predictions are inexact.
	lateFrom, lateTo = 0.75, 1.25
	// gapFrom and gapTo are multiples of a gap target. The probability that an answer misses the
	// target rises from 0 where its longest predicted gap is the first to 1 where it is the second.
	gapFrom, gapTo = 0.8, 1.0
	// endFrom and endTo are multiples of the time until the caller's deadline. The probability that
	// an answer does not end in time rises from 0 where the predicted time to its end is the first
	// to 1 where it is the second. They are higher than the others because the end of an answer is
	// more often predicted too late than too early.
	endFrom, endTo = 1.0, 1.3
	// waitSlope is the loss by a wait as long as the first-byte target, as a fraction of an
	// answer's value. Of two answers that are both on time, it makes the earlier one cheaper.
	waitSlope = 0.05
	// abandonLoss is the fraction of an answer's value lost in addition to lateLoss where the
	// caller abandons the request: the quarter that lateLoss leaves of the value, and as much again
	// because the caller gets no answer.
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
// caller's deadline. An answer that is late by its wait loses nothing more by a late gap, unless
// the gap makes the caller abandon it. The result can exceed 1 where the caller abandons the
// request.
func lossFraction(wait, target, gap, gapTarget time.Duration, unfinishedRisk float64) float64 {
	late := max(lateProbability(wait, target), overProbability(gap, gapTarget, gapFrom, gapTo))
	abandoned := max(unfinishedRisk, lateProbability(wait, matcher.CallerAbandonTime(target, gapTarget)), lateProbability(gap, matcher.CallerAbandonTime(0, gapTarget)))
	return lateLoss*late + abandonLoss*abandoned + waitSlope*float64(wait)/float64(max(1, target))
}

// loss returns the predicted loss of the request, in requests. The arguments are the time from now
// until the first event, the longest gap after it, and the probability that the answer does not end
// before its caller's deadline.
func (d Demand) loss(prefillDelay, longestGap time.Duration, unfinishedRisk float64) float64 {
	return promptValue(d.PromptTokens) * lossFraction(d.Waited+prefillDelay, d.FirstByteTarget, longestGap, d.GapTarget, unfinishedRisk)
}

package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
)

const (
	// tokensPerValue is the prompt that is worth as much as a request by itself:
	// what a caller loses with a late answer grows with what it asked for.
	tokensPerValue = 8000
	// lateLoss is the part of an answer's worth that lateness loses.
	lateLoss = 0.75
	// lateFrom and lateTo are the parts of a target between which an expected
	// time goes from surely on time to surely late, as predictions are not exact.
	lateFrom, lateTo = 0.75, 1.25
	// gapFrom and pauseTo are those of pauses.
	gapFrom, gapTo = 0.8, 1.0
	// endFrom and endTo are those of the end of an answer, in parts of the time that its
	// caller has for it: how long an answer gets is an estimate, more often too long here.
	endFrom, endTo = 1.0, 1.3
	// waitSlope makes an earlier answer better among those that are on time.
	waitSlope = 0.05
	// abandonLoss is the part of an answer's worth that is lost beside its lateness
	// where the caller leaves: what late answers are paid, and as much again for an
	// answer not had at all.
	abandonLoss = 0.5
)

// promptValue is what a caller loses with the answer to a prompt, in requests.
func promptValue(tokens int) float64 { return 1 + float64(tokens)/tokensPerValue }

// lateProbability is how likely a time is to be over its target.
func lateProbability(expected, target time.Duration) float64 {
	return overProbability(expected, target, lateFrom, lateTo)
}

// overProbability is how likely a time is to be over its target, surely not below one part of it and
// surely above another.
func overProbability(expected, target time.Duration, from, to float64) float64 {
	if target <= 0 {
		return 0
	}
	x := (float64(expected)/float64(target) - from) / (to - from)
	return min(1, max(0, x))
}

// lossFraction is the part of an answer's worth that is lost by a wait for its first
// event and its longest pause, and by not ending before its caller leaves, which is as
// likely as unfinished says. What is late by one of them loses no more by the
// other, but for the caller's patience.
func lossFraction(wait, target, gap, gapTarget time.Duration, unfinishedRisk float64) float64 {
	late := max(lateProbability(wait, target), overProbability(gap, gapTarget, gapFrom, gapTo))
	abandoned := max(unfinishedRisk, lateProbability(wait, matcher.AbandonAfter(target, gapTarget)), lateProbability(gap, matcher.AbandonAfter(0, gapTarget)))
	return lateLoss*late + abandonLoss*abandoned + waitSlope*float64(wait)/float64(max(1, target))
}

// loss is what a request would lose by its first event and longest pause from now on, and by
// not ending before its caller leaves, in requests.
func (d Demand) loss(prefillDelay, longestGap time.Duration, unfinishedRisk float64) float64 {
	return promptValue(d.PromptTokens) * lossFraction(d.Waited+prefillDelay, d.FirstByteTarget, longestGap, d.GapTarget, unfinishedRisk)
}

package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
)

const (
	// valueTokens is the prompt that is worth as much as a request by itself:
	// what a caller loses with a late answer grows with what it asked for.
	valueTokens = 8000
	// lateLoss is the part of an answer's worth that lateness loses. Both
	// users' sheets pay a quarter for a late answer.
	lateLoss = 0.75
	// lateFrom and lateTo are the parts of a target between which an expected
	// time goes from surely on time to surely late: predictions are off by
	// about a quarter.
	lateFrom, lateTo = 0.75, 1.25
	// slope makes an earlier answer better among those that are on time.
	slope = 0.05
)

// value is what a caller loses with an answer, in requests.
func value(d Demand) float64 { return 1 + float64(d.Prompt)/valueTokens }

// lateness is how likely a time is to be over its target.
func lateness(expected, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	x := (float64(expected)/float64(target) - lateFrom) / (lateTo - lateFrom)
	return min(1, max(0, x))
}

// abandonLoss is the part of an answer's worth that is lost beside its lateness
// where the caller leaves: what late answers are paid, and as much again for an
// answer not had at all.
const abandonLoss = 0.5

// pauseLoss is the part of an answer's worth that a pause loses.
func pauseLoss(pause, target time.Duration) float64 {
	return lateLoss*lateness(pause, target) + abandonLoss*lateness(pause, matcher.AbandonAfter(0, target))
}

// waitLoss is the part of an answer's worth that a wait for its first event
// loses.
func waitLoss(wait time.Duration, d Demand) float64 {
	abandon := matcher.AbandonAfter(d.FirstByteTarget, d.PauseTarget)
	loss := lateLoss*lateness(wait, d.FirstByteTarget) + abandonLoss*lateness(wait, abandon)
	return loss + slope*float64(wait)/float64(max(1, d.FirstByteTarget))
}

// delayCost is what the requests that wait at an engine lose by a part that is
// prefilled before them.
func delayCost(l Load, part time.Duration) float64 {
	cost := 0.0
	for _, w := range l.Waits {
		d := Demand{FirstByteTarget: w.Target}
		cost += w.Value * (waitLoss(max(w.Expected, w.Here+part), d) - waitLoss(w.Expected, d))
	}
	return cost
}

package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

const (
	// timePrice is what a second of an engine's time is worth to other callers
	// for each second that engines have yet to prefill on average, in requests a
	// second squared. At 0.25 s of backlog nothing is refused that would be on
	// time; at 1 s prompts that take over seven seconds to prefill are, which
	// would displace several times their worth of others.
	timePrice = 4.0
	// heavyPrefill is the time to prefill from which a prompt is heavy enough to be
	// refused for what it costs others.
	heavyPrefill = time.Second
	// drainFactor is in how many backlogs a refused caller is asked to return.
	drainFactor = 4
)

// tooCostly refuses a prompt that would lose others more than it is worth. Cost is
// what its place would lose, its own lateness included.
func tooCostly(d Demand, e *matcher.Engine, loads []candidate, cost float64) *Refusal {
	prefill := predictor.Prefill(e, d.Prompt)
	if d.Admitted || prefill < heavyPrefill {
		return nil
	}
	backlog := time.Duration(0)
	for _, o := range loads {
		backlog += o.load.Prefill
	}
	backlog /= time.Duration(len(loads))
	price := timePrice * backlog.Seconds() * prefill.Seconds()
	if value(d)-cost-price > 0 {
		return nil
	}
	return &Refusal{Reason: "too_costly", Passing: true, RetryAfter: min(mostRetry, max(leastRetry, drainFactor*backlog))}
}

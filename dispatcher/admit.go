package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

const (
	// timePrice is what a second of an engine's time is worth to other callers
	// for each second that engines have yet to read on average, in requests a
	// second squared. At 0.25 s of backlog nothing is refused that would be on
	// time; at 1 s prompts that take over seven seconds to read are, which
	// would displace several times their worth of others.
	timePrice = 4.0
	// heavyReading is the reading from which a prompt is heavy enough to be
	// refused for what it costs others.
	heavyReading = time.Second
	// drainFactor is in how many backlogs a refused caller is asked to return.
	drainFactor = 4
)

// dear refuses a prompt that would lose others more than it is worth. Cost is
// what its place would lose, its own lateness included.
func dear(d Demand, e *matcher.Engine, loads []offer, cost float64) *Refusal {
	reading := predictor.Reading(e, d.Prompt)
	if d.Admitted || reading < heavyReading {
		return nil
	}
	backlog := time.Duration(0)
	for _, o := range loads {
		backlog += o.load.Reading
	}
	backlog /= time.Duration(len(loads))
	price := timePrice * backlog.Seconds() * reading.Seconds()
	if value(d)-cost-price > 0 {
		return nil
	}
	return &Refusal{Reason: "too_dear", Passing: true, RetryAfter: min(mostRetry, max(leastRetry, drainFactor*backlog))}
}

package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

const (
	// timePrice is what a second of an engine's time is worth to other callers
	// for each second that engines have yet to prefill on average, in requests a
	// second squared: the longer the backlog, the shorter the prompts that displace more than
	// their worth of others.
	timePrice = 4.0
	// heavyPrefill is the time to prefill from which a prompt is heavy enough to be
	// refused for what it costs others, or to wait for its turn.
	heavyPrefill = time.Second
	// drainFactor is in how many backlogs a refused caller is asked to return.
	drainFactor = 4
)

// heavy reports whether a prompt takes an engine that long.
func heavy(e *matcher.Engine, prompt int) bool { return predictor.Prefill(e, prompt) >= heavyPrefill }

// tooCostly refuses a prompt that would lose others more than it is worth. Cost is
// what its place would lose, its own lateness included.
func tooCostly(d Demand, e *matcher.Engine, loads []candidate, cost float64) *Refusal {
	if d.Admitted || !heavy(e, d.PromptTokens) {
		return nil
	}
	backlog := meanBacklog(loads)
	price := timePrice * backlog.Seconds() * predictor.Prefill(e, d.PromptTokens).Seconds()
	if valueOf(d.PromptTokens)-cost-price > 0 {
		return nil
	}
	return &Refusal{Reason: "too_costly", Temporary: true, RetryAfter: min(mostRetry, max(leastRetry, drainFactor*backlog))}
}

const (
	// mostHarm is the part of its own worth that a prompt may cost others while it
	// has time to wait.
	mostHarm = 0.3
	// calmBacklog is the mean time that the engines it would use have yet to prefill up to which a
	// heavy prompt is placed at once, urgentBacklog that up to which one is whose time is over: the longer one has
	// waited, the sooner it is taken, at whichever entry it waits.
	calmBacklog, urgentBacklog = 100 * time.Millisecond, 1500 * time.Millisecond
	// heldPatience is how many times what it takes a prompt must have of its caller's
	// patience left to be held.
	heldPatience = 3
)

// tooEarly has a heavy prompt wait at its entry while engines have much to do, or
// while it would harm others. Engines put what is new before what they have, and pauses grow with all they
// have: a prompt that waits at its entry holds up nobody. Where the entry ends there is no time for that.
func tooEarly(d Demand, e *matcher.Engine, g group, backlog time.Duration) *Refusal {
	if d.Admitted || d.EndWithin > 0 || !heavy(e, d.PromptTokens) || d.MaxWait < heldPatience*g.finish {
		return nil
	}
	age := float64(d.Waited) / float64(d.FirstByteTarget)
	if d.Waited+g.finish > d.FirstByteTarget {
		age = float64(d.Waited) / float64(d.Waited+d.MaxWait)
	}
	most := calmBacklog + time.Duration(age*float64(urgentBacklog-calmBacklog))
	if backlog < most && g.harm < mostHarm*valueOf(d.PromptTokens)*(1+age) {
		return nil
	}
	return &Refusal{Reason: "too_early", Temporary: true, Deferrable: true, ExpectedFirstByte: g.finish, RetryAfter: leastRetry}
}

// meanBacklog is how long engines have yet to prefill on average.
func meanBacklog(loads []candidate) time.Duration {
	sum := time.Duration(0)
	for _, o := range loads {
		sum += o.load.PrefillBacklog
	}
	return sum / time.Duration(len(loads))
}

// groupBacklog is how long the engines of a group have yet to prefill on average.
func groupBacklog(g group) time.Duration {
	sum := time.Duration(0)
	for _, o := range g.offers {
		sum += o.load.PrefillBacklog
	}
	return sum / time.Duration(len(g.offers))
}

// ending refuses a request whose answer may not end before the entry that would relay it. When
// another entry takes it the board does not know.
func ending(expected time.Duration) *Refusal {
	return &Refusal{Reason: "stopping", OutlivesEntry: true, ExpectedFirstByte: expected}
}

// endMargin is by how much a forecast of an answer's end is lengthened where the answer must not
// take longer: long prompts that come to its engine later stop it for a second or two.
const endMargin = 1.3

// latestEnd is how long the whole answer may take, as far as can be foreseen: all events that the
// request allows, as estimates of an answer's length are right at the median only, with
// all slots of the engine taken, and a part more for long prompts that come to it meanwhile.
func (d Demand) latestEnd(now time.Time, g group) time.Duration {
	o := g.offers[0]
	e := o.worker.engine
	events := d.MaxAnswerTokens/max(1, e.Stride) + 1
	pass := float64(predictor.DecodePass(e, e.Slots, o.load.MemoryTokens+d.PromptTokens)) * o.worker.health.pace(now)
	return time.Duration(endMargin * (float64(g.finish) + float64(events)*pass))
}

package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

const (
	// prefillTimePrice is what a second of an engine's time is worth to other callers
	// for each second that engines have yet to prefill on average, in requests a
	// second squared: the longer the backlog, the shorter the prompts that displace more than
	// their worth of others.
	prefillTimePrice = 4.0
	// longPrefill is the time to prefill from which a prompt is heavy enough to be
	// refused for what it costs others, or to wait for its turn.
	longPrefill = time.Second
	// backlogRetryFactor is in how many backlogs a refused caller is asked to return.
	backlogRetryFactor = 4
)

// hasLongPrefill reports whether a prompt takes an engine that long.
func hasLongPrefill(e *matcher.Engine, promptTokens int) bool {
	return predictor.Prefill(e, promptTokens) >= longPrefill
}

// refuseTooCostly refuses a prompt that would lose others more than it is worth. Cost is
// what its place would lose, its own lateness included.
func refuseTooCostly(d Demand, e *matcher.Engine, candidates []candidate, totalCost float64) *Refusal {
	if d.Admitted || !hasLongPrefill(e, d.PromptTokens) {
		return nil
	}
	backlog := meanBacklog(candidates)
	price := prefillTimePrice * backlog.Seconds() * predictor.Prefill(e, d.PromptTokens).Seconds()
	if promptValue(d.PromptTokens)-totalCost-price > 0 {
		return nil
	}
	return &Refusal{Reason: "too_costly", Temporary: true, RetryAfter: min(maxRetryAfter, max(minRetryAfter, backlogRetryFactor*backlog))}
}

const (
	// maxDisplacementFraction is the part of its own worth that a prompt may cost others while it
	// has time to wait.
	maxDisplacementFraction = 0.3
	// minBacklogLimit is the mean time that the engines it would use have yet to prefill up to which a
	// heavy prompt is placed at once, urgentBacklog that up to which one is whose time is over: the longer one has
	// waited, the sooner it is taken, at whichever entry it waits.
	minBacklogLimit, maxBacklogLimit = 100 * time.Millisecond, 1500 * time.Millisecond
	// deferralWaitFactor is how many times what it takes a prompt must have of its caller's
	// patience left to be held.
	deferralWaitFactor = 3
)

// refuseTooEarly has a heavy prompt wait at its entry while engines have much to do, or
// while it would harm others. Engines put what is new before what they have, and pauses grow with all they
// have: a prompt that waits at its entry holds up nobody. Where the entry ends there is no time for that.
func refuseTooEarly(d Demand, e *matcher.Engine, g group, backlog time.Duration) *Refusal {
	if d.Admitted || d.EndWithin > 0 || !hasLongPrefill(e, d.PromptTokens) || d.MaxWait < deferralWaitFactor*g.prefillDelay {
		return nil
	}
	urgency := float64(d.Waited) / float64(d.FirstByteTarget)
	if d.Waited+g.prefillDelay > d.FirstByteTarget {
		urgency = float64(d.Waited) / float64(d.Waited+d.MaxWait)
	}
	backlogLimit := minBacklogLimit + time.Duration(urgency*float64(maxBacklogLimit-minBacklogLimit))
	if backlog < backlogLimit && g.displacementCost < maxDisplacementFraction*promptValue(d.PromptTokens)*(1+urgency) {
		return nil
	}
	return &Refusal{Reason: "too_early", Temporary: true, Deferrable: true, ExpectedFirstByte: g.prefillDelay, RetryAfter: minRetryAfter}
}

// meanBacklog is how long engines have yet to prefill on average.
func meanBacklog(candidates []candidate) time.Duration {
	sum := time.Duration(0)
	for _, c := range candidates {
		sum += c.load.PrefillBacklog
	}
	return sum / time.Duration(len(candidates))
}

// groupBacklog is how long the engines of a group have yet to prefill on average.
func groupBacklog(g group) time.Duration {
	sum := time.Duration(0)
	for _, e := range g.estimates {
		sum += e.load.PrefillBacklog
	}
	return sum / time.Duration(len(g.estimates))
}

// refuseOutlivesEntry refuses a request whose answer may not end before the entry that would relay it. When
// another entry takes it the board does not know.
func refuseOutlivesEntry(expectedFirstByte time.Duration) *Refusal {
	return &Refusal{Reason: "stopping", OutlivesEntry: true, ExpectedFirstByte: expectedFirstByte}
}

// endMargin is by how much a forecast of an answer's end is lengthened where the answer must not
// take longer: long prompts that come to its engine later stop it for a second or two.
const endMargin = 1.3

// latestEnd is how long the whole answer may take, as far as can be foreseen: all events that the
// request allows, as estimates of an answer's length are right at the median only, with
// all slots of the engine taken, and a part more for long prompts that come to it meanwhile.
func (d Demand) latestEnd(now time.Time, g group) time.Duration {
	answering := g.estimates[0]
	engine := answering.upstream.engine
	events := d.MaxAnswerTokens/max(1, engine.Stride) + 1
	pass := float64(predictor.DecodePass(engine, engine.Slots, answering.load.MemoryTokens+d.PromptTokens)) * answering.upstream.health.pace(now)
	return time.Duration(endMargin * (float64(g.prefillDelay) + float64(events)*pass))
}

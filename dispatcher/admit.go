package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

const (
	// prefillTimePrice is the price that a long prompt is charged per second of its prefill and per
	// second of the engines' mean prefill backlog, in requests per second squared. The longer the
	// backlog, the shorter the prompts whose price exceeds their value.
	prefillTimePrice = 4.0
	// longPrefill is the prefill time on one engine from which a prompt counts as long. Only long
	// prompts are refused for their cost to other requests or deferred.
	longPrefill = time.Second
	// backlogRetryFactor times the mean prefill backlog is the RetryAfter of a prompt refused as
	// too costly, within minRetryAfter and maxRetryAfter.
	backlogRetryFactor = 4
)

// hasLongPrefill reports whether one engine needs longPrefill or more for a prompt.
func hasLongPrefill(e *matcher.EngineProfile, promptTokens int) bool {
	return predictor.PrefillTime(e, promptTokens) >= longPrefill
}

// refuseTooCostly returns a refusal for a long prompt whose value is not greater than totalCost
// plus the price of its prefill time (see prefillTimePrice). It returns nil for other prompts, and
// for any that was sent to an upstream before. totalCost is the cost of the prompt's best placement
// in requests, including the prompt's own loss by lateness.
func refuseTooCostly(d Demand, e *matcher.EngineProfile, candidates []candidate, totalCost float64) *Refusal {
	if d.SentBefore || !hasLongPrefill(e, d.PromptTokens) {
		return nil
	}
	backlog := meanBacklog(candidates)
	price := prefillTimePrice * backlog.Seconds() * predictor.PrefillTime(e, d.PromptTokens).Seconds()
	if promptValue(d.PromptTokens)-totalCost-price > 0 {
		return nil
	}
	return &Refusal{Reason: "too_costly", Temporary: true, RetryAfter: min(maxRetryAfter, max(minRetryAfter, backlogRetryFactor*backlog))}
}

const (
	// maxDisplacementFraction times a prompt's value is the displacement cost from which a long
	// prompt that can still wait is deferred. The limit rises to twice that as the time for which
	// its caller waits runs out.
	maxDisplacementFraction = 0.3
	// minBacklogLimit and maxBacklogLimit bound the mean prefill backlog, at the engines that a
	// long prompt would use, from which the prompt is deferred. The limit rises from the first on
	// arrival to the second when the time for which its caller waits has run out, so that of the
	// prompts waiting at all entries the one that has waited longest is placed first.
	minBacklogLimit, maxBacklogLimit = 100 * time.Millisecond, 1500 * time.Millisecond
	// A prompt is deferred only if its caller still waits for at least deferralWaitFactor times the
	// predicted delay until it is prefilled.
	deferralWaitFactor = 3
)

// refuseTooEarly returns a refusal that defers a long prompt while the engines that it would use
// have a long prefill backlog, or while it would delay other requests too much: engines prefill new
// shards before older ones, and the gaps between events grow with the queue, whereas a prompt that
// waits at its entry delays no other. It returns nil otherwise, and always for a prompt that was
// sent before or whose caller soon stops waiting, and in an entry that is shutting down (EndWithin
// is set).
func refuseTooEarly(d Demand, e *matcher.EngineProfile, g group, backlog time.Duration) *Refusal {
	if d.SentBefore || d.EndWithin > 0 || !hasLongPrefill(e, d.PromptTokens) || d.MaxWait < deferralWaitFactor*g.prefillDelay {
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

// meanBacklog returns the mean prefill backlog of the candidates, of which there must be at least
// one.
func meanBacklog(candidates []candidate) time.Duration {
	sum := time.Duration(0)
	for _, c := range candidates {
		sum += c.load.PrefillBacklog
	}
	return sum / time.Duration(len(candidates))
}

// groupBacklog returns the mean prefill backlog of the engines of a group.
func groupBacklog(g group) time.Duration {
	sum := time.Duration(0)
	for _, e := range g.estimates {
		sum += e.load.PrefillBacklog
	}
	return sum / time.Duration(len(g.estimates))
}

// refuseOutlivesEntry returns the refusal of a request whose answer may end later than the entry
// that would relay it. RetryAfter is zero, as the dispatcher cannot predict when another entry
// accepts the request.
func refuseOutlivesEntry(expectedFirstByte time.Duration) *Refusal {
	return &Refusal{Reason: "stopping", OutlivesEntry: true, ExpectedFirstByte: expectedFirstByte}
}

// endMargin is the safety factor on the predicted time to the end of an answer that must end before
// its entry exits: each long prompt that its engine receives later delays the answer by a second or
// two.
const endMargin = 1.3

// latestEnd returns an upper estimate of the time from now until the last event of the answer. It
// assumes the maximum number of events, since estimates of an answer's length are right at the
// median only, that all slots of the engine are taken, and endMargin for long prompts that arrive
// there meanwhile.
func (d Demand) latestEnd(now time.Time, g group) time.Duration {
	answering := g.estimates[0]
	engine := answering.upstream.engine
	events := d.MaxAnswerTokens/max(1, engine.StepsPerPass) + 1
	pass := float64(predictor.DecodePassTime(engine, engine.Slots, answering.load.MemoryTokens+d.PromptTokens)) * answering.upstream.health.slowdown(now)
	return time.Duration(endMargin * (float64(g.prefillDelay) + float64(events)*pass))
}

package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

const (
	// failureLoss is the part of an answer's worth that an upstream's failure
	// loses: all of it, and half as much again for the time until it is known.
	failureLoss = 1.5
	// unpackedCost is the part of its worth that it costs to place a prompt where no answer with
	// as short a pause is decoded, and the less the more there are: prompts that are not heavy
	// are packed on few engines, since a part of a heavy one stops all answers of its engine.
	unpackedCost = 0.2
	// packedFraction is the part of its slots from which an engine counts as packed:
	// more answers there make it no better, so that what arrives everywhere at
	// the same moment finds several engines that are as good.
	packedFraction = 0.5
	// shortPromptJitter is how much costs of light prompts are drawn apart where many
	// entries choose: by as much as four answers more or less on an engine that is
	// not yet packed. Entries hear of each other's choice only milliseconds later,
	// and would meet at the one best engine.
	shortPromptJitter = 0.2
	// halfJitterPeers is the number of other entries with which half of that is drawn: few
	// entries seldom choose at the same moment.
	halfJitterPeers = 20
	// shortPrefillFraction is the part of its own longest pause up to which the prefill
	// of a prompt counts as light.
	shortPrefillFraction = 0.5
	// spareSlots are kept free of what other entries may not have told yet.
	spareSlots = 2
	// slotWaitCost is the part of a request's worth lost by each request that
	// waits for a slot before it, in engines' slots.
	slotWaitCost = 4
	// transitTime is what an answer takes beside the engine's work: the connection, both
	// ways, and two entries' processor time.
	transitTime = 5 * time.Millisecond
)

const (
	// slotPriceFrom and scarceTo are the parts of all slots taken between which the time of a slot goes
	// from worth nothing to worth all of fullSlotPrice.
	slotPriceFrom, slotPriceTo = 0.6, 0.9
	// maxSlotPrice is what a second of a slot is worth where all are taken, in requests: an answer
	// has one for two seconds, and what waits for it is late.
	maxSlotPrice = 0.8
)

// slotPrice is what a second of a slot is worth. What an engine prefills holds up all of
// its answers, which keep their slots for so much longer. Once all are taken, everybody waits.
func slotPrice(candidates []candidate) float64 {
	running, slots := 0, 0
	for _, c := range candidates {
		running += c.load.Running
		slots += c.upstream.engine.Slots
	}
	takenFraction := float64(running) / float64(max(1, slots))
	return maxSlotPrice * min(1, max(0, (takenFraction-slotPriceFrom)/(slotPriceTo-slotPriceFrom)))
}

// candidate is one engine that is weighed for a prompt.
type candidate struct {
	upstream *upstream
	load     Load
	// rank orders engines where costs are equal.
	rank uint64
	// jitter is added to the cost for light prompts.
	jitter float64
	// packed is how far the engine is packed with answers like the prompt's, from 0 to 1.
	packed float64
	// othersPrefilledAt is when the other parts of each request here are expected to be
	// prefilled, before the losses that it has anyway, in the order of the
	// worker's fates.
	othersPrefilledAt []time.Time
	baselineLoss      []float64
	// decoding are decoded here or are about to be, slotPrice is what the time of a slot is worth.
	decoding  int
	slotPrice float64
}

// estimate is what a candidate makes of a part of a prompt.
type estimate struct {
	*candidate
	job predictor.Job
	// displacementCost is what others would lose there, cost that and what the request would
	// by failures.
	displacementCost, cost float64
	// prefillDelay is when the part would be prefilled, pause the longest between
	// events, both from now on.
	prefillDelay, longestGap time.Duration
	// unfinishedRisk is how likely the answer does not end before its caller leaves.
	unfinishedRisk float64
	// canDecode is false where the engine could only help.
	canDecode bool
}

// jitterRange is how much costs of light prompts are drawn apart beside a number of
// other entries.
func jitterRange(peers int) float64 {
	return shortPromptJitter * float64(peers) / float64(peers+halfJitterPeers)
}

// computeBaseline works out what the requests here lose anyway.
func (c *candidate) computeBaseline(d Demand) {
	similar := 0
	for _, projection := range c.upstream.projections {
		a := c.upstream.assignmentOf[projection.Job]
		at := a.othersPrefilledAt()
		c.othersPrefilledAt = append(c.othersPrefilledAt, at)
		c.baselineLoss = append(c.baselineLoss, a.loss(projection, at))
		if a.job.Decodes {
			c.decoding++
		}
		if a.job.Decodes && a.request.gapTarget <= d.GapTarget {
			similar++
		}
	}
	full := max(1, int(packedFraction*float64(c.upstream.engine.Slots-spareSlots)))
	c.packed = float64(min(similar, full)) / float64(full)
}

// estimate works out what the engine would make of one of k parts, as the one that
// answers or as a helper.
func (c *candidate) estimate(now time.Time, d Demand, shards int, decodes bool, forecast *predictor.Forecast) estimate {
	u, engine := c.upstream, c.upstream.engine
	est := estimate{candidate: c, job: newJob(now, d, engine, shards, decodes), canDecode: shards > 1 || d.PromptTokens+d.AnswerTokens <= engine.MemoryTokens}
	projections := forecast.Play(now, u.queue, &est.job)
	own := projections[len(projections)-1]
	est.prefillDelay, est.longestGap = own.Done.Sub(now)+c.load.Overdue+transitTime, own.Pause
	if decodes {
		est.unfinishedRisk = overProbability(own.End.Sub(now), d.Remaining, endFrom, endTo)
	}
	for i, projection := range projections[:len(projections)-1] {
		est.displacementCost += u.assignmentOf[projection.Job].loss(projection, c.othersPrefilledAt[i]) - c.baselineLoss[i]
	}
	est.displacementCost += c.slotPrice * float64(c.decoding) * est.job.Prefill.Seconds()
	est.cost = est.displacementCost
	value := promptValue(d.PromptTokens)
	est.cost += value * failureLoss * c.load.FailureRate
	usableSlots := engine.Slots - spareSlots
	if waiting := c.load.Running + 1 - usableSlots; decodes && waiting > 0 {
		pass := predictor.DecodePass(engine, c.load.Running, c.load.MemoryTokens)
		est.prefillDelay += time.Duration(waiting) * slotWait(engine, pass)
		est.cost += value * slotWaitCost * float64(waiting) / float64(max(1, engine.Slots))
	}
	if free := engine.MemoryTokens - c.load.MemoryTokens; shards == 1 && d.PromptTokens+d.AnswerTokens > free {
		est.cost += value
	}
	return est
}

// newJob is one of k parts of a prompt, for the engine that answers or a helper.
func newJob(now time.Time, d Demand, e *matcher.Engine, shards int, decodes bool) predictor.Job {
	return predictor.Job{
		Joint: shards > 1, Tokens: d.PromptTokens / shards, Prefill: predictor.Part(e, d.PromptTokens, shards), Decodes: decodes, Context: d.PromptTokens / shards,
		Events: d.AnswerTokens/max(1, e.Stride) + 1, Arrived: now,
	}
}

// hasShortPrefill reports whether a prompt is prefilled within a pause that its kind bears.
func hasShortPrefill(d Demand, e *matcher.Engine) bool {
	return float64(predictor.Prefill(e, d.PromptTokens)) <= shortPrefillFraction*float64(d.GapTarget)
}

// slotWait is how soon a slot of a full engine is free: answers are decoded in
// UsualAnswer / Stride passes, and end evenly.
func slotWait(e *matcher.Engine, pass time.Duration) time.Duration {
	passes := float64(e.UsualAnswer) / float64(max(1, e.Stride))
	return time.Duration(passes * float64(pass) / float64(max(1, e.Slots)))
}

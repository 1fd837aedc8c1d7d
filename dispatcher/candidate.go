package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

const (
	// failureLoss is the fraction of an answer's value that is lost when its upstream fails the
	// request: the whole value, and half as much again for the time until the failure is detected.
	failureLoss = 1.5
	// unpackedCost is the maximum packing cost of an engine, as a fraction of a prompt's value. It
	// applies where the engine decodes no answer with a gap target as short as the prompt's, and
	// falls to 0 as the engine decodes more of them. So prompts that are not long use few engines
	// together: a shard of a long prompt, which stops all answers of its engine, then finds engines
	// without answers.
	unpackedCost = 0.2
	// packedFraction is the fraction of an engine's slots, less spareSlots, from which on answers
	// with such gap targets lower the packing cost no further, as it is 0. It is well below 1 so
	// that requests that arrive at all entries at the same moment find several engines equally
	// cheap.
	packedFraction = 0.5
	// shortPromptJitter is the limit that the maximum random cost of a short prompt approaches
	// where many entries place requests, in requests: about as much as four answers on an engine
	// change its packing cost. Entries receive each other's placements only milliseconds later, and
	// without jitter would all choose the same engine.
	shortPromptJitter = 0.2
	// halfJitterPeers is the number of other entries at which the maximum random cost is half of
	// shortPromptJitter. Where there are few entries, two seldom place requests at the same moment.
	halfJitterPeers = 20
	// shortPrefillFraction times the gap target of a prompt's route is the prefill time up to which
	// a prompt gets a random cost.
	shortPrefillFraction = 0.5
	// spareSlots is the number of slots of an engine that are kept free for requests that other
	// entries have placed but this entry has received no report of yet.
	spareSlots = 2
	// slotWaitCost is the cost of waiting for a slot, as a multiple of a request's value, when as
	// many requests wait as the engine has slots. The cost is proportional to the number that wait.
	slotWaitCost = 4
	// transitTime is the time that an answer takes in addition to the engine's work: the
	// connection, the network in both directions, and the processor time of two entries.
	transitTime = 5 * time.Millisecond
)

const (
	// slotPriceFrom and slotPriceTo are fractions of the slots of all candidates. The price of slot
	// time rises linearly from 0 where the first is taken to maxSlotPrice where the second is.
	slotPriceFrom, slotPriceTo = 0.6, 0.9
	// maxSlotPrice is the price of occupying one slot for a second from slotPriceTo on, in
	// requests: an answer occupies a slot for two seconds, and a request that waits for the slot is
	// late.
	maxSlotPrice = 0.8
)

// slotPrice returns the price of occupying one slot for a second, in requests; it depends on the
// fraction of the candidates' slots that is taken. The prefill of a prompt stops all answers of its
// engine, so that each occupies its slot for longer, and once all slots are taken every new request
// waits for one.
func slotPrice(candidates []candidate) float64 {
	running, slots := 0, 0
	for _, c := range candidates {
		running += c.load.Running
		slots += c.upstream.engine.Slots
	}
	takenFraction := float64(running) / float64(max(1, slots))
	return maxSlotPrice * min(1, max(0, (takenFraction-slotPriceFrom)/(slotPriceTo-slotPriceFrom)))
}

// candidate is an engine that is considered for a prompt, with its load before the prompt.
type candidate struct {
	upstream *upstream
	load     Load
	// rank orders engines with equal costs, the lowest first.
	rank uint64
	// jitter is the random cost added for short prompts, in requests.
	jitter float64
	// packedDegree rises from 0 to 1 with the number of answers on the engine whose gap target is
	// as short as the prompt's or shorter; it is 1 from packedFraction of the slots on.
	packedDegree float64
	// othersPrefilledAt and baselineLoss have an element for each of the upstream's projections:
	// the time at which the other shards of that request are expected to be prefilled, and what the
	// request loses if the prompt is placed elsewhere.
	othersPrefilledAt []time.Time
	baselineLoss      []float64
	// decoding is the number of answers that the engine decodes or will decode after their prefill.
	// slotPrice is the price of a second of one slot, in requests.
	decoding  int
	slotPrice float64
}

// estimate is the predicted effect of placing a prompt, or one shard of it, on a candidate.
type estimate struct {
	*candidate
	job predictor.Job
	// displacementCost is the predicted loss that the prompt adds to other requests on the engine.
	// cost adds the prompt's own loss by failures, slot wait and missing memory, and where they
	// apply the packing cost and the jitter, but no loss by lateness. Both are in requests.
	displacementCost, cost float64
	// prefillDelay is the time from now until the shard is prefilled, longestGap the longest time
	// between two events of the answer.
	prefillDelay, longestGap time.Duration
	// unfinishedRisk is the probability that the answer does not end before its caller's deadline;
	// 0 for helpers.
	unfinishedRisk float64
	// canDecode is false where the prompt is not split and the engine's whole memory is too small
	// for it and its answer, so that the engine can only help.
	canDecode bool
}

// jitterRange returns the upper bound of the random cost of a short prompt, in requests, where the
// given number of other entries place requests.
func jitterRange(peers int) float64 {
	return shortPromptJitter * float64(peers) / float64(peers+halfJitterPeers)
}

// computeBaseline sets the fields that describe the engine as it is without the prompt d:
// baselineLoss, othersPrefilledAt, decoding and packedDegree.
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
	c.packedDegree = float64(min(similar, full)) / float64(full)
}

// estimate predicts the effect of placing one of the given number of equal shards of a prompt on
// the engine. With decodes set, the engine also decodes the answer; otherwise it is a helper. The
// call overwrites the projections that an earlier call left in simulator.
func (c *candidate) estimate(now time.Time, d Demand, shards int, decodes bool, simulator *predictor.Simulator) estimate {
	u, engine := c.upstream, c.upstream.engine
	est := estimate{candidate: c, job: newJob(now, d, engine, shards, decodes), canDecode: shards > 1 || d.PromptTokens+d.AnswerTokens <= engine.MemoryTokens}
	projections := simulator.Simulate(now, u.queue, &est.job)
	own := projections[len(projections)-1]
	est.prefillDelay, est.longestGap = own.PrefillDone.Sub(now)+c.load.FirstEventDelay+transitTime, own.MaxGap
	if decodes {
		est.unfinishedRisk = overProbability(own.End.Sub(now), d.Remaining, endFrom, endTo)
	}
	for i, projection := range projections[:len(projections)-1] {
		est.displacementCost += u.assignmentOf[projection.Job].loss(projection, c.othersPrefilledAt[i]) - c.baselineLoss[i]
	}
	est.displacementCost += c.slotPrice * float64(c.decoding) * est.job.PrefillTime.Seconds()
	est.cost = est.displacementCost
	value := promptValue(d.PromptTokens)
	est.cost += value * failureLoss * c.load.FailureRate
	usableSlots := engine.Slots - spareSlots
	if waiting := c.load.Running + 1 - usableSlots; decodes && waiting > 0 {
		pass := predictor.DecodePassTime(engine, c.load.Running, c.load.MemoryTokens)
		est.prefillDelay += time.Duration(waiting) * slotWait(engine, pass)
		est.cost += value * slotWaitCost * float64(waiting) / float64(max(1, engine.Slots))
	}
	if free := engine.MemoryTokens - c.load.MemoryTokens; shards == 1 && d.PromptTokens+d.AnswerTokens > free {
		est.cost += value
	}
	return est
}

// newJob returns the engine's job for one of a number of equal shards of a prompt. With decodes
// set, the engine also decodes the answer.
func newJob(now time.Time, d Demand, e *matcher.EngineProfile, shards int, decodes bool) predictor.Job {
	return predictor.Job{
		Sharded: shards > 1, PrefillTokens: d.PromptTokens / shards, PrefillTime: predictor.ShardPrefillTime(e, d.PromptTokens, shards), Decodes: decodes, ContextTokens: d.PromptTokens / shards,
		ExpectedEvents: d.AnswerTokens/max(1, e.StepsPerPass) + 1, Arrived: now,
	}
}

// hasShortPrefill reports whether one engine prefills a prompt within shortPrefillFraction of its
// gap target.
func hasShortPrefill(d Demand, e *matcher.EngineProfile) bool {
	return float64(predictor.PrefillTime(e, d.PromptTokens)) <= shortPrefillFraction*float64(d.GapTarget)
}

// slotWait returns the mean time until a slot of a full engine is free. A mean answer takes
// MeanAnswerTokens / StepsPerPass passes, each of the time pass, and the answers of all slots are
// assumed to end evenly over time.
func slotWait(e *matcher.EngineProfile, pass time.Duration) time.Duration {
	passes := float64(e.MeanAnswerTokens) / float64(max(1, e.StepsPerPass))
	return time.Duration(passes * float64(pass) / float64(max(1, e.Slots)))
}

package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

const (
	// failureLoss is the fraction of an answer's value lost when its upstream fails: the whole
	// value, and half as much again for the time until the failure is detected.
	failureLoss = 1.5
	// unpackedCost is the cost, as a fraction of a prompt's value, of placing the prompt on an
	// engine that decodes no answer whose gap target is as short as the prompt's. The cost falls to
	// 0 as the engine is packed with such answers. Prompts that are not long are packed onto few
	// engines, since a shard of a long prompt stops all answers of its engine.
	unpackedCost = 0.2
	// packedFraction is the fraction of an engine's slots from which the engine counts as fully
	// packed. Further answers lower the cost of the engine no more, so that requests that arrive at
	// all entries at the same moment find several engines equally cheap.
	packedFraction = 0.5
	// shortPromptJitter is the maximum random cost of a short prompt where many entries place
	// requests, in requests: as much as four answers more or less on an engine that is not yet
	// packed. Entries receive each other's placements only milliseconds later, and without jitter
	// would all choose the same engine.
	shortPromptJitter = 0.2
	// halfJitterPeers is the number of other entries at which half of shortPromptJitter applies.
	// Where there are few entries, two seldom place requests at the same moment.
	halfJitterPeers = 20
	// shortPrefillFraction is the fraction of a prompt's own gap target up to which its prefill
	// counts as short.
	shortPrefillFraction = 0.5
	// spareSlots is the number of slots of an engine that are kept free for requests that other
	// entries have not reported yet.
	spareSlots = 2
	// slotWaitCost is the cost of waiting for a slot, as a multiple of a request's value, when as
	// many requests wait as the engine has slots. The cost is proportional to the number that wait.
	slotWaitCost = 4
	// transitTime is the time that an answer takes in addition to the engine's work: the
	// connection, the network in both directions, and the processor time of two entries.
	transitTime = 5 * time.Millisecond
)

const (
	// slotPriceFrom and slotPriceTo are the fractions of all slots taken between which the price of
	// slot time rises from 0 to maxSlotPrice.
	slotPriceFrom, slotPriceTo = 0.6, 0.9
	// maxSlotPrice is the price of a second of one slot where all slots are taken, in requests: an
	// answer occupies a slot for two seconds, and a request that waits for the slot is late.
	maxSlotPrice = 0.8
)

// slotPrice returns the price of a second of one slot, in requests. Prefill stops all answers of
// its engine, so that each occupies its slot longer by the time of the prefill, and once all slots
// are taken every new request waits for one.
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
	// packedDegree is the degree, from 0 to 1, to which the engine is packed with answers whose gap
	// target is as short as the prompt's or shorter.
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
	// displacementCost is the predicted loss of other requests on the engine. cost adds the
	// prompt's own loss by failures, slot wait and missing memory, but not by lateness. Both are in
	// requests.
	displacementCost, cost float64
	// prefillDelay is the time from now until the shard is prefilled, longestGap the longest time
	// between two events of the answer.
	prefillDelay, longestGap time.Duration
	// unfinishedRisk is the probability that the answer does not end before its caller leaves; 0
	// for helpers.
	unfinishedRisk float64
	// canDecode is false where the prompt is not split and the engine's whole memory is too small
	// for it and its answer, so that the engine can only help.
	canDecode bool
}

// jitterRange returns the upper bound of the random cost of a short prompt, in requests, for a
// number of other entries.
func jitterRange(peers int) float64 {
	return shortPromptJitter * float64(peers) / float64(peers+halfJitterPeers)
}

// computeBaseline sets the fields that describe the engine without the prompt: baselineLoss,
// othersPrefilledAt, decoding and packed.
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

// estimate predicts the effect of placing one of a number of shards on the engine. With decodes
// set, the engine also decodes the answer; otherwise it is a helper. The call overwrites the
// projections that an earlier call left in simulator.
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

// hasShortPrefill reports whether the prefill of a prompt fits into shortPrefillFraction of its gap
// target.
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

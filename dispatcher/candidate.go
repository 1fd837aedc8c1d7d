package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

const (
	// failedLoss is the part of an answer's worth that an upstream's failure
	// loses: all of it, and half as much again for the time until it is known.
	failedLoss = 1.5
	// openCost is the part of its worth that it costs to place a prompt where no answer with
	// as short a pause is decoded, and the less the more there are: prompts that are not heavy
	// are packed on few engines, since a part of a heavy one stops all answers of its engine.
	openCost = 0.2
	// packedPart is the part of its slots from which an engine counts as packed:
	// more answers there make it no better, so that what arrives everywhere at
	// the same moment finds several engines that are as good.
	packedPart = 0.5
	// lightJitter is how much costs of light prompts are drawn apart where many
	// entries choose: by as much as four answers more or less on an engine that is
	// not yet packed. Entries hear of each other's choice only milliseconds later,
	// and would meet at the one best engine.
	lightJitter = 0.2
	// manyEntries is the number of other entries with which half of that is drawn: few
	// entries seldom choose at the same moment.
	manyEntries = 20
	// lightPart is the part of its own longest pause up to which the prefill
	// of a prompt counts as light.
	lightPart = 0.5
	// spareSlots are kept free of what other entries may not have told yet.
	spareSlots = 2
	// queuedCost is the part of a request's worth lost by each request that
	// waits for a slot before it, in engines' slots.
	queuedCost = 4
	// transit is what an answer takes beside the engine's work: the connection, both
	// ways, and two entries' processor time.
	transit = 5 * time.Millisecond
)

const (
	// scarceFrom and scarceTo are the parts of all slots taken between which the time of a slot goes
	// from worth nothing to worth all of fullSlotPrice.
	scarceFrom, scarceTo = 0.6, 0.9
	// fullSlotPrice is what a second of a slot is worth where all are taken, in requests: an answer
	// has one for two seconds, and what waits for it is late.
	fullSlotPrice = 0.8
)

// slotPrice is what a second of a slot is worth. What an engine prefills holds up all of
// its answers, which keep their slots for so much longer. Once all are taken, everybody waits.
func slotPrice(loads []candidate) float64 {
	running, slots := 0, 0
	for _, c := range loads {
		running += c.load.Running
		slots += c.worker.engine.Slots
	}
	taken := float64(running) / float64(max(1, slots))
	return fullSlotPrice * min(1, max(0, (taken-scarceFrom)/(scarceTo-scarceFrom)))
}

// candidate is one engine that is weighed for a prompt.
type candidate struct {
	worker *worker
	load   Load
	// rank orders engines where costs are equal.
	rank uint64
	// jitter is added to the cost for light prompts.
	jitter float64
	// packed is how far the engine is packed with answers like the prompt's, from 0 to 1.
	packed float64
	// elsewhere is when the other parts of each request here are expected to be
	// prefilled, before the losses that it has anyway, in the order of the
	// worker's fates.
	elsewhere []time.Time
	before    []float64
	// answers are decoded here or are about to be, slotPrice is what the time of a slot is worth.
	answers   int
	slotPrice float64
}

// offer is what a candidate makes of a part of a prompt.
type offer struct {
	*candidate
	job predictor.Job
	// harm is what others would lose there, cost that and what the request would
	// by failures.
	harm, cost float64
	// finish is when the part would be prefilled, pause the longest between
	// events, both from now on.
	finish, pause time.Duration
	// unfinished is how likely the answer does not end before its caller leaves.
	unfinished float64
	// decodes is false where the engine could only help.
	decodes bool
}

// jitter is how much costs of light prompts are drawn apart beside a number of
// other entries.
func jitter(peers int) float64 { return lightJitter * float64(peers) / float64(peers+manyEntries) }

// note works out what the requests here lose anyway.
func (c *candidate) note(d Demand) {
	similar := 0
	for _, f := range c.worker.fates {
		p := c.worker.jobs[f.Job]
		at := p.elsewhere()
		c.elsewhere = append(c.elsewhere, at)
		c.before = append(c.before, p.loss(f, at))
		if p.job.Decodes {
			c.answers++
		}
		if p.job.Decodes && p.request.pause <= d.GapTarget {
			similar++
		}
	}
	full := max(1, int(packedPart*float64(c.worker.engine.Slots-spareSlots)))
	c.packed = float64(min(similar, full)) / float64(full)
}

// offer works out what the engine would make of one of k parts, as the one that
// answers or as a helper.
func (c *candidate) offer(now time.Time, d Demand, k int, answers bool, forecast *predictor.Forecast) offer {
	w, e := c.worker, c.worker.engine
	o := offer{candidate: c, job: job(now, d, e, k, answers), decodes: k > 1 || d.PromptTokens+d.AnswerTokens <= e.MemoryTokens}
	fates := forecast.Play(now, w.queue, &o.job)
	own := fates[len(fates)-1]
	o.finish, o.pause = own.Done.Sub(now)+c.load.Overdue+transit, own.Pause
	if answers {
		o.unfinished = over(own.End.Sub(now), d.Remaining, endFrom, endTo)
	}
	for i, f := range fates[:len(fates)-1] {
		o.harm += w.jobs[f.Job].loss(f, c.elsewhere[i]) - c.before[i]
	}
	o.harm += c.slotPrice * float64(c.answers) * o.job.Prefill.Seconds()
	o.cost = o.harm
	worth := valueOf(d.PromptTokens)
	o.cost += worth * failedLoss * c.load.FailureRate
	slots := e.Slots - spareSlots
	if waiting := c.load.Running + 1 - slots; answers && waiting > 0 {
		pass := predictor.DecodePass(e, c.load.Running, c.load.MemoryTokens)
		o.finish += time.Duration(waiting) * slotTime(e, pass)
		o.cost += worth * queuedCost * float64(waiting) / float64(max(1, e.Slots))
	}
	if free := e.MemoryTokens - c.load.MemoryTokens; k == 1 && d.PromptTokens+d.AnswerTokens > free {
		o.cost += worth
	}
	return o
}

// job is one of k parts of a prompt, for the engine that answers or a helper.
func job(now time.Time, d Demand, e *matcher.Engine, k int, answers bool) predictor.Job {
	return predictor.Job{
		Joint: k > 1, Tokens: d.PromptTokens / k, Prefill: predictor.Part(e, d.PromptTokens, k), Decodes: answers, Context: d.PromptTokens / k,
		Events: d.AnswerTokens/max(1, e.Stride) + 1, Arrived: now,
	}
}

// light reports whether a prompt is prefilled within a pause that its kind bears.
func light(d Demand, e *matcher.Engine) bool {
	return float64(predictor.Prefill(e, d.PromptTokens)) <= lightPart*float64(d.GapTarget)
}

// slotTime is how soon a slot of a full engine is free: answers are decoded in
// UsualAnswer / Stride passes, and end evenly.
func slotTime(e *matcher.Engine, pass time.Duration) time.Duration {
	passes := float64(e.UsualAnswer) / float64(max(1, e.Stride))
	return time.Duration(passes * float64(pass) / float64(max(1, e.Slots)))
}

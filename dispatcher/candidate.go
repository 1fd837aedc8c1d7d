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
	// openCost is what it costs to place a light prompt where no answer with
	// as short a pause is decoded, and the less the more there are: light
	// prompts are packed on few engines, and the others left to long ones.
	openCost = 0.3
	// packedPart is the part of its slots from which an engine counts as packed:
	// more answers there make it no better, so that what arrives everywhere at
	// the same moment finds several engines that are as good.
	packedPart = 0.5
	// lightJitter is how much costs of light prompts are drawn apart where many
	// entries choose: by as much as four answers more or less on an engine that is
	// not yet packed. Entries hear of each other's choice only milliseconds later,
	// and would meet at the one best engine.
	lightJitter = 0.2
	// manyEntries is the number of other entries with which half of that is
	// drawn: with six the first deployments gain nothing by it, with 57 and 70
	// the grown ones do.
	manyEntries = 20
	// lightPart is the part of its own longest pause up to which the prefill
	// of a prompt counts as light.
	lightPart = 0.5
	// spareSlots are kept free of what other entries may not have told yet.
	spareSlots = 2
	// queuedCost is the part of a request's worth lost by each request that
	// waits for a slot before it, in engines' slots.
	queuedCost = 4
)

// candidate is what one engine would make of a part of a prompt.
type candidate struct {
	worker *worker
	load   Load
	// cost is what answers being decoded there would lose.
	cost   float64
	finish time.Duration
	part   time.Duration
	// decodes is false where the engine could only help.
	decodes bool
	// rank orders engines where costs are equal.
	rank uint64
	// jitter is added to the cost for light prompts.
	jitter float64
	// blind candidates are made without knowing what other entries place.
	blind bool
}

// jitter is how much costs of light prompts are drawn apart beside a number of
// other entries.
func jitter(peers int) float64 { return lightJitter * float64(peers) / float64(peers+manyEntries) }

// evaluate fills in what the engine would make of one of k parts.
func (c candidate) evaluate(now time.Time, d Demand, k int) candidate {
	e, w := c.worker.engine, c.worker
	pace := w.health.pace(now)
	c.part = time.Duration(float64(predictor.Part(e, d.Prompt, k)) * pace)
	streams := 0
	similar := 0
	for _, g := range c.load.Streams {
		streams += g.Count
		if g.Pause <= d.PauseTarget {
			similar += g.Count
		}
	}
	pass := time.Duration(float64(predictor.DecodePass(e, streams, c.load.Tokens)) * pace)
	// On average a prompt arrives in the middle of a pass, and its first event
	// follows at the end of the one that has prefilled it. Of prompts that
	// several engines prefill the newest goes first, so that it waits for nothing but
	// holds up all that is being prefilled; others wait for all of that.
	own := time.Duration(float64(predictor.DecodePass(e, streams+1, c.load.Tokens+d.Prompt)) * pace)
	c.finish = pass/2 + c.part + own
	if k > 1 {
		c.cost += delayCost(c.load, c.part)
	} else {
		c.finish += c.load.Prefill
	}
	for _, g := range c.load.Streams {
		before := pauseLoss(pass+c.load.Prefill, g.Pause)
		after := pauseLoss(pass+c.load.Prefill+c.part, g.Pause)
		c.cost += g.Value * (after - before)
	}
	worth := value(d)
	c.cost += worth * failedLoss * w.health.rate(now)
	slots := e.Slots - spareSlots
	if waiting := c.load.Running + 1 - slots; waiting > 0 {
		c.finish += time.Duration(waiting) * slotTime(e, pass)
		c.cost += worth * queuedCost * float64(waiting) / float64(max(1, e.Slots))
	}
	if k == 1 && !c.blind && float64(predictor.Prefill(e, d.Prompt)) <= lightPart*float64(d.PauseTarget) {
		packed := max(1, int(packedPart*float64(slots)))
		c.cost += c.jitter + openCost*(1-float64(min(similar, packed))/float64(packed))
	}
	c.decodes = k > 1 || d.Prompt+d.Answer <= e.MemoryTokens
	if free := e.MemoryTokens - c.load.Tokens; k == 1 && d.Prompt+d.Answer > free {
		c.cost += worth
	}
	return c
}

// slotTime is how soon a slot of a full engine is free: answers are decoded in
// UsualAnswer / Stride passes, and end evenly.
func slotTime(e *matcher.Engine, pass time.Duration) time.Duration {
	passes := float64(e.UsualAnswer) / float64(max(1, e.Stride))
	return time.Duration(passes * float64(pass) / float64(max(1, e.Slots)))
}

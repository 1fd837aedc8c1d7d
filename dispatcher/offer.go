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
	// as short a pause is written, and the less the more there are: light
	// prompts are packed on few engines, and the others left to long ones.
	openCost = 0.3
	// packedPart is the part of its slots from which an engine counts as packed:
	// more answers there make it no better, so that what arrives everywhere at
	// the same moment finds several engines that are as good.
	packedPart = 0.5
	// lightDraw is how much costs of light prompts are drawn apart where many
	// entries choose: by as much as four answers more or less on an engine that is
	// not yet packed. Entries hear of each other's choice only milliseconds later,
	// and would meet at the one best engine.
	lightDraw = 0.2
	// manyEntries is the number of other entries with which half of that is
	// drawn: with six the first deployments gain nothing by it, with 57 and 70
	// the grown ones do.
	manyEntries = 20
	// lightPart is the part of its own longest pause up to which the reading
	// of a prompt counts as light.
	lightPart = 0.5
	// spareSlots are kept free of what other entries may not have told yet.
	spareSlots = 2
	// queuedCost is the part of a request's worth lost by each request that
	// waits for a slot before it, in engines' slots.
	queuedCost = 4
)

// offer is what one engine would make of a part of a prompt.
type offer struct {
	worker *worker
	load   Load
	// cost is what answers being written there would lose.
	cost   float64
	finish time.Duration
	part   time.Duration
	// writes is false where the engine could only help.
	writes bool
	// rank orders engines where costs are equal.
	rank uint64
	// draw is added to the cost for light prompts.
	draw float64
	// blind offers are made without knowing what other entries place.
	blind bool
}

// drawn is how much costs of light prompts are drawn apart beside a number of
// other entries.
func drawn(peers int) float64 { return lightDraw * float64(peers) / float64(peers+manyEntries) }

// bid fills in what the engine would make of one of k parts.
func (o offer) bid(now time.Time, d Demand, k int) offer {
	e, w := o.worker.engine, o.worker
	pace := w.health.pace(now)
	o.part = time.Duration(float64(predictor.Part(e, d.Prompt, k)) * pace)
	writers := 0
	similar := 0
	for _, g := range o.load.Writers {
		writers += g.Count
		if g.Pause <= d.PauseAim {
			similar += g.Count
		}
	}
	pass := time.Duration(float64(predictor.Writing(e, writers, o.load.Tokens)) * pace)
	// On average a prompt arrives in the middle of a pass, and its first event
	// follows at the end of the one that has read it. Of prompts that several
	// engines read the newest goes first, so that it waits for nothing but
	// holds up all that is being read; others wait for all of that.
	own := time.Duration(float64(predictor.Writing(e, writers+1, o.load.Tokens+d.Prompt)) * pace)
	o.finish = pass/2 + o.part + own
	if k > 1 {
		o.cost += delayCost(o.load, o.part)
	} else {
		o.finish += o.load.Reading
	}
	for _, g := range o.load.Writers {
		before := pauseLoss(pass+o.load.Reading, g.Pause)
		after := pauseLoss(pass+o.load.Reading+o.part, g.Pause)
		o.cost += g.Value * (after - before)
	}
	worth := value(d)
	o.cost += worth * failedLoss * w.health.rate(now)
	slots := e.Slots - spareSlots
	if waiting := o.load.Running + 1 - slots; waiting > 0 {
		o.finish += time.Duration(waiting) * slotTime(e, pass)
		o.cost += worth * queuedCost * float64(waiting) / float64(max(1, e.Slots))
	}
	if k == 1 && !o.blind && float64(predictor.Reading(e, d.Prompt)) <= lightPart*float64(d.PauseAim) {
		packed := max(1, int(packedPart*float64(slots)))
		o.cost += o.draw + openCost*(1-float64(min(similar, packed))/float64(packed))
	}
	o.writes = k > 1 || d.Prompt+d.Answer <= e.MemoryTokens
	if free := e.MemoryTokens - o.load.Tokens; k == 1 && d.Prompt+d.Answer > free {
		o.cost += worth
	}
	return o
}

// slotTime is how soon a slot of a full engine is free: answers are written in
// UsualAnswer / Stride passes, and end evenly.
func slotTime(e *matcher.Engine, pass time.Duration) time.Duration {
	passes := float64(e.UsualAnswer) / float64(max(1, e.Stride))
	return time.Duration(passes * float64(pass) / float64(max(1, e.Slots)))
}

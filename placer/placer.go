// Package placer drives the placement of one prompt: which keeper is asked
// next, when the search pauses, and when the prompt is given up. It gives up
// at once when every engine that could take the prompt would be too late, and
// after a part of the remaining time when they have no room.
package placer

import (
	"math/rand/v2"
	"time"

	"github.com/sapphireramp/sapphireramp/keeper"
	"github.com/sapphireramp/sapphireramp/router"
)

const (
	// roomWaitDivisor is the part of a prompt's remaining time that it may wait
	// for room.
	roomWaitDivisor = 4
	// minPause and mostPause are between rounds.
	minPause = 20 * time.Millisecond
	maxPause = 80 * time.Millisecond
)

// StepKind of a step.
type StepKind int

// The kinds.
const (
	// Ask: ask the keeper of Choice's engine, then call Answered.
	Ask StepKind = iota
	// Choose: choose engines anew, then call Round.
	Choose
	// Pause: wait for Pause, then go on with Next.
	Pause
	// Placed: the keeper granted Choice's engine.
	Placed
	// NoEngine: nothing serves the prompt now.
	NoEngine
	// TooLate: no engine can answer in time.
	TooLate
	// NoRoom: patience is at its end.
	NoRoom
)

var kindNames = [...]string{"Ask", "Choose", "Pause", "Placed", "NoEngine", "TooLate", "NoRoom"}

func (k StepKind) String() string { return kindNames[k] }

// Step is what is to be done next.
type Step struct {
	Kind   StepKind
	Choice router.Choice
	Pause  time.Duration
}

// Placer drives one placement. It is not safe for concurrent use.
type Placer struct {
	random *rand.Rand
	// roomDeadline is when waiting for room ends.
	roomDeadline time.Time
	choices      []router.Choice
	// asked is how many of choices were asked, of which late were too late.
	asked, tooLate int
	hasChoices     bool
	granted        bool
}

// New returns a placement for a prompt that has some time left.
func New(now time.Time, remaining time.Duration, random *rand.Rand) *Placer {
	return &Placer{random: random, roomDeadline: now.Add(remaining / roomWaitDivisor)}
}

// SetChoices takes the engines chosen for a round, best first.
func (p *Placer) SetChoices(choices []router.Choice) {
	p.choices, p.asked, p.tooLate = choices, 0, 0
	p.hasChoices = true
}

// RecordReply takes the answer to the last Ask.
func (p *Placer) RecordReply(a keeper.GrantReply) {
	p.granted = a.Granted
	if a.Granted {
		return
	}
	if a.Reason == keeper.TooLate {
		p.tooLate++
	}
	p.asked++
}

// Next returns what to do.
func (p *Placer) Next(now time.Time) Step {
	switch {
	case p.granted:
		return Step{Kind: Placed, Choice: p.choices[p.asked]}
	case !p.hasChoices:
		return Step{Kind: Choose}
	case len(p.choices) == 0:
		return Step{Kind: NoEngine}
	case p.asked < len(p.choices):
		return Step{Kind: Ask, Choice: p.choices[p.asked]}
	case p.tooLate == len(p.choices):
		return Step{Kind: TooLate}
	case !now.Before(p.roomDeadline):
		return Step{Kind: NoRoom}
	}
	p.hasChoices = false
	return Step{Kind: Pause, Pause: minPause + time.Duration(p.random.Int64N(int64(maxPause-minPause)))}
}

// Package placer finds an engine for one prompt. It decides which engine's keeper to ask next, when
// to wait before asking again, and when to give up. It gives up at once if every candidate engine
// would finish the prefill too late, and after a fraction of the prompt's remaining time if engines
// lack free memory.
package placer

import (
	"math/rand/v2"
	"time"

	"github.com/sapphireramp/sapphireramp/keeper"
	"github.com/sapphireramp/sapphireramp/router"
)

const (
	// roomWaitDivisor is the divisor of a prompt's remaining time that gives the time for
	// which the prompt may wait for free memory.
	roomWaitDivisor = 4
	// minPause and maxPause bound the random pause between two rounds, in each of which all
	// chosen engines are asked.
	minPause = 20 * time.Millisecond
	maxPause = 80 * time.Millisecond
)

// StepKind says what a Step requires the caller to do.
type StepKind int

// The kinds of a Step.
const (
	// Ask means that the caller must ask the keeper of Step.Candidate's engine, then call RecordReply.
	Ask StepKind = iota
	// Choose means that the caller must choose candidate engines, then call SetChoices.
	Choose
	// Pause means that the caller must wait for Step.Pause, then call Next.
	Pause
	// Placed means that the keeper of Step.Candidate's engine granted the prompt. The search ends.
	Placed
	// NoEngine means that there is no candidate engine. The search ends.
	NoEngine
	// TooLate means that every candidate engine would finish the prefill after the deadline. The
	// search ends.
	TooLate
	// NoRoom means that no engine had free memory during the time that the prompt may wait for
	// it. The search ends.
	NoRoom
)

var kindNames = [...]string{"Ask", "Choose", "Pause", "Placed", "NoEngine", "TooLate", "NoRoom"}

func (k StepKind) String() string { return kindNames[k] }

// Step is the next step of a placement.
type Step struct {
	Kind StepKind
	// Candidate is the engine of an Ask or Placed step.
	Candidate router.Candidate
	// Pause is the length of a Pause step.
	Pause time.Duration
}

// Placer is the state of the search for one prompt's engine. It is not safe for concurrent use.
type Placer struct {
	random *rand.Rand
	// roomDeadline is the time at which the search for free memory ends.
	roomDeadline time.Time
	// candidates are the engines of the current round, best first.
	candidates []router.Candidate
	// refused is the number of choices that refused, and tooLate the number of those that refused
	// with keeper.TooLate.
	refused, tooLate int
	// hasCandidates is true from SetChoices until the round ends.
	hasCandidates bool
	// granted is true once a keeper granted the prompt.
	granted bool
}

// New returns a placer for a prompt whose deadline is the time remaining after now.
func New(now time.Time, remaining time.Duration, random *rand.Rand) *Placer {
	return &Placer{random: random, roomDeadline: now.Add(remaining / roomWaitDivisor)}
}

// SetCandidates starts a round with the given engines, best first.
func (p *Placer) SetCandidates(candidates []router.Candidate) {
	p.candidates, p.refused, p.tooLate = candidates, 0, 0
	p.hasCandidates = true
}

// RecordReply records the keeper's reply to the last Ask step.
func (p *Placer) RecordReply(reply keeper.GrantReply) {
	p.granted = reply.Granted
	if reply.Granted {
		return
	}
	if reply.Reason == keeper.TooLate {
		p.tooLate++
	}
	p.refused++
}

// Next returns the next step.
func (p *Placer) Next(now time.Time) Step {
	switch {
	case p.granted:
		return Step{Kind: Placed, Candidate: p.candidates[p.refused]}
	case !p.hasCandidates:
		return Step{Kind: Choose}
	case len(p.candidates) == 0:
		return Step{Kind: NoEngine}
	case p.refused < len(p.candidates):
		return Step{Kind: Ask, Candidate: p.candidates[p.refused]}
	case p.tooLate == len(p.candidates):
		return Step{Kind: TooLate}
	case !now.Before(p.roomDeadline):
		return Step{Kind: NoRoom}
	}
	p.hasCandidates = false
	return Step{Kind: Pause, Pause: minPause + time.Duration(p.random.Int64N(int64(maxPause-minPause)))}
}

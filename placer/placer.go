// Package placer finds an engine for one prompt. It decides which engine's keeper to ask next for a
// grant of memory, when to pause before asking again, and when to give up. It gives up at once if
// every candidate engine would finish the prefill after the prompt's deadline, and after a fraction of
// the prompt's remaining time if the keepers refuse for other reasons, such as a lack of free memory.
package placer

import (
	"math/rand/v2"
	"time"

	"github.com/sapphireramp/sapphireramp/keeper"
	"github.com/sapphireramp/sapphireramp/router"
)

const (
	// roomWaitDivisor is the divisor of a prompt's remaining time. The quotient is the time for which
	// the prompt may wait for free memory.
	roomWaitDivisor = 4
	// minPause and maxPause bound the random pause between two rounds. In a round, the keepers of the
	// chosen engines are asked until one of them gives a grant.
	minPause = 20 * time.Millisecond
	maxPause = 80 * time.Millisecond
)

// StepKind says what a Step requires the caller to do.
type StepKind int

// The kinds of a Step.
const (
	// Ask means that the caller must ask the keeper of Step.Candidate's engine, then call RecordReply.
	Ask StepKind = iota
	// Choose means that the caller must choose candidate engines, then call SetCandidates.
	Choose
	// Pause means that the caller must wait for Step.Pause, then call Next.
	Pause
	// Placed means that the keeper of Step.Candidate's engine granted memory for the prompt. The search
	// ends.
	Placed
	// NoEngine means that there is no candidate engine, also after the time for which the prompt waits for
	// one. The search ends.
	NoEngine
	// TooLate means that every candidate engine would finish the prefill after the deadline. The
	// search ends.
	TooLate
	// NoRoom means that no keeper gave a grant within the time for which the prompt may wait. The search
	// ends.
	NoRoom
)

var kindNames = [...]string{"Ask", "Choose", "Pause", "Placed", "NoEngine", "TooLate", "NoRoom"}

func (k StepKind) String() string { return kindNames[k] }

// Step is what the caller of Placer.Next must do next, or how the search ended.
type Step struct {
	Kind StepKind
	// Candidate is the engine of a step of kind Ask or Placed; zero for other kinds.
	Candidate router.Candidate
	// Pause is the time to wait in a step of kind Pause; 0 for other kinds.
	Pause time.Duration
}

// Placer is the state of the search for one prompt's engine. It is not safe for concurrent use.
type Placer struct {
	random *rand.Rand
	// roomDeadline is the time from which no new round is started.
	roomDeadline time.Time
	// candidates are the engines of the current round, best first.
	candidates []router.Candidate
	// refused is the number of engines whose keepers refused in this round, and so the index in
	// candidates of the next one to ask. tooLate is the number of those refusals with the reason
	// keeper.TooLate.
	refused, tooLate int
	// hasCandidates is true from SetCandidates until Next ends the round with a Pause step.
	hasCandidates bool
	// granted is true once a keeper granted memory for the prompt.
	granted bool
	// waitsForEngine is true if the prompt also waits for an engine until roomDeadline while there is no
	// candidate.
	waitsForEngine bool
}

// New returns a placer for a prompt whose deadline is remaining after now. The length of pauses is
// taken from random.
func New(now time.Time, remaining time.Duration, random *rand.Rand) *Placer {
	return &Placer{random: random, roomDeadline: now.Add(remaining / roomWaitDivisor)}
}

// WaitUntil makes the search wait until the deadline for room, and for an engine if there is no candidate. It is
// for a prompt whose answer has begun at an engine that failed.
func (p *Placer) WaitUntil(deadline time.Time) { p.roomDeadline, p.waitsForEngine = deadline, true }

// SetCandidates starts a round, in which the keepers of the given engines are asked in this order.
func (p *Placer) SetCandidates(candidates []router.Candidate) {
	p.candidates, p.refused, p.tooLate = candidates, 0, 0
	p.hasCandidates = true
}

// RecordReply records the reply of the keeper that the last Ask step named.
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

// Next returns the next step of the search. Once the search has ended, it returns the same step again.
func (p *Placer) Next(now time.Time) Step {
	switch {
	case p.granted:
		return Step{Kind: Placed, Candidate: p.candidates[p.refused]}
	case !p.hasCandidates:
		return Step{Kind: Choose}
	case len(p.candidates) == 0 && !(p.waitsForEngine && now.Before(p.roomDeadline)):
		return Step{Kind: NoEngine}
	case p.refused < len(p.candidates):
		return Step{Kind: Ask, Candidate: p.candidates[p.refused]}
	case p.tooLate == len(p.candidates) && p.tooLate > 0:
		return Step{Kind: TooLate}
	case !now.Before(p.roomDeadline):
		return Step{Kind: NoRoom}
	}
	p.hasCandidates = false
	return Step{Kind: Pause, Pause: minPause + time.Duration(p.random.Int64N(int64(maxPause-minPause)))}
}

package predictor

import "time"

// Projection is the predicted course of a job on one engine.
type Projection struct {
	// Job is the job as it was passed to Queue.Add or Simulator.Simulate.
	Job *Job
	// PrefillDone is the time at which the engine completes the prefill of the job; in the past if
	// it is done. If the simulation ends before the prefill is complete, it is a lower bound: the
	// end of the last simulated pass.
	PrefillDone time.Time
	// MaxGap is the longest gap between two events of the answer, including past gaps.
	MaxGap time.Duration
	// Decoding is true if the engine is decoding the answer of the job at the end of the
	// simulation.
	Decoding bool
	// End is the time at which the last event of the answer is expected if no further job arrives;
	// zero for a job that doesn't decode.
	End time.Time
}

// Simulator simulates the queue of an engine forward in time. It can be reused, which saves
// allocations, but is not safe for concurrent use.
type Simulator struct {
	queue       Queue
	projections []Projection
}

// maxPasses is the maximum number of passes in a simulation; 100 passes last a few seconds.
const maxPasses = 100

// minExtraEvents plus half of the events already sent is the minimum number of further events that
// a simulation expects of an answer. The estimates of callers are right only at the median, and an
// answer that exceeds its estimate would otherwise be left out when the delay that a new prompt
// causes to other answers is predicted.
const minExtraEvents = 3

// Simulate returns the projections of all jobs in a queue. A candidate that isn't nil is simulated
// as one more job, and its projection comes last. The projections are valid until the next call.
// Jobs that arrive after now are not predicted. The queue must have been advanced to now, and is
// not changed.
func (s *Simulator) Simulate(now time.Time, q *Queue, candidate *Job) []Projection {
	tasks := append(s.queue.tasks[:0], q.tasks...)
	s.queue = *q
	s.queue.tasks = tasks
	s.queue.isSimulation = true
	for i := range tasks {
		tasks[i].eventsLeft = max(tasks[i].eventsLeft, tasks[i].eventsSent/2+minExtraEvents)
	}
	if candidate != nil {
		t := newTask(candidate)
		t.isCandidate = true
		s.queue.add(now, t)
	}
	for range maxPasses {
		if s.queue.passEnd.IsZero() || s.queue.hasOnlyDecodingLeft() {
			break
		}
		s.queue.finishPass()
	}
	return s.project()
}

// hasOnlyDecodingLeft reports whether all prefill is complete and every answer being decoded has
// had an event after its first. All passes after that only decode.
func (q *Queue) hasOnlyDecodingLeft() bool {
	for i := range q.tasks {
		if t := &q.tasks[i]; t.tokensLeft > 0 || t.decoding && t.eventsSent == 0 {
			return false
		}
	}
	return true
}

// project returns the projections of all tasks after a simulation, the candidate last.
func (s *Simulator) project() []Projection {
	s.projections = s.projections[:0]
	var candidate Projection
	hasCandidate := false
	pass := s.queue.currentDecodePassTime()
	for i := range s.queue.tasks {
		t := &s.queue.tasks[i]
		projection := Projection{Job: t.job, PrefillDone: t.prefillDone, MaxGap: t.maxGap, Decoding: t.decoding}
		if projection.PrefillDone.IsZero() {
			// The simulation ended before the prefill was complete, so the end of the last pass is
			// a lower bound.
			projection.PrefillDone = s.queue.passEnd
		}
		if t.job.Decodes {
			projection.End = s.queue.projectedEnd(t, projection.PrefillDone, pass)
		}
		if t.isCandidate {
			candidate, hasCandidate = projection, true
			continue
		}
		s.projections = append(s.projections, projection)
	}
	if hasCandidate {
		s.projections = append(s.projections, candidate)
	}
	return s.projections
}

// currentDecodePassTime returns the duration of a pass, the slowdown included, that decodes the
// answers being decoded now and prefills nothing.
func (q *Queue) currentDecodePassTime() time.Duration {
	answers, context := q.decodeLoad()
	return time.Duration(float64(DecodePassTime(q.engine, max(1, answers), context)) * q.slowdown)
}

// projectedEnd returns the time at which the last event of a task's answer is expected, at one
// event per pass of the given duration. The first of the remaining events comes at the end of the
// running pass, or at prefillDone if that is later. For an answer that has ended, it is the time of
// its last event.
func (q *Queue) projectedEnd(t *task, prefillDone time.Time, pass time.Duration) time.Time {
	if t.eventsSent > 0 && !t.decoding {
		return t.lastEvent
	}
	return later(prefillDone, q.passEnd).Add(time.Duration(max(0, t.eventsLeft-1)) * pass)
}

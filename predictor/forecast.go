package predictor

import "time"

// Projection is what becomes of a job, as far as can be foreseen.
type Projection struct {
	Job *Job
	// PrefillDone is when it is prefilled here; the time of a past end is kept.
	PrefillDone time.Time
	// MaxGap is the longest between its events, past ones included.
	MaxGap time.Duration
	// Decoding is true where its answer is being decoded already.
	Decoding bool
	// End is when its last event is expected, if nothing more is prefilled than was
	// foreseen; zero for jobs that decode nothing.
	End time.Time
}

// Forecast plays an engine's queue forward. It may be used again and again, and
// is not safe for concurrent use.
type Forecast struct {
	queue       Queue
	projections []Projection
}

// maxPasses bounds how far a forecast looks: some seconds of passes.
const maxPasses = 100

// minExtraEvents is how many more events an answer is expected to have at least,
// beside half of those that it had: what callers estimate is right at the median
// only, and an answer that was taken to end too soon is left out of what a new
// prompt harms.
const minExtraEvents = 3

// Simulate returns the fates of all jobs in a queue, and of one more job where added
// is not nil, which is the last of them. They are valid until the next call.
// Nothing that arrives later is foreseen. The queue has been advanced to now
// and is not changed.
func (f *Forecast) Simulate(now time.Time, q *Queue, candidate *Job) []Projection {
	tasks := append(f.queue.tasks[:0], q.tasks...)
	f.queue = *q
	f.queue.tasks = tasks
	f.queue.isSimulation = true
	for i := range tasks {
		tasks[i].eventsLeft = max(tasks[i].eventsLeft, tasks[i].eventsSent/2+minExtraEvents)
	}
	if candidate != nil {
		t := newTask(candidate)
		t.isCandidate = true
		f.queue.add(now, t)
	}
	for range maxPasses {
		if f.queue.passEnd.IsZero() || f.queue.isSettled() {
			break
		}
		f.queue.finishPass()
	}
	return f.project()
}

// isSettled reports whether nothing is left to prefill, in the pass that runs
// either, and all answers had an event after their first: what follows are passes
// that decode only.
func (q *Queue) isSettled() bool {
	for i := range q.tasks {
		if t := &q.tasks[i]; t.tokensLeft > 0 || t.decoding && t.eventsSent == 0 {
			return false
		}
	}
	return true
}

func (f *Forecast) project() []Projection {
	f.projections = f.projections[:0]
	var last Projection
	found := false
	pass := f.queue.decodePassTime()
	for i := range f.queue.tasks {
		t := &f.queue.tasks[i]
		projection := Projection{Job: t.job, PrefillDone: t.prefillDone, MaxGap: t.maxGap, Decoding: t.decoding}
		if projection.PrefillDone.IsZero() {
			// Not within what is looked at: no sooner than its end.
			projection.PrefillDone = f.queue.passEnd
		}
		if t.job.Decodes {
			projection.End = f.queue.projectedEnd(t, projection.PrefillDone, pass)
		}
		if t.isCandidate {
			last, found = projection, true
			continue
		}
		f.projections = append(f.projections, projection)
	}
	if found {
		f.projections = append(f.projections, last)
	}
	return f.projections
}

// decodePassTime is the time of a pass that only decodes the answers that are decoded.
func (q *Queue) decodePassTime() time.Duration {
	answers, context := q.decodeLoad()
	return time.Duration(float64(DecodePass(q.engine, max(1, answers), context)) * q.slowdown)
}

// projectedEnd is when a task's answer ends, at a pass an event from the end of the pass that
// runs on, or from the end of its prefill where that is later.
func (q *Queue) projectedEnd(t *task, done time.Time, pass time.Duration) time.Time {
	if t.eventsSent > 0 && !t.decoding {
		return t.lastEvent
	}
	return later(done, q.passEnd).Add(time.Duration(max(0, t.eventsLeft-1)) * pass)
}

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
	queue Queue
	fates []Projection
}

// mostPasses bounds how far a forecast looks: some seconds of passes.
const mostPasses = 100

// leastEvents is how many more events an answer is expected to have at least,
// beside half of those that it had: what callers estimate is right at the median
// only, and an answer that was taken to end too soon is left out of what a new
// prompt harms.
const leastEvents = 3

// Simulate returns the fates of all jobs in a queue, and of one more job where added
// is not nil, which is the last of them. They are valid until the next call.
// Nothing that arrives later is foreseen. The queue has been advanced to now
// and is not changed.
func (f *Forecast) Simulate(now time.Time, q *Queue, added *Job) []Projection {
	tasks := append(f.queue.tasks[:0], q.tasks...)
	f.queue = *q
	f.queue.tasks = tasks
	f.queue.foresees = true
	for i := range tasks {
		tasks[i].events = max(tasks[i].events, tasks[i].made/2+leastEvents)
	}
	if added != nil {
		t := newTask(added)
		t.added = true
		f.queue.add(now, t)
	}
	for range mostPasses {
		if f.queue.end.IsZero() || f.queue.settled() {
			break
		}
		f.queue.finish()
	}
	return f.collect()
}

// settled reports whether nothing is left to prefill, in the pass that runs
// either, and all answers had an event after their first: what follows are passes
// that decode only.
func (q *Queue) settled() bool {
	for i := range q.tasks {
		if t := &q.tasks[i]; t.tokens > 0 || t.decoding && t.made == 0 {
			return false
		}
	}
	return true
}

func (f *Forecast) collect() []Projection {
	f.fates = f.fates[:0]
	var last Projection
	found := false
	pass := f.queue.decodePass()
	for i := range f.queue.tasks {
		t := &f.queue.tasks[i]
		fate := Projection{Job: t.job, PrefillDone: t.done, MaxGap: t.pause, Decoding: t.decoding}
		if fate.PrefillDone.IsZero() {
			// Not within what is looked at: no sooner than its end.
			fate.PrefillDone = f.queue.end
		}
		if t.job.Decodes {
			fate.End = f.queue.lastEvent(t, fate.PrefillDone, pass)
		}
		if t.added {
			last, found = fate, true
			continue
		}
		f.fates = append(f.fates, fate)
	}
	if found {
		f.fates = append(f.fates, last)
	}
	return f.fates
}

// decodePass is the time of a pass that only decodes the answers that are decoded.
func (q *Queue) decodePass() time.Duration {
	answers, context := q.answers()
	return time.Duration(float64(DecodePass(q.engine, max(1, answers), context)) * q.pace)
}

// lastEvent is when a task's answer ends, at a pass an event from the end of the pass that
// runs on, or from the end of its prefill where that is later.
func (q *Queue) lastEvent(t *task, done time.Time, pass time.Duration) time.Time {
	if t.made > 0 && !t.decoding {
		return t.eventAt
	}
	return later(done, q.end).Add(time.Duration(max(0, t.events-1)) * pass)
}

package predictor

import (
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
)

// Job is what one request has one engine do.
type Job struct {
	// Sharded jobs are parts of a prompt that several engines prefill.
	Sharded bool
	// PrefillTokens are to be prefilled, which takes Prefill by itself.
	PrefillTokens int
	PrefillTime   time.Duration
	// Decodes is true where the engine decodes the answer.
	Decodes bool
	// ContextTokens is how many tokens a decode step of the answer attends to.
	ContextTokens int
	// ExpectedEvents is how many events the answer is expected to have.
	ExpectedEvents int
	// Arrived is when the engine got the job.
	Arrived time.Time
	// OtherShardsDone is when the other engines of a joint job are expected to be done;
	// forecasts begin its answer then. It may be changed at any time.
	OtherShardsDone time.Time
}

// task is how far an engine is with a job.
type task struct {
	job *Job
	// tokens and prefill are what is left to prefill, before the pass that runs.
	tokens  float64
	prefill time.Duration
	// taken are the tokens that the pass that runs prefills.
	taken float64
	// decoding is true while the answer is decoded, from the job's first event on, joined
	// once a pass has begun since: an answer that begins within a pass has its next
	// event at the end of the next one.
	decoding, joined bool
	// events is how many events the answer is expected to have yet, made how many it had.
	events, made int
	// done is when the prefill ended, eventAt when the last event came; zero before.
	done, eventAt time.Time
	// pause is the longest between two events.
	pause time.Duration
	// added is true of the job that a forecast adds.
	added bool
}

func newTask(j *Job) task {
	return task{job: j, tokens: float64(max(1, j.PrefillTokens)), prefill: j.PrefillTime, events: j.ExpectedEvents}
}

// Queue is one engine's work, kept as the engine does it: in passes. A pass
// that decodes executes Stride steps and prefills what waits, up to Chunk tokens
// a step; each answer makes an event at its end. While nothing is decoded an
// engine prefills step by step, and what is new can go first at once.
//
// Joint jobs go before others, the newest first; the others go oldest first. A
// job's prefill ends with its pass, and its first event comes then.
//
// A queue does no I/O and keeps no clock: time advances with its calls. It is
// not safe for concurrent use.
type Queue struct {
	engine *matcher.EngineProfile
	pace   float64
	// tasks are in the order of prefill.
	tasks []task
	// start and end are those of the pass that runs; end is zero while idle.
	start, end time.Time
	// decodes is true where that pass decodes answers.
	decodes bool
	// confirmed is the end of the last pass whose end was observed.
	confirmed time.Time
	// foresees is true in a forecast: joint answers begin by themselves, and
	// answers end after as many events as they are expected to have.
	foresees bool
}

// NewQueue returns the queue of an idle engine.
func NewQueue(e *matcher.EngineProfile) *Queue { return &Queue{engine: e, pace: 1} }

// SetEngine changes the engine's figures.
func (q *Queue) SetEngine(e *matcher.EngineProfile) { q.engine = e }

// SetSlowdown says how many times longer than expected work takes from the next
// pass on.
func (q *Queue) SetSlowdown(pace float64) { q.pace = max(1, pace) }

// Advance works on to a time.
func (q *Queue) Advance(now time.Time) {
	for !q.end.IsZero() && !q.end.After(now) {
		q.finish()
	}
}

// Add takes in a job that arrived now or a little earlier.
func (q *Queue) Add(now time.Time, j *Job) {
	q.Advance(now)
	q.add(now, newTask(j))
}

func (q *Queue) add(now time.Time, t task) {
	if !q.end.IsZero() && !q.decodes {
		now = q.endStep(now)
	}
	q.insert(t)
	switch {
	case q.end.IsZero():
		q.begin(now)
	case q.decodes && t.job.Arrived.Before(q.start):
		// It was there when the pass began, and is prefilled in it.
		q.begin(q.start)
	}
}

// insert puts a task in its place: a joint one before what arrived earlier.
func (q *Queue) insert(t task) {
	at := slices.IndexFunc(q.tasks, func(o task) bool { return before(t.job, o.job) })
	if at < 0 {
		at = len(q.tasks)
	}
	q.tasks = slices.Insert(q.tasks, at, t)
}

// before reports whether an engine prefills one job before another.
func before(a, b *Job) bool {
	if a.Sharded != b.Sharded {
		return a.Sharded
	}
	if a.Sharded {
		return !a.Arrived.Before(b.Arrived)
	}
	return a.Arrived.Before(b.Arrived)
}

// Remove takes a job out that ended or was given up.
func (q *Queue) Remove(now time.Time, j *Job) {
	q.Advance(now)
	i := q.index(j)
	if i < 0 {
		return
	}
	// A pass goes on without a part of it, but for one that would have nothing left to do, or
	// no answer to decode any more: that has just had its last event.
	t := q.tasks[i]
	answers, _ := q.answers()
	ends := t.taken > 0 && !q.decodes || t.decoding && answers == 1
	if ends && !q.end.IsZero() {
		q.interrupt(now)
	}
	q.tasks = slices.Delete(q.tasks, i, i+1)
	if ends {
		q.begin(now)
	}
}

// answers is how many answers are decoded, and how many tokens a decode step attends to.
func (q *Queue) answers() (n, context int) {
	for i := range q.tasks {
		if t := &q.tasks[i]; t.decoding {
			n++
			context += t.job.ContextTokens
		}
	}
	return n, context
}

func (q *Queue) index(j *Job) int {
	return slices.IndexFunc(q.tasks, func(t task) bool { return t.job == j })
}

// RecordFirstEvent notes that the first event of a job's answer was seen: all of it is prefilled.
func (q *Queue) RecordFirstEvent(now time.Time, j *Job) {
	q.Advance(now)
	i := q.index(j)
	if i < 0 {
		return
	}
	prefills := !q.end.IsZero() && !q.decodes
	if prefills {
		q.interrupt(now)
	}
	t := &q.tasks[i]
	t.tokens, t.prefill, t.taken = 0, 0, 0
	if t.done.IsZero() {
		t.done = now
	}
	if j.Decodes && !t.decoding {
		t.decoding, t.eventAt = true, now
	}
	if prefills || q.end.IsZero() {
		q.begin(now)
	}
}

// sameEnd is how far apart the events of one pass reach those who watch, at
// most: a round trip between data centres and the wait for a processor.
const sameEnd = 15 * time.Millisecond

// RecordPassEnd notes that a pass ended a moment before now, as an event of an
// answer was seen. That corrects what the queue expects.
func (q *Queue) RecordPassEnd(now time.Time) {
	q.Advance(now)
	if q.end.IsZero() || !q.decodes || now.Sub(q.confirmed) < sameEnd {
		return
	}
	q.confirmed = now
	if late := now.Sub(q.start); late < q.end.Sub(now) {
		// The pass before it ended that much later than expected.
		q.start, q.end = now, q.end.Add(late)
		return
	}
	q.end = now
	q.finish()
}

// RemainingPrefill is how long the engine has yet to prefill, answers aside.
func (q *Queue) RemainingPrefill(now time.Time) time.Duration {
	left, taken := time.Duration(0), time.Duration(0)
	for i := range q.tasks {
		t := &q.tasks[i]
		left += t.prefill
		if t.taken > 0 {
			taken += t.share(t.taken)
		}
	}
	if !q.end.IsZero() {
		left -= time.Duration(float64(taken) * q.passed(now))
	}
	return time.Duration(float64(left) * q.pace)
}

// passed is the part of the pass that runs which is over.
func (q *Queue) passed(now time.Time) float64 {
	return min(1, max(0, float64(now.Sub(q.start))/float64(max(1, q.end.Sub(q.start)))))
}

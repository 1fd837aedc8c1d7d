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
	// tokensLeft and prefill are what is left to prefill, before the pass that runs.
	tokensLeft      float64
	prefillTimeLeft time.Duration
	// passTokens are the tokens that the pass that runs prefills.
	passTokens float64
	// decoding is true while the answer is decoded, from the job's first event on, joined
	// once a pass has begun since: an answer that begins within a pass has its next
	// event at the end of the next one.
	decoding, inPass bool
	// eventsLeft is how many events the answer is expected to have yet, made how many it had.
	eventsLeft, eventsSent int
	// prefillDone is when the prefill ended, eventAt when the last event came; zero before.
	prefillDone, lastEvent time.Time
	// maxGap is the longest between two events.
	maxGap time.Duration
	// isCandidate is true of the job that a forecast adds.
	isCandidate bool
}

func newTask(j *Job) task {
	return task{job: j, tokensLeft: float64(max(1, j.PrefillTokens)), prefillTimeLeft: j.PrefillTime, eventsLeft: j.ExpectedEvents}
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
	engine   *matcher.EngineProfile
	slowdown float64
	// tasks are in the order of prefill.
	tasks []task
	// passStart and end are those of the pass that runs; end is zero while idle.
	passStart, passEnd time.Time
	// passDecodes is true where that pass decodes answers.
	passDecodes bool
	// lastObservedEnd is the end of the last pass whose end was observed.
	lastObservedEnd time.Time
	// isSimulation is true in a forecast: joint answers begin by themselves, and
	// answers end after as many events as they are expected to have.
	isSimulation bool
}

// NewQueue returns the queue of an idle engine.
func NewQueue(e *matcher.EngineProfile) *Queue { return &Queue{engine: e, slowdown: 1} }

// SetEngine changes the engine's figures.
func (q *Queue) SetEngine(e *matcher.EngineProfile) { q.engine = e }

// SetSlowdown says how many times longer than expected work takes from the next
// pass on.
func (q *Queue) SetSlowdown(slowdown float64) { q.slowdown = max(1, slowdown) }

// Advance works on to a time.
func (q *Queue) Advance(now time.Time) {
	for !q.passEnd.IsZero() && !q.passEnd.After(now) {
		q.finishPass()
	}
}

// Add takes in a job that arrived now or a little earlier.
func (q *Queue) Add(now time.Time, j *Job) {
	q.Advance(now)
	q.add(now, newTask(j))
}

func (q *Queue) add(now time.Time, t task) {
	if !q.passEnd.IsZero() && !q.passDecodes {
		now = q.interruptAfterStep(now)
	}
	q.insert(t)
	switch {
	case q.passEnd.IsZero():
		q.beginPass(now)
	case q.passDecodes && t.job.Arrived.Before(q.passStart):
		// It was there when the pass began, and is prefilled in it.
		q.beginPass(q.passStart)
	}
}

// insert puts a task in its place: a joint one before what arrived earlier.
func (q *Queue) insert(t task) {
	at := slices.IndexFunc(q.tasks, func(o task) bool { return prefillsBefore(t.job, o.job) })
	if at < 0 {
		at = len(q.tasks)
	}
	q.tasks = slices.Insert(q.tasks, at, t)
}

// prefillsBefore reports whether an engine prefills one job before another.
func prefillsBefore(a, b *Job) bool {
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
	i := q.indexOf(j)
	if i < 0 {
		return
	}
	// A pass goes on without a part of it, but for one that would have nothing left to do, or
	// no answer to decode any more: that has just had its last event.
	t := q.tasks[i]
	answers, _ := q.decodeLoad()
	ends := t.passTokens > 0 && !q.passDecodes || t.decoding && answers == 1
	if ends && !q.passEnd.IsZero() {
		q.interruptPass(now)
	}
	q.tasks = slices.Delete(q.tasks, i, i+1)
	if ends {
		q.beginPass(now)
	}
}

// decodeLoad is how many answers are decoded, and how many tokens a decode step attends to.
func (q *Queue) decodeLoad() (n, context int) {
	for i := range q.tasks {
		if t := &q.tasks[i]; t.decoding {
			n++
			context += t.job.ContextTokens
		}
	}
	return n, context
}

func (q *Queue) indexOf(j *Job) int {
	return slices.IndexFunc(q.tasks, func(t task) bool { return t.job == j })
}

// RecordFirstEvent notes that the first event of a job's answer was seen: all of it is prefilled.
func (q *Queue) RecordFirstEvent(now time.Time, j *Job) {
	q.Advance(now)
	i := q.indexOf(j)
	if i < 0 {
		return
	}
	prefills := !q.passEnd.IsZero() && !q.passDecodes
	if prefills {
		q.interruptPass(now)
	}
	t := &q.tasks[i]
	t.tokensLeft, t.prefillTimeLeft, t.passTokens = 0, 0, 0
	if t.prefillDone.IsZero() {
		t.prefillDone = now
	}
	if j.Decodes && !t.decoding {
		t.decoding, t.lastEvent = true, now
	}
	if prefills || q.passEnd.IsZero() {
		q.beginPass(now)
	}
}

// maxEventSkew is how far apart the events of one pass reach those who watch, at
// most: a round trip between data centres and the wait for a processor.
const maxEventSkew = 15 * time.Millisecond

// RecordPassEnd notes that a pass ended a moment before now, as an event of an
// answer was seen. That corrects what the queue expects.
func (q *Queue) RecordPassEnd(now time.Time) {
	q.Advance(now)
	if q.passEnd.IsZero() || !q.passDecodes || now.Sub(q.lastObservedEnd) < maxEventSkew {
		return
	}
	q.lastObservedEnd = now
	if late := now.Sub(q.passStart); late < q.passEnd.Sub(now) {
		// The pass before it ended that much later than expected.
		q.passStart, q.passEnd = now, q.passEnd.Add(late)
		return
	}
	q.passEnd = now
	q.finishPass()
}

// RemainingPrefill is how long the engine has yet to prefill, answers aside.
func (q *Queue) RemainingPrefill(now time.Time) time.Duration {
	left, inPass := time.Duration(0), time.Duration(0)
	for i := range q.tasks {
		t := &q.tasks[i]
		left += t.prefillTimeLeft
		if t.passTokens > 0 {
			inPass += t.prefillTimeOf(t.passTokens)
		}
	}
	if !q.passEnd.IsZero() {
		left -= time.Duration(float64(inPass) * q.passFraction(now))
	}
	return time.Duration(float64(left) * q.slowdown)
}

// passFraction is the part of the pass that runs which is over.
func (q *Queue) passFraction(now time.Time) float64 {
	return min(1, max(0, float64(now.Sub(q.passStart))/float64(max(1, q.passEnd.Sub(q.passStart)))))
}

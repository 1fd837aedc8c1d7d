package predictor

import (
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
)

// Job is the work that one request causes on one engine.
type Job struct {
	// Sharded is true if the prompt is split over a group of engines; the job then prefills one
	// shard.
	Sharded bool
	// PrefillTokens is the number of tokens to prefill. PrefillTime is the time that their prefill
	// takes on an otherwise idle engine, without the fixed time of each token step.
	PrefillTokens int
	PrefillTime   time.Duration
	// Decodes is true if the engine decodes the answer; false for the other engines of a group.
	Decodes bool
	// ContextTokens is the number of tokens that a decode step of the answer attends to on this
	// engine.
	ContextTokens int
	// ExpectedEvents is the number of events that the answer is expected to have in total.
	ExpectedEvents int
	// Arrived is the time at which the engine received the job.
	Arrived time.Time
	// OtherShardsDone is the time at which the other engines of the group are expected to have
	// prefilled their shards, from which on a simulation decodes the answer. It may be changed at
	// any time, and is ignored unless Sharded is true.
	OtherShardsDone time.Time
}

// task is the progress of an engine on a job.
type task struct {
	job *Job
	// tokensLeft and prefillTimeLeft are the tokens still to prefill and their prefill time,
	// including what the running pass prefills.
	tokensLeft      float64
	prefillTimeLeft time.Duration
	// passTokens is the number of tokens that the running pass prefills.
	passTokens float64
	// decoding is true while the answer is decoded, from its first event on. inPass is true if the
	// running pass decodes the answer: an answer whose first event falls within a pass is decoded
	// from the next pass on, and has its second event at the end of that pass.
	decoding, inPass bool
	// eventsLeft is the number of events still expected; it is negative for an answer that exceeds
	// its estimate. eventsSent is the number of events sent. The first event of the answer changes
	// neither of them.
	eventsLeft, eventsSent int
	// prefillDone is the time at which the prefill was completed, and lastEvent the time at which
	// the last event was sent; both are zero before that.
	prefillDone, lastEvent time.Time
	// maxGap is the longest gap between two events of the answer so far.
	maxGap time.Duration
	// isCandidate is true for the job that a simulation adds.
	isCandidate bool
}

// newTask returns a task for a job that the engine has not started.
func newTask(j *Job) task {
	return task{job: j, tokensLeft: float64(max(1, j.PrefillTokens)), prefillTimeLeft: j.PrefillTime, eventsLeft: j.ExpectedEvents}
}

// Queue models the work of one engine, pass by pass. A pass that decodes answers executes
// StepsPerPass token steps and prefills waiting prompts, up to ChunkTokens tokens per step; each
// answer has an event at the end of the pass. While nothing is decoded, the engine prefills step by
// step, and a new job that goes before the others is prefilled from the end of the current step on.
//
// Sharded jobs are prefilled before others, the newest first; all others are prefilled oldest
// first. The prefill of a job is complete at the end of a pass, at which its first event is sent
// too unless it is sharded.
//
// A queue does no I/O and reads no clock: time advances only with its calls. It is not safe for
// concurrent use.
type Queue struct {
	engine *matcher.EngineProfile
	// slowdown is the factor by which passes take longer than the profile says; at least 1.
	slowdown float64
	// tasks is sorted in the order of prefill, and includes the tasks that are already prefilled.
	tasks []task
	// passStart and passEnd are the start and the predicted end of the running pass; passEnd is
	// zero while the engine is idle.
	passStart, passEnd time.Time
	// passDecodes is true if the running pass decodes answers.
	passDecodes bool
	// lastObservedEnd is the time of the last event that RecordPassEnd did not ignore; zero before
	// the first.
	lastObservedEnd time.Time
	// isSimulation is true in the copy of a queue that a Simulator simulates: sharded answers start
	// decoding at OtherShardsDone, and answers end after the expected number of events.
	isSimulation bool
}

// NewQueue returns the queue of an idle engine with the given profile.
func NewQueue(e *matcher.EngineProfile) *Queue { return &Queue{engine: e, slowdown: 1} }

// SetProfile replaces the profile of the engine, from the next pass on.
func (q *Queue) SetProfile(e *matcher.EngineProfile) { q.engine = e }

// SetSlowdown sets the factor by which passes take longer than the profile says, from the next pass
// on. Factors below 1 are raised to 1.
func (q *Queue) SetSlowdown(slowdown float64) { q.slowdown = max(1, slowdown) }

// Advance advances the model of the engine to the time now: it ends each pass whose predicted end
// has come, and begins the next.
func (q *Queue) Advance(now time.Time) {
	for !q.passEnd.IsZero() && !q.passEnd.After(now) {
		q.finishPass()
	}
}

// Add adds a job that arrived at the given time or shortly before it. The queue keeps the pointer.
func (q *Queue) Add(now time.Time, j *Job) {
	q.Advance(now)
	q.add(now, newTask(j))
}

// add adds a task. A running pass that only prefills is ended after its current token step, so that
// the next pass can prefill the new task first.
func (q *Queue) add(now time.Time, t task) {
	if !q.passEnd.IsZero() && !q.passDecodes {
		now = q.interruptAfterStep(now)
	}
	q.insert(t)
	switch {
	case q.passEnd.IsZero():
		q.beginPass(now)
	case q.passDecodes && t.job.Arrived.Before(q.passStart):
		// The job arrived before the running pass began, so the pass prefills it too.
		q.beginPass(q.passStart)
	}
}

// insert adds a task at its place in the order of prefill.
func (q *Queue) insert(t task) {
	at := slices.IndexFunc(q.tasks, func(o task) bool { return prefillsBefore(t.job, o.job) })
	if at < 0 {
		at = len(q.tasks)
	}
	q.tasks = slices.Insert(q.tasks, at, t)
}

// prefillsBefore reports whether an engine prefills job a before job b.
func prefillsBefore(a, b *Job) bool {
	if a.Sharded != b.Sharded {
		return a.Sharded
	}
	if a.Sharded {
		return !a.Arrived.Before(b.Arrived)
	}
	return a.Arrived.Before(b.Arrived)
}

// Remove removes a job that has ended or was cancelled. An unknown job is ignored.
func (q *Queue) Remove(now time.Time, j *Job) {
	q.Advance(now)
	i := q.indexOf(j)
	if i < 0 {
		return
	}
	// The running pass goes on without the job, with two exceptions: a pass that only prefills ends
	// if it prefills the job, and a pass ends if the job is the only answer being decoded, since
	// that answer has just had its last event.
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

// decodeLoad returns the number of answers being decoded, and the total number of tokens that a
// decode step of these answers attends to.
func (q *Queue) decodeLoad() (n, context int) {
	for i := range q.tasks {
		if t := &q.tasks[i]; t.decoding {
			n++
			context += t.job.ContextTokens
		}
	}
	return n, context
}

// indexOf returns the index of the task of a job, or -1.
func (q *Queue) indexOf(j *Job) int {
	return slices.IndexFunc(q.tasks, func(t task) bool { return t.job == j })
}

// RecordFirstEvent records that the first event of a job's answer was observed, which shows that
// the prefill is complete on all engines of the group. An unknown job is ignored.
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

// maxEventSkew is the maximum time between the arrivals of two events of one pass at an entry: a
// round trip between data centres plus the wait for a processor.
const maxEventSkew = 15 * time.Millisecond

// RecordPassEnd records that an event of an answer was observed now, which shows that a pass has
// just ended. An event closer to the start of the running pass than to its predicted end belongs to
// the previous pass, and moves that start and end later; any other ends the running pass now.
// Further events within maxEventSkew are ignored, as they belong to the same pass, and so are all
// events while the model of the engine decodes nothing.
func (q *Queue) RecordPassEnd(now time.Time) {
	q.Advance(now)
	if q.passEnd.IsZero() || !q.passDecodes || now.Sub(q.lastObservedEnd) < maxEventSkew {
		return
	}
	q.lastObservedEnd = now
	if late := now.Sub(q.passStart); late < q.passEnd.Sub(now) {
		// The event belongs to the previous pass, which ended later than predicted.
		q.passStart, q.passEnd = now, q.passEnd.Add(late)
		return
	}
	q.passEnd = now
	q.finishPass()
}

// RemainingPrefillTime returns the time that the engine still needs to prefill all jobs, as of now.
// It includes the slowdown, but neither the time of decoding nor the fixed time of each token step.
func (q *Queue) RemainingPrefillTime(now time.Time) time.Duration {
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

// passFraction returns the elapsed fraction of the running pass, from 0 to 1.
func (q *Queue) passFraction(now time.Time) float64 {
	return min(1, max(0, float64(now.Sub(q.passStart))/float64(max(1, q.passEnd.Sub(q.passStart)))))
}

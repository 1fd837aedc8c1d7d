package predictor

import (
	"math"
	"slices"
	"time"
)

// beginPass starts a pass.
func (q *Queue) beginPass(now time.Time) {
	q.passStart, q.passEnd, q.passDecodes = now, time.Time{}, false
	answers, context := 0, 0
	for i := range q.tasks {
		t := &q.tasks[i]
		t.passTokens = 0
		if q.isSimulation && t.isAwaitingShards() && !t.job.OtherShardsDone.After(now) {
			t.decoding, t.lastEvent = true, later(t.prefillDone, t.job.OtherShardsDone)
		}
		t.inPass = t.decoding
		if t.decoding {
			answers++
			context += t.job.ContextTokens
		}
	}
	var duration time.Duration
	if answers > 0 {
		q.passDecodes = true
		duration = DecodePass(q.engine, answers, context) + q.schedulePrefill(float64(q.engine.StepsPerPass*q.engine.ChunkTokens), answers)
	} else {
		duration = q.schedulePrefillPass(now)
	}
	if duration > 0 {
		q.passEnd = now.Add(time.Duration(float64(duration) * q.slowdown))
	}
}

// schedulePrefill has the pass prefill what waits, up to a number of tokens, and returns
// how long that takes. An engine works on as many requests as it has slots.
func (q *Queue) schedulePrefill(tokens float64, answers int) time.Duration {
	duration := time.Duration(0)
	for i := range q.tasks {
		t := &q.tasks[i]
		if t.tokensLeft <= 0 {
			continue
		}
		if t.job.Decodes {
			if answers++; answers > q.engine.Slots {
				continue
			}
		}
		t.passTokens = min(tokens, t.tokensLeft)
		tokens -= t.passTokens
		duration += t.prefillTimeOf(t.passTokens)
		if tokens <= 0 {
			break
		}
	}
	return duration
}

// schedulePrefillPass has an engine without answers prefill the first job, and returns how long that
// takes: each step has its own time beside that of its tokens, and the last one is
// filled up with what comes next. In a forecast it ends where a joint answer begins.
func (q *Queue) schedulePrefillPass(now time.Time) time.Duration {
	until := q.nextShardedDecode()
	first := slices.IndexFunc(q.tasks, func(t task) bool { return t.tokensLeft > 0 })
	if first < 0 && until.IsZero() {
		return 0
	}
	if first < 0 {
		return max(minPassTime, until.Sub(now))
	}
	chunk := float64(max(1, q.engine.ChunkTokens))
	steps := math.Ceil(q.tasks[first].tokensLeft / chunk)
	duration := time.Duration(steps)*q.engine.StepTime + q.schedulePrefill(steps*chunk, 0)
	if limit := max(minPassTime, time.Duration(float64(until.Sub(now))/q.slowdown)); !until.IsZero() && limit < duration {
		for i := range q.tasks {
			q.tasks[i].passTokens *= float64(limit) / float64(duration)
		}
		duration = limit
	}
	return duration
}

// minPassTime is the shortest pass that is modelled, so that time goes on.
const minPassTime = time.Microsecond

// nextShardedDecode is when, in a forecast, the next joint answer begins whose part is
// prefilled here; zero if there is none.
func (q *Queue) nextShardedDecode() time.Time {
	var next time.Time
	if !q.isSimulation {
		return next
	}
	for i := range q.tasks {
		if t := &q.tasks[i]; t.isAwaitingShards() && (next.IsZero() || t.job.OtherShardsDone.Before(next)) {
			next = t.job.OtherShardsDone
		}
	}
	return next
}

// isAwaitingShards reports whether a task is prefilled here, and its answer waits for other engines.
func (t *task) isAwaitingShards() bool {
	return t.job.Decodes && t.job.Sharded && t.tokensLeft <= 0 && !t.decoding && t.eventsSent == 0 && !t.prefillDone.IsZero()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// prefillTimeOf is how long a number of the tokens that are left take.
func (t *task) prefillTimeOf(tokens float64) time.Duration {
	return time.Duration(float64(t.prefillTimeLeft) * tokens / t.tokensLeft)
}

// interruptAfterStep ends a pass that only prefills after the step that runs, and returns
// when that is.
func (q *Queue) interruptAfterStep(now time.Time) time.Time {
	scheduled := 0.0
	for i := range q.tasks {
		scheduled += q.tasks[i].passTokens
	}
	steps := max(1, scheduled/float64(max(1, q.engine.ChunkTokens)))
	step := time.Duration(float64(q.passEnd.Sub(q.passStart)) / steps)
	if step > 0 {
		now = q.passStart.Add((now.Sub(q.passStart) + step - 1) / step * step)
	}
	if !now.Before(q.passEnd) {
		now = q.passEnd
	}
	q.interruptPass(now)
	return now
}

// interruptPass ends a pass that only prefills before its time.
func (q *Queue) interruptPass(now time.Time) {
	fraction := q.passFraction(now)
	for i := range q.tasks {
		t := &q.tasks[i]
		if t.passTokens > 0 {
			t.recordPrefill(t.passTokens * fraction)
			q.completePrefill(t, now)
		}
	}
	q.passEnd = time.Time{}
}

// recordPrefill takes tokens off what is left.
func (t *task) recordPrefill(tokens float64) {
	t.passTokens = 0
	if tokens <= 0 {
		return
	}
	t.prefillTimeLeft -= t.prefillTimeOf(tokens)
	t.tokensLeft -= tokens
}

// finishPass ends the pass that runs and begins the next.
func (q *Queue) finishPass() {
	now := q.passEnd
	for i := range q.tasks {
		t := &q.tasks[i]
		if t.inPass {
			t.maxGap = max(t.maxGap, now.Sub(t.lastEvent))
			t.lastEvent = now
			t.eventsLeft--
			t.eventsSent++
			t.decoding = !q.isSimulation || t.eventsLeft > 0
		}
		if t.passTokens <= 0 {
			continue
		}
		t.recordPrefill(t.passTokens)
		q.completePrefill(t, now)
	}
	q.beginPass(now)
}

// completePrefill notes the end of a task's prefill where nothing of it is left.
func (q *Queue) completePrefill(t *task, now time.Time) {
	if t.tokensLeft > maxRoundingTokens {
		return
	}
	t.tokensLeft, t.prefillTimeLeft, t.prefillDone = 0, 0, now
	// A joint answer begins when all its parts are done, which others tell.
	if t.job.Decodes && !t.job.Sharded {
		t.decoding, t.lastEvent = true, now
	}
}

// maxRoundingTokens is what is left of a job that is done, but for rounding.
const maxRoundingTokens = 0.5

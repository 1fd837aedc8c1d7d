package predictor

import (
	"math"
	"slices"
	"time"
)

// beginPass starts a pass at the given time. The pass decodes all current answers and prefills
// waiting prompts; without either, the engine becomes idle.
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
		duration = DecodePassTime(q.engine, answers, context) + q.schedulePrefill(float64(q.engine.StepsPerPass*q.engine.ChunkTokens), answers)
	} else {
		duration = q.schedulePrefillPass(now)
	}
	if duration > 0 {
		q.passEnd = now.Add(time.Duration(float64(duration) * q.slowdown))
	}
}

// schedulePrefill schedules waiting prompts for the running pass, up to the given number of tokens,
// and returns how long their prefill takes. A prompt stays waiting if its answer, in addition to
// the given number of answers, would exceed the engine's slots.
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

// schedulePrefillPass schedules a pass of an engine that decodes nothing, and returns its duration;
// 0 if there is nothing to do. The pass prefills the first waiting prompt, and fills up the last
// token step with the prompts that follow. Each step takes a fixed time in addition to that of its
// tokens. In a simulation, the pass ends early when a sharded answer starts decoding.
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

// minPassTime is the duration of the shortest pass, so that every pass of a simulation advances the
// time.
const minPassTime = time.Microsecond

// nextShardedDecode returns the earliest time at which an answer whose shard on this engine is
// prefilled starts decoding, because the other engines of its group are expected to have prefilled
// theirs. It is zero if there is no such answer, and outside a simulation.
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

// isAwaitingShards reports whether the task's shard is prefilled, but its answer can't be decoded
// yet because other engines of the group are still prefilling their shards.
func (t *task) isAwaitingShards() bool {
	return t.job.Decodes && t.job.Sharded && t.tokensLeft <= 0 && !t.decoding && t.eventsSent == 0 && !t.prefillDone.IsZero()
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// prefillTimeOf returns the time to prefill the given number of the task's remaining tokens, in
// proportion to prefillTimeLeft.
func (t *task) prefillTimeOf(tokens float64) time.Duration {
	return time.Duration(float64(t.prefillTimeLeft) * tokens / t.tokensLeft)
}

// interruptAfterStep ends a pass that only prefills at the end of the token step that is running
// now. It returns the time of that end, which may be later than now.
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

// interruptPass ends the running pass at the time now, before its predicted end passEnd. The tokens
// prefilled until now are subtracted from the tasks. No answer has an event at now, in contrast to
// the end of a pass by finishPass.
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

// recordPrefill subtracts the given number of prefilled tokens, and their prefill time, from what
// the task has left, and resets passTokens.
func (t *task) recordPrefill(tokens float64) {
	t.passTokens = 0
	if tokens <= 0 {
		return
	}
	t.prefillTimeLeft -= t.prefillTimeOf(tokens)
	t.tokensLeft -= tokens
}

// finishPass ends the running pass at passEnd and begins the next one. Each answer that the pass
// decoded has an event at passEnd.
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

// completePrefill marks the prefill of a task as done at the time now if no tokens are left.
// Decoding starts at once, unless the prompt is sharded.
func (q *Queue) completePrefill(t *task, now time.Time) {
	if t.tokensLeft > maxRoundingTokens {
		return
	}
	t.tokensLeft, t.prefillTimeLeft, t.prefillDone = 0, 0, now
	// A sharded answer starts decoding when all engines of the group have prefilled their shards.
	// The owner of the queue reports that with RecordFirstEvent; a simulation uses OtherShardsDone.
	if t.job.Decodes && !t.job.Sharded {
		t.decoding, t.lastEvent = true, now
	}
}

// maxRoundingTokens is the number of tokens left up to which a prefill counts as done, as so few
// are a rounding error.
const maxRoundingTokens = 0.5

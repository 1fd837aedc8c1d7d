package predictor

import (
	"math"
	"slices"
	"time"
)

// begin starts a pass.
func (q *Queue) begin(now time.Time) {
	q.start, q.end, q.decodes = now, time.Time{}, false
	answers, context := 0, 0
	for i := range q.tasks {
		t := &q.tasks[i]
		t.taken = 0
		if q.foresees && t.awaits() && !t.job.OtherShardsDone.After(now) {
			t.decoding, t.eventAt = true, later(t.done, t.job.OtherShardsDone)
		}
		t.joined = t.decoding
		if t.decoding {
			answers++
			context += t.job.ContextTokens
		}
	}
	var took time.Duration
	if answers > 0 {
		q.decodes = true
		took = DecodePass(q.engine, answers, context) + q.take(float64(q.engine.StepsPerPass*q.engine.ChunkTokens), answers)
	} else {
		took = q.takeNext(now)
	}
	if took > 0 {
		q.end = now.Add(time.Duration(float64(took) * q.pace))
	}
}

// take has the pass prefill what waits, up to a number of tokens, and returns
// how long that takes. An engine works on as many requests as it has slots.
func (q *Queue) take(tokens float64, answers int) time.Duration {
	took := time.Duration(0)
	for i := range q.tasks {
		t := &q.tasks[i]
		if t.tokens <= 0 {
			continue
		}
		if t.job.Decodes {
			if answers++; answers > q.engine.Slots {
				continue
			}
		}
		t.taken = min(tokens, t.tokens)
		tokens -= t.taken
		took += t.share(t.taken)
		if tokens <= 0 {
			break
		}
	}
	return took
}

// takeNext has an engine without answers prefill the first job, and returns how long that
// takes: each step has its own time beside that of its tokens, and the last one is
// filled up with what comes next. In a forecast it ends where a joint answer begins.
func (q *Queue) takeNext(now time.Time) time.Duration {
	until := q.nextAnswer()
	first := slices.IndexFunc(q.tasks, func(t task) bool { return t.tokens > 0 })
	if first < 0 && until.IsZero() {
		return 0
	}
	if first < 0 {
		return max(leastPass, until.Sub(now))
	}
	chunk := float64(max(1, q.engine.ChunkTokens))
	steps := math.Ceil(q.tasks[first].tokens / chunk)
	took := time.Duration(steps)*q.engine.StepTime + q.take(steps*chunk, 0)
	if limit := max(leastPass, time.Duration(float64(until.Sub(now))/q.pace)); !until.IsZero() && limit < took {
		for i := range q.tasks {
			q.tasks[i].taken *= float64(limit) / float64(took)
		}
		took = limit
	}
	return took
}

// leastPass is the shortest pass that is modelled, so that time goes on.
const leastPass = time.Microsecond

// nextAnswer is when, in a forecast, the next joint answer begins whose part is
// prefilled here; zero if there is none.
func (q *Queue) nextAnswer() time.Time {
	var next time.Time
	if !q.foresees {
		return next
	}
	for i := range q.tasks {
		if t := &q.tasks[i]; t.awaits() && (next.IsZero() || t.job.OtherShardsDone.Before(next)) {
			next = t.job.OtherShardsDone
		}
	}
	return next
}

// awaits reports whether a task is prefilled here, and its answer waits for other engines.
func (t *task) awaits() bool {
	return t.job.Decodes && t.job.Sharded && t.tokens <= 0 && !t.decoding && t.made == 0 && !t.done.IsZero()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// share is how long a number of the tokens that are left take.
func (t *task) share(tokens float64) time.Duration {
	return time.Duration(float64(t.prefill) * tokens / t.tokens)
}

// endStep ends a pass that only prefills after the step that runs, and returns
// when that is.
func (q *Queue) endStep(now time.Time) time.Time {
	taken := 0.0
	for i := range q.tasks {
		taken += q.tasks[i].taken
	}
	steps := max(1, taken/float64(max(1, q.engine.ChunkTokens)))
	step := time.Duration(float64(q.end.Sub(q.start)) / steps)
	if step > 0 {
		now = q.start.Add((now.Sub(q.start) + step - 1) / step * step)
	}
	if !now.Before(q.end) {
		now = q.end
	}
	q.interrupt(now)
	return now
}

// interrupt ends a pass that only prefills before its time.
func (q *Queue) interrupt(now time.Time) {
	part := q.passed(now)
	for i := range q.tasks {
		t := &q.tasks[i]
		if t.taken > 0 {
			t.prefilled(t.taken * part)
			q.complete(t, now)
		}
	}
	q.end = time.Time{}
}

// prefilled takes tokens off what is left.
func (t *task) prefilled(tokens float64) {
	t.taken = 0
	if tokens <= 0 {
		return
	}
	t.prefill -= t.share(tokens)
	t.tokens -= tokens
}

// finish ends the pass that runs and begins the next.
func (q *Queue) finish() {
	now := q.end
	for i := range q.tasks {
		t := &q.tasks[i]
		if t.joined {
			t.pause = max(t.pause, now.Sub(t.eventAt))
			t.eventAt = now
			t.events--
			t.made++
			t.decoding = !q.foresees || t.events > 0
		}
		if t.taken <= 0 {
			continue
		}
		t.prefilled(t.taken)
		q.complete(t, now)
	}
	q.begin(now)
}

// complete notes the end of a task's prefill where nothing of it is left.
func (q *Queue) complete(t *task, now time.Time) {
	if t.tokens > leastTokens {
		return
	}
	t.tokens, t.prefill, t.done = 0, 0, now
	// A joint answer begins when all its parts are done, which others tell.
	if t.job.Decodes && !t.job.Sharded {
		t.decoding, t.eventAt = true, now
	}
}

// leastTokens is what is left of a job that is done, but for rounding.
const leastTokens = 0.5

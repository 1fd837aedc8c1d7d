package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/predictor"
)

// request is what one request does at upstreams, one of this entry's or of a peer's.
type request struct {
	wireID WireID
	// promptTokens and answer are token counts.
	promptTokens, answerTokens int
	// firstByteTarget and pause are those of the route; pause is 0 for plain requests.
	firstByteTarget, gapTarget time.Duration
	value                      float64
	// placedAt is when it was sent, since when its caller waits from.
	placedAt, waitingSince time.Time
	// remaining is how long after that its caller waits for the whole answer; 0 if unknown.
	remaining time.Duration
	// firstByteSeen is true once the first event of the answer was seen.
	firstByteSeen bool
	// assignments are what each upstream does for it, the one that answers first.
	assignments []*assignment
	// upstreamRestarted is true once one of the upstreams has started anew; onLost is then called
	// once, nil where nobody asked.
	upstreamRestarted bool
	onRestart         func()
	// upstreamCount is how many upstreams a peer's request has, unknown those of them that
	// are not known here yet.
	upstreamCount    int
	unknownUpstreams []AssignmentLoad
	// lastPendingAt is when a peer last told of it, and had not seen its first event.
	lastPendingAt time.Time
	// firstReportedAt is when a peer first told of it; zero for this entry's own.
	firstReportedAt time.Time
	// expiresAt is until when what a peer told counts.
	expiresAt time.Time
}

// assignment is what one request does at one upstream.
type assignment struct {
	upstream *upstream
	request  *request
	job      predictor.Job
	// memoryTokens is the memory it has there, in tokens.
	memoryTokens int
	// prefilledAt is when its prefill is expected to end there.
	prefilledAt time.Time
}

// prefilledAt is when the last part is expected to be prefilled.
func (r *request) prefilledAt() time.Time {
	latest := r.placedAt
	for _, a := range r.assignments {
		if a.prefilledAt.After(latest) {
			latest = a.prefilledAt
		}
	}
	return latest
}

// othersPrefilledAt is when the other parts of the request are expected to be prefilled.
func (a *assignment) othersPrefilledAt() time.Time {
	latest := a.request.placedAt
	for _, o := range a.request.assignments {
		if o != a && o.prefilledAt.After(latest) {
			latest = o.prefilledAt
		}
	}
	return latest
}

// overdue is how long a first event has been late beyond what was expected.
// What a peer told late counts up to when it told.
func (a *assignment) overdue(now time.Time) time.Duration {
	r := a.request
	if r.firstByteSeen || r.gapTarget == 0 {
		return 0
	}
	if !r.expiresAt.IsZero() {
		now = r.lastPendingAt
	}
	return max(0, now.Sub(r.prefilledAt())-paceSlack)
}

// loss is what a request loses by what becomes of one of its parts.
func (a *assignment) loss(projection predictor.Fate, othersPrefilledAt time.Time) float64 {
	r := a.request
	if r.gapTarget == 0 {
		return 0
	}
	prefilledAt := projection.Done
	if othersPrefilledAt.After(prefilledAt) {
		prefilledAt = othersPrefilledAt
	}
	longestGap := time.Duration(0)
	if a.job.Decodes {
		longestGap = projection.Pause
	}
	unfinishedRisk := 0.0
	if a.job.Decodes {
		unfinishedRisk = overProbability(projection.End.Sub(r.placedAt), r.remaining, endFrom, endTo)
	}
	return r.value * lossFraction(prefilledAt.Sub(r.waitingSince), r.firstByteTarget, longestGap, r.gapTarget, unfinishedRisk)
}

package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/predictor"
)

// request is a request of this entry or of a peer, with its assignments to upstreams.
type request struct {
	compactID CompactID
	// organisation sent the request, and rank is its urgency.
	organisation apportioner.Organisation
	rank         apportioner.Rank
	// counted is what the request has added to the use of its service; nil if nothing.
	counted *countedUse
	// ahead is, for own requests, the slotsAhead of the first upstream at the placement; workTimeSeen is true once
	// the work time was recorded.
	ahead        float64
	workTimeSeen bool
	// promptTokens is the length of the prompt, answerTokens the expected length of the answer.
	promptTokens, answerTokens int
	// firstByteTarget and gapTarget are the latency targets of the route; gapTarget is 0 for plain
	// requests.
	firstByteTarget, gapTarget time.Duration
	// value is the value of the answer, in requests (see promptValue).
	value float64
	// placedAt is the time of the placement, waitingSince the time at which the caller began to
	// wait for its first byte or next event.
	placedAt, waitingSince time.Time
	// remaining is the time from placedAt to the caller's deadline for the whole answer; 0 if
	// unknown.
	remaining time.Duration
	// firstByteSeen is true once the first byte of the answer has arrived.
	firstByteSeen bool
	// assignments has an element for each upstream. For own requests the first is the upstream that
	// answers; for those of peers the order is that in which the upstreams were listed at this
	// entry.
	assignments []*assignment
	// upstreamRestarted is true once one of the upstreams has restarted. onRestart is the function
	// set with Placement.OnRestart; nil if there is none, and after it was called.
	upstreamRestarted bool
	onRestart         func()
	// upstreamCount is the number of upstreams of a peer's request, unknownUpstreams the load at
	// those of them that are not in this entry's list yet. Both are unset for own requests.
	upstreamCount    int
	unknownUpstreams []AssignmentLoad
	// lastPendingAt is the time at which a peer last reported that the request has no first byte
	// yet; zero for own requests.
	lastPendingAt time.Time
	// firstReportedAt is the time at which a peer first reported the request; zero for own
	// requests.
	firstReportedAt time.Time
	// expiresAt is the time at which the last report of a peer expires; zero for own requests.
	expiresAt time.Time
}

// assignment is the work of one request at one upstream.
type assignment struct {
	upstream *upstream
	request  *request
	job      predictor.Job
	// memoryTokens is the memory that the request uses at the upstream, in tokens.
	memoryTokens int
	// prefilledAt is the predicted end of the prefill at the upstream; zero until the first
	// projection.
	prefilledAt time.Time
}

// prefilledAt returns the time at which the last shard of the request is predicted to be prefilled.
func (r *request) prefilledAt() time.Time {
	latest := r.placedAt
	for _, a := range r.assignments {
		if a.prefilledAt.After(latest) {
			latest = a.prefilledAt
		}
	}
	return latest
}

// othersPrefilledAt returns the time at which the other shards of the request are predicted to be
// prefilled.
func (a *assignment) othersPrefilledAt() time.Time {
	latest := a.request.placedAt
	for _, o := range a.request.assignments {
		if o != a && o.prefilledAt.After(latest) {
			latest = o.prefilledAt
		}
	}
	return latest
}

// firstEventDelay returns how long ago the first event of the answer was predicted, less
// predictionSlack, while it has not arrived; 0 before that time, once it has arrived, and for plain
// requests. For a peer's request it is the delay as of the peer's last report without the event,
// since the event may have arrived after it.
func (a *assignment) firstEventDelay(now time.Time) time.Duration {
	r := a.request
	if r.firstByteSeen || r.gapTarget == 0 {
		return 0
	}
	if !r.expiresAt.IsZero() {
		now = r.lastPendingAt
	}
	return max(0, now.Sub(r.prefilledAt())-predictionSlack)
}

// loss returns the predicted loss of the request, in requests, if its job at the assignment's
// upstream proceeds as projected and its other shards are prefilled by othersPrefilledAt. It is 0
// for plain requests.
func (a *assignment) loss(projection predictor.Projection, othersPrefilledAt time.Time) float64 {
	r := a.request
	if r.gapTarget == 0 {
		return 0
	}
	prefilledAt := projection.PrefillDone
	if othersPrefilledAt.After(prefilledAt) {
		prefilledAt = othersPrefilledAt
	}
	longestGap := time.Duration(0)
	if a.job.Decodes {
		longestGap = projection.MaxGap
	}
	unfinishedRisk := 0.0
	if a.job.Decodes {
		unfinishedRisk = overProbability(projection.End.Sub(r.placedAt), r.remaining, endFrom, endTo)
	}
	return r.value * lossFraction(prefilledAt.Sub(r.waitingSince), r.firstByteTarget, longestGap, r.gapTarget, unfinishedRisk)
}

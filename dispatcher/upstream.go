package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

// upstream is the state kept of one incarnation of an upstream: its work for all entries, its
// health, and its backpressure.
type upstream struct {
	instance Instance
	// compactID identifies the incarnation in load updates.
	compactID CompactID
	// engine and queue are nil where the upstream is not a model engine.
	engine *matcher.EngineProfile
	queue  *predictor.Queue
	// assignments holds the work at the upstream of requests of this entry and of peers.
	assignments map[*assignment]bool
	// assignmentOf holds the assignments by their job in the queue; empty where there is no queue.
	assignmentOf map[*predictor.Job]*assignment
	health       health
	// coldRate is the number of requests per second that the upstream tolerates while it is cold; 0 if
	// it sets no limit. warmUp applies that limit.
	coldRate float64
	warmUp   warmUp
	// rateShare applies the rate limit in backpressure.
	rateShare rateShare
	// backpressure is what the incarnation has reported about accepting requests.
	backpressure backpressure
	// projections are the predicted courses of the jobs if nothing more is placed there, as of the
	// last call of project.
	projections []predictor.Projection
}

// setService sets the engine profile and the limit while cold from the configuration of the service; s is
// nil for an unknown service.
func (u *upstream) setService(s *matcher.Service) {
	u.engine, u.coldRate = nil, 0
	if s != nil {
		u.engine, u.coldRate = s.Engine, s.ColdRequestsPerSecond
	}
	switch {
	case u.engine == nil:
		u.queue = nil
	case u.queue == nil:
		u.queue = predictor.NewQueue(u.engine)
	default:
		u.queue.SetProfile(u.engine)
	}
}

// add records an assignment whose request was placed now or shortly before.
func (u *upstream) add(now time.Time, a *assignment) {
	u.assignments[a] = true
	if u.queue != nil {
		u.assignmentOf[&a.job] = a
		u.queue.Add(now, &a.job)
	}
}

// remove removes an assignment that has ended.
func (u *upstream) remove(now time.Time, a *assignment) {
	delete(u.assignments, a)
	delete(u.assignmentOf, &a.job)
	if u.queue != nil {
		u.queue.Remove(now, &a.job)
	}
}

// project predicts the course of the assignments if nothing more is placed at the upstream, and
// sets projections and the assignments' prefilledAt.
func (u *upstream) project(now time.Time, simulator *predictor.Simulator) {
	u.queue.SetSlowdown(u.health.slowdown(now))
	u.queue.Advance(now)
	u.projections = append(u.projections[:0], simulator.Simulate(now, u.queue, nil)...)
	for _, projection := range u.projections {
		u.assignmentOf[projection.Job].prefilledAt = projection.PrefillDone
	}
}

// updateJointJobs sets, for each answer of a group that the engine will decode, the time at which
// the group's other engines are predicted to have prefilled their shards. It uses the last
// projections of all upstreams, and reports whether there is any such answer.
func (u *upstream) updateJointJobs() bool {
	found := false
	for a := range u.assignments {
		if a.job.Sharded && a.job.Decodes && !a.request.firstByteSeen {
			a.job.OtherShardsDone = a.othersPrefilledAt()
			found = true
		}
	}
	return found
}

// Load is the work at one upstream of requests of this entry and those that peers report.
type Load struct {
	// Running is the number of requests whose answers come from this upstream, including those that
	// still wait there. Requests that it only helps to prefill are not counted.
	Running int
	// PrefillBacklog is the time that the engine needs to prefill what is left of the prompts
	// placed on it; 0 for plain services.
	PrefillBacklog time.Duration
	// FirstEventDelay is the time by which the most delayed first event of an answer is later than
	// predicted, less a tolerance; 0 if none is. The engine must have at least as much work that no
	// entry has reported.
	FirstEventDelay time.Duration
	// MemoryTokens is the memory in use by requests, in tokens.
	MemoryTokens int
	// FailureRate is the fraction of requests that is expected to fail, from 0 to 1.
	FailureRate float64
}

// load returns the current load, which includes the requests that peers report.
func (u *upstream) load(now time.Time) Load {
	l := Load{FailureRate: u.health.failureRate(now)}
	for a := range u.assignments {
		l.MemoryTokens += a.memoryTokens
		if a.job.Decodes {
			l.Running++
			l.FirstEventDelay = max(l.FirstEventDelay, a.firstEventDelay(now))
		}
	}
	if u.queue != nil {
		u.queue.Advance(now)
		l.PrefillBacklog = u.queue.RemainingPrefillTime(now)
	}
	return l
}

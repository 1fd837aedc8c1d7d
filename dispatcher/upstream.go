package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

// upstream is one upstream on the board.
type upstream struct {
	instance Instance
	// wireID names the run in messages of shares.
	wireID WireID
	// engine is nil where the upstream is not a model engine; queue too.
	engine *matcher.Engine
	queue  *predictor.Queue
	// assignments are what requests do here, those of peers too.
	assignments map[*assignment]bool
	// assignmentOf holds the parts by what the queue has of them.
	assignmentOf map[*predictor.Job]*assignment
	health       health
	// backpressure is what the run said that it takes.
	backpressure backpressure
	// projections are what becomes of the jobs if nothing more is placed here, as of
	// the last look.
	projections []predictor.Fate
}

// setEngine takes in how the upstream works by its service's configuration.
func (u *upstream) setEngine(s *matcher.Service) {
	u.engine = nil
	if s != nil {
		u.engine = s.Engine
	}
	switch {
	case u.engine == nil:
		u.queue = nil
	case u.queue == nil:
		u.queue = predictor.NewQueue(u.engine)
	default:
		u.queue.Reset(u.engine)
	}
}

// add notes a part that arrived now or a little earlier.
func (u *upstream) add(now time.Time, a *assignment) {
	u.assignments[a] = true
	if u.queue != nil {
		u.assignmentOf[&a.job] = a
		u.queue.Add(now, &a.job)
	}
}

// remove notes that a part is over.
func (u *upstream) remove(now time.Time, a *assignment) {
	delete(u.assignments, a)
	delete(u.assignmentOf, &a.job)
	if u.queue != nil {
		u.queue.Remove(now, &a.job)
	}
}

// project foresees what becomes of the parts here, if nothing more is placed.
func (u *upstream) project(now time.Time, forecast *predictor.Forecast) {
	u.queue.SetPace(u.health.pace(now))
	u.queue.Advance(now)
	u.projections = append(u.projections[:0], forecast.Play(now, u.queue, nil)...)
	for _, projection := range u.projections {
		u.assignmentOf[projection.Job].prefilledAt = projection.Done
	}
}

// updateJointJobs tells the queue when the answers that it is to decode are prefilled
// elsewhere, as of the last look at all workers. It reports whether there are any.
func (u *upstream) updateJointJobs() bool {
	found := false
	for a := range u.assignments {
		if a.job.Joint && a.job.Decodes && !a.request.firstByteSeen {
			a.job.Elsewhere = a.othersPrefilledAt()
			found = true
		}
	}
	return found
}

// Load is the work at one upstream, as far as known.
type Load struct {
	// Running is how many requests the upstream answers.
	Running int
	// PrefillBacklog is how long the upstream has yet to prefill.
	PrefillBacklog time.Duration
	// Overdue is how long the most overdue request waits beyond what was expected.
	// An engine that is that late has at least as much to do that nobody told.
	Overdue time.Duration
	// MemoryTokens is the memory used.
	MemoryTokens int
	// FailureRate is the part of requests that is expected to fail.
	FailureRate float64
}

// load is the load that the requests of all entries make, as far as known.
func (u *upstream) load(now time.Time) Load {
	l := Load{FailureRate: u.health.failureRate(now)}
	for a := range u.assignments {
		l.MemoryTokens += a.memoryTokens
		if a.job.Decodes {
			l.Running++
			l.Overdue = max(l.Overdue, a.overdue(now))
		}
	}
	if u.queue != nil {
		u.queue.Advance(now)
		l.PrefillBacklog = u.queue.Left(now)
	}
	return l
}

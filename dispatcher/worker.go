package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

// worker is one upstream on the board.
type worker struct {
	instance Instance
	// token names the run in messages of shares.
	token WireID
	// engine is nil where the upstream is not a model engine; queue too.
	engine *matcher.Engine
	queue  *predictor.Queue
	// parts are what requests do here, those of peers too.
	parts map[*part]bool
	// jobs holds the parts by what the queue has of them.
	jobs   map[*predictor.Job]*part
	health health
	// wish is what the run said that it takes.
	wish wish
	// fates are what becomes of the jobs if nothing more is placed here, as of
	// the last look.
	fates []predictor.Fate
}

// setEngine takes in how the upstream works by its service's configuration.
func (w *worker) setEngine(s *matcher.Service) {
	w.engine = nil
	if s != nil {
		w.engine = s.Engine
	}
	switch {
	case w.engine == nil:
		w.queue = nil
	case w.queue == nil:
		w.queue = predictor.NewQueue(w.engine)
	default:
		w.queue.Reset(w.engine)
	}
}

// add notes a part that arrived now or a little earlier.
func (w *worker) add(now time.Time, p *part) {
	w.parts[p] = true
	if w.queue != nil {
		w.jobs[&p.job] = p
		w.queue.Add(now, &p.job)
	}
}

// remove notes that a part is over.
func (w *worker) remove(now time.Time, p *part) {
	delete(w.parts, p)
	delete(w.jobs, &p.job)
	if w.queue != nil {
		w.queue.Remove(now, &p.job)
	}
}

// look foresees what becomes of the parts here, if nothing more is placed.
func (w *worker) look(now time.Time, f *predictor.Forecast) {
	w.queue.SetPace(w.health.pace(now))
	w.queue.Advance(now)
	w.fates = append(w.fates[:0], f.Play(now, w.queue, nil)...)
	for _, fate := range w.fates {
		w.jobs[fate.Job].done = fate.Done
	}
}

// meet tells the queue when the answers that it is to decode are prefilled
// elsewhere, as of the last look at all workers. It reports whether there are any.
func (w *worker) meet() bool {
	any := false
	for p := range w.parts {
		if p.job.Joint && p.job.Decodes && !p.request.begun {
			p.job.Elsewhere = p.elsewhere()
			any = true
		}
	}
	return any
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
func (w *worker) load(now time.Time) Load {
	l := Load{FailureRate: w.health.rate(now)}
	for p := range w.parts {
		l.MemoryTokens += p.held
		if p.job.Decodes {
			l.Running++
			l.Overdue = max(l.Overdue, p.overdue(now))
		}
	}
	if w.queue != nil {
		w.queue.Advance(now)
		l.PrefillBacklog = w.queue.Left(now)
	}
	return l
}

package caller

import (
	"fmt"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

const (
	// leaveTime is how soon after it passed on an answer that says that an upstream leaves an
	// entry sends that one nothing more that comes to it.
	leaveTime = 2 * time.Second
	// pauseSlack is how soon an entry heeds that an upstream wants nothing for a time, and
	// mostInPause how many requests may reach the upstream all the same.
	pauseSlack  = 500 * time.Millisecond
	mostInPause = 2
)

// arrival is a request's arrival at an upstream.
type arrival struct {
	result Result
	run    worker.Run
}

// BackpressureViolations says which requests of stopped traffics reached upstreams that had told the entry
// that sent them that they leave, or that they want nothing for a time. An entry that was started anew
// or stood still since then is excused, and one that was cut off where an upstream pauses.
func BackpressureViolations(e Observations, traffics ...*Traffic) (broken []string) {
	var results []Result
	var arrivals, refusals []arrival
	for _, x := range traffics {
		results = append(results, x.results...)
	}
	for _, r := range results {
		for _, run := range e.Runs(r.ID) {
			arrivals = append(arrivals, arrival{r, run})
		}
		for _, run := range e.Refusals(r.ID) {
			refusals = append(refusals, arrival{r, run})
		}
	}
	arrivals = append(arrivals, refusals...)
	for _, a := range arrivals {
		for _, r := range results {
			if !r.UpstreamLeaving || r.Upstream != a.run.Upstream || r.Entry != a.result.Entry || !a.result.StartedAt.After(r.EndedAt().Add(leaveTime)) {
				continue
			}
			if told, ok := runAt(e, r); ok && told.Process == a.run.Process && !e.Faults.renewed(r.Entry, r.StartedAt, a.result.EndedAt()) {
				broken = append(broken, fmt.Sprintf("%s %s reached %s %s after an answer of it that said that it leaves", a.result.Path, a.result.ID, r.Upstream, a.run.Began.Sub(r.EndedAt())))
				break
			}
		}
	}
	for _, told := range refusals {
		if told.run.Fault != worker.Pausing {
			continue
		}
		var late []string
		for _, a := range arrivals {
			since := a.run.Began.Sub(told.run.Began)
			if a.result.Entry == told.result.Entry && a.run.Upstream == told.run.Upstream && a.run.Process == told.run.Process && since > pauseSlack && since < worker.PauseTime {
				late = append(late, a.result.ID)
			}
		}
		until := told.run.Began.Add(worker.PauseTime)
		if len(late) > mostInPause && !e.Faults.renewed(told.result.Entry, told.result.StartedAt, until) && !e.Faults.cutSince(told.run.Upstream, told.run.Began, until) {
			broken = append(broken, fmt.Sprintf("%d requests reached %s while it wanted none from %s: %v", len(late), told.run.Upstream, told.result.Entry, late))
		}
	}
	return broken
}

// runAt is the run of a request at the upstream whose answer was passed on.
func runAt(e Observations, r Result) (worker.Run, bool) {
	for _, run := range append(e.Runs(r.ID), e.Refusals(r.ID)...) {
		if run.Upstream == r.Upstream {
			return run, true
		}
	}
	return worker.Run{}, false
}

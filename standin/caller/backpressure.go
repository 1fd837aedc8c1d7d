package caller

import (
	"fmt"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

const (
	// leavingReactionTime is how soon after it passed on an answer that says that an upstream leaves an
	// entry sends that one nothing more that comes to it.
	leavingReactionTime = 2 * time.Second
	// backoffReactionTime is how soon an entry heeds that an upstream wants nothing for a time, and
	// mostInPause how many requests may reach the upstream all the same.
	backoffReactionTime = 500 * time.Millisecond
	maxDuringBackoff    = 2
)

// arrival is a request's arrival at an upstream.
type arrival struct {
	result Result
	run    worker.Run
}

// BackpressureViolations says which requests of stopped traffics reached upstreams that had told the entry
// that sent them that they leave, or that they want nothing for a time. An entry that was started anew
// or stood still since then is excused, and one that was cut off where an upstream pauses.
func BackpressureViolations(observed Observations, traffics ...*Traffic) (violations []string) {
	var results []Result
	var arrivals, refusals []arrival
	for _, x := range traffics {
		results = append(results, x.results...)
	}
	for _, r := range results {
		for _, run := range observed.Runs(r.ID) {
			arrivals = append(arrivals, arrival{r, run})
		}
		for _, run := range observed.Refusals(r.ID) {
			refusals = append(refusals, arrival{r, run})
		}
	}
	arrivals = append(arrivals, refusals...)
	for _, a := range arrivals {
		for _, r := range results {
			if !r.UpstreamLeaving || r.Upstream != a.run.Upstream || r.Entry != a.result.Entry || !a.result.StartedAt.After(r.EndedAt().Add(leavingReactionTime)) {
				continue
			}
			if leavingRun, ok := passedOnRun(observed, r); ok && leavingRun.Process == a.run.Process && !observed.Faults.wasDisturbed(r.Entry, r.StartedAt, a.result.EndedAt()) {
				violations = append(violations, fmt.Sprintf("%s %s reached %s %s after an answer of it that said that it leaves", a.result.Path, a.result.ID, r.Upstream, a.run.Began.Sub(r.EndedAt())))
				break
			}
		}
	}
	for _, refusal := range refusals {
		if refusal.run.Fault != worker.Pausing {
			continue
		}
		var late []string
		for _, a := range arrivals {
			delay := a.run.Began.Sub(refusal.run.Began)
			if a.result.Entry == refusal.result.Entry && a.run.Upstream == refusal.run.Upstream && a.run.Process == refusal.run.Process && delay > backoffReactionTime && delay < worker.PauseTime {
				late = append(late, a.result.ID)
			}
		}
		until := refusal.run.Began.Add(worker.PauseTime)
		if len(late) > maxDuringBackoff && !observed.Faults.wasDisturbed(refusal.result.Entry, refusal.result.StartedAt, until) && !observed.Faults.wasCut(refusal.run.Upstream, refusal.run.Began, until) {
			violations = append(violations, fmt.Sprintf("%d requests reached %s while it wanted none from %s: %v", len(late), refusal.run.Upstream, refusal.result.Entry, late))
		}
	}
	return violations
}

// passedOnRun is the run of a request at the upstream whose answer was passed on.
func passedOnRun(observed Observations, r Result) (worker.Run, bool) {
	for _, run := range append(observed.Runs(r.ID), observed.Refusals(r.ID)...) {
		if run.Upstream == r.Upstream {
			return run, true
		}
	}
	return worker.Run{}, false
}

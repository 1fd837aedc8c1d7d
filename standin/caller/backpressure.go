package caller

import (
	"fmt"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

const (
	// leavingReactionTime is the time within which an entry that forwarded an answer of a
	// leaving upstream stops sending new requests to that upstream.
	leavingReactionTime = 2 * time.Second
	// backoffReactionTime is the time within which an entry applies a backoff that an
	// upstream asked for. maxDuringBackoff is the number of the entry's requests that may
	// reach the upstream during the rest of the backoff.
	backoffReactionTime = 500 * time.Millisecond
	maxDuringBackoff    = 2
)

// arrival is a request that reached an upstream, which ran or refused it.
type arrival struct {
	result Result
	run    worker.Execution
}

// BackpressureViolations describes the requests of stopped traffics that an entry sent
// to an upstream although the same incarnation of the upstream had announced to this
// entry that it was leaving or had asked for a backoff. Entries that were restarted,
// suspended or partitioned since then are excused, and in the case of a backoff also
// all entries if connections to the upstream were cut.
func BackpressureViolations(observed Observations, traffics ...*Traffic) (violations []string) {
	var results []Result
	var arrivals, refusals []arrival
	for _, x := range traffics {
		results = append(results, x.results...)
	}
	for _, r := range results {
		for _, run := range observed.Executions(r.ID) {
			arrivals = append(arrivals, arrival{r, run})
		}
		for _, run := range observed.Refusals(r.ID) {
			refusals = append(refusals, arrival{r, run})
		}
	}
	arrivals = append(arrivals, refusals...)
	for _, a := range arrivals {
		for _, r := range results {
			if !r.UpstreamLeaving || r.Upstream != a.run.WorkerID || r.Entry != a.result.Entry || !a.result.StartedAt.After(r.EndedAt().Add(leavingReactionTime)) {
				continue
			}
			if leavingRun, ok := passedOnRun(observed, r); ok && leavingRun.Incarnation == a.run.Incarnation && !observed.Faults.wasDisturbed(r.Entry, r.StartedAt, a.result.EndedAt()) {
				violations = append(violations, fmt.Sprintf("%s %s: reached upstream %s %s after the entry forwarded an answer in which it announced that it is leaving", a.result.Path, a.result.ID, r.Upstream, a.run.Began.Sub(r.EndedAt())))
				break
			}
		}
	}
	for _, refusal := range refusals {
		if refusal.run.Fault != worker.FaultBackoff {
			continue
		}
		var late []string
		for _, a := range arrivals {
			delay := a.run.Began.Sub(refusal.run.Began)
			if a.result.Entry == refusal.result.Entry && a.run.WorkerID == refusal.run.WorkerID && a.run.Incarnation == refusal.run.Incarnation && delay > backoffReactionTime && delay < worker.BackoffTime {
				late = append(late, a.result.ID)
			}
		}
		until := refusal.run.Began.Add(worker.BackoffTime)
		if len(late) > maxDuringBackoff && !observed.Faults.wasDisturbed(refusal.result.Entry, refusal.result.StartedAt, until) && !observed.Faults.wasCut(refusal.run.WorkerID, refusal.run.Began, until) {
			violations = append(violations, fmt.Sprintf("%d requests reached upstream %s during a backoff that it asked of entry %s: %v", len(late), refusal.run.WorkerID, refusal.result.Entry, late))
		}
	}
	return violations
}

// passedOnRun returns the run or refusal of a request at the upstream whose answer its
// entry forwarded, and whether there is one.
func passedOnRun(observed Observations, r Result) (worker.Execution, bool) {
	for _, run := range append(observed.Executions(r.ID), observed.Refusals(r.ID)...) {
		if run.WorkerID == r.Upstream {
			return run, true
		}
	}
	return worker.Execution{}, false
}

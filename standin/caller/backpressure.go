package caller

import (
	"fmt"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

const (
	// leavingReactionTime is the time after which an entry must no longer send new
	// requests to an upstream, once it has forwarded an answer in which the upstream
	// announced that it is leaving.
	leavingReactionTime = 2 * time.Second
	// backoffReactionTime is the time within which an entry applies a backoff that an
	// upstream asked for. maxDuringBackoff is the number of the entry's requests that may
	// reach the upstream during the rest of the backoff.
	backoffReactionTime = 500 * time.Millisecond
	maxDuringBackoff    = 2
)

// arrival is a request that reached an upstream, with the upstream's record of its
// execution or refusal.
type arrival struct {
	result    Result
	execution worker.Execution
}

// BackpressureViolations returns a text for each request that an entry sent to an
// upstream although the same incarnation of the upstream had announced to this entry that
// it was leaving, and one for each backoff during which the entry sent more than
// maxDuringBackoff requests. The traffics must be stopped. Requests within the reaction
// times are allowed. No text is returned if the entry was restarted, suspended or
// partitioned since then or, after a backoff, if connections to the upstream were cut.
func BackpressureViolations(observed Observations, traffics ...*Traffic) (violations []string) {
	var results []Result
	var arrivals, refusals []arrival
	for _, x := range traffics {
		results = append(results, x.results...)
	}
	for _, r := range results {
		for _, execution := range observed.Executions(r.ID) {
			arrivals = append(arrivals, arrival{r, execution})
		}
		for _, execution := range observed.Refusals(r.ID) {
			refusals = append(refusals, arrival{r, execution})
		}
	}
	arrivals = append(arrivals, refusals...)
	for _, a := range arrivals {
		for _, r := range results {
			if !r.UpstreamLeaving || r.Upstream != a.execution.WorkerID || r.Entry != a.result.Entry || !a.result.StartedAt.After(r.EndedAt().Add(leavingReactionTime)) {
				continue
			}
			if leavingExecution, ok := forwardedExecution(observed, r); ok && leavingExecution.Incarnation == a.execution.Incarnation && !observed.Faults.wasDisturbed(r.Entry, r.StartedAt, a.result.EndedAt()) {
				violations = append(violations, fmt.Sprintf("%s %s: reached upstream %s %s after the entry forwarded an answer in which that upstream announced that it is leaving", a.result.Path, a.result.ID, r.Upstream, a.execution.Began.Sub(r.EndedAt())))
				break
			}
		}
	}
	for _, refusal := range refusals {
		if refusal.execution.Fault != worker.FaultBackoff {
			continue
		}
		var late []string
		for _, a := range arrivals {
			delay := a.execution.Began.Sub(refusal.execution.Began)
			if a.result.Entry == refusal.result.Entry && a.execution.WorkerID == refusal.execution.WorkerID && a.execution.Incarnation == refusal.execution.Incarnation && delay > backoffReactionTime && delay < worker.BackoffTime {
				late = append(late, a.result.ID)
			}
		}
		until := refusal.execution.Began.Add(worker.BackoffTime)
		if len(late) > maxDuringBackoff && !observed.Faults.wasDisturbed(refusal.result.Entry, refusal.result.StartedAt, until) && !observed.Faults.wasCut(refusal.execution.WorkerID, refusal.execution.Began, until) {
			violations = append(violations, fmt.Sprintf("%d requests reached upstream %s during a backoff that it asked of entry %s: %v", len(late), refusal.execution.WorkerID, refusal.result.Entry, late))
		}
	}
	return violations
}

// forwardedExecution returns the record of a request at the upstream whose answer the
// entry forwarded: an execution or a refusal. It returns false if that upstream has no
// record of the request.
func forwardedExecution(observed Observations, r Result) (worker.Execution, bool) {
	for _, execution := range append(observed.Executions(r.ID), observed.Refusals(r.ID)...) {
		if execution.WorkerID == r.Upstream {
			return execution, true
		}
	}
	return worker.Execution{}, false
}

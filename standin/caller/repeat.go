package caller

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

const (
	// CrashPath is the path of requests that crash every upstream that runs them.
	CrashPath = "/stream/crash"
	// quarantineCrashes is the number of crashed incarnations after which entries must
	// quarantine equal requests. maxRequestsAfterQuarantine is the number of such
	// requests that may still reach upstreams afterwards.
	quarantineCrashes, maxRequestsAfterQuarantine = 3, 3
	// quarantineCrashesByPart is the same number for requests that share a part of their
	// prompts only.
	quarantineCrashesByPart = 5
	// convergenceTime is the time within which every entry has received the crashes that the
	// others recorded, once no fault disrupts the exchange between entries.
	convergenceTime = 3 * time.Second
)

// NewRepeatingTraffic starts callers that send equal requests to one path, each with a
// new id, to any entry that the directory lists, with a pause before each.
func NewRepeatingTraffic(name string, callers int, path string, pause time.Duration, newCaller func(n int) *Caller) *Traffic {
	return newTraffic(name, callers, newCaller, func(int) (string, time.Duration) { return path, pause })
}

// RepeatViolations checks a stopped repeating traffic whose requests are equal and crash
// upstreams, as CrashViolations does.
func (x *Traffic) RepeatViolations(observed Observations) (violations []string) {
	return x.CrashViolations(observed, quarantineCrashes)
}

// PartViolations checks a stopped repeating traffic whose requests crash upstreams by a part
// of their prompts, as CrashViolations does.
func (x *Traffic) PartViolations(observed Observations) (violations []string) {
	return x.CrashViolations(observed, quarantineCrashesByPart)
}

// CrashViolations checks a stopped repeating traffic whose requests crash upstreams. It
// returns a violation if more than maxRequestsAfterQuarantine of the requests reached
// upstreams after the given number of incarnations had crashed. Requests are left out if their entry
// was stopped or killed, or any entries were partitioned, at the time: the entry may not
// have received the crashes.
func (x *Traffic) CrashViolations(observed Observations, quarantineCrashes int) (violations []string) {
	var executions []worker.Execution
	resultOf := map[string]Result{}
	for _, r := range x.results {
		resultOf[r.ID] = r
		executions = append(executions, observed.Executions(r.ID)...)
	}
	slices.SortFunc(executions, func(a, b worker.Execution) int { return a.Ended.Compare(b.Ended) })
	var crashes []worker.Execution // one per crashed incarnation
	for _, r := range executions {
		isCounted := slices.ContainsFunc(crashes, func(o worker.Execution) bool { return o.WorkerID == r.WorkerID && o.Incarnation == r.Incarnation })
		if r.Crashed && !isCounted {
			crashes = append(crashes, r)
		}
	}
	if len(crashes) < quarantineCrashes {
		return nil
	}
	quarantinedAt := crashes[quarantineCrashes-1].Ended
	lateIDs := map[string]bool{}
	for _, execution := range executions {
		r := resultOf[execution.RequestID]
		if r.StartedAt.After(quarantinedAt.Add(convergenceTime)) && observed.Faults.wasInContact(r) {
			lateIDs[r.ID] = true
		}
	}
	if len(lateIDs) > maxRequestsAfterQuarantine {
		violations = append(violations, fmt.Sprintf("%s: %d requests reached upstreams after equal requests had crashed enough upstreams for a quarantine, %d executions in total", x.name, len(lateIDs), len(executions)))
	}
	return violations
}

// quarantinedReason is the JSON text of the reason in an entry's refusal of a
// quarantined request.
const quarantinedReason = `"quarantined"`

// falseQuarantine returns a violation if a request that crashes no upstream was
// refused as quarantined.
func (r Result) falseQuarantine() []string {
	if worker.IsCrashPath(r.Path) || !strings.Contains(r.Body, quarantinedReason) {
		return nil
	}
	return []string{fmt.Sprintf("%s %s: crashes no upstream, but was refused as quarantined", r.Path, r.ID)}
}

// wasInContact reports whether the entry that received a request could exchange messages
// with the other entries: from convergenceTime before the request until its end, the
// entry was neither stopped nor killed, and no partition of entries was recorded.
func (x *FaultLog) wasInContact(r Result) bool {
	return !x.wasDisturbed(r.Entry, r.StartedAt.Add(-convergenceTime), r.EndedAt())
}

// wasDisturbed reports whether, between two times, an entry was stopped or killed, or a
// partition of any entries was recorded. A stopped or killed entry is regarded as
// disturbed for maxRestartTime after its exit.
func (x *FaultLog) wasDisturbed(entry netip.AddrPort, from, to time.Time) bool {
	x.lock.Lock()
	defer x.lock.Unlock()
	for _, s := range x.shutdowns {
		if s.entry == entry.Addr() && s.signalledAt.Before(to) && (s.exitedAt.IsZero() || s.exitedAt.Add(maxRestartTime).After(from)) {
			return true
		}
	}
	for _, k := range x.kills {
		if k.entry == entry.Addr() && k.at.Before(to) && k.at.Add(maxRestartTime).After(from) {
			return true
		}
	}
	for _, p := range x.partitions {
		if p.from.Before(to) && (p.to.IsZero() || p.to.After(from)) {
			return true
		}
	}
	return false
}

// wasCut reports whether connections to an upstream were cut between two times.
func (x *FaultLog) wasCut(upstream string, from, to time.Time) bool {
	x.lock.Lock()
	defer x.lock.Unlock()
	return x.hasCut(from, to, upstream, false)
}

// maxRestartTime is the maximum time from the exit of an entry until it runs again.
const maxRestartTime = 10 * time.Second

// RecordPartition records that some entries are about to lose contact with others or
// to be suspended. The returned function records the end.
func (x *FaultLog) RecordPartition() (end func()) {
	return x.record(&x.partitions, &outage{from: time.Now()})
}

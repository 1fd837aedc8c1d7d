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
	// CrashPath is that of a request that crashes whatever runs it.
	CrashPath = "/stream/crash"
	// quarantineCrashes is under how many upstreams that ended a request is known for it, and
	// maxRequestsAfterQuarantine how often it may be sent to upstreams after that.
	quarantineCrashes, maxRequestsAfterQuarantine = 3, 3
	// convergenceTime is how soon after a disruption entries know what the others know.
	convergenceTime = 3 * time.Second
)

// NewRepeatingTraffic starts callers that ask for one thing again and again, each time under a
// new id, at whichever entry the directory names, with a pause between.
func NewRepeatingTraffic(name string, callers int, path string, pause time.Duration, newCaller func(n int) *Caller) *Traffic {
	return newTraffic(name, callers, newCaller, func(int) (string, time.Duration) { return path, pause })
}

// RepeatViolations says whether the requests of a stopped repeater reached upstreams more often
// than they may once upstreams had ended under three of them. Those sent by entries
// out of contact with the others don't count: around a disruption of theirs, or of all.
func (x *Traffic) RepeatViolations(observed Observations) (violations []string) {
	var runs []worker.Run
	resultOf := map[string]Result{}
	for _, r := range x.results {
		resultOf[r.ID] = r
		runs = append(runs, observed.Runs(r.ID)...)
	}
	slices.SortFunc(runs, func(a, b worker.Run) int { return a.Ended.Compare(b.Ended) })
	var crashes []worker.Run // one of each process that ended
	for _, r := range runs {
		isCounted := slices.ContainsFunc(crashes, func(o worker.Run) bool { return o.Upstream == r.Upstream && o.Process == r.Process })
		if r.Crashed && !isCounted {
			crashes = append(crashes, r)
		}
	}
	if len(crashes) < quarantineCrashes {
		return nil
	}
	quarantinedAt := crashes[quarantineCrashes-1].Ended
	lateIDs := map[string]bool{}
	for _, run := range runs {
		r := resultOf[run.ID]
		if r.StartedAt.After(quarantinedAt.Add(convergenceTime)) && observed.Faults.wasInContact(r) {
			lateIDs[r.ID] = true
		}
	}
	if len(lateIDs) > maxRequestsAfterQuarantine {
		violations = append(violations, fmt.Sprintf("%s: a request under which upstreams had ended was sent to upstreams %d times more, %d runs in all", x.name, len(lateIDs), len(runs)))
	}
	return violations
}

// quarantinedReason is the reason that entries give.
const quarantinedReason = `"quarantined"`

// falseQuarantine says whether a request that crashes nothing was refused as one that does.
func (r Result) falseQuarantine() []string {
	if worker.Crashes(r.Path) || !strings.Contains(r.Body, quarantinedReason) {
		return nil
	}
	return []string{fmt.Sprintf("%s %s crashes nothing and was refused for crashes", r.Path, r.ID)}
}

// wasInContact reports whether the entry that took a request was in contact with others
// when it came: nothing had been done to it, to the ways between entries or to all entries
// for a while.
func (x *FaultLog) wasInContact(r Result) bool {
	return !x.wasDisturbed(r.Entry, r.StartedAt.Add(-convergenceTime), r.EndedAt())
}

// wasDisturbed reports whether an entry was killed, stopped or stood still between two times.
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

// wasCut reports whether an upstream was cut off between two times.
func (x *FaultLog) wasCut(upstream string, from, to time.Time) bool {
	x.lock.Lock()
	defer x.lock.Unlock()
	return x.hasCut(from, to, upstream, false)
}

// maxRestartTime is how long an entry that ended takes to be started again, at most.
const maxRestartTime = 10 * time.Second

// RecordPartition notes that some entries are about to lose others or to stand still; what it returns
// notes that it is over.
func (x *FaultLog) RecordPartition() (end func()) {
	return x.record(&x.partitions, &outage{from: time.Now()})
}

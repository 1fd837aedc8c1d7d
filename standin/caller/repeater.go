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
	// mostCrashes is under how many upstreams that ended a request is known for it, and
	// mostRepeats how often it may be sent to upstreams after that.
	mostCrashes, mostRepeats = 3, 3
	// contactTime is how soon after a disruption entries know what the others know.
	contactTime = 3 * time.Second
)

// NewRepeatingTraffic starts callers that ask for one thing again and again, each time under a
// new id, at whichever entry the directory names, with a pause between.
func NewRepeatingTraffic(name string, callers int, path string, pause time.Duration, newCaller func(n int) *Caller) *Traffic {
	return newTraffic(name, callers, newCaller, func(int) (string, time.Duration) { return path, pause })
}

// RepeatViolations says whether the requests of a stopped repeater reached upstreams more often
// than they may once upstreams had ended under three of them. Those sent by entries
// out of contact with the others don't count: around a disruption of theirs, or of all.
func (x *Traffic) RepeatViolations(e Observations) (broken []string) {
	var runs []worker.Run
	entries := map[string]Result{}
	for _, r := range x.results {
		entries[r.ID] = r
		runs = append(runs, e.Runs(r.ID)...)
	}
	slices.SortFunc(runs, func(a, b worker.Run) int { return a.Ended.Compare(b.Ended) })
	var crashes []worker.Run // one of each process that ended
	for _, r := range runs {
		counted := slices.ContainsFunc(crashes, func(o worker.Run) bool { return o.Upstream == r.Upstream && o.Process == r.Process })
		if r.Crashed && !counted {
			crashes = append(crashes, r)
		}
	}
	if len(crashes) < mostCrashes {
		return nil
	}
	known := crashes[mostCrashes-1].Ended
	late := map[string]bool{}
	for _, run := range runs {
		r := entries[run.ID]
		if r.StartedAt.After(known.Add(contactTime)) && e.Faults.inContact(r) {
			late[r.ID] = true
		}
	}
	if len(late) > mostRepeats {
		broken = append(broken, fmt.Sprintf("%s: a request under which upstreams had ended was sent to upstreams %d times more, %d runs in all", x.name, len(late), len(runs)))
	}
	return broken
}

// refusedForCrashes is the reason that entries give.
const refusedForCrashes = `"quarantined"`

// blamed says whether a request that crashes nothing was refused as one that does.
func (r Result) blamed() []string {
	if worker.Crashes(r.Path) || !strings.Contains(r.Body, refusedForCrashes) {
		return nil
	}
	return []string{fmt.Sprintf("%s %s crashes nothing and was refused for crashes", r.Path, r.ID)}
}

// inContact reports whether the entry that took a request was in contact with others
// when it came: nothing had been done to it, to the ways between entries or to all entries
// for a while.
func (x *FaultLog) inContact(r Result) bool {
	return !x.renewed(r.Entry, r.StartedAt.Add(-contactTime), r.EndedAt())
}

// renewed reports whether an entry was killed, stopped or stood still between two times.
func (x *FaultLog) renewed(entry netip.AddrPort, from, to time.Time) bool {
	x.lock.Lock()
	defer x.lock.Unlock()
	for _, s := range x.stops {
		if s.entry == entry.Addr() && s.at.Before(to) && (s.ended.IsZero() || s.ended.Add(startTime).After(from)) {
			return true
		}
	}
	for _, k := range x.kills {
		if k.entry == entry.Addr() && k.at.Before(to) && k.at.Add(startTime).After(from) {
			return true
		}
	}
	for _, p := range x.parted {
		if p.from.Before(to) && (p.to.IsZero() || p.to.After(from)) {
			return true
		}
	}
	return false
}

// cutSince reports whether an upstream was cut off between two times.
func (x *FaultLog) cutSince(upstream string, from, to time.Time) bool {
	x.lock.Lock()
	defer x.lock.Unlock()
	return x.cutBetween(from, to, upstream, false)
}

// startTime is how long an entry that ended takes to be started again, at most.
const startTime = 10 * time.Second

// RecordPartition notes that some entries are about to lose others or to stand still; what it returns
// notes that it is over.
func (x *FaultLog) RecordPartition() (joined func()) {
	return x.note(&x.parted, &cut{from: time.Now()})
}

// Package asserter counts violated invariants. In production a violation is counted and
// logged, and the request concerned fails. In tests it fails the test.
package asserter

import (
	"fmt"
	"maps"
	"sync"
)

// The names of the asserted invariants, as they appear in logs and the status. The comment of each
// states the invariant.
const (
	// OutlivedLimit: no admitted request is released later after its deadline than the server
	// allows, unless the process was suspended.
	OutlivedLimit = "OutlivedLimit"
	// NotRunAfterSend: a request is never reported as not run after a byte of it was sent to
	// an upstream, unless that upstream reported that it did not run the request.
	NotRunAfterSend = "NotRunAfterSend"
	// ForeignChunk: no caller receives a chunk of another request.
	ForeignChunk = "ForeignChunk"
	// SecondDispatch: a request that may run at most once is not sent a second time.
	SecondDispatch = "SecondDispatch"
	// RevisionWentBack: the revision of the configuration in force never decreases.
	RevisionWentBack = "RevisionWentBack"
	// LeakedFlight: a request is removed from the table of requests in flight exactly once.
	LeakedFlight = "LeakedFlight"
	// SentToLeaving: no request is sent to an upstream that is known to be shutting down.
	SentToLeaving = "SentToLeaving"
)

// Asserter counts violations by the name of the invariant. It is safe for concurrent use.
type Asserter struct {
	// report is called with every violation, without holding the lock; may be nil.
	report func(name, detail string)

	lock   sync.Mutex
	counts map[string]int
}

// New returns an Asserter that passes each violation, with the invariant's name and a detail, to
// report. The function may be nil; tests pass one that fails the test.
func New(report func(name, detail string)) *Asserter {
	return &Asserter{report: report, counts: map[string]int{}}
}

// Check returns holds. If it is false, it counts a violation of the named invariant and
// reports it with a detail formatted from format and args.
func (a *Asserter) Check(holds bool, name, format string, args ...any) bool {
	if holds {
		return true
	}
	a.lock.Lock()
	a.counts[name]++
	a.lock.Unlock()
	if a.report != nil {
		a.report(name, fmt.Sprintf(format, args...))
	}
	return false
}

// Violations returns a copy of the counts so far, by the name of the invariant.
func (a *Asserter) Violations() map[string]int {
	a.lock.Lock()
	defer a.lock.Unlock()
	return maps.Clone(a.counts)
}

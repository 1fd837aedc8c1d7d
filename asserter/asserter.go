// Package asserter checks invariants at run time and counts violations. In production a violation
// is logged and the request concerned fails; in tests it fails the test. A function given to New
// does so.
package asserter

import (
	"fmt"
	"maps"
	"sync"
)

// The names of the asserted invariants, as they appear in logs and in api.Status.Violations. Each
// is named after its violation; its comment states the invariant.
const (
	// OutlivedLimit: every admitted request ends before its deadline or at most the server's
	// allowance after it, unless the process was suspended.
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
	// SentToLeaving: no request is sent to an upstream that, as far as the entry knows, is shutting
	// down.
	SentToLeaving = "SentToLeaving"
)

// Asserter counts the violations of each invariant by its name. It is safe for concurrent use.
type Asserter struct {
	// report is called for every violation, without holding the lock; may be nil.
	report func(name, detail string)

	lock   sync.Mutex
	counts map[string]int
}

// New returns an Asserter that calls report for each violation, with the name of the invariant and
// the detail given to Check. Report may be nil; in tests it fails the test.
func New(report func(name, detail string)) *Asserter {
	return &Asserter{report: report, counts: map[string]int{}}
}

// Check returns holds. If holds is false, Check counts a violation of the named invariant and
// reports it, with a detail formatted from format and args as by fmt.Sprintf.
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

// Violations returns the number of violations so far of each violated invariant, by its name.
func (a *Asserter) Violations() map[string]int {
	a.lock.Lock()
	defer a.lock.Unlock()
	return maps.Clone(a.counts)
}

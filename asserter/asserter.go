// Package asserter counts broken invariants. In production a violation is
// counted and logged and the request it concerns fails; in tests it is fatal.
package asserter

import (
	"fmt"
	"maps"
	"sync"
)

// Names of the invariants that the product asserts.
const (
	// OutlivedLimit: no admitted request outlives its limit plus the slack.
	OutlivedLimit = "OutlivedLimit"
	// NotRunAfterSend: a request of which a byte left for an upstream that
	// has not disowned it is never called not run.
	NotRunAfterSend = "NotRunAfterSend"
	// ForeignChunk: no chunk of another request reaches a caller.
	ForeignChunk = "ForeignChunk"
	// SecondDispatch: a request that may run at most once is sent once.
	SecondDispatch = "SecondDispatch"
	// RevisionWentBack: the configuration in force never goes back.
	RevisionWentBack = "RevisionWentBack"
	// LeakedFlight: a request leaves the table of requests in flight once.
	LeakedFlight = "LeakedFlight"
	// SentToLeaving: no request is sent to an upstream known to be leaving.
	SentToLeaving = "SentToLeaving"
)

// Asserter counts violations by invariant. It is safe for concurrent use.
type Asserter struct {
	// report is called with every violation, outside the lock.
	report func(name, detail string)

	lock   sync.Mutex
	counts map[string]int
}

// New returns an asserter that passes each violation to report, which may be
// nil. Tests pass a function that fails the test.
func New(report func(name, detail string)) *Asserter {
	return &Asserter{report: report, counts: map[string]int{}}
}

// Check counts a violation of the named invariant unless holds is true, and
// returns holds.
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

// Violations returns the counts so far.
func (a *Asserter) Violations() map[string]int {
	a.lock.Lock()
	defer a.lock.Unlock()
	return maps.Clone(a.counts)
}

package follower_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/follower"
)

const (
	// tickPeriod is the time step of a simulation.
	tickPeriod = 100 * time.Millisecond
	// readTicks is the interval at which readers read the store, heartbeatTicks that at
	// which entries exchange their states, in ticks.
	readTicks, heartbeatTicks = 4, 2
	// staleAge is the age of a confirmation from which an entry reads the store itself.
	staleAge = 1200 * time.Millisecond
	// removalBound is the time for which a removed upstream may still get work.
	removalBound = 2 * time.Second
	// failureFreeTime is the minimum time since a store call of the entry last failed, and
	// since the calls of all entries last failed at once, for removalBound to be checked.
	failureFreeTime = 3 * time.Second
)

// simEntry is one entry of a simulation.
type simEntry struct {
	*follower.Follower
	// isReader is true if the entry reads the store even while its confirmation is fresh.
	isReader bool
	// failing is true while the store fails the entry's calls, failedAt is when a call of
	// the entry last failed.
	failing  bool
	failedAt time.Time
}

// simulation has three entries and a store that lists one upstream. Two entries read the
// store, and all exchange their states.
type simulation struct {
	t       *testing.T
	name    string
	now     time.Time
	tick    int
	changes []follower.Listed
	entries []*simEntry
	// listed is true while the upstream is registered, lapsed from the lapse of its
	// registration in an outage until it registers again.
	listed bool
	lapsed bool
	// removedAt is when the upstream was removed intentionally; zero before. allFailedAt is
	// when the store last failed all entries. recoveredAt is when it served an entry again
	// after a lapse; zero until then.
	removedAt, allFailedAt, recoveredAt time.Time
	// hasLease is true if registrations lapse only after renewalInterval and registrationLease of an outage.
	hasLease bool
	// servedAt is the last time at which the store served an entry, outages how often it has failed all entries.
	servedAt time.Time
	outages  int
	// isShortOutage is true if the upstream was removed during or after the only outage, of at most shortOutage, and no call
	// has failed since that outage.
	isShortOutage bool
}

const (
	registrationLease, renewalInterval = 3600 * time.Millisecond, 1200 * time.Millisecond
	// shortOutage is the time without service that a connection to the store causes that fails silently.
	shortOutage = 1600 * time.Millisecond
)

func newSimulation(t *testing.T, name string, hasLease bool) *simulation {
	o := &simulation{t: t, name: name, now: start, listed: true, changes: []follower.Listed{ready("a", 1)}, hasLease: hasLease}
	for i := range 3 {
		e := &simEntry{Follower: follower.New(), isReader: i < 2}
		if hasLease {
			e.SetRegistrationLease(registrationLease, renewalInterval)
		}
		o.entries = append(o.entries, e)
	}
	o.run(20)
	return o
}

func (o *simulation) failsAll() bool {
	return !slices.ContainsFunc(o.entries, func(e *simEntry) bool { return !e.failing })
}

// apply applies an event, and reports whether it is possible in the present state.
func (o *simulation) apply(what string) bool {
	switch what {
	case "fail all", "fail first", "fail second", "fail both":
		failing := map[string][]bool{"fail all": {true, true, true}, "fail first": {true, false, false}, "fail second": {false, true, false}, "fail both": {true, true, false}}[what]
		for i, e := range o.entries {
			e.failing = failing[i]
		}
		o.isShortOutage = false
	case "recover":
		for _, e := range o.entries {
			e.failing = false
		}
	case "lapse":
		if !o.listed || !o.failsAll() || o.hasLease && o.now.Sub(o.servedAt) < registrationLease-renewalInterval {
			return false
		}
		o.listed, o.lapsed, o.recoveredAt = false, true, time.Time{}
		o.changes = append(o.changes, gone("a", int64(len(o.changes)+1)))
	case "remove":
		isCalm := !o.failsAll() && o.now.Sub(o.allFailedAt) >= failureFreeTime
		isServed := !slices.ContainsFunc(o.entries, func(e *simEntry) bool { return e.failing })
		o.isShortOutage = o.hasLease && (isServed || o.failsAll()) && o.outages <= 1 && o.now.Sub(o.servedAt) <= shortOutage
		if !o.listed || !isCalm && !o.isShortOutage {
			return false
		}
		o.listed, o.removedAt = false, o.now
		o.changes = append(o.changes, gone("a", int64(len(o.changes)+1)))
	case "return":
		if !o.lapsed || o.failsAll() {
			return false
		}
		o.listed, o.lapsed = true, false
		o.changes = append(o.changes, ready("a", int64(len(o.changes)+1)))
	}
	return true
}

// run advances the simulation by a number of ticks and checks the state after each.
func (o *simulation) run(ticks int) {
	for range ticks {
		o.now = o.now.Add(tickPeriod)
		o.tick++
		if o.failsAll() {
			if o.allFailedAt.Before(o.servedAt) {
				o.outages++
			}
			o.allFailedAt = o.now
		} else if o.recoveredAt.IsZero() {
			o.recoveredAt = o.now
		}
		for i, e := range o.entries {
			e.Tick(o.now)
			age, known := e.ConfirmationAge(o.now)
			if o.tick%readTicks == i && (e.isReader || !known || age > staleAge) {
				o.read(e)
			}
		}
		if o.tick%heartbeatTicks == 0 {
			o.exchange()
		}
		o.isShortOutage = o.isShortOutage && o.now.Sub(o.servedAt) <= shortOutage
		o.check()
	}
}

// read makes a store call of an entry: a complete read if it has no state, else a watch.
func (o *simulation) read(e *simEntry) {
	if e.failing {
		e.RecordOwnStoreFailure(o.now)
		e.failedAt = o.now
		return
	}
	s := follower.State{Revision: int64(len(o.changes)), Config: []byte("c"), ConfigRevision: 1}
	if e.Revision() > 0 {
		s.Instances = o.changes[e.Revision():]
		o.servedAt = o.now
		e.ApplyStoreRead(o.now, s, false)
		return
	}
	s.Instances = o.changes[len(o.changes)-1:]
	o.servedAt = o.now
	e.ApplyStoreRead(o.now, s, true)
}

// exchange passes the state of each entry to each other one, as heartbeats and fetches do.
func (o *simulation) exchange() {
	for _, from := range o.entries {
		for _, to := range o.entries {
			age, confirmed := from.ConfirmationAge(o.now)
			if from == to || !confirmed {
				continue
			}
			if failureAge, ever := from.StoreFailureAge(o.now); ever {
				to.RecordStoreFailure(o.now.Add(-failureAge))
			}
			if from.Fingerprint() == to.Fingerprint() {
				to.Confirm(o.now.Add(-age))
				continue
			}
			if from.Revision() <= to.Revision() {
				continue
			}
			s, complete := from.ChangesSince(o.now, to.Position(), follower.ConfigStamp{})
			if complete {
				to.ApplyPeerSnapshot(o.now, s)
			} else {
				to.ApplyChanges(o.now, s)
			}
			to.Confirm(o.now.Add(-age))
		}
	}
}

// check fails the test if an entry uses a removed upstream for too long, or drops a lapsed one
// too early.
func (o *simulation) check() {
	for i, e := range o.entries {
		isUsable := usableIDs(e.Follower) == "a"
		hadNoFailure := o.now.Sub(e.failedAt) > failureFreeTime && o.now.Sub(o.allFailedAt) > failureFreeTime
		if !o.removedAt.IsZero() && !o.listed && isUsable && (hadNoFailure || o.isShortOutage) && o.now.Sub(o.removedAt) >= removalBound {
			o.t.Fatalf("%s: entry %d still uses the upstream %s after its removal", o.name, i, o.now.Sub(o.removedAt))
		}
		sawOutage := o.now.Sub(e.failedAt) < minRetention
		if o.lapsed && sawOutage && !isUsable && (o.recoveredAt.IsZero() || o.now.Sub(o.recoveredAt) < removalBound) {
			o.t.Fatalf("%s: entry %d dropped a lapsed upstream %s after the outage", o.name, i, o.now.Sub(o.recoveredAt))
		}
	}
}

// minRetention is the time after a failure for which an entry has to retain a lapsed
// upstream.
const minRetention = 2 * time.Second

// The store fails all, some or one of the entries, and the upstream's registration lapses, is
// removed and returns, in every order of up to five events and at two paces. In no order does
// a removed upstream get work after two seconds from an entry that the store did not fail, or
// does an entry that saw the outage drop a lapsed upstream. After the store recovers, all
// entries use a registered upstream within three seconds. With a known lease, no entry uses a removed upstream after two
// seconds if the store was away for too short a time for its registration to lapse.
func TestRemovalsAndLapsesInEveryOrder(t *testing.T) {
	for _, hasLease := range []bool{false, true} {
		t.Run(fmt.Sprintf("lease known %t", hasLease), func(t *testing.T) { testEveryOrder(t, hasLease) })
	}
}

func testEveryOrder(t *testing.T, hasLease bool) {
	alphabet := []string{"fail all", "fail first", "fail second", "fail both", "recover", "lapse", "remove", "return"}
	cases := 0
	var extend func(prefix []string)
	extend = func(prefix []string) {
		if len(prefix) > 0 {
			for _, ticks := range []int{5, 13} {
				if !simulate(t, prefix, ticks, hasLease) {
					return
				}
				cases++
			}
		}
		if len(prefix) == 5 {
			return
		}
		for _, what := range alphabet {
			extend(append(slices.Clone(prefix), what))
		}
	}
	extend(nil)
	if cases < 1000 {
		t.Fatalf("only %d cases were possible, at least 1000 expected", cases)
	}
	t.Logf("%d cases", cases)
}

// simulate runs a sequence of events, and reports whether all of them were possible.
func simulate(t *testing.T, events []string, ticks int, hasLease bool) bool {
	o := newSimulation(t, fmt.Sprintf("%v every %d ticks", events, ticks), hasLease)
	for _, what := range events {
		if !o.apply(what) {
			return ticks != 5 // only an event that is impossible at the faster pace ends this branch
		}
		o.run(ticks)
	}
	o.apply("recover")
	o.run(30)
	for i, e := range o.entries {
		if isUsable := usableIDs(e.Follower) == "a"; o.listed && !isUsable {
			t.Fatalf("%s: entry %d does not use the upstream that is registered again", o.name, i)
		}
	}
	return true
}

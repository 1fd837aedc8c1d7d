package follower_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/follower"
)

const (
	// tickPeriod is the step of the enumeration's time.
	tickPeriod = 100 * time.Millisecond
	// readTicks and beatTicks are how often readers read the store, and entries
	// tell each other what they believe.
	readTicks, heartbeatTicks = 4, 2
	// staleAge is the age of a confirmation from which an entry reads for itself.
	staleAge = 1200 * time.Millisecond
	// removalBound is the time in which a removed upstream may still get work.
	removalBound = 2 * time.Second
	// failureFreeTime is how long an entry must not have been failed, and the store not
	// have failed everybody, for the bound to hold.
	failureFreeTime = 3 * time.Second
)

// simEntry is one entry of the enumeration.
type simEntry struct {
	*follower.Follower
	isReader bool
	// failing is true while the store turns it away, failedAt when it last did.
	failing  bool
	failedAt time.Time
}

// simulation is three entries before a store that lists one upstream: two of them read
// it, and all tell each other.
type simulation struct {
	t       *testing.T
	name    string
	now     time.Time
	tick    int
	changes []follower.Listed
	entries []*simEntry
	listed  bool
	lapsed  bool
	// removedAt is that of a removal that was meant; zero before. allFailedAt is when
	// the store last failed everybody, mendedAt when it served somebody again after a
	// lapse; zero while it doesn't.
	removedAt, allFailedAt, recoveredAt time.Time
}

func newSimulation(t *testing.T, name string) *simulation {
	o := &simulation{t: t, name: name, now: start, listed: true, changes: []follower.Listed{ready("a", 1)}}
	for i := range 3 {
		o.entries = append(o.entries, &simEntry{Follower: follower.New(), isReader: i < 2})
	}
	o.run(8)
	return o
}

func (o *simulation) failsAll() bool {
	return !slices.ContainsFunc(o.entries, func(e *simEntry) bool { return !e.failing })
}

// apply has something happen, and reports whether that can be now.
func (o *simulation) apply(what string) bool {
	switch what {
	case "fail all", "fail first", "fail second", "fail both":
		failing := map[string][]bool{"fail all": {true, true, true}, "fail first": {true, false, false}, "fail second": {false, true, false}, "fail both": {true, true, false}}[what]
		for i, e := range o.entries {
			e.failing = failing[i]
		}
	case "mend":
		for _, e := range o.entries {
			e.failing = false
		}
	case "lapse":
		if !o.listed || !o.failsAll() {
			return false
		}
		o.listed, o.lapsed, o.recoveredAt = false, true, time.Time{}
		o.changes = append(o.changes, gone("a", int64(len(o.changes)+1)))
	case "remove":
		if !o.listed || o.failsAll() || o.now.Sub(o.allFailedAt) < failureFreeTime {
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

func (o *simulation) run(ticks int) {
	for range ticks {
		o.now = o.now.Add(tickPeriod)
		o.tick++
		if o.failsAll() {
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
		o.check()
	}
}

func (o *simulation) read(e *simEntry) {
	if e.failing {
		e.RecordOwnFailure(o.now)
		e.failedAt = o.now
		return
	}
	s := follower.State{Revision: int64(len(o.changes)), Config: []byte("c"), ConfigRevision: 1}
	if e.Revision() > 0 {
		s.Instances = o.changes[e.Revision():]
		e.ApplyStoreRead(o.now, s, false)
		return
	}
	s.Instances = o.changes[len(o.changes)-1:]
	e.ApplyStoreRead(o.now, s, true)
}

// exchange has each entry hear each other, as heartbeats and fetches do.
func (o *simulation) exchange() {
	for _, from := range o.entries {
		for _, to := range o.entries {
			age, confirmed := from.ConfirmationAge(o.now)
			if from == to || !confirmed {
				continue
			}
			if disturbed, ever := from.FailureAge(o.now); ever {
				to.RecordFailure(o.now.Add(-disturbed))
			}
			if from.NewestRevision() == to.NewestRevision() {
				to.Confirm(o.now.Add(-age))
			}
			if from.NewestRevision() <= to.NewestRevision() {
				continue
			}
			s, whole := from.ChangesSince(to.Revision(), 0)
			if whole {
				to.ApplySnapshot(o.now, s)
			} else {
				to.ApplyChanges(o.now, s)
			}
			to.Confirm(o.now.Add(-age))
		}
	}
}

func (o *simulation) check() {
	for i, e := range o.entries {
		works := ids(e.Follower) == "a"
		inTouch := o.now.Sub(e.failedAt) > failureFreeTime && o.now.Sub(o.allFailedAt) > failureFreeTime
		if !o.removedAt.IsZero() && !o.listed && works && inTouch && o.now.Sub(o.removedAt) >= removalBound {
			o.t.Fatalf("%s: entry %d sends work %s after the removal", o.name, i, o.now.Sub(o.removedAt))
		}
		sawOutage := o.now.Sub(e.failedAt) < minRetention
		if o.lapsed && sawOutage && !works && (o.recoveredAt.IsZero() || o.now.Sub(o.recoveredAt) < removalBound) {
			o.t.Fatalf("%s: entry %d takes a lapsed upstream for gone %s after the outage", o.name, i, o.now.Sub(o.recoveredAt))
		}
	}
}

// minRetention is within what time after a failure an entry must still hold what
// lapsed.
const minRetention = 2 * time.Second

// The store fails all, some or one entry, and upstreams lapse, leave and return, in
// every order of up to five events and at two paces. In none of them does a removed
// upstream get work after two seconds from an entry that the store did not fail, or
// does an entry that saw the outage take a lapsed one for gone; and whatever came
// back is used by all within a second.
func TestRemovalsAndLapsesInEveryOrder(t *testing.T) {
	alphabet := []string{"fail all", "fail first", "fail second", "fail both", "mend", "lapse", "remove", "return"}
	cases := 0
	var extend func(prefix []string)
	extend = func(prefix []string) {
		if len(prefix) > 0 {
			for _, ticks := range []int{5, 13} {
				if !simulate(t, prefix, ticks) {
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
		t.Fatalf("only %d cases were possible", cases)
	}
	t.Logf("%d cases", cases)
}

// simulate runs events, and reports whether all of them can be.
func simulate(t *testing.T, events []string, ticks int) bool {
	o := newSimulation(t, fmt.Sprintf("%v every %d ticks", events, ticks))
	for _, what := range events {
		if !o.apply(what) {
			return ticks != 5 // the slower pace may allow what this one doesn't
		}
		o.run(ticks)
	}
	o.apply("mend")
	o.run(30)
	for i, e := range o.entries {
		if works := ids(e.Follower) == "a"; o.listed && !works {
			t.Fatalf("%s: entry %d does not use what came back", o.name, i)
		}
	}
	return true
}

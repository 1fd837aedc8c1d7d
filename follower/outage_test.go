package follower_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/follower"
)

const (
	// outageTick is the step of the enumeration's time.
	outageTick = 100 * time.Millisecond
	// readTicks and beatTicks are how often readers read the store, and entries
	// tell each other what they believe.
	readTicks, beatTicks = 4, 2
	// staleAge is the age of a confirmation from which an entry reads for itself.
	staleAge = 1200 * time.Millisecond
	// removalBound is the time in which a removed upstream may still get work.
	removalBound = 2 * time.Second
	// touchTime is how long an entry must not have been failed, and the store not
	// have failed everybody, for the bound to hold.
	touchTime = 3 * time.Second
)

// listener is one entry of the enumeration.
type listener struct {
	*follower.Follower
	reads bool
	// failing is true while the store turns it away, failedAt when it last did.
	failing  bool
	failedAt time.Time
}

// outage is three entries before a store that lists one upstream: two of them read
// it, and all tell each other.
type outage struct {
	t       *testing.T
	name    string
	now     time.Time
	tick    int
	changes []follower.Listed
	entries []*listener
	listed  bool
	lapsed  bool
	// removedAt is that of a removal that was meant; zero before. allFailedAt is when
	// the store last failed everybody, mendedAt when it served somebody again after a
	// lapse; zero while it doesn't.
	removedAt, allFailedAt, mendedAt time.Time
}

func newOutage(t *testing.T, name string) *outage {
	o := &outage{t: t, name: name, now: start, listed: true, changes: []follower.Listed{ready("a", 1)}}
	for i := range 3 {
		o.entries = append(o.entries, &listener{Follower: follower.New(), reads: i < 2})
	}
	o.run(8)
	return o
}

func (o *outage) failsAll() bool {
	return !slices.ContainsFunc(o.entries, func(e *listener) bool { return !e.failing })
}

// event has something happen, and reports whether that can be now.
func (o *outage) event(what string) bool {
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
		o.listed, o.lapsed, o.mendedAt = false, true, time.Time{}
		o.changes = append(o.changes, gone("a", int64(len(o.changes)+1)))
	case "remove":
		if !o.listed || o.failsAll() || o.now.Sub(o.allFailedAt) < touchTime {
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

func (o *outage) run(ticks int) {
	for range ticks {
		o.now = o.now.Add(outageTick)
		o.tick++
		if o.failsAll() {
			o.allFailedAt = o.now
		} else if o.mendedAt.IsZero() {
			o.mendedAt = o.now
		}
		for i, e := range o.entries {
			e.Tick(o.now)
			age, known := e.ConfirmationAge(o.now)
			if o.tick%readTicks == i && (e.reads || !known || age > staleAge) {
				o.read(e)
			}
		}
		if o.tick%beatTicks == 0 {
			o.tell()
		}
		o.check()
	}
}

func (o *outage) read(e *listener) {
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

// tell has each entry hear each other, as heartbeats and fetches do.
func (o *outage) tell() {
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

func (o *outage) check() {
	for i, e := range o.entries {
		works := ids(e.Follower) == "a"
		inTouch := o.now.Sub(e.failedAt) > touchTime && o.now.Sub(o.allFailedAt) > touchTime
		if !o.removedAt.IsZero() && !o.listed && works && inTouch && o.now.Sub(o.removedAt) >= removalBound {
			o.t.Fatalf("%s: entry %d sends work %s after the removal", o.name, i, o.now.Sub(o.removedAt))
		}
		sawOutage := o.now.Sub(e.failedAt) < returnBound
		if o.lapsed && sawOutage && !works && (o.mendedAt.IsZero() || o.now.Sub(o.mendedAt) < removalBound) {
			o.t.Fatalf("%s: entry %d takes a lapsed upstream for gone %s after the outage", o.name, i, o.now.Sub(o.mendedAt))
		}
	}
}

// returnBound is within what time after a failure an entry must still hold what
// lapsed.
const returnBound = 2 * time.Second

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
				if !play(t, prefix, ticks) {
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

// play runs events, and reports whether all of them can be.
func play(t *testing.T, events []string, ticks int) bool {
	o := newOutage(t, fmt.Sprintf("%v every %d ticks", events, ticks))
	for _, what := range events {
		if !o.event(what) {
			return ticks != 5 // the slower pace may allow what this one doesn't
		}
		o.run(ticks)
	}
	o.event("mend")
	o.run(30)
	for i, e := range o.entries {
		if works := ids(e.Follower) == "a"; o.listed && !works {
			t.Fatalf("%s: entry %d does not use what came back", o.name, i)
		}
	}
	return true
}

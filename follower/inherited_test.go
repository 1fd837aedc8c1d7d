package follower_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/follower"
)

// inheritors returns a follower that knows from an earlier epoch that a has left, that b was removed and that
// the data centre x is evacuated, and one that has started since and read the same state from the store.
func inheritors() (knows, started *follower.Follower) {
	knows, started = follower.New(), follower.New()
	old := epochState(1, 9, 1, 1, registered("a", 8, true), registered("b", 3, false), registered("c", 4, false))
	old.Evacuations = []follower.Evacuation{{DataCentre: "x", Revision: 9}}
	knows.ApplyStoreRead(start, old, true)
	knows.ApplyStoreRead(start, follower.State{Epoch: 1, Revision: 10, Instances: []follower.Listed{gone("b", 10)}}, false)
	restored := epochState(2, 4, 1, 1, registered("a", 2, false), registered("b", 3, false), registered("c", 4, false))
	knows.ApplyStoreRead(start, restored, true)
	started.ApplyStoreRead(start.Add(time.Second), restored, true)
	return knows, started
}

// Guards against an entry that starts after the store has gone back, reads the store itself, and uses what
// the others know to have left: its position and all revisions are theirs.
func TestStartedFollowerInherits(t *testing.T) {
	is := is.New(t)
	knows, started := inheritors()
	now := start.Add(2 * time.Second)
	is.Equal(usableIDs(knows), "c")
	is.Equal(usableIDs(started), "abc")
	is.Equal(knows.Position(), started.Position())
	is.True(knows.Fingerprint() != started.Fingerprint())
	is.True(knows.InheritedFingerprint() != started.InheritedFingerprint())
	is.Equal(kinds(started.ApplyInherited(now, knows.Inherited(now))), "a leaving, b unused, x evacuated")
	is.Equal(usableIDs(started), "c")
	is.Equal(fmt.Sprint(started.EvacuatedDataCentres()), "[x]")
	is.Equal(started.Fingerprint(), knows.Fingerprint())
	is.Equal(started.InheritedFingerprint(), knows.InheritedFingerprint())
	is.Equal(len(started.ApplyInherited(now, knows.Inherited(now))), 0)
	is.Equal(len(knows.ApplyInherited(now, started.Inherited(now))), 0)
}

// What is inherited ends at all followers at the same time, counted from the begin of the epoch, and they
// do not prolong it by telling each other.
func TestInheritedKnowledgeEnds(t *testing.T) {
	is := is.New(t)
	knows, started := inheritors()
	for now := start.Add(2 * time.Second); now.Before(start.Add(12 * time.Second)); now = now.Add(100 * time.Millisecond) {
		for _, f := range []*follower.Follower{knows, started} {
			f.Tick(now)
		}
		started.ApplyInherited(now, knows.Inherited(now))
		knows.ApplyInherited(now, started.Inherited(now))
		isUsed, isEvacuated := !now.Before(start.Add(4500*time.Millisecond)), now.Before(start.Add(10*time.Second))
		for _, f := range []*follower.Follower{knows, started} {
			is.Equal(usableIDs(f) == "bc", isUsed)
			is.Equal(len(f.EvacuatedDataCentres()) == 1, isEvacuated)
		}
		is.Equal(started.Fingerprint(), knows.Fingerprint())
	}
}

// An upstream that has left is not used by whoever was told so either if its registration is replayed. Its new
// incarnation is.
func TestInheritedIncarnationStaysUnused(t *testing.T) {
	is := is.New(t)
	knows, started := inheritors()
	started.ApplyInherited(start, knows.Inherited(start))
	replayed := follower.State{Epoch: 2, Revision: 5, Instances: []follower.Listed{registered("a", 5, false)}}
	started.ApplyChanges(start, replayed)
	is.Equal(usableIDs(started), "c")
	known, anew := registered("a", 6, false), registered("a", 7, false)
	known.Instance.Started, anew.Instance.Started = start, start.Add(time.Minute)
	started.ApplyChanges(start, follower.State{Epoch: 2, Revision: 6, Instances: []follower.Listed{known}})
	started.ApplyChanges(start, follower.State{Epoch: 2, Revision: 7, Instances: []follower.Listed{anew}})
	is.Equal(usableIDs(started), "ac")
}

// Guards against a later incarnation that is taken for one that has left, because an entry that lags behind tells of
// the earlier one and their starts are not known.
func TestLaterIncarnationIsNotTakenForOneThatLeft(t *testing.T) {
	is := is.New(t)
	knows, started := inheritors()
	started.ApplyChanges(start, follower.State{Epoch: 2, Revision: 6, Instances: []follower.Listed{registered("a", 6, false)}})
	is.Equal(kinds(started.ApplyInherited(start, knows.Inherited(start))), "b unused, x evacuated")
	is.Equal(usableIDs(started), "ac")
}

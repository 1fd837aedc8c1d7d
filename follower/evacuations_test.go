package follower_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sapphireramp/sapphireramp/follower"
)

func readyIn(dataCentre, id string, revision int64) follower.Listed {
	l := ready(id, revision)
	l.Instance.DataCentre = dataCentre
	return l
}

func evacuation(dataCentre string, revision int64) follower.State {
	return follower.State{Revision: revision, Evacuations: []follower.Evacuation{{DataCentre: dataCentre, Revision: revision}}}
}

func evacuationEnd(dataCentre string, revision int64) follower.State {
	return follower.State{Revision: revision, Evacuations: []follower.Evacuation{{DataCentre: dataCentre, Revision: revision, Ended: true}}}
}

// kinds returns the kinds of changes and what they are about.
func kinds(changes []follower.Change) string {
	var out []string
	for _, c := range changes {
		out = append(out, c.ID+" "+c.Kind)
	}
	return strings.Join(out, ", ")
}

// newFollowerInThreeCentres returns a follower with the upstreams a, b and c in the data centres x, y
// and z, as of revision 5.
func newFollowerInThreeCentres() *follower.Follower {
	f := follower.New()
	f.ApplyPeerSnapshot(start, follower.State{
		Revision: 5, Config: []byte("v1"), ConfigRevision: 1,
		Instances: []follower.Listed{readyIn("x", "a", 2), readyIn("y", "b", 3), readyIn("z", "c", 4)},
	})
	return f
}

// The upstreams of a data centre are not used from the begin to the end of its evacuation. Those that
// register meanwhile are not used either.
func TestUpstreamsOfEvacuatedDataCentreAreNotUsable(t *testing.T) {
	is := is.New(t)
	f := newFollowerInThreeCentres()
	is.Equal(kinds(f.ApplyChanges(start, evacuation("x", 6))), "x evacuated")
	is.Equal(usableIDs(f), "bc")
	f.ApplyChanges(start, follower.State{Revision: 7, Instances: []follower.Listed{readyIn("x", "d", 7)}})
	is.Equal(usableIDs(f), "bc")
	is.Equal(f.EvacuatedDataCentres(), []string{"x"})
	is.Equal(kinds(f.ApplyChanges(start, evacuationEnd("x", 8))), "x evacuation_ended")
	is.Equal(usableIDs(f), "abcd")
	is.Equal(len(f.EvacuatedDataCentres()), 0)
}

// Several data centres, or all, are evacuated at the same time, and each evacuation ends by itself.
func TestAllDataCentresAreEvacuated(t *testing.T) {
	is := is.New(t)
	f := newFollowerInThreeCentres()
	for i, dataCentre := range []string{"x", "y", "z"} {
		f.ApplyChanges(start, evacuation(dataCentre, int64(6+i)))
	}
	is.Equal(usableIDs(f), "")
	f.ApplyChanges(start, evacuationEnd("y", 9))
	is.Equal(usableIDs(f), "b")
}

// An evacuation that is withdrawn and requested again in quick succession, or written again while it
// lasts, takes effect by revision, in whatever order the changes arrive.
func TestEvacuationsApplyByRevision(t *testing.T) {
	is := is.New(t)
	f := newFollowerInThreeCentres()
	is.Equal(kinds(f.ApplyChanges(start, evacuation("x", 8))), "x evacuated")
	is.Equal(kinds(f.ApplyChanges(start, evacuationEnd("x", 7))), "") // older
	is.Equal(kinds(f.ApplyChanges(start, evacuation("x", 9))), "")    // still evacuated
	is.Equal(usableIDs(f), "bc")
	is.Equal(kinds(f.ApplyChanges(start, evacuationEnd("x", 10))), "x evacuation_ended")
	is.Equal(kinds(f.ApplyChanges(start, evacuation("x", 9))), "")
	is.Equal(usableIDs(f), "abc")
}

// A complete state ends the evacuations that it does not contain, even right after an outage of the
// store. An older complete state ends none.
func TestCompleteStateEndsEvacuations(t *testing.T) {
	is := is.New(t)
	f := newFollowerInThreeCentres()
	f.ApplyChanges(start, evacuation("x", 6))
	f.RecordOwnStoreFailure(start)
	f.ApplyPeerSnapshot(start, follower.State{Revision: 5, Instances: []follower.Listed{readyIn("x", "a", 2)}})
	is.Equal(usableIDs(f), "bc")
	all := []follower.Listed{readyIn("x", "a", 2), readyIn("y", "b", 3), readyIn("z", "c", 4)}
	is.Equal(kinds(f.ApplyStoreRead(start, follower.State{Revision: 9, Instances: all}, true)), "x evacuation_ended")
	is.Equal(usableIDs(f), "abc")
}

// An evacuation of a data centre without upstreams changes nothing but the status.
func TestEvacuationOfUnknownDataCentre(t *testing.T) {
	is := is.New(t)
	f := newFollowerInThreeCentres()
	f.ApplyChanges(start, evacuation("nowhere", 6))
	is.Equal(usableIDs(f), "abc")
	is.Equal(f.EvacuatedDataCentres(), []string{"nowhere"})
}

// Entries that receive the changes since their own revision from each other, in any order and with
// restarts, end up with the evacuations in the store, although ends of evacuations are dropped after
// a while.
func TestEvacuationsReachAllFollowers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, revision := start, int64(1)
		requested := map[string]int64{}
		var changes []follower.Evacuation
		followers := []*follower.Follower{follower.New(), follower.New(), follower.New()}
		readStore := func(f *follower.Follower) {
			s := follower.State{Revision: revision, Config: []byte("v1"), ConfigRevision: 1}
			for dataCentre, at := range requested {
				s.Evacuations = append(s.Evacuations, follower.Evacuation{DataCentre: dataCentre, Revision: at})
			}
			f.ApplyStoreRead(now, s, true)
		}
		fetch := func(from, to *follower.Follower) {
			if !from.HasState() || to.Revision() > from.Revision() || from.Fingerprint() == to.Fingerprint() {
				return // as entries do
			}
			_, config := to.Config()
			s, complete := from.ChangesSince(now, to.Position(), config)
			if complete {
				to.ApplyPeerSnapshot(now, s)
			} else {
				to.ApplyChanges(now, s)
			}
		}
		index := rapid.IntRange(0, len(followers)-1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				dataCentre := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "data centre")
				revision++
				_, ends := requested[dataCentre]
				changes = append(changes, follower.Evacuation{DataCentre: dataCentre, Revision: revision, Ended: ends})
				if delete(requested, dataCentre); !ends {
					requested[dataCentre] = revision
				}
			case 2:
				followers[index.Draw(t, "restarted")] = follower.New()
			case 3:
				readStore(followers[index.Draw(t, "reader")])
			case 4:
				fetch(followers[index.Draw(t, "from")], followers[index.Draw(t, "to")])
			case 5:
				followers[index.Draw(t, "ticked")].Tick(now)
			}
		}
		readStore(followers[0])
		for _, f := range followers[1:] {
			fetch(followers[0], f)
		}
		want := fmt.Sprint(slices.Sorted(maps.Keys(requested)))
		for i, f := range followers {
			got := f.EvacuatedDataCentres()
			if fmt.Sprint(got) != want {
				t.Fatalf("follower %d: evacuated %v, in the store %v after %v", i, got, want, changes)
			}
		}
	})
}

// Two followers with the same fingerprint have the same evacuations, as entries with equal ones confirm each
// other's state. One that starts after the end of an evacuation, of which it never knew, has the newest
// revision in common with one that still has it.
func TestEqualFingerprintsMeanEqualEvacuations(t *testing.T) {
	is := is.New(t)
	behind, started := newFollowerInThreeCentres(), newFollowerInThreeCentres()
	behind.ApplyChanges(start, evacuation("x", 6))
	behind.ApplyChanges(start, evacuation("y", 7))
	started.ApplyChanges(start, evacuation("y", 7))
	is.True(behind.Fingerprint() != started.Fingerprint())
	behind.ApplyChanges(start, follower.State{Revision: 8, Evacuations: []follower.Evacuation{{DataCentre: "x", Revision: 8, Ended: true}}})
	is.Equal(behind.EvacuatedDataCentres(), started.EvacuatedDataCentres())
	is.Equal(behind.Fingerprint(), started.Fingerprint())
}

// Guards against entries that confirm each other by what their states have in common: an entry that starts
// after the end of an evacuation never knew of it, and shares the newest change with one that still has it.
func TestEqualFingerprintsOfOneThatStartsMeanEqualEvacuations(t *testing.T) {
	is := is.New(t)
	behind, started := newFollowerInThreeCentres(), follower.New()
	behind.ApplyChanges(start, evacuation("x", 6))
	behind.ApplyChanges(start, evacuation("y", 7))
	// The evacuation of x ends at revision 8.
	state := evacuation("y", 7)
	state.Revision, state.Config, state.ConfigRevision = 8, []byte("v1"), 1
	state.Instances = []follower.Listed{readyIn("x", "a", 2), readyIn("y", "b", 3), readyIn("z", "c", 4)}
	started.ApplyStoreRead(start, state, true)
	if started.Fingerprint() == behind.Fingerprint() {
		is.Equal(behind.EvacuatedDataCentres(), started.EvacuatedDataCentres())
	}
	changes, complete := started.ChangesSince(start, behind.Position(), follower.ConfigStamp{Revision: 1})
	is.True(complete)
	is.Equal(kinds(behind.ApplyPeerSnapshot(start, changes)), "x evacuation_ended")
	is.Equal(behind.EvacuatedDataCentres(), started.EvacuatedDataCentres())
	is.Equal(behind.Fingerprint(), started.Fingerprint())
}

// Of two followers with any registrations, removals and evacuations, those have equal fingerprints that have
// equal registrations and evacuations.
func TestFingerprintsTellStatesApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		followers := []*follower.Follower{follower.New(), follower.New()}
		contents := []map[string]int64{{}, {}}
		for range rapid.IntRange(0, 12).Draw(t, "changes") {
			i, revision := rapid.IntRange(0, 1).Draw(t, "follower"), int64(rapid.IntRange(1, 4).Draw(t, "revision"))
			name, kind := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), rapid.IntRange(0, 3).Draw(t, "kind")
			s := follower.State{Revision: revision}
			switch kind {
			case 0:
				s.Instances = []follower.Listed{ready(name, revision)}
			case 1:
				s.Instances = []follower.Listed{gone(name, revision)}
			default:
				s.Evacuations = []follower.Evacuation{{DataCentre: name, Revision: revision, Ended: kind == 3}}
			}
			if kind > 1 {
				name = "evacuation " + name
			}
			if last, ok := contents[i][name]; ok && max(last, -last) >= revision {
				continue
			}
			contents[i][name] = revision
			if kind == 1 || kind == 3 {
				contents[i][name] = -revision
			}
			followers[i].ApplyChanges(start, s)
		}
		present := func(i int) string {
			out := ""
			for _, name := range slices.Sorted(maps.Keys(contents[i])) {
				if contents[i][name] > 0 {
					out += fmt.Sprint(name, contents[i][name], " ")
				}
			}
			return out
		}
		if (present(0) == present(1)) != (followers[0].Fingerprint() == followers[1].Fingerprint()) {
			t.Fatalf("%q and %q, fingerprints %x and %x", present(0), present(1), followers[0].Fingerprint(), followers[1].Fingerprint())
		}
	})
}

package follower_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/follower"
)

// registered returns a registration as the platform's upstreams write it, with an address.
func registered(id string, revision int64, leaving bool) follower.Listed {
	return follower.Listed{Revision: revision, Instance: dispatcher.Instance{ID: id, Address: netip.MustParseAddrPort("10.0.0.1:80"), Leaving: leaving}}
}

// epochState returns a state of an epoch with a configuration of that epoch.
func epochState(epoch, revision, configRevision, version int64, instances ...follower.Listed) follower.State {
	return follower.State{
		Epoch: epoch, Revision: revision, Instances: instances,
		Config: []byte(fmt.Sprint("v", version)), ConfigEpoch: epoch, ConfigRevision: configRevision, ConfigVersion: version,
	}
}

func configOf(f *follower.Follower) string {
	config, _ := f.Config()
	return string(config)
}

// The store may return with an older configuration and write the lost one again under another revision. The
// one in force stays until a newer one comes, whatever revisions they have.
func TestOlderConfigurationOfANewEpochIsIgnored(t *testing.T) {
	is := is.New(t)
	f := follower.New()
	f.ApplyStoreRead(start, epochState(1, 25, 25, 22), true)
	is.Equal(len(f.ApplyStoreRead(start, epochState(2, 22, 21, 16), true)), 0)
	is.Equal(configOf(f), "v22")
	is.Equal(f.Position(), follower.Position{Epoch: 2, Revision: 22})
	is.Equal(len(f.ApplyStoreRead(start, epochState(2, 23, 23, 22), false)), 0) // written again
	is.Equal(configOf(f), "v22")
	is.Equal(len(f.ApplyStoreRead(start, epochState(2, 24, 24, 26), false)), 1)
	is.Equal(configOf(f), "v26")
	f.ApplyStoreRead(start, epochState(1, 60, 60, 24), true) // a late response
	f.ApplyStoreRead(start, epochState(1, 60, 60, 30), false)
	is.Equal(configOf(f), "v26")
	is.Equal(f.Position(), follower.Position{Epoch: 2, Revision: 24})
}

// Changes of a later epoch do not tell what the store has lost; the complete state does.
func TestChangesDoNotBeginAnEpoch(t *testing.T) {
	is := is.New(t)
	f := follower.New()
	f.ApplyStoreRead(start, epochState(1, 5, 5, 1, registered("a", 2, false)), true)
	is.Equal(len(f.ApplyChanges(start, epochState(2, 9, 9, 3, registered("b", 8, false)))), 0)
	is.Equal(f.Position(), follower.Position{Epoch: 1, Revision: 5})
	age, _ := f.ConfirmationAge(start.Add(time.Second))
	f.ApplyStoreRead(start.Add(time.Second), epochState(2, 9, 9, 3), false)
	later, _ := f.ConfirmationAge(start.Add(time.Second))
	is.Equal(age, later) // a state that is not applied confirms nothing
}

// The copy that the store returns from may be older than the report of an upstream that it leaves. The
// upstream is not used again, also if its registrations are replayed; a new incarnation is.
func TestUpstreamThatLeftInAnEarlierEpochIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := follower.New()
	f.ApplyStoreRead(start, epochState(1, 9, 1, 1, registered("a", 8, true), registered("b", 3, false)), true)
	f.ApplyStoreRead(start, epochState(2, 4, 1, 1, registered("a", 2, false), registered("b", 3, false)), true)
	is.Equal(usableIDs(f), "b")
	f.ApplyChanges(start, follower.State{Epoch: 2, Revision: 5, Instances: []follower.Listed{registered("a", 5, false)}})
	is.Equal(usableIDs(f), "b")
	peer := follower.New()
	s, complete := f.ChangesSince(start, peer.Position(), follower.ConfigStamp{})
	is.True(complete)
	peer.ApplyPeerSnapshot(start, s)
	is.Equal(usableIDs(peer), "b")
	anew := registered("a", 6, false)
	anew.Instance.Started = start
	known := registered("a", 7, false)
	known.Instance.Started = start.Add(time.Minute)
	f.ApplyChanges(start, follower.State{Epoch: 2, Revision: 6, Instances: []follower.Listed{anew}})
	f.ApplyChanges(start, follower.State{Epoch: 2, Revision: 7, Instances: []follower.Listed{known}})
	is.Equal(usableIDs(f), "ab")
}

// The copy may list an upstream that was removed since. It gets no work until its registration would have
// lapsed, unless the upstream writes it again; entries that fetch the state wait as long.
func TestUpstreamRemovedInAnEarlierEpochIsUsedOnceItIsKnownToRun(t *testing.T) {
	is := is.New(t)
	f, peer := follower.New(), follower.New()
	f.ApplyStoreRead(start, epochState(1, 4, 1, 1, registered("a", 2, false), registered("b", 3, false), registered("c", 4, false)), true)
	f.ApplyStoreRead(start, follower.State{Epoch: 1, Revision: 6, Instances: []follower.Listed{gone("a", 5), gone("b", 6)}}, false)
	is.Equal(usableIDs(f), "c")
	f.ApplyStoreRead(start, epochState(2, 4, 1, 1, registered("a", 2, false), registered("b", 3, false), registered("c", 4, false)), true)
	s, _ := f.ChangesSince(start, peer.Position(), follower.ConfigStamp{})
	peer.ApplyPeerSnapshot(start, s)
	is.Equal(usableIDs(f), "c")
	is.Equal(usableIDs(peer), "c")
	f.ApplyStoreRead(start, follower.State{Epoch: 2, Revision: 5, Instances: []follower.Listed{registered("a", 5, false)}}, false)
	is.Equal(usableIDs(f), "ac")
	for _, e := range []*follower.Follower{f, peer} {
		e.Tick(start.Add(4400 * time.Millisecond))
	}
	is.Equal(usableIDs(peer), "c")
	for _, e := range []*follower.Follower{f, peer} {
		e.Tick(start.Add(4500 * time.Millisecond))
		is.Equal(usableIDs(e), "abc")
	}
}

// The store may have lost the registration of an upstream, which registers again. It is used meanwhile, as
// after a lapse in an outage, and no longer than that.
func TestUpstreamThatTheStoreLostIsRetained(t *testing.T) {
	is := is.New(t)
	f, peer := follower.New(), follower.New()
	old := epochState(1, 4, 1, 1, registered("a", 2, false), registered("b", 3, false), registered("c", 4, false))
	f.ApplyStoreRead(start, old, true)
	peer.ApplyPeerSnapshot(start, old)
	f.ApplyStoreRead(start, epochState(2, 2, 1, 1, registered("a", 2, false)), true)
	s, _ := f.ChangesSince(start, peer.Position(), follower.ConfigStamp{})
	peer.ApplyPeerSnapshot(start, s)
	for _, e := range []*follower.Follower{f, peer} {
		is.Equal(usableIDs(e), "abc")
		e.ApplyChanges(start, follower.State{Epoch: 2, Revision: 3, Instances: []follower.Listed{registered("c", 3, false)}})
		e.Tick(start.Add(2200 * time.Millisecond))
		is.Equal(usableIDs(e), "abc")
		e.Tick(start.Add(2300 * time.Millisecond))
		is.Equal(usableIDs(e), "ac")
	}
}

// An upstream that is cold stays so for as long as its registration said, and no longer because the store
// lists the same registration in another epoch.
func TestColdTimeIsOfTheFirstRegistration(t *testing.T) {
	is := is.New(t)
	cold := registered("a", 2, false)
	cold.Instance.ColdFor = 3 * time.Second
	f := follower.New()
	f.ApplyStoreRead(start, epochState(1, 2, 1, 1, cold), true)
	f.ApplyStoreRead(start.Add(2*time.Second), epochState(2, 2, 1, 1, cold), true)
	is.Equal(f.UsableInstances()[0].ColdUntil, start.Add(3*time.Second))
}

// The store may have lost an evacuation, which the operator writes again. It lasts meanwhile, and ends if it
// is not written again.
func TestEvacuationThatTheStoreLostLasts(t *testing.T) {
	is := is.New(t)
	f := follower.New()
	evacuated := epochState(1, 9, 1, 1)
	evacuated.Evacuations = []follower.Evacuation{{DataCentre: "x", Revision: 8}, {DataCentre: "y", Revision: 9}}
	f.ApplyStoreRead(start, evacuated, true)
	f.ApplyStoreRead(start, epochState(2, 5, 1, 1), true)
	is.Equal(fmt.Sprint(f.EvacuatedDataCentres()), "[x y]")
	f.ApplyChanges(start, follower.State{Epoch: 2, Revision: 6, Evacuations: []follower.Evacuation{{DataCentre: "y", Revision: 6}}})
	f.Tick(start.Add(9 * time.Second))
	is.Equal(fmt.Sprint(f.EvacuatedDataCentres()), "[x y]")
	is.Equal(len(f.Tick(start.Add(10*time.Second))), 1)
	is.Equal(fmt.Sprint(f.EvacuatedDataCentres()), "[y]")
}

// Where the store does not state its epoch in a readable form, a complete state that is older than what this
// entry had before it asked shows that the store has gone back.
func TestResolveEpoch(t *testing.T) {
	is := is.New(t)
	before := follower.Position{Epoch: 3, Revision: 40}
	is.Equal(follower.State{Epoch: 7, Revision: 2}.ResolveEpoch(before, true).Epoch, int64(7))
	is.Equal(follower.State{Revision: 40}.ResolveEpoch(before, true).Epoch, int64(3))
	back := follower.State{Revision: 39}.ResolveEpoch(before, true)
	is.Equal(back.Epoch, int64(4))
	is.Equal(back.ConfigEpoch, int64(4))
	is.Equal(follower.State{Revision: 39}.ResolveEpoch(before, false).Epoch, int64(3))
	is.Equal(follower.State{Revision: 1}.ResolveEpoch(follower.Position{}, true).Epoch, int64(0))
}

// epochStore is a store that goes back to copies. Its operator and upstreams write again what it has lost.
type epochStore struct {
	epoch, revision, version, configRevision int64
	instances                                map[string]follower.Listed
	changes                                  []follower.Listed
	copies                                   []epochStore
	// leaving holds the upstreams that have reported that they leave, lost whether a report or the
	// configuration was lost and has not been written again.
	leaving map[string]bool
	newest  int64
}

func (s *epochStore) put(id string) {
	s.revision++
	s.instances[id] = registered(id, s.revision, s.leaving[id])
	s.changes = append(s.changes, s.instances[id])
}

func (s *epochStore) putConfig(version int64) {
	s.revision++
	s.version, s.configRevision, s.newest = version, s.revision, max(s.newest, version)
}

func (s *epochStore) saveCopy() {
	c := *s
	c.instances, c.changes, c.copies = maps.Clone(s.instances), slices.Clone(s.changes), nil
	s.copies = append(s.copies, c)
}

func (s *epochStore) restore(c epochStore) {
	s.epoch++
	s.revision, s.version, s.configRevision = c.revision, c.version, c.configRevision
	s.instances, s.changes, s.copies = maps.Clone(c.instances), slices.Clone(c.changes), nil
}

// rewrite writes again what was lost.
func (s *epochStore) rewrite() {
	if s.version < s.newest {
		s.putConfig(s.newest)
	}
	for id := range s.leaving {
		if l, ok := s.instances[id]; !ok || l.Instance.Leaving != s.leaving[id] {
			s.put(id)
		}
	}
}

func (s *epochStore) snapshot() follower.State {
	state := epochState(s.epoch, s.revision, s.configRevision, s.version)
	for _, l := range s.instances {
		state.Instances = append(state.Instances, l)
	}
	return state
}

// watch returns the changes after a position, or false if the store does not have them.
func (s *epochStore) watch(after follower.Position) (follower.State, bool) {
	if after.Epoch != s.epoch || after.Revision > s.revision {
		return follower.State{}, false
	}
	state := follower.State{Epoch: s.epoch, Revision: s.revision}
	if s.configRevision > after.Revision {
		state = epochState(s.epoch, s.revision, s.configRevision, s.version)
	}
	for _, l := range s.changes {
		if l.Revision > after.Revision {
			state.Instances = append(state.Instances, l)
		}
	}
	return state, true
}

// Entries that read a store which goes back again and again, and fetch from each other, in any order, never
// go back to an older configuration, never use an upstream that they knew to leave, and end with the newest
// state once what was lost is written again.
func TestEpochsInEveryOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		s := &epochStore{epoch: 1, instances: map[string]follower.Listed{}, leaving: map[string]bool{}}
		entries := []*follower.Follower{follower.New(), follower.New(), follower.New()}
		versions, left := make([]int64, len(entries)), []map[string]bool{{}, {}, {}}
		read := func(e *follower.Follower) {
			if changes, ok := s.watch(e.Position()); ok && e.Revision() > 0 {
				e.ApplyStoreRead(now, changes, false)
				return
			}
			e.ApplyStoreRead(now, s.snapshot(), true)
		}
		fetch := func(from, to *follower.Follower) {
			_, fromConfig := from.Config()
			_, toConfig := to.Config()
			isBehind := from.Position().Epoch > to.Position().Epoch || from.Position().Epoch == to.Position().Epoch && (from.Revision() > to.Revision() || fromConfig.Version > toConfig.Version)
			if !from.HasState() || !isBehind || from.Position().Epoch == to.Position().Epoch && from.Fingerprint() == to.Fingerprint() {
				return
			}
			state, complete := from.ChangesSince(now, to.Position(), toConfig)
			if complete {
				to.ApplyPeerSnapshot(now, state)
				return
			}
			to.ApplyChanges(now, state)
		}
		check := func() {
			for i, e := range entries {
				_, config := e.Config()
				if config.Version < versions[i] {
					t.Fatalf("entry %d went back to version %d from %d", i, config.Version, versions[i])
				}
				versions[i] = config.Version
				for _, u := range e.UsableInstances() {
					if left[i][u.ID] {
						t.Fatalf("entry %d uses %s again, which it knew to leave", i, u.ID)
					}
				}
			}
		}
		noteLeaving := func(i int, state follower.State) {
			for _, l := range state.Instances {
				left[i][l.Instance.ID] = left[i][l.Instance.ID] || l.Instance.Leaving
			}
		}
		s.putConfig(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "milliseconds")) * time.Millisecond)
			i, j := rapid.IntRange(0, 2).Draw(t, "entry"), rapid.IntRange(0, 2).Draw(t, "other")
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			switch rapid.SampledFrom([]string{"register", "leave", "config", "copy", "restore", "rewrite", "read", "read", "fetch", "fetch", "restart", "tick"}).Draw(t, "step") {
			case "register":
				s.leaving[id] = s.leaving[id] || false
				s.put(id)
			case "leave":
				s.leaving[id] = true
				s.put(id)
			case "config":
				s.putConfig(s.newest + 1 + int64(rapid.IntRange(0, 3).Draw(t, "skipped")))
			case "copy":
				s.saveCopy()
			case "restore":
				if len(s.copies) > 0 {
					s.restore(rapid.SampledFrom(s.copies).Draw(t, "restored"))
				}
			case "rewrite":
				s.rewrite()
			case "read":
				read(entries[i])
				noteLeaving(i, s.snapshot())
			case "fetch":
				fetch(entries[j], entries[i])
			case "restart":
				entries[i], versions[i], left[i] = follower.New(), 0, map[string]bool{}
			case "tick":
				entries[i].Tick(now)
			}
			check()
		}
		s.rewrite()
		for i, e := range entries {
			read(e)
			e.Tick(now.Add(time.Minute))
			_, config := e.Config()
			want := ""
			for _, id := range slices.Sorted(maps.Keys(s.instances)) {
				if !s.leaving[id] {
					want += id
				}
			}
			if usableIDs(e) != want || config.Version != s.newest {
				t.Fatalf("entry %d has upstreams %q and version %d, the store %q and %d", i, usableIDs(e), config.Version, want, s.newest)
			}
			if e.Fingerprint() != entries[0].Fingerprint() {
				t.Fatalf("entry %d has another fingerprint than entry 0", i)
			}
		}
	})
}

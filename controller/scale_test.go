package controller

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/follower"
	"github.com/sapphireramp/sapphireramp/isolator"
	"github.com/sapphireramp/sapphireramp/prober"
	"github.com/sapphireramp/sapphireramp/quarantiner"
	"github.com/sapphireramp/sapphireramp/tunneler"
)

// The tests in this file guard against work of an entry that grows with the size of the fleet. They compare
// two sizes.
const smallFleet, largeFleet = 60, 1200

// newTestState returns the control state of an entry that does no I/O and knows the given number of other
// entries, all of which have sent it a heartbeat.
func newTestState(members int) *state {
	c := New(Config{
		Name: "self", DataCentre: "dc-0", Dispatcher: dispatcher.New("dc-0", rand.New(rand.NewPCG(1, 1))), Quarantine: quarantiner.New(), Isolator: isolator.New("self"), Tunneler: tunneler.New(tunneler.Config{Log: zap.NewNop(), Scope: tally.NoopScope}),
		MaxPropagation: 2 * time.Second, Log: zap.NewNop(), Scope: tally.NoopScope,
	})
	s := &state{
		controller: c, follower: follower.New(), capacities: map[string]reportedCapacity{}, diedAt: map[string]time.Time{}, lostAt: map[string]time.Time{}, started: time.Now(),
		prober: prober.New(prober.Config{Name: "self", DataCentre: "dc-0", Neighbours: heartbeatNeighbours, SuspectAfter: deadTimeout}),
	}
	s.follower.Confirm(time.Now())
	for i := range members {
		s.applyHeartbeat(time.Now(), testBeat(i))
	}
	return s
}

// testBeat returns a heartbeat of the other entry with the index i.
func testBeat(i int) Beat {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 81)
	return Beat{Heartbeat: api.Heartbeat{From: fmt.Sprintf("entry-%d", i), Incarnation: 1, PeerAddress: address, Address: address, DataCentre: fmt.Sprintf("dc-%d", i%5), Ready: true}}
}

// An entry learns the address of another one with the same work however many it knows. Otherwise the work of
// a starting entry would grow with the square of the fleet's size, and that of all with its cube.
func TestWorkPerContactDoesNotGrowWithTheFleet(t *testing.T) {
	allocations := func(members int) float64 {
		s := newTestState(members)
		next := members
		return testing.AllocsPerRun(100, func() {
			b := testBeat(next)
			s.applyContact(time.Now(), Contact{Name: b.From, Incarnation: 1, Callers: b.Address, Peers: b.PeerAddress, DataCentre: b.DataCentre})
			next++
		})
	}
	if small, large := allocations(smallFleet), allocations(largeFleet); large > 1.5*small {
		t.Errorf("%g allocations for a contact where %d are known, %g where %d are", small, smallFleet, large, largeFleet)
	}
}

// An entry decides twenty times a second whether it has to read the store. It allocates nothing for that.
func TestReadDecisionAllocatesNothing(t *testing.T) {
	for _, members := range []int{smallFleet, largeFleet} {
		s := newTestState(members)
		if n := testing.AllocsPerRun(100, func() { s.shouldReadStore(time.Now()) }); n > 0 {
			t.Errorf("%g allocations where %d entries are known", n, members)
		}
	}
}

// A view takes work in proportion to the fleet's size, so it is published the less often the larger the fleet
// is, though the state changes all the time. In a small fleet each change is published within milliseconds.
func TestViewsArePublishedLessOftenInLargeFleets(t *testing.T) {
	published := func(members int) (views int, longest time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			s := newTestState(members)
			s.publishDirty()
			changedAt := time.Time{}
			for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(time.Millisecond) {
				if !s.dirty {
					s.dirty, changedAt = true, time.Now()
				}
				if s.publishDirty(); !s.dirty {
					views++
					longest = max(longest, time.Since(changedAt))
				}
			}
		})
		return views, longest
	}
	few, delayInSmall := published(6)
	_, delayInLarge := published(largeFleet)
	small, _ := published(smallFleet)
	large, _ := published(largeFleet)
	if work, limit := large*largeFleet, small*smallFleet*3/2; work > limit {
		t.Errorf("%d members in the views of two seconds in a fleet of %d, at most %d expected", work, largeFleet, limit)
	}
	if delayInSmall > 5*time.Millisecond || few < 400 {
		t.Errorf("a change is published after up to %s in a fleet of six, %d times in two seconds", delayInSmall, few)
	}
	if delayInLarge > 400*time.Millisecond {
		t.Errorf("a change is published after up to %s in a fleet of %d", delayInLarge, largeFleet)
	}
}

// Where nobody confirms the state, few entries of a large fleet read the store early, and all do before
// they may no longer deny requests. On the platform's shortest limit, all wait equally long.
func TestFewEntriesReadAStaleStateEarly(t *testing.T) {
	const limit = 5 * time.Second
	early, size := 0, 585
	for i := range size {
		age := staleAge(fmt.Sprintf("front-quito-a-%d", i), limit)
		if age < 1500*time.Millisecond || age > 3*time.Second {
			t.Fatalf("an entry reads the store after %s", age)
		}
		if age < 2400*time.Millisecond { // 0.9 s after the first, in which a confirmation reaches all
			early++
		}
	}
	if early == 0 || early > size/5 {
		t.Errorf("%d of %d entries read the store before the confirmation of the first reaches them", early, size)
	}
	if age := staleAge("any", 2*time.Second); age != 1200*time.Millisecond {
		t.Errorf("an entry reads the store after %s where changes have to take effect within 2 s", age)
	}
}

// An entry gives callers the address of one that it knows from contacts only, once these tell that it accepts
// callers. Most entries of a large fleet know most others only so.
func TestContactsTellWhoAcceptsCallers(t *testing.T) {
	is := is.New(t)
	s := newTestState(0)
	b := testBeat(1)
	contact := Contact{Name: b.From, Incarnation: b.Incarnation, Callers: b.Address, Peers: b.PeerAddress, DataCentre: b.DataCentre}
	callerEntries := func() []readyEntry {
		var v view
		s.addMembers(&v)
		return v.callerEntries
	}
	s.applyContact(time.Now(), contact)
	is.Equal(len(callerEntries()), 0)
	contact.Ready = true
	s.applyContact(time.Now(), contact)
	is.Equal(len(callerEntries()), 1)
	is.Equal(callerEntries()[0].address, b.Address)
}

// An entry that was declared dead is still sent load updates for a while: most restart at once, before all others
// know that they run again, and would otherwise place prompts without knowing the load.
func TestRecentlyDeadEntriesAreSentLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestState(1)
		time.Sleep(2 * deadTimeout)
		dead := api.Notice{Kind: api.KindEntry, Name: testBeat(0).From, Incarnation: 1, State: api.NoticeDead, Sequence: 1}
		s.applyMemberChanges(s.prober.ReceiveNotice(time.Now(), dead))
		peers := func() []peer {
			var v view
			s.addMembers(&v)
			return v.peers
		}
		is.Equal(len(peers()), 1)
		is.True(peers()[0].dead)
		time.Sleep(deadUpdateTime + time.Second)
		is.Equal(len(peers()), 0)
	})
}

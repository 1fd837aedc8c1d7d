package prober_test

import (
	"fmt"
	"maps"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/prober"
)

func Example() {
	now := time.Now()
	p := prober.New(prober.Config{Name: "a", Incarnation: 1, Neighbours: 2, SuspectAfter: time.Second})
	p.ReceiveHeartbeat(now, api.Heartbeat{From: "b", Incarnation: 1, Ready: true, PeerAddress: netip.MustParseAddrPort("10.0.0.2:81")})
	p.NextHeartbeatTargets(now)
	p.NextHeartbeatTargets(now)
	fmt.Println(p.Tick(now.Add(500 * time.Millisecond)))
	fmt.Println(p.Tick(now.Add(2 * time.Second)))
	// Output:
	// []
	// [{b live dead silence}]
}

// testFleet is a set of probers that exchange heartbeats on a simulated clock.
type testFleet struct {
	now     time.Time
	probers []*prober.Prober
	// silent holds the indexes of the entries that neither send nor answer heartbeats.
	silent map[int]bool
	// restarts holds the number of restarts of each entry, stopping the entries that are shutting
	// down.
	restarts map[int]uint64
	stopping map[int]bool
	// informed holds the entries that have received a piece of information carried by heartbeats.
	informed map[int]bool
	// dataCentre returns the data centre of an entry.
	dataCentre func(int) string
	// across counts the heartbeats between data centres, within those inside one.
	across, within int
}

// newTestFleet returns a fleet in a single data centre.
func newTestFleet(size, neighbours int) *testFleet {
	return newPlacedFleet(size, neighbours, func(int) string { return "" })
}

// newPlacedFleet returns a fleet whose entries are in the data centres that dataCentre returns.
func newPlacedFleet(size, neighbours int, dataCentre func(int) string) *testFleet {
	f := &testFleet{now: time.Now(), silent: map[int]bool{}, restarts: map[int]uint64{}, stopping: map[int]bool{}, informed: map[int]bool{}, dataCentre: dataCentre}
	var list []api.Instance
	for i := range size {
		list = append(list, api.Instance{Name: name(i), Kind: api.KindEntry, Address: address(i).String(), PeerAddress: address(i).String(), DataCentre: dataCentre(i), State: api.InstanceLive})
	}
	for i := range size {
		p := prober.New(prober.Config{Name: name(i), Incarnation: 1, DataCentre: dataCentre(i), Neighbours: neighbours, SuspectAfter: 3 * time.Second})
		p.ApplyInstanceList(f.now, list)
		f.probers = append(f.probers, p)
	}
	return f
}

func name(i int) string { return fmt.Sprintf("entry-%d", i) }

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 81)
}

// heartbeat returns the next heartbeat of entry i.
func (f *testFleet) heartbeat(i int) api.Heartbeat {
	return api.Heartbeat{From: name(i), Incarnation: 1 + f.restarts[i], Ready: !f.stopping[i], Stopping: f.stopping[i], PeerAddress: address(i), DataCentre: f.dataCentre(i), Notices: f.probers[i].TakeNotices()}
}

// round simulates a second in which every entry that is not silent sends its heartbeats.
func (f *testFleet) round() {
	f.now = f.now.Add(time.Second)
	wasInformed := maps.Clone(f.informed) // information advances one hop per round
	for i, p := range f.probers {
		if f.silent[i] {
			continue
		}
		p.Tick(f.now)
		for _, t := range p.NextHeartbeatTargets(f.now) {
			var to int
			_, _ = fmt.Sscanf(t.Name, "entry-%d", &to)
			if f.dataCentre(i) == f.dataCentre(to) {
				f.within++
			} else {
				f.across++
			}
			if f.silent[to] {
				continue
			}
			if wasInformed[i] || wasInformed[to] {
				f.informed[i], f.informed[to] = true, true
			}
			f.probers[to].ReceiveHeartbeat(f.now, f.heartbeat(i))
			p.ReceiveHeartbeat(f.now, f.heartbeat(to))
		}
	}
}

// countState returns the number of other entries that are not silent and see a member in the given
// state.
func (f *testFleet) countState(member int, state prober.State) int {
	n := 0
	for i, p := range f.probers {
		if m, ok := p.Find(name(member)); i != member && !f.silent[i] && ok && m.State == state {
			n++
		}
	}
	return n
}

// In a fleet of the target size, 380 entries with three neighbours each, the death and the return
// of an entry must reach all others within 60 rounds.
func TestDeathSpreads(t *testing.T) {
	is := is.New(t)
	const size = 380
	f := newTestFleet(size, 3)
	for range 3 {
		f.round()
	}
	f.silent[7] = true
	rounds := 0
	for f.countState(7, prober.Dead) < size-1 {
		f.round()
		rounds++
		if rounds > 60 {
			t.Fatalf("%d of %d entries declared it dead after %d rounds", f.countState(7, prober.Dead), size-1, rounds)
		}
	}
	t.Logf("death reached all entries after %d rounds", rounds)
	f.silent[7] = false
	rounds = 0
	for f.countState(7, prober.Dead) > 0 {
		f.round()
		rounds++
		if rounds > 60 {
			t.Fatalf("%d entries still see it as dead after %d rounds", f.countState(7, prober.Dead), rounds)
		}
	}
	t.Logf("return reached all entries after %d rounds", rounds)
	is.Equal(f.countState(7, prober.Dead), 0)
}

// One of 380 entries shuts down and starts again, and all others must be notified. If only its
// neighbours are, the others give its address to callers, and send it messages to relay, while it
// shuts down and while it is gone.
func TestShutdownAndReturnSpread(t *testing.T) {
	is := is.New(t)
	const size, maxRounds = 380, 10
	f := newTestFleet(size, 4)
	for range 5 {
		f.round()
	}
	countReady := func() int {
		n := 0
		for i, p := range f.probers {
			if m, ok := p.Find(name(7)); i != 7 && ok && m.Ready {
				n++
			}
		}
		return n
	}
	f.stopping[7] = true
	rounds := 0
	for f.countState(7, prober.Stopping) < size-1 {
		f.round()
		rounds++
		is.True(rounds <= maxRounds)
	}
	t.Logf("shutdown reached all entries after %d rounds", rounds)
	is.Equal(countReady(), 0)
	for range maxRounds {
		f.round()
	}
	is.Equal(f.countState(7, prober.Stopping), size-1) // late heartbeats and notices do not revert it
	f.stopping[7], f.restarts[7] = false, 1
	rounds = 0
	for countReady() < size-1 {
		f.round()
		rounds++
		is.True(rounds <= maxRounds)
	}
	t.Logf("return reached all entries after %d rounds", rounds)
	is.Equal(f.countState(7, prober.Stopping), 0)
}

// In a fault-free fleet of 120 entries in three data centres, some pairs exchange their first
// heartbeat only after warmUpRounds. If each entry of such a pair announces the other, even one
// that a notice has announced already, the bytes between data centres grow by two fifths.
func TestMemberIsAnnouncedOnce(t *testing.T) {
	is := is.New(t)
	const size, rounds = 120, 200
	f := newPlacedFleet(size, 4, func(i int) string { return fmt.Sprint("dc-", i%3) })
	notices := map[api.Notice]bool{}
	for range rounds {
		f.round()
		for _, p := range f.probers {
			for _, n := range p.TakeNotices() {
				notices[n] = true
			}
		}
	}
	t.Logf("%d notices", len(notices))
	is.True(len(notices) <= size)
}

// A heartbeat sent before a member began to shut down may arrive after the heartbeat that reports
// the shutdown. It must be ignored.
func TestLateHeartbeatOfStoppingMemberIsIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := prober.New(prober.Config{Name: "a", Incarnation: 1, Neighbours: 2, SuspectAfter: time.Second})
	heartbeat := api.Heartbeat{From: "b", Incarnation: 1, Ready: true, PeerAddress: address(1)}
	p.ReceiveHeartbeat(now, heartbeat)
	stopping := heartbeat
	stopping.Stopping = true
	p.ReceiveHeartbeat(now, stopping)
	p.ReceiveHeartbeat(now, heartbeat)
	m, _ := p.Find("b")
	is.Equal(m.State, prober.Stopping)
	is.True(!m.Ready)
}

// No member is declared dead while all entries send heartbeats.
func TestNoFalseDeath(t *testing.T) {
	f := newTestFleet(60, 3)
	for range 40 {
		f.round()
	}
	for i := range f.probers {
		if n := f.countState(i, prober.Dead); n > 0 {
			t.Errorf("%d entries declared %s dead", n, name(i))
		}
	}
}

// Information carried by heartbeats, such as the revision of a new document, reaches all entries in
// fewer than 20 rounds.
func TestHeartbeatPayloadSpreads(t *testing.T) {
	is := is.New(t)
	const size = 380
	f := newTestFleet(size, 3)
	f.round()
	clear(f.informed)
	f.informed[0] = true
	rounds := 0
	countInformed := func() int {
		n := 0
		for _, k := range f.informed {
			if k {
				n++
			}
		}
		return n
	}
	for countInformed() < size {
		f.round()
		rounds++
		is.True(rounds < 20)
	}
	t.Logf("reached all entries after %d rounds", rounds)
}

// In a fleet in several data centres, about a quarter of the heartbeats cross between them, unless
// one data centre has few entries. A death in any of them reaches all entries within ten rounds.
func TestHeartbeatsStayWithinDataCentres(t *testing.T) {
	for _, c := range []struct {
		size, dataCentres, few int
	}{{95, 5, 0}, {380, 8, 0}, {60, 3, 2}, {7, 3, 0}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			f := newPlacedFleet(c.size, 4, func(i int) string {
				if i < c.few {
					return "few"
				}
				return fmt.Sprint("dc-", i%c.dataCentres)
			})
			for range 5 {
				f.round()
			}
			crossing := float64(f.across) / float64(f.across+f.within)
			t.Logf("%.2f of the heartbeats cross between data centres", crossing)
			is.Equal(crossing < 0.3, c.size > 20 && c.few == 0)
			f.silent[1] = true
			rounds := 0
			for f.countState(1, prober.Dead) < c.size-1 {
				f.round()
				rounds++
				is.True(rounds <= 10)
			}
			t.Logf("death reached all entries after %d rounds", rounds)
		})
	}
}

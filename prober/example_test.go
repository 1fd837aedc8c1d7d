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
	p.BeginRound(now)
	p.BeginRound(now)
	fmt.Println(p.Tick(now.Add(500 * time.Millisecond)))
	fmt.Println(p.Tick(now.Add(2 * time.Second)))
	// Output:
	// []
	// [{b live dead silence}]
}

// testFleet is many probers that exchange heartbeats.
type testFleet struct {
	now     time.Time
	probers []*prober.Prober
	silent  map[int]bool
	// restarts is the incarnation of each less one, stopping are those that stop.
	restarts map[int]uint64
	stopping map[int]bool
	// informed is who has heard of a new document.
	informed map[int]bool
	// dataCentre is the data centre of each; all the same where it is nil.
	dataCentre func(int) string
	// across and within count heartbeats between data centres and inside one.
	across, within int
}

func newTestFleet(size, neighbours int) *testFleet {
	return newPlacedFleet(size, neighbours, func(int) string { return "" })
}

// newPlacedFleet is a ring in several data centres.
func newPlacedFleet(size, neighbours int, place func(int) string) *testFleet {
	r := &testFleet{now: time.Now(), silent: map[int]bool{}, restarts: map[int]uint64{}, stopping: map[int]bool{}, informed: map[int]bool{}, dataCentre: place}
	var list []api.Instance
	for i := range size {
		list = append(list, api.Instance{Name: name(i), Kind: api.KindEntry, Address: address(i).String(), PeerAddress: address(i).String(), DataCentre: place(i), State: api.InstanceLive})
	}
	for i := range size {
		p := prober.New(prober.Config{Name: name(i), Incarnation: 1, DataCentre: place(i), Neighbours: neighbours, SuspectAfter: 3 * time.Second})
		p.ApplyInstanceList(r.now, list)
		r.probers = append(r.probers, p)
	}
	return r
}

func name(i int) string { return fmt.Sprintf("entry-%d", i) }

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 81)
}

func (r *testFleet) heartbeat(i int) api.Heartbeat {
	return api.Heartbeat{From: name(i), Incarnation: 1 + r.restarts[i], Ready: !r.stopping[i], Stopping: r.stopping[i], PeerAddress: address(i), DataCentre: r.dataCentre(i), Notices: r.probers[i].NextNotices()}
}

// round lets a second pass in which everyone who is not silent sends its
// heartbeats.
func (r *testFleet) round() {
	r.now = r.now.Add(time.Second)
	wasInformed := maps.Clone(r.informed) // word goes one step a round
	for i, p := range r.probers {
		if r.silent[i] {
			continue
		}
		p.Tick(r.now)
		for _, t := range p.BeginRound(r.now) {
			var to int
			_, _ = fmt.Sscanf(t.Name, "entry-%d", &to)
			if r.dataCentre(i) == r.dataCentre(to) {
				r.within++
			} else {
				r.across++
			}
			if r.silent[to] {
				continue
			}
			if wasInformed[i] || wasInformed[to] {
				r.informed[i], r.informed[to] = true, true
			}
			r.probers[to].ReceiveHeartbeat(r.now, r.heartbeat(i))
			p.ReceiveHeartbeat(r.now, r.heartbeat(to))
		}
	}
}

func (r *testFleet) countState(member int, state prober.State) int {
	n := 0
	for i, p := range r.probers {
		if m, ok := p.Find(name(member)); i != member && !r.silent[i] && ok && m.State == state {
			n++
		}
	}
	return n
}

// At the target's size and with three neighbours each, news of a death
// reaches everyone in a few rounds, and so does news of a return.
func TestDeathSpreads(t *testing.T) {
	is := is.New(t)
	const size = 380
	r := newTestFleet(size, 3)
	for range 3 {
		r.round()
	}
	r.silent[7] = true
	rounds := 0
	for r.countState(7, prober.Dead) < size-1 {
		r.round()
		rounds++
		if rounds > 60 {
			t.Fatalf("%d of %d believe it after %d rounds", r.countState(7, prober.Dead), size-1, rounds)
		}
	}
	t.Logf("death known to all after %d rounds", rounds)
	r.silent[7] = false
	rounds = 0
	for r.countState(7, prober.Dead) > 0 {
		r.round()
		rounds++
		if rounds > 60 {
			t.Fatalf("%d still believe it dead after %d rounds", r.countState(7, prober.Dead), rounds)
		}
	}
	t.Logf("return known to all after %d rounds", rounds)
	is.Equal(r.countState(7, prober.Dead), 0)
}

// An entry of 380 stops and starts again. Only those that exchanged a heartbeat with it knew: the others
// named its address to callers while it stopped and while it was gone, and sent it messages to pass on.
func TestShutdownAndReturnSpread(t *testing.T) {
	is := is.New(t)
	const size, maxRounds = 380, 10
	r := newTestFleet(size, 4)
	for range 5 {
		r.round()
	}
	ready := func() int {
		n := 0
		for i, p := range r.probers {
			if m, ok := p.Find(name(7)); i != 7 && ok && m.Ready {
				n++
			}
		}
		return n
	}
	r.stopping[7] = true
	rounds := 0
	for r.countState(7, prober.Stopping) < size-1 {
		r.round()
		rounds++
		is.True(rounds <= maxRounds)
	}
	t.Logf("stop known to all after %d rounds", rounds)
	is.Equal(ready(), 0)
	for range maxRounds {
		r.round()
	}
	is.Equal(r.countState(7, prober.Stopping), size-1) // nothing late takes it back
	r.stopping[7], r.restarts[7] = false, 1
	rounds = 0
	for ready() < size-1 {
		r.round()
		rounds++
		is.True(rounds <= maxRounds)
	}
	t.Logf("return known to all after %d rounds", rounds)
	is.Equal(r.countState(7, prober.Stopping), 0)
}

// A quiet fleet of 120 in three data centres: some pairs hear each other for the first time only after 50 rounds. Each
// entry that did so spread a notice of its own of the other, also where it had been told before: a day without
// a fault had two fifths more bytes between data centres.
func TestMemberIsAnnouncedOnce(t *testing.T) {
	is := is.New(t)
	const size, rounds = 120, 200
	r := newPlacedFleet(size, 4, func(i int) string { return fmt.Sprint("dc-", i%3) })
	notices := map[api.Notice]bool{}
	for range rounds {
		r.round()
		for _, p := range r.probers {
			for _, n := range p.NextNotices() {
				notices[n] = true
			}
		}
	}
	t.Logf("%d notices", len(notices))
	is.True(len(notices) <= size)
}

// A heartbeat that was sent before a member began to stop, and comes after it was heard to stop, says nothing.
func TestLateHeartbeatOfStoppingMemberIsIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := prober.New(prober.Config{Name: "a", Incarnation: 1, Neighbours: 2, SuspectAfter: time.Second})
	beat := api.Heartbeat{From: "b", Incarnation: 1, Ready: true, PeerAddress: address(1)}
	p.ReceiveHeartbeat(now, beat)
	stops := beat
	stops.Stopping = true
	p.ReceiveHeartbeat(now, stops)
	p.ReceiveHeartbeat(now, beat)
	m, _ := p.Find("b")
	is.Equal(m.State, prober.Stopping)
	is.True(!m.Ready)
}

// Nobody is taken for dead while all speak.
func TestNoFalseDeath(t *testing.T) {
	r := newTestFleet(60, 3)
	for range 40 {
		r.round()
	}
	for i := range r.probers {
		if n := r.countState(i, prober.Dead); n > 0 {
			t.Errorf("%d believe %s dead", n, name(i))
		}
	}
}

// What rides on heartbeats, such as the revision of a new document, reaches
// everyone in few rounds.
func TestHeartbeatPayloadSpreads(t *testing.T) {
	is := is.New(t)
	const size = 380
	r := newTestFleet(size, 3)
	r.round()
	clear(r.informed)
	r.informed[0] = true
	rounds := 0
	know := func() int {
		n := 0
		for _, k := range r.informed {
			if k {
				n++
			}
		}
		return n
	}
	for know() < size {
		r.round()
		rounds++
		is.True(rounds < 20)
	}
	t.Logf("known to all after %d rounds", rounds)
}

// Of the heartbeats of a fleet in several data centres a quarter cross between them, unless
// one of them has few entries, and word of a death in any of them reaches all in ten rounds.
func TestHeartbeatsStayWithinDataCentres(t *testing.T) {
	for _, c := range []struct {
		size, dataCentres, few int
	}{{95, 5, 0}, {380, 8, 0}, {60, 3, 2}, {7, 3, 0}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			r := newPlacedFleet(c.size, 4, func(i int) string {
				if i < c.few {
					return "few"
				}
				return fmt.Sprint("dc-", i%c.dataCentres)
			})
			for range 5 {
				r.round()
			}
			crossing := float64(r.across) / float64(r.across+r.within)
			t.Logf("%.2f cross", crossing)
			is.Equal(crossing < 0.3, c.size > 20 && c.few == 0)
			r.silent[1] = true
			rounds := 0
			for r.countState(1, prober.Dead) < c.size-1 {
				r.round()
				rounds++
				is.True(rounds <= 10)
			}
			t.Logf("death known to all after %d rounds", rounds)
		})
	}
}

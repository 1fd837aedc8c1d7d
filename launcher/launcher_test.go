package launcher_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/standin/caller"
	"github.com/sapphireramp/sapphireramp/standin/store"
	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// traffic is callers that ask steadily until they are told to stop.
type traffic struct {
	*caller.Traffic
	fleet *fleet
}

func (f *fleet) startTraffic(callers int) *traffic {
	f.trafficCount++
	return &traffic{fleet: f, Traffic: caller.NewTraffic(fmt.Sprintf("t%d%s", f.trafficCount, f.idSalt), callers, func(n int) *caller.Caller { return f.newCaller(uint64(n)) })}
}

// stopAndCheck stops the callers, and fails the test for every broken promise.
func (x *traffic) stopAndCheck() (served, sent int) {
	x.Stop()
	return x.checkResults()
}

// checkResults fails the test for every broken promise to callers that were stopped.
func (x *traffic) checkResults() (served, sent int) {
	served, sent, violations := x.Judge(x.fleet.evidence())
	for _, b := range violations {
		x.fleet.t.Error(b)
	}
	return served, sent
}

func withFleet(t *testing.T, entries int, test func(is *is.I, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, entries)
		defer f.shutDown()
		test(is.New(t), f)
	})
}

// A calm day: everything is served.
func TestCalmDay(t *testing.T) {
	withFleet(t, 3, func(is *is.I, f *fleet) {
		x := f.startTraffic(8)
		time.Sleep(10 * time.Second)
		served, sent := x.stopAndCheck()
		is.True(sent > 100)
		is.Equal(served, sent)
	})
}

// Entries that are stopped and started in turn, while busy, cut off nothing.
func TestRollingStopCutsOffNothing(t *testing.T) {
	withFleet(t, 3, func(is *is.I, f *fleet) {
		x := f.startTraffic(8)
		for i := range f.entries {
			time.Sleep(time.Second)
			began := time.Now()
			f.stopEntry(f.entries[i])
			<-f.entries[i].exited
			is.True(time.Since(began) < gracePeriod)
			time.Sleep(1500 * time.Millisecond) // nobody knows its address any more
			f.entries[i] = f.startEntry(i)
			time.Sleep(2 * time.Second)
		}
		served, sent := x.stopAndCheck()
		is.Equal(served, sent)
	})
}

// A stopping entry says at once that it is not ready.
func TestStoppingEntryIsNotReady(t *testing.T) {
	withFleet(t, 3, func(is *is.I, f *fleet) {
		client := &http.Client{Transport: &http.Transport{DialContext: f.net.Dialer(callerHost), DisableKeepAlives: true}}
		ready := func() int {
			response, err := client.Get("http://" + netip.AddrPortFrom(entryHost(0), readyPort).String() + "/ready")
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			return response.StatusCode
		}
		is.Equal(ready(), http.StatusOK)
		f.entries[0].stop()
		time.Sleep(50 * time.Millisecond)
		is.Equal(ready(), http.StatusServiceUnavailable)
	})
}

// SIGHUP has the settings read again and changes nothing else.
func TestReload(t *testing.T) {
	withFleet(t, 2, func(is *is.I, f *fleet) {
		x := f.startTraffic(4)
		for range 5 {
			for _, e := range f.entries {
				e.reload <- struct{}{}
			}
			time.Sleep(300 * time.Millisecond)
		}
		served, sent := x.stopAndCheck()
		is.Equal(served, sent)
	})
}

// A key that is taken away is refused everywhere within two seconds, also
// while the store turns entries away.
func TestRevokedKey(t *testing.T) {
	withFleet(t, 4, func(is *is.I, f *fleet) {
		c := f.newCaller(1)
		is.Equal(c.Ask("/safe/x", "r1", "key-2", time.Second).Status, http.StatusOK)
		f.net.Cut(entryHost(2), storeHost)
		f.net.Cut(entryHost(3), storeHost)
		f.putConfig(2, "key-1")
		time.Sleep(2 * time.Second)
		for i := range 20 {
			is.Equal(c.Ask("/safe/x", fmt.Sprintf("r2-%d", i), "key-2", time.Second).Status, http.StatusUnauthorized)
		}
		c.Close()
	})
}

// An upstream that leaves gets no new work after two seconds; its address then
// belongs to another, which runs nothing that was meant for the first.
func TestLeavingUpstreamGetsNoWork(t *testing.T) {
	withFleet(t, 3, func(is *is.I, f *fleet) {
		x := f.startTraffic(8)
		f.putWorker("i-app-1", "app", "draining")
		f.store.Delete("servers/i-lm-2")
		time.Sleep(2 * time.Second)
		runsBefore := len(f.workers["i-app-1"].Runs()) + len(f.workers["i-lm-2"].Runs())
		time.Sleep(5 * time.Second)
		is.Equal(len(f.workers["i-app-1"].Runs())+len(f.workers["i-lm-2"].Runs()), runsBefore)
		served, sent := x.stopAndCheck()
		is.Equal(served, sent)
	})
}

// All entries are killed at once and come back with no memory: they serve
// again within seconds, also where the store is away at first.
func TestAllEntriesKilled(t *testing.T) {
	withFleet(t, 4, func(is *is.I, f *fleet) {
		f.store.SetMode(store.Reset)
		for _, e := range f.entries {
			f.killEntry(e)
		}
		for _, e := range f.entries {
			<-e.exited
		}
		for i := range f.entries {
			f.entries[i] = f.startEntry(i)
		}
		time.Sleep(2 * time.Second)
		f.store.SetMode(store.Up)
		time.Sleep(time.Second)
		x := f.startTraffic(4)
		time.Sleep(3 * time.Second)
		served, sent := x.stopAndCheck()
		is.Equal(served, sent)
	})
}

// One upstream of each kind fails in each way: what may be repeated is served
// nevertheless, and the promises hold for the rest.
func TestFaultyUpstreams(t *testing.T) {
	for _, fault := range worker.Faults {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			withFleet(t, 3, func(is *is.I, f *fleet) {
				f.workers["i-app-1"].SetFault(fault)
				f.workers["i-lm-2"].SetFault(fault)
				x := f.startTraffic(8)
				time.Sleep(6 * time.Second)
				served, sent := x.stopAndCheck()
				is.True(float64(served) > 0.75*float64(sent))
			})
		})
	}
}

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

// traffic is a group of callers that send requests steadily until they are stopped.
type traffic struct {
	*caller.Traffic
	fleet *fleet
}

// startTraffic starts the given number of callers.
func (f *fleet) startTraffic(callers int) *traffic {
	f.trafficCount++
	return &traffic{fleet: f, Traffic: caller.NewTraffic(fmt.Sprintf("t%d%s", f.trafficCount, f.idSalt), callers, func(n int) *caller.Caller { return f.newCaller(uint64(n)) })}
}

// stopAndCheck stops the callers and checks their results. It returns how many requests were served
// and sent.
func (x *traffic) stopAndCheck() (served, sent int) {
	x.Stop()
	return x.checkResults()
}

// checkResults fails the test for every result of the stopped callers that violates a guarantee of
// the product, such as an incomplete answer, a request that ran too often, or one that ran although it
// was reported as not run. It returns how many requests were served and sent.
func (x *traffic) checkResults() (served, sent int) {
	served, sent, violations := x.Evaluate(x.fleet.evidence())
	for _, b := range violations {
		x.fleet.t.Error(b)
	}
	return served, sent
}

// withFleet runs a test with a fleet in virtual time.
func withFleet(t *testing.T, entries int, test func(is *is.I, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, entries)
		defer f.shutDown()
		test(is.New(t), f)
	})
}

// Without disruptions, all requests are served.
func TestAllIsServedWithoutDisruptions(t *testing.T) {
	withFleet(t, 3, func(is *is.I, f *fleet) {
		x := f.startTraffic(8)
		time.Sleep(10 * time.Second)
		served, sent := x.stopAndCheck()
		is.True(sent > 100)
		is.Equal(served, sent)
	})
}

// A rolling restart of all entries under load cuts off no request.
func TestRollingStopCutsOffNothing(t *testing.T) {
	withFleet(t, 3, func(is *is.I, f *fleet) {
		x := f.startTraffic(8)
		for i := range f.entries {
			time.Sleep(time.Second)
			began := time.Now()
			f.stopEntry(f.entries[i])
			<-f.entries[i].exited
			is.True(time.Since(began) < shutdownGrace)
			time.Sleep(1500 * time.Millisecond) // until no caller uses the address any more
			f.entries[i] = f.startEntry(i)
			time.Sleep(2 * time.Second)
		}
		served, sent := x.stopAndCheck()
		is.Equal(served, sent)
	})
}

// The readiness check fails as soon as an entry starts to shut down.
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

// A reload of the settings by SIGHUP makes no request fail.
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

// A revoked API key is refused by all entries within two seconds, also by those
// that cannot reach the store.
func TestRevokedKey(t *testing.T) {
	withFleet(t, 4, func(is *is.I, f *fleet) {
		c := f.newCaller(1)
		is.Equal(c.Do("/safe/x", "r1", "key-2", time.Second).Status, http.StatusOK)
		f.net.Disconnect(entryHost(2), storeHost)
		f.net.Disconnect(entryHost(3), storeHost)
		f.putConfig(2, "key-1")
		time.Sleep(2 * time.Second)
		for i := range 20 {
			is.Equal(c.Do("/safe/x", fmt.Sprintf("r2-%d", i), "key-2", time.Second).Status, http.StatusUnauthorized)
		}
		c.Close()
	})
}

// An upstream that is draining or deleted from the store receives no new
// requests after two seconds. The upstream's address may belong to another
// instance then, which must not run requests for the former one.
func TestLeavingUpstreamGetsNoWork(t *testing.T) {
	withFleet(t, 3, func(is *is.I, f *fleet) {
		x := f.startTraffic(8)
		f.putWorker("i-app-1", "app", "draining")
		f.store.Delete("servers/i-lm-2")
		time.Sleep(2 * time.Second)
		executionsBefore := len(f.workers["i-app-1"].Executions()) + len(f.workers["i-lm-2"].Executions())
		time.Sleep(5 * time.Second)
		is.Equal(len(f.workers["i-app-1"].Executions())+len(f.workers["i-lm-2"].Executions()), executionsBefore)
		served, sent := x.stopAndCheck()
		is.Equal(served, sent)
	})
}

// After all entries are killed at once, restarted entries serve again within
// seconds, even if the store is unavailable at first.
func TestAllEntriesKilled(t *testing.T) {
	withFleet(t, 4, func(is *is.I, f *fleet) {
		f.store.SetMode(store.ResetsConnections)
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
		f.store.SetMode(store.Available)
		time.Sleep(time.Second)
		x := f.startTraffic(4)
		time.Sleep(3 * time.Second)
		served, sent := x.stopAndCheck()
		is.Equal(served, sent)
	})
}

// With one faulty upstream per service, for each kind of fault, idempotent
// requests are retried at another: more than three quarters of all requests are
// served, and no result violates a guarantee.
func TestFaultyUpstreams(t *testing.T) {
	for _, fault := range worker.AllFaults {
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

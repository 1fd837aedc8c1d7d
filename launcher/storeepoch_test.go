package launcher_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/standin/store"
)

// storeOutage is the time for which the store of these tests is unavailable before it returns from a copy.
const storeOutage = 1500 * time.Millisecond

// restoreStore makes the store unavailable for a time and lets it return from a copy. The returned function
// writes again what the store has lost.
func (f *fleet) restoreStore(c store.Copy, outage time.Duration) (rewrite func()) {
	storeReturned := f.disruptionLog.RecordStoreOutage()
	f.store.SetMode(store.ResetsConnections)
	time.Sleep(outage)
	rewriteLost := f.store.Restore(c)
	f.store.SetMode(store.Available)
	return func() {
		rewriteLost()
		storeReturned()
	}
}

// isolateEntry cuts an entry off from all other entries, until rejoinEntry.
func (f *fleet) isolateEntry(i int) { f.eachOther(i, f.net.Disconnect) }

// rejoinEntry ends isolateEntry.
func (f *fleet) rejoinEntry(i int) { f.eachOther(i, f.net.Reconnect) }

// eachOther calls a function with the host of an entry and that of each other entry.
func (f *fleet) eachOther(i int, call func(a, b netip.Addr)) {
	for j := range f.entries {
		if j != i {
			call(entryHost(i), entryHost(j))
		}
	}
}

// checkStatus fails the test for each entry that responds to a request with an API key with another status.
func (f *fleet) checkStatus(id, key string, want int) {
	f.t.Helper()
	c := f.newCaller(200)
	defer c.Close()
	for i := range f.entries {
		c.SetFixedAddress(netip.AddrPortFrom(entryHost(i), entryPort))
		if got := c.Do("/safe/x", fmt.Sprint(id, i), key, time.Second).Status; got != want {
			f.t.Errorf("%s: entry %d responds to key %s with status %d, want %d", id, i, key, got, want)
		}
	}
}

// After the store has returned from an older copy, it counts revisions on from there. Entries that took its
// changes for older ones missed all until the store's revision had passed their own, and those with the
// revisions in between for good.
func TestChangesAfterTheStoreWentBackAreInForce(t *testing.T) {
	for _, lost := range []int{1, 2, 3, 10} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			withFleet(t, 7, func(is *is.I, f *fleet) {
				x := f.startTraffic(8)
				c := f.store.Copy()
				for n := range lost {
					f.putConfig(2+n, "key-1", "key-2")
					time.Sleep(300 * time.Millisecond)
				}
				rewrite := f.restoreStore(c, storeOutage)
				time.Sleep(time.Second)
				rewrite()
				f.putWorker("i-app-1", "app", "draining")
				f.putConfig(100, "key-1")
				time.Sleep(maxPropagation)
				before := len(f.workers["i-app-1"].Executions())
				f.checkStatus("revoked", "key-2", http.StatusUnauthorized)
				f.putConfig(101, "key-1", "key-3")
				time.Sleep(maxPropagation)
				f.checkStatus("added", "key-3", http.StatusOK)
				served, sent := x.stopAndCheck()
				is.Equal(served, sent)
				is.Equal(len(f.workers["i-app-1"].Executions()), before)
			})
		})
	}
}

// The store may have counted past the revision of the entries when they reach it again. A watch from there
// succeeds, and returns the last of the changes only.
func TestChangesWhileTheStoreWasAwayAreInForce(t *testing.T) {
	withFleet(t, 7, func(is *is.I, f *fleet) {
		x := f.startTraffic(8)
		c := f.store.Copy()
		for n := range 2 {
			f.putConfig(2+n, "key-1", "key-2")
			time.Sleep(300 * time.Millisecond)
		}
		storeReturned := f.disruptionLog.RecordStoreOutage()
		f.store.SetMode(store.ResetsConnections)
		time.Sleep(storeOutage)
		f.store.Restore(c)
		f.putConfig(100, "key-1")
		f.putWorker("i-app-1", "app", "draining")
		f.putWorker("i-app-3", "app", "ready")
		f.store.SetMode(store.Available)
		storeReturned()
		time.Sleep(maxPropagation)
		before := len(f.workers["i-app-1"].Executions())
		f.checkStatus("revoked", "key-2", http.StatusUnauthorized)
		time.Sleep(time.Second)
		served, sent := x.stopAndCheck()
		is.Equal(served, sent)
		is.Equal(len(f.workers["i-app-1"].Executions()), before)
	})
}

// While the store holds an older configuration than the newest, entries keep the newest one: those that run,
// those that start then, and one that was cut off from the store and the others meanwhile.
func TestLostConfigurationStaysInForce(t *testing.T) {
	withFleet(t, 7, func(is *is.I, f *fleet) {
		f.putConfig(2, "key-1", "key-2") // the newest change in the copy
		c := f.store.Copy()
		f.putConfig(50, "key-1", "key-3")
		time.Sleep(maxPropagation)
		f.net.Disconnect(entryHost(5), storeHost)
		f.isolateEntry(5)
		f.restoreStore(c, storeOutage)
		for _, i := range []int{0, 6} {
			f.killEntry(f.entries[i])
			<-f.entries[i].exited
		}
		f.isolateEntry(0) // reads the store before it hears from others
		for _, i := range []int{0, 6} {
			f.entries[i] = f.startEntry(i)
		}
		time.Sleep(time.Second)
		f.net.Reconnect(entryHost(5), storeHost)
		f.rejoinEntry(5)
		f.rejoinEntry(0)
		time.Sleep(3 * time.Second)
		f.checkStatus("added", "key-3", http.StatusOK)
		f.checkStatus("revoked", "key-2", http.StatusUnauthorized)
		f.putConfig(51, "key-1", "key-4")
		time.Sleep(maxPropagation)
		f.checkStatus("newest", "key-4", http.StatusOK)
		f.checkStatus("dropped", "key-3", http.StatusUnauthorized)
	})
}

// A store that goes back without stating its epoch in a readable form is noticed by its lower revision.
func TestChangesAreInForceWithoutAReadableEpoch(t *testing.T) {
	withFleet(t, 5, func(is *is.I, f *fleet) {
		f.store.GarbleEpoch("unknown")
		c := f.store.Copy()
		for n := range 6 {
			f.putConfig(2+n, "key-1", "key-2")
			time.Sleep(300 * time.Millisecond)
		}
		rewrite := f.restoreStore(c, storeOutage)
		time.Sleep(time.Second)
		rewrite()
		f.putConfig(100, "key-1")
		time.Sleep(maxPropagation)
		f.checkStatus("revoked", "key-2", http.StatusUnauthorized)
		f.store.GarbleEpoch("")
		f.putConfig(101, "key-1", "key-3")
		time.Sleep(maxPropagation)
		f.checkStatus("added", "key-3", http.StatusOK)
	})
}

// An upstream that has left is not used again when the store returns from a copy that lists it as ready.
func TestUpstreamThatLeftIsNotUsedAfterTheStoreWentBack(t *testing.T) {
	withFleet(t, 5, func(is *is.I, f *fleet) {
		x := f.startTraffic(8)
		c := f.store.Copy()
		f.putWorker("i-app-1", "app", "draining")
		f.store.Delete("servers/i-app-3")
		time.Sleep(maxPropagation)
		executions := func() int {
			return len(f.workers["i-app-1"].Executions()) + len(f.workers["i-app-3"].Executions())
		}
		before := executions()
		f.restoreStore(c, storeOutage)
		time.Sleep(4 * time.Second)
		f.store.Delete("servers/i-app-3") // its registration lapses again
		time.Sleep(5 * time.Second)
		served, sent := x.stopAndCheck()
		is.Equal(served, sent)
		is.Equal(executions(), before)
	})
}

// Guards against an entry that starts after the store has gone back and reads the store itself: it has the
// position of the others, and did not learn from them what the store has lost. It used a data centre
// that is evacuated and an upstream that has left.
func TestStartedEntryLearnsWhatTheStoreLost(t *testing.T) {
	withFleet(t, 7, func(is *is.I, f *fleet) {
		c := f.store.Copy()
		f.evacuate("dc-1")
		f.putWorker("i-app-3", "app", "draining")
		time.Sleep(maxPropagation)
		f.restoreStore(c, storeOutage)
		f.killEntry(f.entries[0])
		<-f.entries[0].exited
		f.isolateEntry(0) // reads the store before it hears from others
		f.entries[0] = f.startEntry(0)
		time.Sleep(2 * time.Second)
		f.rejoinEntry(0)
		time.Sleep(2 * time.Second)
		executions := func() int {
			n := len(f.workers["i-app-3"].Executions())
			for _, id := range f.workersIn("dc-1") {
				n += len(f.workers[id].Executions())
			}
			return n
		}
		before := executions()
		caller := f.newCaller(300)
		defer caller.Close()
		caller.SetFixedAddress(netip.AddrPortFrom(entryHost(0), entryPort))
		for i := range 40 {
			is.Equal(caller.Do("/safe/x", fmt.Sprint("inherited", i), "key-1", time.Second).Status, http.StatusOK)
		}
		is.Equal(executions(), before)
	})
}

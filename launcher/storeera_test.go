//go:build knownred

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

// restoreStore makes the store unavailable for storeOutage and lets it return from a copy.
func (f *fleet) restoreStore(c store.Copy) {
	storeReturned := f.disruptionLog.RecordStoreOutage()
	f.store.SetMode(store.ResetsConnections)
	time.Sleep(storeOutage)
	f.store.Restore(c)
	f.store.SetMode(store.Available)
	storeReturned()
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
				f.restoreStore(c)
				time.Sleep(time.Second)
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

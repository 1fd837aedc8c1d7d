package launcher_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireramp/sapphireramp/launcher"
)

// Guards against entries that go on calling the former address of the store after their settings name another one, and so
// stay at an old configuration until they restart (review case 5). Half of them get a signal, the others read the settings
// by themselves.
func TestMovedStoreIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.shutDown()
		moved := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, 0, 77}), 80)
		f.serve(moved, f.store)
		f.lock.Lock()
		f.settings = map[int]launcher.Settings{}
		for i := range f.entries {
			f.settings[i] = launcher.Settings{
				Seeds:       []netip.AddrPort{netip.AddrPortFrom(entryHost(0), peerPort), netip.AddrPortFrom(entryHost(1), peerPort)},
				RetryBudget: retryBudget, ShutdownGrace: shutdownGrace, StoreAddress: moved,
			}
		}
		f.lock.Unlock()
		for i, e := range f.entries {
			if i%2 == 0 {
				e.reload <- struct{}{}
			}
		}
		time.Sleep(6 * time.Second)
		f.net.KillHost(storeHost)
		time.Sleep(3 * time.Second)
		f.putConfig(2, "key-1")
		time.Sleep(maxPropagation)
		for i := range f.entries {
			for key, want := range map[string]int{"key-1": http.StatusOK, "key-2": http.StatusUnauthorized} {
				if status := f.statusAt(i, fmt.Sprintf("moved-%d-%s", i, key), key); status != want {
					t.Errorf("entry %d, %s: status %d, want %d, %s after the configuration", i, key, status, want, maxPropagation)
				}
			}
		}
	})
}

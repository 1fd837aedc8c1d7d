package launcher_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/store"
)

// manyRoutes returns routes with which a configuration is nearly as large as a value of the store may be, a mebibyte.
func manyRoutes() []any {
	var routes []any
	for n := range 4000 {
		prefix := fmt.Sprintf("/added-%d-%s/", n, strings.Repeat("x", 90))
		routes = append(routes, map[string]any{"name": fmt.Sprintf("added-%d", n), "host": "h", "prefix": prefix, "kind": "idempotent", "service": "app", "timeout-ms": 1000, "target-latency-ms": 300, "max-attempts": 1})
	}
	return routes
}

// statusAt returns the status of a request with a key that is sent to an entry.
func (f *fleet) statusAt(i int, id, key string) int {
	client := &http.Client{Transport: &http.Transport{DialContext: f.net.Dialer(callerHost), DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodGet, "http://"+netip.AddrPortFrom(entryHost(i), entryPort).String()+"/once/x", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("X-Attempt-Id", id)
	response, err := client.Do(r)
	if err != nil {
		f.t.Error(err)
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against entries that stay at an old configuration after large ones in quick succession, because the response of
// the store to a watch grows beyond what they read (review case 1), or because they read one version after the other where
// the store ends its responses at a mebibyte, or because the store takes too long to begin with a large one.
func TestStormOfLargeConfigurationsIsFollowed(t *testing.T) {
	for name, limit := range map[string]func(*store.Store){
		"all changes at once": func(*store.Store) {},
		"a mebibyte at once":  func(s *store.Store) { s.LimitWatches(1 << 20) },
		"2 MB a second":       func(s *store.Store) { s.SlowWatches(2_000_000) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				routes := manyRoutes()
				f := newFleet(t, 3)
				defer f.shutDown()
				limit(f.store)
				f.net.LimitSendRate(storeHost, 12_500_000) // 100 Mbit/s
				f.store.Put("op/config", f.configWith(2, routes, "key-1", "key-2"))
				time.Sleep(5 * time.Second)
				for version := range 25 {
					f.store.Put("op/config", f.configWith(3+version, routes, "key-1", "key-2"))
					time.Sleep(60 * time.Millisecond)
				}
				f.store.Put("op/config", f.configWith(30, routes, "key-1"))
				time.Sleep(maxPropagation)
				for i := range f.entries {
					for key, want := range map[string]int{"key-1": http.StatusOK, "key-2": http.StatusUnauthorized} {
						if status := f.statusAt(i, fmt.Sprintf("storm-%d-%s", i, key), key); status != want {
							t.Errorf("entry %d, %s: status %d, want %d, %s after the last configuration", i, key, status, want, maxPropagation)
						}
					}
				}
			})
		})
	}
}

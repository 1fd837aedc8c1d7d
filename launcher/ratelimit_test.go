package launcher_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/standin/caller"
)

// checkRateLimits fails the test for every rate limit of an upstream that the traffics exceeded.
func (f *fleet) checkRateLimits(traffics ...*traffic) {
	f.t.Helper()
	var all []*caller.Traffic
	for _, x := range traffics {
		all = append(all, x.Traffic)
	}
	for _, violation := range caller.RateLimitViolations(f.evidence(), slices.Collect(maps.Values(f.workers)), all...) {
		f.t.Error(violation)
	}
}

// Upstreams that state a rate limit in their responses get no more requests than that from all entries
// together, and the others serve the rest.
func TestUpstreamsGetNoMoreThanTheirRateLimit(t *testing.T) {
	withFleet(t, 7, func(is *is.I, f *fleet) {
		x := f.startTraffic(24)
		time.Sleep(3 * time.Second)
		f.workers["i-app-1"].SetRateLimit(2)
		f.workers["i-lm-2"].SetRateLimit(1.2)
		f.workers["i-lm-4"].SetRateLimit(3)
		time.Sleep(15 * time.Second)
		served, sent := x.stopAndCheck()
		f.checkRateLimits(x)
		is.Equal(served, sent)
	})
}

// The end of a rate limit reaches the entries that send the upstream no requests, and so get no responses
// that no longer state it.
func TestEndOfRateLimitsReachesAllEntries(t *testing.T) {
	withFleet(t, 7, func(is *is.I, f *fleet) {
		x := f.startTraffic(24)
		for _, w := range f.workers {
			w.SetRateLimit(0.5)
		}
		time.Sleep(10 * time.Second)
		for _, w := range f.workers {
			w.EndRateLimit()
		}
		time.Sleep(5 * time.Second)
		after := f.startTraffic(12)
		time.Sleep(4 * time.Second)
		served, sent := after.stopAndCheck()
		x.stopAndCheck()
		f.checkRateLimits(x, after)
		is.Equal(served, sent)
	})
}

// An entry that starts learns of rate limits from the others, and does not first send requests to find out.
func TestStartingEntryLearnsOfRateLimits(t *testing.T) {
	withFleet(t, 7, func(is *is.I, f *fleet) {
		x := f.startTraffic(24)
		time.Sleep(2 * time.Second)
		limited := f.workers["i-app-1"]
		limited.SetRateLimit(0)
		time.Sleep(4 * time.Second)
		x.stopAndCheck()
		f.stopEntry(f.entries[1])
		<-f.entries[1].exited
		f.entries[1] = f.startEntry(1)
		started := time.Now()
		time.Sleep(200 * time.Millisecond) // until the entry has the state of the others
		c := f.newCaller(100)
		c.SetFixedAddress(netip.AddrPortFrom(entryHost(1), entryPort))
		for n := range 20 {
			r := c.Do("/safe/x", fmt.Sprint("new", n), "key-1", 2*time.Second)
			is.True(r.IsServed())
		}
		c.Close()
		arrived := 0
		for _, e := range limited.Executions() {
			if strings.HasPrefix(e.RequestID, "new") {
				arrived++
			}
		}
		is.Equal(arrived, 0)
		is.True(time.Since(started) < 2*time.Second)
	})
}

// Guards against a rate limit that each part of a fleet uses in full: half of the entries are cut off from the other
// half, and both reach the upstreams.
func TestRateLimitHoldsWhileEntriesAreCutOffFromEachOther(t *testing.T) {
	withFleet(t, 8, func(is *is.I, f *fleet) {
		x := f.startTraffic(48)
		time.Sleep(2 * time.Second)
		for i := range 3 {
			f.workers[fmt.Sprintf("i-app-%d", 2*i+1)].SetRateLimit(6)
		}
		time.Sleep(3 * time.Second)
		reconnect := f.divideEntries(func(i int) bool { return i < 4 })
		time.Sleep(25 * time.Second)
		reconnect()
		x.stopAndCheck()
		f.checkRateLimits(x)
	})
}

package launcher_test

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// The tests in this file guard against a rate limit of an upstream that is hardly used because few entries get
// requests, and against one that is exceeded because a part is used by both its lender and its borrower.

// lentLimit is the stated limit in requests per second, busyRate the number that callers send per second.
const lentLimit, busyRate = 120, 240

// limitedService leaves the service app one upstream, with a rate limit that all entries know of, and returns it.
func (f *fleet) limitedService() *worker.Worker {
	f.store.Delete("servers/i-app-3")
	f.store.Delete("servers/i-app-5")
	w := f.workers["i-app-1"]
	w.SetRateLimit(lentLimit)
	for i := range f.entries {
		f.sendOne(fmt.Sprint("first-", i), i)
	}
	time.Sleep(time.Second)
	return w
}

func (f *fleet) sendOne(id string, entry int) {
	c := f.newCaller(uint64(entry))
	defer c.Close()
	c.SetFixedAddress(netip.AddrPortFrom(entryHost(entry), entryPort))
	c.Do("/safe/x", id, "key-1", shortTimeout)
}

// send sends busyRate requests per second to the entries whose indexes entryOf returns, for a time.
func (f *fleet) send(duration time.Duration, entryOf func(n int) int) {
	var sending sync.WaitGroup
	for n, until := 0, time.Now().Add(duration); time.Now().Before(until); n++ {
		sending.Add(1)
		go func() {
			defer sending.Done()
			f.sendOne(fmt.Sprint("lent-", time.Now().UnixNano(), n), entryOf(n))
		}()
		time.Sleep(time.Second / busyRate)
	}
	sending.Wait()
}

// checkLimit fails the test if the upstream got more requests in any time than the limit allows in it and one second
// more, and one more for each entry.
func (f *fleet) checkLimit(w *worker.Worker) {
	f.t.Helper()
	level, most, last := 0.0, 0.0, time.Time{}
	for _, e := range w.Executions() {
		if !last.IsZero() {
			level = max(0, level-lentLimit*e.Began.Sub(last).Seconds())
		}
		level, last = level+1, e.Began
		most = max(most, level)
	}
	f.t.Logf("%.0f requests ahead of the limit at most", most)
	if allowed := float64(lentLimit + len(f.entries)); most > allowed {
		f.t.Errorf("%.0f requests ahead of the limit, want at most %.0f", most, allowed)
	}
}

// used returns the fraction of the limit that was used from a time on.
func used(w *worker.Worker, from time.Time) float64 {
	n := 0
	for _, e := range w.Executions() {
		if !e.Began.Before(from) {
			n++
		}
	}
	return float64(n) / (lentLimit * time.Since(from).Seconds())
}

func TestOneBusyEntryUsesTheRateLimit(t *testing.T) {
	withFleet(t, 6, func(is *is.I, f *fleet) {
		w := f.limitedService()
		started := time.Now()
		f.send(15*time.Second, func(int) int { return 2 })
		use := used(w, started)
		t.Logf("%.2f of the limit is used", use)
		is.True(use >= 0.7)
		f.checkLimit(w)
	})
}

// The busy entry changes, so that parts that were lent go on to others.
func TestRateLimitHoldsWhileTheBusyEntryChanges(t *testing.T) {
	withFleet(t, 6, func(is *is.I, f *fleet) {
		w := f.limitedService()
		started := time.Now()
		f.send(30*time.Second, func(int) int { return int(time.Since(started)/(7*time.Second)) % 6 })
		t.Logf("%.2f of the limit is used", used(w, started))
		f.checkLimit(w)
	})
}

// The lenders get requests again while the borrower goes on.
func TestRateLimitHoldsWhileLendersBecomeBusy(t *testing.T) {
	withFleet(t, 6, func(is *is.I, f *fleet) {
		w := f.limitedService()
		started := time.Now()
		f.send(30*time.Second, func(n int) int {
			if isAlone := int(time.Since(started)/(4*time.Second))%2 == 0; isAlone || n%2 == 0 {
				return 2
			}
			return n / 2 % 6
		})
		t.Logf("%.2f of the limit is used", used(w, started))
		f.checkLimit(w)
	})
}

// Entries are killed one after the other, the busy one among them.
func TestRateLimitHoldsWhileLendersAndBorrowersAreKilled(t *testing.T) {
	withFleet(t, 6, func(is *is.I, f *fleet) {
		w := f.limitedService()
		started := time.Now()
		go func() {
			for n := range 14 {
				time.Sleep(1700 * time.Millisecond)
				i := n % len(f.entries)
				f.killEntry(f.entries[i])
				time.Sleep(300 * time.Millisecond)
				f.entries[i] = f.startEntry(i)
			}
		}()
		f.send(30*time.Second, func(n int) int { return 1 + n%2 })
		t.Logf("%.2f of the limit is used", used(w, started))
		f.checkLimit(w)
	})
}

// The busy entry is cut off from those that have lent it their parts, again and again.
func TestRateLimitHoldsWhileBorrowersAreCutOff(t *testing.T) {
	withFleet(t, 6, func(is *is.I, f *fleet) {
		w := f.limitedService()
		started := time.Now()
		go func() {
			for n := range 4 {
				time.Sleep(2 * time.Second)
				reconnect := f.divideEntries(func(i int) bool { return i == 2 || i == n })
				time.Sleep(5 * time.Second)
				reconnect()
			}
		}()
		f.send(30*time.Second, func(n int) int { return 2 + n%2 })
		t.Logf("%.2f of the limit is used", used(w, started))
		f.checkLimit(w)
	})
}

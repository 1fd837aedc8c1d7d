package controller_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"
)

// The tests in this file guard against entries that together use more than the part of the retry budget that does not
// depend on requests, since they divide it by fewer entries than share it.

// cutOffFrom separates the entries with indexes below n from the others.
func (f *fleet) cutOffFrom(n int) {
	var some, others []netip.Addr
	for i, e := range f.entries {
		if i < n {
			some = append(some, e.host)
		} else {
			others = append(others, e.host)
		}
	}
	f.net.DisconnectAll(some, others)
}

// restart kills the entry with index i and starts it again.
func (f *fleet) restart(i int) {
	f.net.KillHost(f.entries[i].host)
	f.entries[i].end()
	f.entries[i] = f.startEntry(i)
}

// Entries that are cut off from most others start again, one after the other.
func TestRestartedEntriesKnowHowManyShareTheRetryBudget(t *testing.T) {
	const size, cut = 30, 10
	withFleet(t, size, func(f *fleet) {
		f.cutOffFrom(cut)
		for i := range cut {
			f.restart(i)
			time.Sleep(2 * time.Second)
		}
		for i, e := range f.entries[:cut] {
			if n := e.View().RetryBudgetEntries; n < size {
				t.Errorf("entry %d shares the budget with %d entries, want %d", i, n, size)
			}
		}
	})
}

// An entry that has heard of no other one since it started does not know how many there are.
func TestEntryThatHearsNobodyHasNoShareOfTheRetryBudget(t *testing.T) {
	withFleet(t, 12, func(f *fleet) {
		for _, e := range f.entries[1:] {
			f.net.Disconnect(f.entries[0].host, e.host)
		}
		f.restart(0)
		time.Sleep(30 * time.Second)
		if n := f.entries[0].View().RetryBudgetEntries; n != 0 {
			t.Errorf("the entry shares the budget with %d entries, want 0", n)
		}
	})
}

// sumOfShares returns the sum of the parts of the base retries that the entries take, in units of all of them.
func (f *fleet) sumOfShares() float64 {
	sum := 0.0
	for _, e := range f.entries {
		if n := e.View().RetryBudgetEntries; n > 0 {
			sum += 1 / float64(n)
		}
	}
	return sum
}

// checkShares fails the test if the entries together take more than all base retries at any time within a duration, or
// not all of them at its end.
func (f *fleet) checkShares(what string, duration time.Duration) {
	f.t.Helper()
	const interval = 20 * time.Millisecond
	for range duration / interval {
		time.Sleep(interval)
		if sum := f.sumOfShares(); sum > 1.0001 {
			f.t.Errorf("%s: %.2f of the base retries are taken, want at most 1", what, sum)
			return
		}
	}
	if sum := f.sumOfShares(); sum < 0.95 {
		f.t.Errorf("%s: %.2f of the base retries are taken, want all", what, sum)
	}
}

// The entries of a fleet that starts, with two seeds, know how many they are, as do those that are killed and started
// again.
func TestSharesOfTheRetryBudgetAddUp(t *testing.T) {
	for _, size := range []int{2, 7, 60} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, nil)
			f.putVersion(1)
			for i := range size {
				f.entries = append(f.entries, f.startEntry(i))
			}
			defer f.end()
			f.checkShares("cold start", 4*time.Second)
			for i := range size / 2 {
				f.restart(i)
				time.Sleep(20 * time.Millisecond)
			}
			f.checkShares("half restarted", 4*time.Second)
		})
	}
}

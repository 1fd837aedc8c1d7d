//go:build knownred

package controller_test

import (
	"net/netip"
	"testing"
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

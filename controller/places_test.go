package controller_test

import (
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/scheduler"
)

// promise makes an entry give out a place that is due at the earliest after a time.
func (f *fleet) promise(e *entry, earliest time.Duration) scheduler.Place {
	p, ok := e.scheduler.Promise(time.Now(), scheduler.Ask{
		Service: "app", Organisation: 7, Key: 5, Share: 100, Use: 1, WorkTime: 100 * time.Millisecond, Patience: 3 * time.Second, Earliest: earliest,
	})
	f.is.True(ok)
	return p
}

// reserves accepts entries that reserve capacity for n returns of the organisation of fleet.promise.
func reserves(n int) func(*entry) bool {
	return func(e *entry) bool { return e.scheduler.ReservedUse(time.Now(), "app", 7, 0) == float64(n) }
}

// The entries are in three data centres with relays, and the one that gave out a place dies 20 ms later.
// Guards against places that other entries learn too late for the return, that die with their entry, or
// that stay reserved after the return.
func TestPlacesAndClaimsReachAllEntries(t *testing.T) {
	withFleet(t, 12, func(f *fleet) {
		p := f.promise(f.entries[0], 0)
		time.Sleep(20 * time.Millisecond)
		f.net.KillHost(f.entries[0].host)
		f.entries[0].end()
		f.entries = f.entries[1:]
		time.Sleep(time.Until(p.Due))
		f.eventually(0, "place reserved", reserves(1))
		_, ok := f.entries[5].scheduler.Claim(time.Now(), 5)
		f.is.True(ok)
		f.eventually(20*time.Millisecond, "place claimed", reserves(0))
	})
}

// Guards against an entry that starts after a place was given out and takes its return for a new request.
func TestPlacesReachEntriesThatStart(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		p := f.promise(f.entries[1], 1500*time.Millisecond)
		f.entries = append(f.entries, f.startEntry(3))
		time.Sleep(time.Until(p.Due))
		f.eventually(0, "place reserved", reserves(1))
	})
}

// testPart returns an equal part of all promises for each entry that shares them; 0 while the others are unknown.
func testPart(b *dispatcher.Dispatcher) scheduler.Part {
	entries, _ := b.SharingEntries(time.Now())
	if entries == 0 {
		return scheduler.Part{}
	}
	return scheduler.Part{Fraction: 1 / float64(entries), Unit: 1 / float64(entries)}
}

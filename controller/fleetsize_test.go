package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a heartbeat of another version, or a torn one, that takes an entry's share of the retry budget away.
func TestInvalidFleetSizesAreIgnored(t *testing.T) {
	is := is.New(t)
	s := newTestState(6)
	s.upCount = 6
	now := time.Now()
	s.updateFleetSize(now)
	for _, size := range []FleetSize{
		{}, {Entries: -3, Age: time.Second}, {Entries: maxFleetSize + 1}, {Entries: 90, Age: -time.Second}, {Entries: 90, Age: fleetSizeTTL + time.Second},
	} {
		size.Confirmed = true
		s.applyFleetSize(now, size)
		is.Equal(s.fleet.entries, 7)
		is.True(!s.fleet.isConfirmed)
	}
}

// Entries that do not run any more have shares of the retry budget for a day. Guards against entries that remind each
// other of a size for ever.
func TestFleetSizeExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := newTestState(6), newTestState(6)
		a.upCount, b.upCount = 29, 6
		a.updateFleetSize(time.Now())
		for range 2 * int(fleetSizeTTL/time.Hour) {
			a.upCount = 6
			for _, s := range []*state{a, b} {
				s.updateFleetSize(time.Now())
			}
			b.applyFleetSize(time.Now(), a.reportedFleetSize(time.Now()))
			a.applyFleetSize(time.Now(), b.reportedFleetSize(time.Now()))
			if time.Since(a.started) < fleetSizeTTL {
				is.Equal(b.fleet.entries, 30)
			}
			time.Sleep(time.Hour)
		}
		is.Equal(a.fleet.entries, 7)
		is.Equal(b.fleet.entries, 7)
	})
}

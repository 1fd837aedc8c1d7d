package controller

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// fleetSizeTTL is the time for which entries remember how many of them there were: those that are not heard
	// any more may be cut off, and still send requests to upstreams.
	fleetSizeTTL = 24 * time.Hour
	// maxFleetSize is the largest size of a fleet that is taken from a heartbeat.
	maxFleetSize = 100_000
	// unconfirmedSeedFactor is the least number of entries, as a multiple of the seeds, that is assumed where none
	// that is heard remembers the size of the fleet.
	unconfirmedSeedFactor = 2
)

// FleetSize is what an entry remembers of the size of the fleet, as encoded in heartbeats.
type FleetSize struct {
	// Entries is the largest number of entries that ran at one time, as far as the sender knows; 0 if it knows of
	// none. Age is the time since, at most fleetSizeTTL.
	Entries int
	Age     time.Duration
	// Confirmed is true if Entries includes what was known since the start of the fleet, or for fleetSizeTTL. If
	// all entries restart while a network partition divides them, no entry of a part knows of the others.
	Confirmed bool
}

// fleetSize is what this entry remembers of the size of the fleet.
type fleetSize struct {
	entries     int
	at          time.Time
	isConfirmed bool
}

// observe records that a number of entries ran at a time.
func (f *fleetSize) observe(now time.Time, entries int, at time.Time) {
	isExpired := now.Sub(f.at) > fleetSizeTTL
	if entries > f.entries || isExpired || entries == f.entries && at.After(f.at) {
		f.entries, f.at = entries, at
	}
}

// applyFleetSize updates what this entry remembers of the size of the fleet from a heartbeat.
func (s *state) applyFleetSize(now time.Time, size FleetSize) {
	if size.Entries <= 0 || size.Entries > maxFleetSize || size.Age < 0 || size.Age > fleetSizeTTL {
		return // none, or from an entry of another version
	}
	before := s.fleet
	s.fleet.observe(now, size.Entries, now.Add(-size.Age))
	s.fleet.isConfirmed = s.fleet.isConfirmed || size.Confirmed
	s.dirty = s.dirty || s.fleet.entries != before.entries || s.fleet.isConfirmed != before.isConfirmed
}

// updateFleetSize updates what this entry remembers of the size of the fleet from the number of other entries that
// are up.
func (s *state) updateFleetSize(now time.Time) {
	s.fleet.observe(now, s.upCount+1, now)
	if s.controller.config.IsFirstStart || now.Sub(s.started) > fleetSizeTTL {
		s.fleet.isConfirmed = true
	}
}

// reportedFleetSize returns what is told to other entries of the size of the fleet.
func (s *state) reportedFleetSize(now time.Time) FleetSize {
	if s.fleet.entries == 0 {
		return FleetSize{}
	}
	return FleetSize{Entries: s.fleet.entries, Age: now.Sub(s.fleet.at), Confirmed: s.fleet.isConfirmed}
}

// retryBudgetEntries returns the number of entries that share the retry budget, or 0 if it is unknown: shortly after
// the start, and where this entry has heard of no other one although the seeds name one.
func (s *state) retryBudgetEntries(now time.Time) int {
	isOther := func(seed netip.AddrPort) bool { return seed != s.controller.config.PeerAddress }
	hasOtherSeed := slices.ContainsFunc(s.seeds, isOther)
	if hasOtherSeed && (!s.hearsOthers || now.Sub(s.started) < startupTime) {
		return 0
	}
	if s.fleet.isConfirmed {
		return max(s.fleet.entries, len(s.seeds))
	}
	return max(s.fleet.entries, unconfirmedSeedFactor*len(s.seeds))
}

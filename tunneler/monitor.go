package tunneler

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// minFailedUpstreams is the number of different upstreams, or all listed ones if these are fewer, that
	// must have failed to be reached, without contact to any other in between, for this entry to be cut
	// off. One silent or crashed upstream is no partition.
	minFailedUpstreams = 3
	// minReachedUpstreams is the number of different upstreams, or all listed ones if these are fewer, that
	// an entry that was cut off must reach to be in contact again.
	minReachedUpstreams = 2
	// failureTTL is the age at which a failure no longer counts.
	failureTTL = 10 * time.Second
)

// monitor decides, from the results of direct connection attempts to upstreams, whether this entry is cut
// off from all of them. It is safe for concurrent use.
type monitor struct {
	lock sync.Mutex
	// upstreams is the number of listed upstreams.
	upstreams int
	// failed holds the time of the last failure of each upstream that could not be reached since
	// lastContact.
	failed map[netip.AddrPort]time.Time
	// reached holds the upstreams reached while this entry is cut off that have not failed since; empty
	// otherwise.
	reached map[netip.AddrPort]bool
	// seenAt holds the time at which each upstream was last reached, also through a relay.
	seenAt map[netip.AddrPort]time.Time
	// lastContact is the time at which an upstream was last reached; zero before the first. lastReached is the
	// same, also through a relay.
	lastContact, lastReached time.Time
	// cutOffSince is the time at which this entry was found to be cut off; zero while it is in contact.
	cutOffSince time.Time
}

func newMonitor() *monitor {
	return &monitor{failed: map[netip.AddrPort]time.Time{}, reached: map[netip.AddrPort]bool{}, seenAt: map[netip.AddrPort]time.Time{}}
}

// setUpstreams sets the listed upstreams.
func (m *monitor) setUpstreams(listed []Upstream) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.upstreams = len(listed)
	if len(m.seenAt) <= 2*len(listed) {
		return
	}
	seenAt := map[netip.AddrPort]time.Time{}
	for _, u := range listed {
		if at, ok := m.seenAt[u.Address]; ok {
			seenAt[u.Address] = at
		}
	}
	m.seenAt = seenAt
}

// recordSeen records that an upstream accepted a connection of a relay.
func (m *monitor) recordSeen(now time.Time, upstream netip.AddrPort) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.seenAt[upstream], m.lastReached = now, now
}

// lastReachedAt returns the time at which an upstream was last reached, also through a relay; zero before the first.
func (m *monitor) lastReachedAt() time.Time {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.lastReached
}

// sortLastSeenFirst sorts upstreams by when they were last reached, the latest first. Those that never were keep
// their order.
func (m *monitor) sortLastSeenFirst(upstreams []netip.AddrPort) {
	m.lock.Lock()
	defer m.lock.Unlock()
	slices.SortStableFunc(upstreams, func(a, b netip.AddrPort) int { return m.seenAt[b].Compare(m.seenAt[a]) })
}

// recordContact records that an upstream accepted a direct connection. It returns true, and for how long this
// entry was cut off, if that ends with this contact.
func (m *monitor) recordContact(now time.Time, upstream netip.AddrPort) (regained bool, lost time.Duration) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.lastContact, m.lastReached, m.seenAt[upstream] = now, now, now
	if m.cutOffSince.IsZero() {
		clear(m.failed)
		return false, 0
	}
	m.reached[upstream] = true
	if len(m.reached) < min(minReachedUpstreams, m.upstreams) {
		return false, 0
	}
	lost = now.Sub(m.cutOffSince)
	m.cutOffSince = time.Time{}
	clear(m.failed)
	clear(m.reached)
	return true, lost
}

// recordFailure records that an upstream could not be reached directly, for no known fault of its own. It
// returns true, and the number of upstreams that failed since the last contact, if this entry is cut off from
// now on.
func (m *monitor) recordFailure(now time.Time, upstream netip.AddrPort) (lost bool, failed int) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if !m.cutOffSince.IsZero() {
		delete(m.reached, upstream)
		return false, 0
	}
	for u, at := range m.failed {
		if now.Sub(at) > failureTTL {
			delete(m.failed, u)
		}
	}
	m.failed[upstream] = now
	if len(m.failed) < min(minFailedUpstreams, m.upstreams) {
		return false, 0
	}
	m.cutOffSince = now
	return true, len(m.failed)
}

// cutOffFor returns for how long this entry has been cut off from all upstreams. It returns false if the
// entry is in contact.
func (m *monitor) cutOffFor(now time.Time) (time.Duration, bool) {
	m.lock.Lock()
	defer m.lock.Unlock()
	return now.Sub(m.cutOffSince), !m.cutOffSince.IsZero()
}

// lastContactAt returns the time at which an upstream was last reached; zero if none ever was.
func (m *monitor) lastContactAt() time.Time {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.lastContact
}

package tunneler

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

func upstreamAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 100, 0, byte(i)}), 80)
}

var startTime = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// An entry is cut off once as many different upstreams as count as a partition have failed with no contact in
// between, and in contact again once it reaches two.
func TestPartitionIsDetected(t *testing.T) {
	is := is.New(t)
	m := newMonitor()
	m.setUpstreams(make([]Upstream, 6))
	for i := range minFailedUpstreams {
		_, isCutOff := m.cutOffFor(startTime)
		is.True(!isCutOff)
		lost, _ := m.recordFailure(startTime, upstreamAddress(i))
		is.Equal(lost, i == minFailedUpstreams-1)
	}
	later := startTime.Add(5 * time.Second)
	regained, _ := m.recordContact(later, upstreamAddress(1))
	is.True(!regained)
	m.recordFailure(later, upstreamAddress(2))
	m.recordContact(later, upstreamAddress(1))
	regained, _ = m.recordContact(later, upstreamAddress(1))
	is.True(!regained) // the same upstream twice
	regained, lost := m.recordContact(later, upstreamAddress(2))
	is.True(regained)
	is.Equal(lost, 5*time.Second)
	_, isCutOff := m.cutOffFor(later)
	is.True(!isCutOff)
}

// An upstream that is silent, however often it is tried, several that fail between contacts to others, and
// failures long ago are no partition. Where fewer upstreams are listed than count as a partition, all must fail.
func TestFailuresOfUpstreamsAreNoPartition(t *testing.T) {
	is := is.New(t)
	m := newMonitor()
	m.setUpstreams(make([]Upstream, 6))
	for range 100 {
		lost, _ := m.recordFailure(startTime, upstreamAddress(0))
		is.True(!lost)
	}
	for i := range 100 {
		lost, _ := m.recordFailure(startTime, upstreamAddress(i%5))
		is.True(!lost)
		if i%2 == 0 {
			m.recordContact(startTime, upstreamAddress(5))
		}
	}
	m.recordContact(startTime, upstreamAddress(5))
	for i := range 20 {
		lost, _ := m.recordFailure(startTime.Add(time.Duration(i)*failureTTL), upstreamAddress(i))
		is.True(!lost)
	}
	few := newMonitor()
	few.setUpstreams(make([]Upstream, 2))
	lost, _ := few.recordFailure(startTime, upstreamAddress(0))
	is.True(!lost)
	lost, _ = few.recordFailure(startTime, upstreamAddress(1))
	is.True(lost)
}

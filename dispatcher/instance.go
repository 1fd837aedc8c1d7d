package dispatcher

import (
	"net/netip"
	"strconv"
	"time"
)

// Instance is one incarnation of an upstream, as the platform lists it.
type Instance struct {
	// ID identifies the upstream. It may stay the same when the upstream restarts.
	ID string
	// Started is the start time of the incarnation by the upstream's clock, in whole milliseconds;
	// zero where the upstream does not report it. ID and Started together identify the incarnation.
	// A start time that differs is another incarnation, whether it is later or earlier: a clock
	// that steps back makes a later incarnation seem older.
	Started time.Time
	// Service is the name of the service that the upstream belongs to.
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of requests that the upstream runs at the same time.
	Slots int
	// AssumedSlots is true where Slots is an assumption, so that the capacity of the service is unknown and
	// not divided between organisations.
	AssumedSlots bool
	// ColdFor is the time for which the upstream remains cold, from when it was registered: until it has
	// warmed up after its start it tolerates few requests. ColdUntil is the same as a time by this
	// entry's clock; it is set by package follower, and zero in messages between entries.
	ColdFor   time.Duration
	ColdUntil time.Time
	// Leaving is true where the upstream accepts no new requests.
	Leaving bool
}

// SameIncarnation reports whether two instances are the same incarnation of an upstream. An unknown
// start time matches any other.
func (i Instance) SameIncarnation(o Instance) bool {
	return i.ID == o.ID && (i.Started.IsZero() || o.Started.IsZero() || i.Started.Equal(o.Started))
}

// IncarnationID returns the compact ID of the incarnation: a hash of ID and Started, or of ID alone
// if Started is zero.
func (i Instance) IncarnationID() CompactID {
	if i.Started.IsZero() {
		return CompactIDOf(i.ID)
	}
	return CompactIDOf(i.ID + " " + strconv.FormatInt(i.Started.UnixMilli(), 10))
}

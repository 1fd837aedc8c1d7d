package dispatcher

import (
	"net/netip"
	"strconv"
	"time"
)

// Instance is one run of an upstream, as the platform lists it.
type Instance struct {
	// ID is that of the upstream. One that starts again may have the ID that it had.
	ID string
	// Started is when this run did, by the upstream's clock and in whole
	// milliseconds; zero where the upstream does not say. With the ID it names the
	// run. Only equality counts: clocks step, so that a later run may seem the older.
	Started    time.Time
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Slots is how many requests the upstream works on at once.
	Slots int
	// Leaving upstreams take no new requests.
	Leaving bool
}

// SameIncarnation reports whether two instances are the same run of an upstream. One that does
// not say when it started is the same run as before.
func (i Instance) SameIncarnation(o Instance) bool {
	return i.ID == o.ID && (i.Started.IsZero() || o.Started.IsZero() || i.Started.Equal(o.Started))
}

// IncarnationID names the run in messages to other entries.
func (i Instance) IncarnationID() WireID {
	if i.Started.IsZero() {
		return WireIDOf(i.ID)
	}
	return WireIDOf(i.ID + " " + strconv.FormatInt(i.Started.UnixMilli(), 10))
}

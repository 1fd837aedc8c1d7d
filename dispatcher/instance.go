package dispatcher

import "net/netip"

// Instance is one run of an upstream, as the platform lists it.
type Instance struct {
	// ID is that of this run; a restarted upstream has another.
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Slots is how many requests the upstream works on at once.
	Slots int
	// Leaving upstreams take no new requests.
	Leaving bool
}

package store

import (
	"net/netip"
	"time"
)

// Upstream is what an upstream writes of itself in the store.
type Upstream struct {
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	Version string         `json:"version"`
	Slots   int            `json:"slots"`
	State   string         `json:"state"`
	// ColdLeft is how much longer it is slow after its start, in milliseconds.
	ColdLeft float64 `json:"cold-left-ms"`
	// Orders is how many orders it accepted.
	Orders int64 `json:"seq-no"`
	// Born is the start of this run in Unix milliseconds; left out where it is 0.
	Born int64 `json:"born,omitempty"`
}

// NewUpstream returns the entry of a ready upstream with 16 slots that does not say
// when it started.
func NewUpstream(service string, address netip.AddrPort) Upstream {
	return Upstream{Service: service, Address: address, Zone: "dc-0", Version: "v1", Slots: 16, State: "ready"}
}

// Draining returns the entry of an upstream that is about to leave.
func (u Upstream) Draining() Upstream {
	u.State = "draining"
	return u
}

// BornAt returns the entry of a run that started at a time.
func (u Upstream) BornAt(at time.Time) Upstream {
	u.Born = at.UnixMilli()
	return u
}

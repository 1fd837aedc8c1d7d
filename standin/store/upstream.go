package store

import (
	"net/netip"
	"time"
)

// UpstreamRecord is what an upstream writes of itself in the store.
type UpstreamRecord struct {
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	Version string         `json:"version"`
	Slots   int            `json:"slots"`
	State   string         `json:"state"`
	// WarmUpMillis is how much longer it is slow after its start, in milliseconds.
	WarmUpMillis float64 `json:"cold-left-ms"`
	// AcceptedOrders is how many orders it accepted.
	AcceptedOrders int64 `json:"seq-no"`
	// StartedMillis is the start of this run in Unix milliseconds; left out where it is 0.
	StartedMillis int64 `json:"born,omitempty"`
}

// NewUpstreamRecord returns the entry of a ready upstream with 16 slots that does not say
// when it started.
func NewUpstreamRecord(service string, address netip.AddrPort) UpstreamRecord {
	return UpstreamRecord{Service: service, Address: address, Zone: "dc-0", Version: "v1", Slots: 16, State: "ready"}
}

// AsDraining returns the entry of an upstream that is about to leave.
func (u UpstreamRecord) AsDraining() UpstreamRecord {
	u.State = "draining"
	return u
}

// WithStart returns the entry of a run that started at a time.
func (u UpstreamRecord) WithStart(at time.Time) UpstreamRecord {
	u.StartedMillis = at.UnixMilli()
	return u
}

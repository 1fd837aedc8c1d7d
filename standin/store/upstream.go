package store

import (
	"net/netip"
	"time"
)

// UpstreamRecord is the JSON value by which an upstream registers itself in the store,
// under the key "servers/" and its id.
type UpstreamRecord struct {
	// Service is the name of the service that the upstream belongs to.
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	// Zone is the data centre of the upstream.
	Zone    string `json:"zone"`
	Version string `json:"version"`
	// Slots is the maximum number of requests that the upstream runs at the same time.
	Slots int `json:"slots"`
	// State is "ready" or "draining" in the records of this package.
	State string `json:"state"`
	// WarmUpMillis is the remaining time, in milliseconds, for which the upstream is slow
	// because it has just started.
	WarmUpMillis float64 `json:"cold-left-ms"`
	// AcceptedOrders is the number of orders to reserve or release memory that the upstream
	// has accepted.
	AcceptedOrders int64 `json:"seq-no"`
	// StartedMillis is the start of the upstream's incarnation in Unix milliseconds; 0 if
	// the record doesn't state it.
	StartedMillis int64 `json:"born,omitempty"`
}

// NewUpstreamRecord returns the record of a ready upstream with 16 slots that doesn't
// state when it started.
func NewUpstreamRecord(service string, address netip.AddrPort) UpstreamRecord {
	return UpstreamRecord{Service: service, Address: address, Zone: "dc-0", Version: "v1", Slots: 16, State: "ready"}
}

// AsDraining returns a copy of the record in the state "draining", for an upstream that
// is about to leave.
func (u UpstreamRecord) AsDraining() UpstreamRecord {
	u.State = "draining"
	return u
}

// WithStart returns a copy of the record for an incarnation that started at a time.
func (u UpstreamRecord) WithStart(at time.Time) UpstreamRecord {
	u.StartedMillis = at.UnixMilli()
	return u
}

package api

import (
	"net/netip"
	"time"
)

// Paths of an entry, towards callers and operators.
const (
	PathAddresses = "/v1/addresses"
	PathTickets   = "/v1/tickets"
	PathStatus    = "/v1/status"
	PathHealth    = "/healthz"
	PathReady     = "/readyz"
	PathMetrics   = "/metrics"
)

// Addresses is the answer to a caller that asks where to connect.
type Addresses struct {
	Entries []EntryAddress
	// LifeSeconds is how long the caller may keep this answer.
	LifeSeconds float64
}

// EntryAddress is one entry that takes new callers.
type EntryAddress struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
}

// Ticket allows one request to run at most once.
type Ticket struct {
	Ticket      string
	LifeSeconds float64
}

// Status is what one entry believes.
type Status struct {
	Name        string
	DataCentre  string
	Incarnation uint64
	Ready       bool
	Stopping    bool
	Revision    uint64
	Digest      string
	// Confirmed is how long ago the platform last confirmed what is believed of
	// it; negative where it never did. Entries on the users' platform only.
	Confirmed time.Duration `json:",omitempty"`
	// Quarantined is how many requests are refused as they crash upstreams. Entries on the
	// users' platform only.
	Quarantined int `json:",omitempty"`
	// Superseded lists digests that lost to another document of the same
	// revision.
	Superseded []string
	Members    []MemberStatus
	Engines    []EngineStatus
	InFlight   int
	Violations map[string]int
	// LoadNews is of entries on the users' platform only.
	LoadNews *LoadUpdateCounts `json:",omitempty"`
}

// LoadUpdateCounts is how an entry tells others of load, and what it told and heard since its start.
type LoadUpdateCounts struct {
	// PlacingPeers are told of each change, Peers of all load from time to time; in RelayedCentres one entry
	// drawn for each message passes it on.
	Peers, PlacingPeers, RelayedCentres int
	// Told are messages of its own load, Relayed those of other data centres that it passed on,
	// each counted once for every entry that it was sent to. Heard are all that came.
	Told, Relayed, Heard MessageCount
	// Malformed messages came and could not be read.
	Malformed int64
}

// MessageCount is a number of messages, and their payload in bytes.
type MessageCount struct {
	Messages, Bytes int64
}

// MemberStatus is one entry as another believes it to be.
type MemberStatus struct {
	Name        string
	State       string
	Incarnation uint64
	Heard       time.Duration
	// Speed is in processor cores, 0 where it is not known.
	Speed float64
	// Strained entries have more to do than they can.
	Strained bool
	// Takes is true of entries that callers are sent to.
	Takes bool
}

// EngineStatus is one engine as an entry believes it to be.
type EngineStatus struct {
	Name         string
	Address      netip.AddrPort
	DataCentre   string
	State        string
	Model        string
	Version      string
	Keeper       string
	Fence        uint64
	MemoryTokens int
	UsedTokens   int
	QueuedTokens int
	Holds        int
	Grants       int
	InFlight     int
	// Service and Failures are of upstreams on the users' platform: the part of
	// requests that is expected to fail there, from 0 to 1.
	Service  string  `json:",omitempty"`
	Failures float64 `json:",omitempty"`
	// PausedFor is how long yet the upstream wants nothing from the entry asked.
	PausedFor time.Duration `json:",omitempty"`
	// Heard says that the entry asked keeps the engine and has listed it.
	Heard bool
}

// Notice is news of an instance's state, passed between entries. A notice
// about an incarnation never applies to a later one.
type Notice struct {
	Kind        string
	Name        string
	Incarnation uint64
	State       string
	// Sequence orders the notices about one incarnation.
	Sequence uint64
	// Ready says of a live entry that it takes callers.
	Ready bool
}

// States that a notice can carry.
const (
	NoticeLeaving = "leaving"
	NoticeDead    = "dead"
	NoticeLive    = "live"
)

// Heartbeat is sent between entries on every beat.
type Heartbeat struct {
	From        string
	Incarnation uint64
	PeerAddress netip.AddrPort
	Address     netip.AddrPort
	DataCentre  string
	Stopping    bool
	Ready       bool
	// Revision and Digest name the document in force; the digest is
	// shortened.
	Revision uint64
	Digest   string
	Notices  []Notice
	// ListDigest names the sender's instance list, shortened, and ListAge is how long
	// ago the platform last confirmed it; negative when it never did.
	ListDigest string
	ListAge    time.Duration
	// Loads are of the engines that the sender keeps.
	Loads []LoadDigest
	// Quarantine is what the sender learned lately of requests that crash upstreams; in an
	// answer, all that it refuses where the other refuses something else.
	Quarantine QuarantineNews
}

// FetchArgs asks a peer for its configuration document.
type FetchArgs struct{ From string }

// FetchReply is the configuration document as its publisher wrote it, and the
// instance list as the platform gave it.
type FetchReply struct {
	Document []byte
	List     []byte
	// ListAge is how long ago the platform last confirmed the list.
	ListAge time.Duration
}

// AskArgs asks the keeper of an engine for a grant.
type AskArgs struct {
	Engine string
	Model  string
	// AttemptID is the id the grant is for; the engine lists its hold under
	// the same id.
	AttemptID string
	// Class numbers the classes of length, the shortest 0.
	Class         int
	PrefillTokens int
	MemoryTokens  int
	// Remaining is the time left to the request. A duration, because the
	// clocks of two instances need not agree.
	Remaining time.Duration
}

// AskReply is the keeper's answer.
type AskReply struct {
	// Keeper is false when the instance asked does not keep the engine.
	Keeper  bool
	Granted bool
	Reason  string
	// Wait is how long the prompt would queue before its prefill starts.
	Wait time.Duration
	// Load is the keeper's estimate of the engine asked for.
	Load LoadDigest
}

// LoadDigest is the load of one engine as its keeper estimates it.
type LoadDigest struct {
	Engine      string
	Incarnation uint64
	Leaving     bool
	// QueuedTokens is by class of length, the shortest first.
	QueuedTokens []int
	FreeTokens   int
}

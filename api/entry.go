package api

import (
	"net/netip"
	"time"
)

// Paths at which an entry serves callers and operators.
const (
	PathAddresses = "/v1/addresses"
	PathTickets   = "/v1/tickets"
	PathStatus    = "/v1/status"
	PathHealth    = "/healthz"
	PathReady     = "/readyz"
	PathMetrics   = "/metrics"
)

// Addresses is the response at PathAddresses: the entries that a caller may connect to.
type Addresses struct {
	Entries []EntryAddress
	// LifeSeconds is how long the caller may cache the response, in seconds.
	LifeSeconds float64
}

// EntryAddress is the address of one entry that accepts new callers.
type EntryAddress struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
}

// Ticket is the response at PathTickets. A caller sends a ticket with a request that may run at most
// once: however often the request is sent with the same ticket, it is executed at most once.
type Ticket struct {
	// Ticket is the value for HeaderIdempotencyKey.
	Ticket string
	// LifeSeconds is how long the ticket may be used, in seconds from when it was issued.
	LifeSeconds float64
}

// Status is the state of one entry and its view of other entries and of upstreams, for operators.
type Status struct {
	// Name, DataCentre and Incarnation identify the entry that reports the status.
	Name        string
	DataCentre  string
	Incarnation uint64
	// Ready is true if the entry has the configuration that it needs to accept callers, Stopping if
	// the entry is shutting down.
	Ready    bool
	Stopping bool
	// CutOff is true if the entry reaches no upstream directly. Tunnels is the number of connections to
	// upstreams that it has open for other entries.
	CutOff  bool `json:",omitempty"`
	Tunnels int  `json:",omitempty"`
	// Revision and Digest identify the configuration in force. Digest is empty on the users'
	// platform.
	Revision uint64
	Digest   string
	// StoreEpoch is the number of times that the platform's store has gone back to an older copy, in whose
	// history Revision counts. Set on the users' platform only.
	StoreEpoch int64 `json:",omitempty"`
	// Confirmed is how long ago the platform last confirmed that the entry's copy of the configuration
	// and of the upstreams is current; negative if it never did. Set on the users' platform only.
	Confirmed time.Duration `json:",omitempty"`
	// Quarantined is the number of fingerprints whose requests are refused because they crash
	// upstreams. Set on the users' platform only.
	Quarantined int `json:",omitempty"`
	// QuarantinedParts is the number of sets of parts whose prompts are refused because they crash upstreams. Set
	// on the users' platform only.
	QuarantinedParts int `json:",omitempty"`
	// Evacuated lists the data centres whose upstreams get no new work because the operator evacuates
	// them. Set on the users' platform only.
	Evacuated []string `json:",omitempty"`
	// Superseded lists the digests of configuration documents that the entry replaced by, or rejected
	// for, a document with the same revision and a higher digest, oldest first.
	Superseded []string
	// Members holds this entry's view of each other entry, Engines its view of each engine or, on the
	// users' platform, of each upstream.
	Members []MemberStatus
	Engines []EngineStatus
	// InFlight is the number of requests in flight at the entry.
	InFlight int
	// Violations holds the number of violations of each invariant since the start of the entry, by the
	// names in package asserter.
	Violations map[string]int
	// LoadNews holds the counts of load updates, by which entries send each other their load at
	// upstreams. Set on the users' platform only.
	LoadNews *LoadUpdateCounts `json:",omitempty"`
}

// LoadUpdateCounts holds the number of entries that an entry sends its load updates to, and the number
// of load updates that it has sent and received since its start.
type LoadUpdateCounts struct {
	// Peers is the number of entries that receive the full load periodically, PlacingPeers the
	// number of those that receive each change because they place requests. RelayedCentres is the
	// number of data centres in which one entry, chosen at random for each message, relays the message
	// to the other entries there.
	Peers, PlacingPeers, RelayedCentres int
	// Told counts the messages sent with the entry's own load, Relayed the messages from other data
	// centres that the entry passed on. Both count a message once for each receiver. Heard counts all
	// messages received.
	Told, Relayed, Heard MessageCount
	// Malformed is the number of received messages that could not be decoded.
	Malformed int64
}

// MessageCount is a number of messages and the total size of their payloads in bytes.
type MessageCount struct {
	Messages, Bytes int64
}

// MemberStatus is the reporting entry's view of another entry, the member.
type MemberStatus struct {
	Name string
	// State is the member's prober.State as text: listed, live, stopping or dead.
	State       string
	Incarnation uint64
	// Heard is the time since the reporting entry received the last heartbeat from the member; 0 if it
	// received none.
	Heard time.Duration
	// Speed is the processor capacity of the member in cores; 0 if unknown.
	Speed float64
	// Strained is true if the member reports that it is overloaded: that its timers fire late.
	Strained bool
	// CutOff is true if the member reports that it reaches no upstream directly.
	CutOff bool `json:",omitempty"`
	// Takes is true if the reporting entry gives callers the member's address.
	Takes bool
}

// EngineStatus is the reporting entry's view of one engine; on the users' platform, of any upstream.
type EngineStatus struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// State is InstanceLive or InstanceLeaving.
	State   string
	Model   string
	Version string
	// Keeper is the name of the entry that grants the engine's memory.
	Keeper string
	// Fence is the highest fencing number of an order that the engine has received, as it reports it.
	Fence uint64
	// MemoryTokens and UsedTokens are the capacity of the engine's KV memory and its use, in tokens.
	MemoryTokens int
	UsedTokens   int
	// QueuedTokens is the estimated number of prompt tokens that wait to be prefilled.
	QueuedTokens int
	// Holds is the number of holds in the latest list of holds received from the engine, Grants the
	// number of grants of its memory that are not in that list yet.
	Holds  int
	Grants int
	// InFlight is the number of requests of the reporting entry in flight at the engine; on the users'
	// platform, it includes the requests that other entries report to have there.
	InFlight int
	// Service is the name of the upstream's service, Failures the estimated fraction, from 0 to 1, of
	// the requests sent to the upstream that fail. Both are set on the users' platform only.
	Service  string  `json:",omitempty"`
	Failures float64 `json:",omitempty"`
	// PausedFor is the time for which the reporting entry still sends the upstream no requests, because
	// the upstream asked it to; 0 if no such time is running.
	PausedFor time.Duration `json:",omitempty"`
	// RateLimit is the number of requests per second that the upstream accepts from all entries together;
	// nil if it states no limit.
	RateLimit *float64 `json:",omitempty"`
	// Heard is true if the reporting entry is the engine's keeper and has received a list of holds from
	// the engine.
	Heard bool
}

// Notice reports that an instance is leaving, dead or live. Entries pass notices on to each other with
// heartbeats. A notice is only about the incarnation that it names, not about later ones.
type Notice struct {
	// Kind is KindEntry, KindEngine or KindService.
	Kind        string
	Name        string
	Incarnation uint64
	// State is NoticeLeaving, NoticeDead or NoticeLive.
	State string
	// Sequence orders the notices about one incarnation; a higher number is newer.
	Sequence uint64
	// Ready is true if the instance is an entry that accepts callers.
	Ready bool
}

// Values of Notice.State: the instance is shutting down, has stopped responding, or responds.
const (
	NoticeLeaving = "leaving"
	NoticeDead    = "dead"
	NoticeLive    = "live"
)

// Heartbeat is sent periodically by each entry to other entries, which respond with a heartbeat of their
// own.
type Heartbeat struct {
	// From is the name of the sender, Incarnation its incarnation.
	From        string
	Incarnation uint64
	// PeerAddress is where the sender accepts heartbeats, Address where it accepts callers.
	PeerAddress netip.AddrPort
	Address     netip.AddrPort
	DataCentre  string
	// Stopping is true if the sender is shutting down, Ready if the sender has the configuration that
	// it needs to accept callers.
	Stopping bool
	Ready    bool
	// CutOff is true if the sender reaches no upstream directly.
	CutOff bool
	// Revision and Digest identify the configuration in force at the sender. Digest is a prefix of the
	// digest of the configuration document; empty on the users' platform.
	Revision uint64
	Digest   string
	Notices  []Notice
	// ListDigest is a prefix of the digest of the sender's instance list. ListAge is how long ago
	// the platform last confirmed the list; negative if it never did.
	ListDigest string
	ListAge    time.Duration
	// Loads holds the loads of the engines whose keeper is the sender.
	Loads []LoadDigest
	// Quarantine reports the recent crashes and successes of requests that may crash upstreams. In the
	// response to a heartbeat it includes all quarantines of the sender if those of the two entries
	// differ.
	Quarantine QuarantineNews
	// Parts reports recent crashes by parts of prompts. In the response to a heartbeat it includes all quarantines
	// of parts of the sender if those of the two entries differ.
	Parts PartNews
}

// FetchArgs holds the arguments of the net/rpc call Fetch, by which an entry gets the configuration
// document and the instance list of another entry. From is the name of the calling entry.
type FetchArgs struct{ From string }

// FetchReply is the reply to the net/rpc call Fetch.
type FetchReply struct {
	// Document is the configuration document in force, as published; List is the instance list as
	// the platform sent it. Each is empty if the called entry has none.
	Document []byte
	List     []byte
	// ListAge is how long ago the platform last confirmed List, to the called entry or the entry that
	// it got List from; negative if List is empty.
	ListAge time.Duration
}

// AskArgs holds the arguments of the net/rpc call Ask, by which an entry requests a grant of an engine's
// KV memory for an attempt from the keeper of that engine.
type AskArgs struct {
	// Engine is the name of the engine, Model the name of the model that the attempt needs.
	Engine string
	Model  string
	// AttemptID is the id of the attempt. The engine lists the hold of the attempt under this id.
	AttemptID string
	// Class is the number of the length class of the prompt; the shortest class is 0.
	Class int
	// PrefillTokens is the number of prompt tokens to prefill, MemoryTokens the size in tokens of the
	// KV memory that the attempt needs.
	PrefillTokens int
	MemoryTokens  int
	// Remaining is the time left until the deadline of the request. It is a duration because the
	// clocks of two instances need not agree.
	Remaining time.Duration
	// Organisation is the name of the organisation that sent the prompt, Rank the rank that the configuration document
	// gives it. Entries of versions before these fields neither send nor read them; their prompts count for an
	// organisation of their own, of rank 0.
	Organisation string
	Rank         int
	// SentBefore is true for a prompt that an engine may have begun to run. It is not refused for the share of its
	// organisation.
	SentBefore bool
}

// AskReply is the reply to the net/rpc call Ask.
type AskReply struct {
	// Keeper is false if the called entry is not the keeper of the engine; the other fields are then
	// zero.
	Keeper bool
	// Granted is true if the keeper grants the memory to the attempt.
	Granted bool
	// Reason is why the keeper grants or refuses: the text of a keeper.Reason.
	Reason string
	// Wait is the estimated time for which the prompt would queue at the engine before its prefill
	// starts.
	Wait time.Duration
	// Load is the keeper's estimate of the engine's load. It may be zero if the engine is leaving.
	Load LoadDigest
}

// DescribeArgs holds the arguments of the net/rpc call Describe, by which an entry tells the keeper of an engine whose its
// holds there are. It is made for holds that the keeper did not grant, as it has just become the keeper.
type DescribeArgs struct {
	Engine string
	Holds  []DescribedHold
}

// DescribedHold is the organisation, and its rank, that a hold is for.
type DescribedHold struct {
	ID           string
	Organisation string
	Rank         int
}

// DescribeReply is the reply to the net/rpc call Describe. Keeper is false if the called entry is not the keeper of the
// engine.
type DescribeReply struct{ Keeper bool }

// LoadDigest is a summary of the load of one engine, as estimated by its keeper.
type LoadDigest struct {
	Engine      string
	Incarnation uint64
	// Leaving is true if the engine accepts no new requests.
	Leaving bool
	// QueuedTokens is the number of prompt tokens that wait to be prefilled, by length class; the
	// shortest class is the first. Trailing classes may be missing.
	QueuedTokens []int
	// FreeTokens is the size in tokens of the engine's KV memory that is neither in use by a hold nor
	// granted to an attempt.
	FreeTokens int
}

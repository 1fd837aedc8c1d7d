package api

// Paths at which engines, services and the platform serve requests of entries. At PathCompletions and
// PathServices an entry also serves requests of callers.
const (
	PathCompletions = "/v1/completions"
	// PathServices is followed by the names of a service and of a call, with a slash between them.
	PathServices = "/v1/services/"
	PathLoad     = "/v1/load"
	PathHolds    = "/v1/holds"
	PathOrders   = "/v1/orders"
	// PathStreams is followed by the id of the attempt whose stream is to be ended.
	PathStreams     = "/v1/streams/"
	PathCacheEvents = "/v1/cache/events"
	// PathKVTransfer is followed by the hash of a cached prompt prefix (EngineCacheEvent.Prefix), a
	// slash and "export" or "import".
	PathKVTransfer = "/v1/kv/"
	PathConfig     = "/config"
	PathInstances  = "/instances"
)

// EngineLoad is an engine's report of its load, and of the model that it has loaded. The report is up to
// one report period of the engine old.
type EngineLoad struct {
	Name        string   `json:"name"`
	Incarnation uint64   `json:"incarnation"`
	Leaving     bool     `json:"leaving"`
	Model       string   `json:"model"`
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters"`
	Role        string   `json:"role"`
	// Fence is the highest fencing number of an order that the engine has received.
	Fence uint64 `json:"fence"`
	// MemoryTokens is the capacity of the engine's KV memory, UsedTokens the size of its part in use,
	// both in tokens.
	MemoryTokens int `json:"memory_tokens"`
	UsedTokens   int `json:"used_tokens"`
	// QueuedTokens is the number of prompt tokens that wait to be prefilled.
	QueuedTokens int `json:"queued_tokens"`
	// Streams is the number of streams that the engine is running.
	Streams int `json:"streams"`
}

// EngineHold is KV memory of an engine that is reserved for an attempt, a prompt or a transfer.
type EngineHold struct {
	ID string `json:"id"`
	// Owner is the name of the entry that owns the hold, Incarnation the incarnation of that entry.
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"incarnation"`
	// Kind is one of the Hold constants.
	Kind string `json:"kind"`
	// Tokens is the size of the reserved memory in tokens.
	Tokens int `json:"tokens"`
	// AgeSeconds is the time in seconds since the hold was created or last renewed.
	AgeSeconds float64 `json:"age_seconds"`
}

// Kinds of holds.
const (
	// HoldStream is the memory of a running stream.
	HoldStream = "stream"
	// HoldGroup is the memory of one shard, a piece of a long prompt, at an engine of the group that
	// holds the prompt together.
	HoldGroup = "group"
	// HoldImport and HoldExport are memory in use while the KV cache of a prompt prefix is imported
	// into, or exported from, the engine.
	HoldImport = "import"
	HoldExport = "export"
)

// EngineHolds is the list of all holds on an engine.
type EngineHolds struct {
	Holds []EngineHold `json:"holds"`
}

// EngineHoldRenewal is a request to an engine to reset the age of holds to 0. The response has the
// same type and lists those of the holds that the engine does not have.
type EngineHoldRenewal struct {
	// IDs lists the ids of the holds.
	IDs []string `json:"ids"`
}

// EngineOrder is an order to an engine to load another model, version or adapters, or to change its
// role.
type EngineOrder struct {
	// Fence is the fencing number of the order, chosen above the highest one that the engine had
	// reported. An engine that checks fencing numbers refuses an order whose number is not above
	// EngineLoad.Fence.
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	// Issuer is the name of the entry that sends the order. An engine that checks issuers refuses
	// orders of unknown ones.
	Issuer string `json:"issuer"`
}

// EngineCacheEvent reports that the KV cache of a prompt prefix was added to or dropped from an
// engine's memory.
type EngineCacheEvent struct {
	// Sequence numbers the events of the engine in their order.
	Sequence uint64 `json:"sequence"`
	// Prefix is a hash that identifies the prefix.
	Prefix string `json:"prefix"`
	// Tokens is the length of the prefix in tokens.
	Tokens int `json:"tokens"`
	// Dropped is true if the prefix was dropped, false if it was added.
	Dropped bool `json:"dropped"`
}

// States of an instance in the platform's instance list.
const (
	InstanceLive    = "live"
	InstanceLeaving = "leaving"
)

// Kinds of instances in the platform's instance list.
const (
	KindEntry   = "entry"
	KindEngine  = "engine"
	KindService = "service"
)

// Instance is one element of the platform's instance list.
type Instance struct {
	Name string `json:"name"`
	// Kind is KindEntry, KindEngine or KindService.
	Kind    string `json:"kind"`
	Address string `json:"address"`
	// PeerAddress is where an entry accepts net/rpc calls of other entries; empty for other kinds.
	PeerAddress string `json:"peer_address,omitempty"`
	DataCentre  string `json:"data_centre"`
	// State is InstanceLive or InstanceLeaving.
	State string `json:"state"`
}

// InstanceList is the platform's list of all instances. It lags behind their actual state.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

package api

// Paths of an engine, a service and the platform.
const (
	PathCompletions = "/v1/completions"
	PathServices    = "/v1/services/"
	PathLoad        = "/v1/load"
	PathHolds       = "/v1/holds"
	PathOrders      = "/v1/orders"
	PathStreams     = "/v1/streams/"
	PathCacheEvents = "/v1/cache/events"
	PathKVTransfer  = "/v1/kv/"
	PathConfig      = "/config"
	PathInstances   = "/instances"
)

// EngineLoad is an engine's own report; it lags by the engine's report period.
type EngineLoad struct {
	Name        string   `json:"name"`
	Incarnation uint64   `json:"incarnation"`
	Leaving     bool     `json:"leaving"`
	Model       string   `json:"model"`
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters"`
	Role        string   `json:"role"`
	// Fence is the highest fencing number the engine has seen.
	Fence uint64 `json:"fence"`
	// MemoryTokens and UsedTokens count KV memory in tokens.
	MemoryTokens int `json:"memory_tokens"`
	UsedTokens   int `json:"used_tokens"`
	// QueuedTokens is prompt tokens not yet prefilled.
	QueuedTokens int `json:"queued_tokens"`
	Streams      int `json:"streams"`
}

// EngineHold is memory that an owner has on an engine.
type EngineHold struct {
	ID          string `json:"id"`
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"incarnation"`
	Kind        string `json:"kind"`
	Tokens      int    `json:"tokens"`
	// AgeSeconds is the time since the hold was made or last renewed.
	AgeSeconds float64 `json:"age_seconds"`
}

// Kinds of hold.
const (
	HoldStream = "stream"
	HoldGroup  = "group"
	HoldImport = "import"
	HoldExport = "export"
)

// EngineHolds lists the holds on an engine.
type EngineHolds struct {
	Holds []EngineHold `json:"holds"`
}

// EngineHoldRenewal resets the age of holds; the answer lists those not there.
type EngineHoldRenewal struct {
	IDs []string `json:"ids"`
}

// EngineOrder tells an engine to change what it serves.
type EngineOrder struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	Issuer   string   `json:"issuer"`
}

// EngineCacheEvent tells of a prefix put into or dropped from an engine's cache.
type EngineCacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"`
	Tokens   int    `json:"tokens"`
	Dropped  bool   `json:"dropped"`
}

// States of an instance in the platform's list.
const (
	InstanceLive    = "live"
	InstanceLeaving = "leaving"
)

// Kinds of instance in the platform's list.
const (
	KindEntry   = "entry"
	KindEngine  = "engine"
	KindService = "service"
)

// Instance is one line of the platform's instance list.
type Instance struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Address string `json:"address"`
	// PeerAddress is the address for net/rpc, of entries only.
	PeerAddress string `json:"peer_address,omitempty"`
	DataCentre  string `json:"data_centre"`
	State       string `json:"state"`
}

// InstanceList is the platform's list; it lags.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

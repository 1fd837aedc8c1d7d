// Package matcher holds the configuration of the forwarding path as typed
// data, and finds the route of a request and the organisation of a key in it.
package matcher

import "time"

// RouteKind says how often a request of a route may run.
type RouteKind int

// The kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota
	// AtMostOnce requests run once or not at all.
	AtMostOnce
	// Stream requests are answered by a sequence of numbered events. They run
	// at most once unless their route says that they may be resumed.
	Stream
)

func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "at_most_once"
	}
	return "stream"
}

// WeightedService is the part of a route's requests that one service takes.
type WeightedService struct {
	Service string
	// Weight is greater than 0 and counts against the sum of all weights.
	Weight int
}

// Route says what becomes of the requests below a path of a host.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout is the longest that a request may be kept waiting.
	Timeout time.Duration
	// FirstByteTarget is the time in which an answer is on time: whole answers
	// to their end, streams to their first event.
	FirstByteTarget time.Duration
	// GapTarget is the longest pause between events of a stream that is on
	// time; 0 where the route has none.
	GapTarget time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Services has at least one element.
	Services []WeightedService
	// MaxAttempts is how many upstreams one request may be sent to, at least 1.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// CarriesPrompts routes carry prompts for model engines.
	CarriesPrompts bool
	// Resumable streams may be continued by another engine.
	Resumable bool
}

// IsRepeatable reports whether a request of the route may run more than once.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Callers of the platform abandon a stream after the longest of leastAbandon,
// firstByteAbandonFactor times the target of its first event and pauseAbandon times the pause
// that is on time, as the platform's pages say.
const (
	minAbandonTime         = 2 * time.Second
	firstByteAbandonFactor = 4
	gapAbandonFactor       = 8
)

// AbandonAfter is the gap after which callers abandon a stream with a target of
// its first event, 0 once that has come, and a target of its pauses.
func AbandonAfter(firstByteTarget, gapTarget time.Duration) time.Duration {
	return max(minAbandonTime, firstByteAbandonFactor*firstByteTarget, gapAbandonFactor*gapTarget)
}

// EngineProfile is how the model engines of a service work. All of its figures come
// from the configuration.
type EngineProfile struct {
	// Slots is how many requests an engine works on at once.
	Slots int
	// MemoryTokens is the KV memory of an engine in tokens.
	MemoryTokens int
	// StepsPerPass is how many token steps a pass that decodes answers executes, and
	// thereby how many tokens an event holds.
	StepsPerPass int
	// StepTime is the time of a token step, TimePerSequence what each request that
	// decodes adds to it, TimePerThousandTokens what 1,000 tokens of its context add.
	StepTime, TimePerSequence, TimePerThousandTokens time.Duration
	// PrefillTokensPerSecond is prompt tokens prefilled in a second, without pairs.
	PrefillTokensPerSecond float64
	// TimePerMillionPairs is the time that a million pairs of a prompt token and
	// an earlier one add to the prefill.
	TimePerMillionPairs time.Duration
	// ChunkTokens is the most prompt tokens prefilled in a token step.
	ChunkTokens int
	// MeanPromptTokens and MeanAnswerTokens are mean token counts.
	MeanPromptTokens, MeanAnswerTokens int
}

// Service is a set of upstreams that are alike.
type Service struct {
	Name string
	// Engine is nil where the upstreams are not model engines.
	Engine *EngineProfile
}

// Limits bound what a caller may send and how long it may take. A zero means
// that the configuration sets no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTimeout time.Duration
}

// Organisation is a holder of keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority ranks organisations before routes; 0 is the most urgent.
	Priority int
}

// Config is one version of the configuration. It is never changed.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations is empty where requests need no key.
	Organisations []Organisation
}

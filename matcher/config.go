// Package matcher holds the configuration of routes, services and organisations as typed data, and
// finds the route of a request and the organisation of an API key in it.
package matcher

import "time"

// RouteKind determines how often a request of a route may be executed, and whether its answer is a
// stream.
type RouteKind int

// Kinds of routes.
const (
	// Idempotent requests may be executed any number of times.
	Idempotent RouteKind = iota
	// AtMostOnce requests are executed once or not at all.
	AtMostOnce
	// Stream requests are answered by a stream of numbered events. They are executed at most once,
	// unless their route is Resumable.
	Stream
)

// String returns the kind as it is logged.
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "at_most_once"
	}
	return "stream"
}

// WeightedService is a service that receives a fraction of the requests of a route.
type WeightedService struct {
	Service string
	// Weight is greater than 0. The service receives the fraction Weight / (sum of the route's
	// weights) of the requests.
	Weight int
}

// Route determines how the requests of a host below a path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix is a path that begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout is the maximum time from the arrival of a request at the entry until the end of its
	// answer; 0 stands for the default of the forwarder.
	Timeout time.Duration
	// FirstByteTarget is the latency up to which an answer is on time, counted from the arrival of
	// the request at the entry: until the first event of a stream, or until the end of any other
	// answer.
	FirstByteTarget time.Duration
	// GapTarget is the longest gap between two events up to which a stream is on time; 0 if the
	// route has no such target.
	GapTarget time.Duration
	// Priority ranks the requests of routes; 0 is the most urgent. At model engines it is replaced by the priority of
	// the request's organisation, if there is one; entries rank by the organisation's first, and then by this.
	Priority int
	// Services lists the services that the requests of the route are divided among by weight. There
	// is at least one, and each is defined in the configuration.
	Services []WeightedService
	// MaxAttempts is the maximum number of upstreams that a request is sent to; at least 1.
	MaxAttempts int
	// Public is true if requests need no API key.
	Public bool
	// CarriesPrompts is true if requests carry prompts for model engines.
	CarriesPrompts bool
	// Resumable is true if another engine may resume a stream of the route that broke off before
	// its end.
	Resumable bool
	// AllowedRegions are the home regions of the route: only upstreams of these regions may process
	// its requests. If it is empty, all may.
	AllowedRegions []string
}

// IsRepeatable reports whether a request of the route may be executed more than once.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// According to the documentation of the platform, callers abandon a stream after the longest of
// minAbandonTime, firstByteAbandonFactor times the target of the first event, and gapAbandonFactor
// times the target of the gaps.
const (
	minAbandonTime         = 2 * time.Second
	firstByteAbandonFactor = 4
	gapAbandonFactor       = 8
)

// CallerAbandonTime returns the time after which a caller that receives no event abandons a stream
// with the given targets, counted from its request, or from the last event once there is one. Pass
// a firstByteTarget of 0 for a stream whose first event was sent.
func CallerAbandonTime(firstByteTarget, gapTarget time.Duration) time.Duration {
	return max(minAbandonTime, firstByteAbandonFactor*firstByteTarget, gapAbandonFactor*gapTarget)
}

// EngineProfile describes the capacity and the speed of the model engines of a service. All figures
// come from the configuration.
type EngineProfile struct {
	// Slots is the number of requests that an engine executes concurrently.
	Slots int
	// MemoryTokens is the capacity of the KV cache in tokens.
	MemoryTokens int
	// StepsPerPass is the number of token steps of a forward pass that decodes answers, and so the
	// number of tokens in an event of each answer.
	StepsPerPass int
	// StepTime is the fixed time of a token step. TimePerSequence is added for each answer that is
	// decoded, and TimePerThousandTokens for each 1,000 tokens of their context.
	StepTime, TimePerSequence, TimePerThousandTokens time.Duration
	// PrefillTokensPerSecond is the prefill rate in prompt tokens per second. It excludes the time
	// that TimePerMillionPairs adds.
	PrefillTokensPerSecond float64
	// TimePerMillionPairs is the prefill time added by a million pairs of a prompt token and an
	// earlier one, as each token attends to all earlier ones.
	TimePerMillionPairs time.Duration
	// ChunkTokens is the maximum number of prompt tokens that are prefilled in a token step.
	ChunkTokens int
	// MeanPromptTokens and MeanAnswerTokens are the mean lengths of prompts and answers in tokens.
	MeanPromptTokens, MeanAnswerTokens int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string
	// HealthPath is the path of GET requests that an upstream answers while it runs; empty if there is none.
	HealthPath string
	// Engine is nil if the upstreams are not model engines.
	Engine *EngineProfile
	// ColdRequestsPerSecond is the number of requests per second, from all callers together, that an
	// upstream tolerates while it is cold; 0 stands for no limit.
	ColdRequestsPerSecond float64
}

// Limits are the limits on the requests and connections of callers. A zero means that the
// configuration sets none; the server may then apply a default of its own.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of the header and the body of a request.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the time in which the header of a request must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is the time for which an idle connection of a caller is kept open.
	IdleTimeout time.Duration
}

// Organisation is a customer, identified by any of its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority ranks the requests of organisations, before that of routes; 0 is the most urgent. At model engines it
	// replaces the priority of the request's route.
	Priority int
	// AllowedRegions are the home regions of the organisation, as in Route.
	AllowedRegions []string
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	// Version is the version number that the configuration carries.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations is empty if no request needs an API key.
	Organisations []Organisation
}

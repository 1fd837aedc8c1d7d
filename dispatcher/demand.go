package dispatcher

import (
	"fmt"
	"time"

	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/matcher"
)

// Demand describes a request to be placed: its size, its latency targets and how long its caller
// still waits.
type Demand struct {
	// Service is the name of the service whose upstreams may serve the request.
	Service string
	// Organisation is the organisation that sent the request, Rank its urgency. While the service is short of
	// capacity, they determine the order in which requests are served.
	Organisation apportioner.Organisation
	Rank         apportioner.Rank
	// Returns is true for a request that returns at a time that it was given for it; it counts as within its
	// organisation's share.
	Returns bool
	// MayHaveRun is true for a request that an upstream may have run. It is never refused for its
	// organisation's share.
	MayHaveRun bool
	// Homes are the regions whose upstreams may process the request; the zero value allows all.
	Homes matcher.Homes
	// PromptTokens is the length of the prompt, AnswerTokens the expected length of the answer.
	// PromptTokens is 0 for plain services.
	PromptTokens, AnswerTokens int
	// FirstByteTarget and GapTarget are the latency targets of the request's route: the time to the
	// first byte, and the longest gap between two events; 0 where the route has none.
	FirstByteTarget, GapTarget time.Duration
	// Waited is the time for which the caller has already waited: for the first byte since the
	// request arrived, or for the next event since the last one.
	Waited time.Duration
	// MaxWait is the time for which the caller still waits for the first byte; 0 if unknown.
	MaxWait time.Duration
	// Remaining is the time until the caller's deadline for the whole answer; 0 if it gives none.
	Remaining time.Duration
	// Avoid lists the incarnations of upstreams that have failed the request; it is not placed on
	// them.
	Avoid []Instance
	// Prefer is the incarnation of an upstream to which a connection is open for the request. The request is placed
	// there, unless that refuses it or a group of engines serves it better. It is zero if there is none.
	Prefer Instance
	// SentBefore is true for a request that was sent to an upstream before. It is not refused as
	// overloaded, for its cost, or to defer it.
	SentBefore bool
	// NoHelpers forbids placing the request on a group of engines, because a group has failed it
	// before.
	NoHelpers bool
	// Isolated is true for a request that may crash its upstream: unless it is placed on a group of engines, it is
	// placed on an upstream with the fewest requests.
	Isolated bool
	// EndWithin is the time until the entry that relays the answer exits; 0 where the entry is not
	// shutting down. The request is refused where its answer may take longer.
	EndWithin time.Duration
	// MaxAnswerTokens is the maximum length of the answer; 0 if unknown. It is only used where
	// EndWithin is set, and a request without it is then refused.
	MaxAnswerTokens int
}

// Refusal explains why no upstream can be sent a request now. It implements error.
type Refusal struct {
	// Reason is a constant of the API, such as "overloaded" or "no_memory".
	Reason string
	// RetryAfter is the time after which an upstream is expected to accept the request; 0 if
	// unknown.
	RetryAfter time.Duration
	// Wait is the time in which the request can't be placed by this entry, as all upstreams refuse it;
	// 0 if unknown.
	Wait time.Duration
	// ExpectedFirstByte is the predicted time to the first byte on the best upstream; 0 if unknown.
	ExpectedFirstByte time.Duration
	// Temporary is true where the request may be placed if Place is called again a moment later, as
	// engines make progress.
	Temporary bool
	// Deferrable is true where the prompt is to wait at its entry until engines have a shorter
	// backlog, which its caller's remaining wait allows.
	Deferrable bool
	// OutlivesEntry is true where the answer may end later than the entry that would relay it.
	OutlivesEntry bool
	// Share explains a refusal with ReasonOverShare; nil for others.
	Share *ShareStatus
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("placement refused: %s, first byte expected after %s, retry after %s", r.Reason, r.ExpectedFirstByte, r.RetryAfter)
}

const (
	// minRetryAfter and maxRetryAfter bound RetryAfter where it is computed from a backlog or a
	// delay. minRetryAfter also applies where no time can be predicted.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

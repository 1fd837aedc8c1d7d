package forwarder

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
)

// RequestMetadata is what a caller says of its request beside method, path and body.
type RequestMetadata struct {
	// ID is the caller's, unique for each time that it sends a request.
	ID string
	// Timeout is how long the caller waits; 0 where it doesn't say.
	Timeout time.Duration
	// APIKey identifies the organisation; empty where the caller sent none.
	APIKey string
	// LastEventID is the id of the last event that the caller has of a stream
	// that it resumes.
	LastEventID string
	// PromptTokens and MaxAnswerTokens are token counts, 0 where the request has no prompt.
	// MaxAnswerTokens is the most that may be decoded.
	PromptTokens, MaxAnswerTokens int
	// AnswerTokensHint is the caller's estimate of the answer's tokens, 0 for none.
	AnswerTokensHint int
}

// AttemptMetadata is what is said to an upstream beside what the caller sent.
type AttemptMetadata struct {
	// InstanceID is the only run of an upstream that may take the attempt.
	InstanceID string
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// Organisation that the request is for; empty on public routes.
	Organisation string
	// LastEventID is the event after which a stream goes on; empty for all.
	LastEventID string
	// Helpers prefill parts of the prompt.
	Helpers []Helper
	// Priority among what waits at the engine, 0 first.
	Priority int
}

// Helper is an engine that prefills a part of a prompt.
type Helper struct {
	Address netip.AddrPort
	// ReservationID is the id of memory reserved there for the prompt; empty where
	// the helper only prefills.
	ReservationID string
}

// ReservationClient are what engines are told besides requests. A failure means that the
// order may or may not have been carried out, now or later.
type ReservationClient struct {
	// Reserve sets memory aside under an id for a time, or renews it.
	Reserve func(ctx context.Context, engine netip.AddrPort, id string, tokens int, hold time.Duration) error
	// Release gives it back.
	Release func(ctx context.Context, engine netip.AddrPort, id string) error
	// InUse reports whether a request uses the memory.
	InUse func(ctx context.Context, engine netip.AddrPort, id string) (bool, error)
}

// ResponseMetadata is what an upstream says beside status and body.
type ResponseMetadata struct {
	// RequestID is the ID of the request that this answers; empty where the
	// upstream doesn't say.
	RequestID string
	// NotRun is true where the upstream states that it did not and will not
	// run the request.
	NotRun bool
	// Stamped is true where a run of the request made this answer.
	Stamped bool
	// FaultyAddress is the upstream at fault, where it is another than the one asked.
	FaultyAddress netip.AddrPort
	// Leaving is true where the upstream is about to end and wants no more requests.
	Leaving bool
	// Backoff is for how long the upstream wants none from this entry; 0 for no such wish.
	Backoff time.Duration
}

// Protocol reads and writes the headers that callers and upstreams speak.
type Protocol struct {
	ReadRequest  func(*http.Request) RequestMetadata
	WriteAttempt func(http.Header, AttemptMetadata)
	ReadResponse func(status int, h http.Header) ResponseMetadata
	// WriteRefusal adds the headers of an answer of this entry's own.
	WriteRefusal func(h http.Header, callID string, retryAfter time.Duration)
}

// View is the control state that requests are served by. It is never changed.
type View struct {
	// Table is nil before the first configuration is known.
	Table *matcher.Table
	// ConfigRevision and ConfirmedAt say how old the belief is, for the log.
	ConfigRevision int64
	ConfirmedAt    time.Time
	// ConfirmationTTL is how long after ConfirmedAt no change that this entry does
	// not know can have to be in force.
	ConfirmationTTL time.Duration
	// StoreUnavailable is true while the last call to the store failed.
	StoreUnavailable bool
	// MaxEntries is the most entries that may share the retry budget.
	MaxEntries int
	// Stopping entries ask callers to leave, and take what is over before they end.
	Stopping bool
	// OtherEntries is how many other entries take callers, as far as is known.
	OtherEntries int
	// StopBy is when a stopping entry ends, AddressValidUntil until when callers may use its address, as
	// they have it from the directory; zero otherwise.
	StopBy, AddressValidUntil time.Time
}

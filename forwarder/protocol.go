package forwarder

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/matcher"
)

// RequestMetadata holds what a caller states about its request in headers.
type RequestMetadata struct {
	// ID identifies one sending of the request by the caller: a caller that sends it again sets a new
	// ID. All attempts that the entry makes for that sending carry the same ID.
	ID string
	// Timeout is how long the caller waits for the complete response, from when the request arrived; 0
	// if not stated.
	Timeout time.Duration
	// APIKey is the key by which the caller's organisation is found; empty if the caller sent none.
	APIKey string
	// LastEventID is the id of the last event that the caller received of a stream that it resumes;
	// empty otherwise.
	LastEventID string
	// PromptTokens is the length of the prompt, MaxAnswerTokens the maximum length of the answer,
	// both in tokens; 0 if not stated.
	PromptTokens, MaxAnswerTokens int
	// AnswerTokensHint is the caller's estimate of the length of the answer in tokens; 0 for none.
	AnswerTokensHint int
	// SharedParts holds the IDs of those parts of the prompt that other prompts may share, each once and in
	// the order of the prompt; nil if not stated.
	SharedParts []string
}

// AttemptMetadata holds what the forwarder adds to a request that it sends to an upstream.
type AttemptMetadata struct {
	// InstanceID is the ID of the only upstream that may run the request. An upstream with another ID
	// that now has the address must refuse the request.
	InstanceID string
	// Remaining is the time left until the deadline of the request; above 0.
	Remaining time.Duration
	// Organisation is the name of the organisation that sent the request; empty on public routes.
	Organisation string
	// LastEventID is the id of the event after which the stream resumes; empty for a whole response.
	LastEventID string
	// Helpers are the engines that prefill shards of the prompt.
	Helpers []Helper
	// Priority orders the requests that wait at an engine, lowest first; 0 is the most urgent.
	Priority int
}

// Helper is an engine that prefills a shard of a prompt for the engine that answers.
type Helper struct {
	// Address is where the helper receives requests.
	Address netip.AddrPort
	// ReservationID is the id of the memory reserved at the helper for the prompt; empty if the
	// helper only prefills a shard and does not hold it.
	ReservationID string
}

// ReservationClient holds the functions that manage memory reservations at engines. A call that
// returns an error may nevertheless have taken effect, or may take effect later.
type ReservationClient struct {
	// Reserve reserves memory for a number of tokens at an engine under an id, or renews the lease of
	// the reservation with that id. The lease ends after ttl.
	Reserve func(ctx context.Context, engine netip.AddrPort, id string, tokens int, ttl time.Duration) error
	// Release ends the reservation with an id at an engine and frees its memory.
	Release func(ctx context.Context, engine netip.AddrPort, id string) error
	// InUse reports whether a request at an engine uses the memory reserved there under an id.
	InUse func(ctx context.Context, engine netip.AddrPort, id string) (bool, error)
}

// ResponseMetadata holds what an upstream states in the status and headers of a response.
type ResponseMetadata struct {
	// RequestID is the ID of the request that the response belongs to; empty if not stated.
	RequestID string
	// NotRun is true if the upstream states that it did not and will not run the request.
	NotRun bool
	// HasUpstreamStamp is true if the response has the header by which an upstream confirms that it
	// ran the request.
	HasUpstreamStamp bool
	// FaultyAddress is the address of the upstream that caused the failure of the request: the one that
	// responded or a helper. It is invalid (zero) if the response names none.
	FaultyAddress netip.AddrPort
	// Leaving is true if the upstream states that it is about to exit and accepts no more requests.
	Leaving bool
	// Backoff is the time, from the response on, for which the upstream asks this entry to send it no
	// requests; 0 for none.
	Backoff time.Duration
	// RateLimit is the rate limit that the upstream states; zero if it states none or RateLimitError is
	// set.
	RateLimit dispatcher.RateLimit
	// RateLimitError is why the stated rate limit can't be read; nil if it can, and if none is stated.
	RateLimitError error
}

// Protocol reads and writes the headers that callers and upstreams use.
type Protocol struct {
	// ReadRequest returns the metadata in a caller's request.
	ReadRequest func(*http.Request) RequestMetadata
	// WriteAttempt sets the headers of a request to an upstream. The header passed to it already holds
	// the caller's headers.
	WriteAttempt func(http.Header, AttemptMetadata)
	// ReadResponse returns the metadata in an upstream's response.
	ReadResponse func(status int, h http.Header) ResponseMetadata
	// WriteRefusal sets the headers of a response that the entry itself makes to a request; a
	// retryAfter of 0 sets no Retry-After.
	WriteRefusal func(h http.Header, requestID string, retryAfter time.Duration)
}

// View is an immutable snapshot of what an entry knows about the configuration, the store, the other
// entries and its own shutdown. Requests are served by it.
type View struct {
	// Table holds the routes and limits of the configuration; nil until the entry has received its
	// first configuration.
	Table *matcher.Table
	// ConfigRevision is the store's revision of the configuration in force, for the log. ConfirmedAt is
	// the latest time at which configuration and instance list were known to equal those in the store.
	ConfigRevision int64
	ConfirmedAt    time.Time
	// ConfirmationTTL is how long after ConfirmedAt the entry may deny requests because their route or
	// API key is not in the configuration. A change that was made after ConfirmedAt need not be in
	// force at all entries before that time has passed.
	ConfirmationTTL time.Duration
	// StoreUnavailable is true while the latest call to the store has failed.
	StoreUnavailable bool
	// RetryBudgetEntries is the largest number of entries, including this one, that may share the retry
	// budget at present; 0 if it is unknown. Retries that the budget allows whatever the number of requests
	// are divided among that many entries.
	RetryBudgetEntries int
	// Stopping is true while the entry shuts down: it asks callers to close their connections, and
	// accepts only requests that end before it exits.
	Stopping bool
	// OtherEntries is the number of other entries that accept callers, as far as this entry knows.
	OtherEntries int
	// StopBy is when a stopping entry cancels its remaining requests and exits. AddressValidUntil is
	// when callers must have stopped using the entry's address, which they got from the directory.
	// Both are zero unless the entry is stopping.
	StopBy, AddressValidUntil time.Time
}

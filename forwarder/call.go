package forwarder

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
)

// Call is what a caller says of its request beside method, path and body.
type Call struct {
	// ID is the caller's, unique for each time that it sends a request.
	ID string
	// Patience is how long the caller waits; 0 where it doesn't say.
	Patience time.Duration
	// Key identifies the organisation; empty where the caller sent none.
	Key string
	// LastEvent is the id of the last event that the caller has of a stream
	// that it resumes.
	LastEvent string
	// Prompt and Answer are token counts, 0 where the request has no prompt.
	// Answer is the most that may be decoded.
	Prompt, Answer int
	// AnswerHint is the caller's estimate of the answer's tokens, 0 for none.
	AnswerHint int
}

// Attempt is what is said to an upstream beside what the caller sent.
type Attempt struct {
	// Instance is the only run of an upstream that may take the attempt.
	Instance string
	// Left is how long the caller still waits.
	Left time.Duration
	// Organisation that the request is for; empty on public routes.
	Organisation string
	// LastEvent is the event after which a stream goes on; empty for all.
	LastEvent string
	// Helpers prefill parts of the prompt.
	Helpers []Helper
	// Priority among what waits at the engine, 0 first.
	Priority int
}

// Helper is an engine that prefills a part of a prompt.
type Helper struct {
	Address netip.AddrPort
	// Ticket is the id of memory reserved there for the prompt; empty where
	// the helper only prefills.
	Ticket string
}

// Orders are what engines are told besides requests. A failure means that the
// order may or may not have been carried out, now or later.
type Orders struct {
	// Reserve sets memory aside under an id for a time, or renews it.
	Reserve func(ctx context.Context, engine netip.AddrPort, id string, tokens int, hold time.Duration) error
	// Release gives it back.
	Release func(ctx context.Context, engine netip.AddrPort, id string) error
	// InUse reports whether a request uses the memory.
	InUse func(ctx context.Context, engine netip.AddrPort, id string) (bool, error)
}

// Reply is what an upstream says beside status and body.
type Reply struct {
	// Call is the ID of the request that this answers; empty where the
	// upstream doesn't say.
	Call string
	// NotRun is true where the upstream states that it did not and will not
	// run the request.
	NotRun bool
	// Signed is true where a run of the request made this answer.
	Signed bool
	// At is the upstream at fault, where it is another than the one asked.
	At netip.AddrPort
	// Leaving is true where the upstream is about to end and wants no more requests.
	Leaving bool
	// PauseFor is for how long the upstream wants none from this entry; 0 for no such wish.
	PauseFor time.Duration
}

// Protocol reads and writes the headers that callers and upstreams speak.
type Protocol struct {
	ReadCall     func(*http.Request) Call
	WriteAttempt func(http.Header, Attempt)
	ReadReply    func(status int, h http.Header) Reply
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
	// TrustTime is how long after ConfirmedAt no change that this entry does
	// not know can have to be in force.
	TrustTime time.Duration
	// StoreLost is true while the last call to the store failed.
	StoreLost bool
	// Entries is the most entries that may share the retry budget.
	Entries int
	// Stopping entries ask callers to leave, and take what is over before they end.
	Stopping bool
	// Others is how many other entries take callers, as far as is known.
	Others int
	// StopBy is when a stopping entry ends, KnownUntil until when callers may use its address, as
	// they have it from the directory; zero otherwise.
	StopBy, KnownUntil time.Time
}

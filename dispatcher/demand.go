package dispatcher

import (
	"fmt"
	"time"
)

// Demand is what a request needs.
type Demand struct {
	Service string
	// PromptTokens and AnswerTokens are token counts; PromptTokens is 0 for plain services.
	PromptTokens, AnswerTokens int
	// FirstByteTarget and GapTarget are those of the route.
	FirstByteTarget, GapTarget time.Duration
	// Waited is how long the caller has waited for its first byte, or next event, already.
	Waited time.Duration
	// MaxWait is how long the caller waits for the first byte yet.
	MaxWait time.Duration
	// Remaining is how long the caller waits for the whole answer yet; 0 where it does not say.
	Remaining time.Duration
	// Avoid lists the upstreams that failed the request.
	Avoid []Instance
	// Admitted requests were placed before and are not refused for what they
	// cost or how long they wait.
	Admitted bool
	// NoHelpers forbids helpers: a group has failed the request before.
	NoHelpers bool
	// EndWithin is how long the entry that relays the answer is there yet: where the answer may
	// take longer, the request is refused. 0 where the entry does not stop.
	EndWithin time.Duration
	// MaxAnswerTokens is how many tokens the answer may have at most, where EndWithin is set, 0 where
	// nobody knows; Answer is what is expected.
	MaxAnswerTokens int
}

// Refusal says that no upstream can serve a request now.
type Refusal struct {
	Reason string
	// RetryAfter is when one is expected to.
	RetryAfter time.Duration
	// ExpectedFirstByte is how long the first byte would have taken, 0 if unknown.
	ExpectedFirstByte time.Duration
	// Temporary refusals may be other in a moment, as engines work on.
	Temporary bool
	// Deferrable says that the prompt has time to wait until engines have less to do.
	Deferrable bool
	// OutlivesEntry says that the answer may not end before the entry that would relay it does.
	OutlivesEntry bool
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%s, expected %s, retry after %s", r.Reason, r.ExpectedFirstByte, r.RetryAfter)
}

const (
	// minRetryAfter and mostRetry bound what a refused caller is told.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

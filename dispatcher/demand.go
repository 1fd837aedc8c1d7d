package dispatcher

import (
	"fmt"
	"time"
)

// Demand is what a request needs.
type Demand struct {
	Service string
	// Prompt and Answer are token counts; Prompt is 0 for plain services.
	Prompt, Answer int
	// FirstByteTarget and PauseTarget are those of the route.
	FirstByteTarget, PauseTarget time.Duration
	// Waited is how long the caller has waited for its first byte, or next event, already.
	Waited time.Duration
	// Patience is how long the caller waits for the first byte yet.
	Patience time.Duration
	// Left is how long the caller waits for the whole answer yet; 0 where it does not say.
	Left time.Duration
	// Avoid lists the upstreams that failed the request.
	Avoid []Instance
	// Admitted requests were placed before and are not refused for what they
	// cost or how long they wait.
	Admitted bool
	// Alone forbids helpers: a group has failed the request before.
	Alone bool
	// EndWithin is how long the entry that relays the answer is there yet: where the answer may
	// take longer, the request is refused. 0 where the entry does not stop.
	EndWithin time.Duration
	// MostAnswer is how many tokens the answer may have at most, where EndWithin is set, 0 where
	// nobody knows; Answer is what is expected.
	MostAnswer int
}

// Refusal says that no upstream can serve a request now.
type Refusal struct {
	Reason string
	// RetryAfter is when one is expected to.
	RetryAfter time.Duration
	// Expected is how long the first byte would have taken, 0 if unknown.
	Expected time.Duration
	// Passing refusals may be other in a moment, as engines work on.
	Passing bool
	// Early says that the prompt has time to wait until engines have less to do.
	Early bool
	// Ending says that the answer may not end before the entry that would relay it does.
	Ending bool
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%s, expected %s, retry after %s", r.Reason, r.Expected, r.RetryAfter)
}

const (
	// leastRetry and mostRetry bound what a refused caller is told.
	leastRetry = 200 * time.Millisecond
	mostRetry  = 3 * time.Second
)

// Package admitter decides whether a request is admitted, and tracks the requests in flight. Each
// admitted request has one owner, which must release it, so that an idle entry has no request in
// flight. Each has a deadline on the monotonic clock.
package admitter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

// Limits are the limits of admission, from the configuration document.
type Limits struct {
	// MaxInFlight bounds the number of requests in flight at this entry.
	MaxInFlight int
	// MaxTimeout bounds the timeout that a caller can set. DefaultTimeout applies if the caller
	// sets none.
	MaxTimeout     time.Duration
	DefaultTimeout time.Duration
}

// Request describes a request to admit.
type Request struct {
	ID           string
	Organisation string
	// OrganisationLimit bounds the number of the organisation's requests in flight at this entry.
	OrganisationLimit int
	// Timeout is the timeout that the caller set. HasTimeout is false if it set none.
	Timeout    time.Duration
	HasTimeout bool
}

// Refusal is the error for a request that was not admitted and so did not run.
type Refusal struct {
	// Code is an error code of package api.
	Code string
	// Message says why the request was refused, for the caller.
	Message string
	// RetryAfter is the time after which the caller should retry, 0 if a retry would not help.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// minRetryAfter and maxRetryAfter bound the random time after which a refused caller should retry.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Admitter tracks the requests in flight. It is not safe for concurrent use.
type Admitter struct {
	random *rand.Rand
	// inFlight maps request IDs to the requests in flight.
	inFlight map[string]inFlightRequest
	// perOrganisation counts the requests in flight by organisation. No count is zero.
	perOrganisation map[string]int
}

// inFlightRequest is a request that was admitted and not yet released.
type inFlightRequest struct {
	organisation string
	deadline     time.Time
}

// New returns an admitter with no request in flight.
func New(random *rand.Rand) *Admitter {
	return &Admitter{random: random, inFlight: map[string]inFlightRequest{}, perOrganisation: map[string]int{}}
}

// RetryAfter returns a random time for a refused caller to wait, so that callers do not all retry
// at the same time.
func (a *Admitter) RetryAfter() time.Duration {
	return minRetryAfter + time.Duration(a.random.Int64N(int64(maxRetryAfter-minRetryAfter)))
}

// Admit admits a request and returns its deadline, or returns why the request is refused.
func (a *Admitter) Admit(now time.Time, l Limits, r Request) (time.Time, *Refusal) {
	timeout := r.Timeout
	if !r.HasTimeout {
		timeout = l.DefaultTimeout
	}
	if timeout <= 0 {
		return time.Time{}, &Refusal{Code: api.CodeDeadlinePast, Message: fmt.Sprintf("%s: %s: must be more than 0", api.HeaderTimeout, timeout)}
	}
	if timeout > l.MaxTimeout {
		return time.Time{}, &Refusal{Code: api.CodeBadRequest, Message: fmt.Sprintf("%s: %s: must be at most %s", api.HeaderTimeout, timeout, l.MaxTimeout)}
	}
	if len(a.inFlight) >= l.MaxInFlight {
		return time.Time{}, &Refusal{Code: api.CodeOverloaded, Message: fmt.Sprintf("%d requests are in flight here: at most %d are admitted", len(a.inFlight), l.MaxInFlight), RetryAfter: a.RetryAfter()}
	}
	if a.perOrganisation[r.Organisation] >= r.OrganisationLimit {
		return time.Time{}, &Refusal{Code: api.CodeOrganisationLimit, Message: fmt.Sprintf("organisation %s has %d requests in flight here: at most %d are admitted", r.Organisation, a.perOrganisation[r.Organisation], r.OrganisationLimit), RetryAfter: a.RetryAfter()}
	}
	deadline := now.Add(timeout)
	a.inFlight[r.ID] = inFlightRequest{organisation: r.Organisation, deadline: deadline}
	a.perOrganisation[r.Organisation]++
	return deadline, nil
}

// Release removes a request from those in flight. It reports whether the request was present, and
// how long after its deadline it was released, 0 if in time.
func (a *Admitter) Release(now time.Time, id string) (present bool, overdue time.Duration) {
	r, ok := a.inFlight[id]
	if !ok {
		return false, 0
	}
	delete(a.inFlight, id)
	a.perOrganisation[r.organisation]--
	if a.perOrganisation[r.organisation] == 0 {
		delete(a.perOrganisation, r.organisation)
	}
	return true, max(0, now.Sub(r.deadline))
}

// InFlight returns the number of requests in flight.
func (a *Admitter) InFlight() int { return len(a.inFlight) }

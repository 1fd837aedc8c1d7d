// Package admitter decides whether a request is admitted, and tracks the requests in flight: those
// that were admitted and not yet released. Each admitted request must be released once, so that an
// idle entry has none in flight. Deadlines are times on the monotonic clock.
package admitter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

// Limits are the limits on requests in the configuration document.
type Limits struct {
	// MaxInFlight is the maximum number of requests in flight at this entry.
	MaxInFlight int
	// MaxTimeout is the maximum timeout that a caller may set. DefaultTimeout is that of a request
	// for which the caller set none.
	MaxTimeout     time.Duration
	DefaultTimeout time.Duration
}

// Request describes a request that is to be admitted.
type Request struct {
	ID           string
	Organisation string
	// OrganisationLimit is the maximum number of the organisation's requests in flight at this
	// entry.
	OrganisationLimit int
	// Timeout is the timeout that the caller set. HasTimeout is false if the caller set none.
	Timeout    time.Duration
	HasTimeout bool
}

// Refusal is the error for a request that was not admitted, and so did not run.
type Refusal struct {
	// Code is one of the error codes of package api.
	Code string
	// Message is a text for the caller that says why the request was refused.
	Message string
	// RetryAfter is the time for which the caller should wait before a retry. It is 0 if the same
	// request would be refused again.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// minRetryAfter and maxRetryAfter bound the random time that RetryAfter returns.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Admitter tracks the requests in flight at this entry. It is not safe for concurrent use.
type Admitter struct {
	random *rand.Rand
	// inFlight holds the requests in flight by ID.
	inFlight map[string]inFlightRequest
	// perOrganisation holds the number of requests in flight by organisation. An organisation
	// without any has no element.
	perOrganisation map[string]int
}

// inFlightRequest is a request that was admitted and has not been released.
type inFlightRequest struct {
	organisation string
	deadline     time.Time
}

// New returns an admitter with no request in flight. Random is used for RetryAfter.
func New(random *rand.Rand) *Admitter {
	return &Admitter{random: random, inFlight: map[string]inFlightRequest{}, perOrganisation: map[string]int{}}
}

// RetryAfter returns a random time for which a refused caller should wait before a retry. It is
// random so that refused callers don't all retry at the same time.
func (a *Admitter) RetryAfter() time.Duration {
	return minRetryAfter + time.Duration(a.random.Int64N(int64(maxRetryAfter-minRetryAfter)))
}

// Admit admits a request and returns its deadline, now plus its timeout. It refuses the request if
// the timeout is not positive or exceeds MaxTimeout, or if the entry or the organisation has the
// maximum number of requests in flight.
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

// Release removes a request from those in flight. It returns whether the request was in flight, and
// how long after its deadline it is released, 0 if before the deadline.
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

// InFlight returns the number of requests in flight at this entry.
func (a *Admitter) InFlight() int { return len(a.inFlight) }

// Package admitter decides whether a request is admitted, and holds the table
// of requests in flight. Every admitted request has one owner and a limit on
// the monotonic clock; at rest the table is empty.
package admitter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

// Limits in force.
type Limits struct {
	// MaxInFlight bounds all requests in flight at this entry.
	MaxInFlight int
	// MaxTimeout bounds, and DefaultTimeout stands in for, a caller's limit.
	MaxTimeout     time.Duration
	DefaultTimeout time.Duration
}

// Request as far as admission is concerned.
type Request struct {
	ID           string
	Organisation string
	// OrganisationLimit bounds the organisation's requests in flight.
	OrganisationLimit int
	// Timeout is the caller's limit; Given is false where it named none.
	Timeout    time.Duration
	HasTimeout bool
}

// Refusal says why a request was not admitted. A refused request was not run.
type Refusal struct {
	Code    string
	Message string
	// RetryAfter is 0 when asking again would not help.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// Bounds of the random time after which a refused caller is asked to return.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Admitter holds the table. It is not safe for concurrent use.
type Admitter struct {
	random *rand.Rand
	// inFlight maps request ids to what is in flight.
	inFlight map[string]inFlightRequest
	// perOrganisation counts flights; no entry is zero.
	perOrganisation map[string]int
}

type inFlightRequest struct {
	organisation string
	deadline     time.Time
}

// New returns an admitter with nothing in flight.
func New(random *rand.Rand) *Admitter {
	return &Admitter{random: random, inFlight: map[string]inFlightRequest{}, perOrganisation: map[string]int{}}
}

// RetryAfter draws a time to come back, spread so that callers do not return
// together.
func (a *Admitter) RetryAfter() time.Duration {
	return minRetryAfter + time.Duration(a.random.Int64N(int64(maxRetryAfter-minRetryAfter)))
}

// Admit takes a request into the table and returns its deadline, or says why
// not.
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

// Release takes a request out of the table. It reports whether it was there,
// and how long past its deadline it is, 0 when in time.
func (a *Admitter) Release(now time.Time, id string) (present bool, overdue time.Duration) {
	f, ok := a.inFlight[id]
	if !ok {
		return false, 0
	}
	delete(a.inFlight, id)
	a.perOrganisation[f.organisation]--
	if a.perOrganisation[f.organisation] == 0 {
		delete(a.perOrganisation, f.organisation)
	}
	return true, max(0, now.Sub(f.deadline))
}

// InFlight is how many requests are in the table.
func (a *Admitter) InFlight() int { return len(a.inFlight) }

package server

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/quarantiner"
	"github.com/sapphireramp/sapphireramp/spender"
	"github.com/sapphireramp/sapphireramp/validator"
)

// exchange is one request on its way through the filters. It is owned by the
// goroutine that serves it.
type exchange struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	id      string
	arrived time.Time
	// view is the one in force at arrival; routing uses the newest instead.
	view         *view
	organisation *validator.Organisation
	body         []byte
	// bodyRead says that nothing of the body is left on the connection.
	bodyRead bool
	// completion is set for prompts, service and call for service calls.
	completion *api.CompletionRequest
	service    *validator.Service
	callName   string
	// fingerprint is what the request asks for, cut is true once an upstream broke its last
	// attempt off.
	fingerprint quarantiner.Fingerprint
	interrupted bool

	timeout      time.Duration
	timeoutGiven bool
	// deadline is on the monotonic clock; ctx ends at it.
	deadline time.Time
	ctx      context.Context

	// repeatable is false for a request that may run at most once.
	repeatable bool
	ticket     spender.Ticket
	// answerRecorder keeps the answer of a request that runs at most once.
	answerRecorder *recorder

	// unresolvedAttempts is how many attempts left for an upstream and are not known
	// never to have started there. It never falls below zero.
	unresolvedAttempts int
	// answerBegun says that part of an answer was passed on to the caller.
	answerBegun bool
	// failureWritten says that the failure was written to the caller.
	failureWritten bool
	// bodyStalled says that the caller was refused and did not send the rest of its
	// body in time.
	bodyStalled bool
}

// failure ends a request without a whole answer.
type failure struct {
	code       string
	message    string
	param      string
	retryAfter time.Duration
	elsewhere  []string
	// outcome overrides the one worked out from what was sent; empty
	// otherwise. An earlier presentation of a ticket may have run although
	// this one did not.
	outcome api.Outcome
	// err is the cause, for the log.
	err error
}

func (f *failure) Error() string {
	if f.err != nil {
		return fmt.Sprintf("%s: %s: %s", f.code, f.message, f.err)
	}
	return f.code + ": " + f.message
}

func newFailure(code, format string, args ...any) *failure {
	return &failure{code: code, message: fmt.Sprintf(format, args...)}
}

// handler serves an exchange; filter wraps a handler with one concern.
type handler func(*exchange) *failure

type filter func(handler) handler

// chain puts filters before a handler, the first outermost.
func chain(last handler, filters ...filter) handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

// outcome is the honest outcome of a request that failed.
func (x *exchange) outcome(f *failure) api.Outcome {
	if f.outcome != "" {
		return f.outcome
	}
	if x.unresolvedAttempts > 0 || x.answerBegun {
		return api.Unknown
	}
	return api.NotRun
}

// remaining is the time left to the request, read anew on every call so that a
// process that was paused does not act on what was true before.
func (x *exchange) remaining() time.Duration { return time.Until(x.deadline) }

// errorDetail is the error as the caller is told it.
func (x *exchange) errorDetail(f *failure) api.ErrorDetail {
	return api.ErrorDetail{
		Code: f.code, Message: f.message, Param: f.param, Outcome: x.outcome(f),
		RetryAfterSeconds: f.retryAfter.Seconds(), Elsewhere: f.elsewhere,
	}
}

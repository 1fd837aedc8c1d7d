package server

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/isolator"
	"github.com/sapphireramp/sapphireramp/quarantiner"
	"github.com/sapphireramp/sapphireramp/spender"
	"github.com/sapphireramp/sapphireramp/validator"
)

// exchange holds the state of one request while it passes through the filters. The goroutine that serves
// the request owns it.
type exchange struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	id      string
	arrived time.Time
	// view is the view in force when the request arrived. Engines and instances are chosen from the newest
	// view instead.
	view         *view
	organisation *validator.Organisation
	body         []byte
	// memory holds the body and what is made of it, and the answer of a service.
	memory *accountant.Holding
	// bodyRead is true once the whole request body has been read from the connection.
	bodyRead bool
	// completion is the decoded request of a prompt and nil for service calls; service and callName are
	// set for service calls only.
	completion *api.CompletionRequest
	service    *validator.Service
	callName   string
	// fingerprint is the hash that requests of equal content share. interrupted is true if the last attempt
	// may have started and ended without a complete answer before its context had ended.
	fingerprint quarantiner.Fingerprint
	interrupted bool
	// parts stand for what the prompt shares with others (see partsOf), nil for service calls. trial is not nil while
	// the prompt is tried although it may crash its engine. heldSince is when it was first held back for that; zero
	// if it was not.
	parts     []isolator.Part
	trial     *isolator.Trial
	heldSince time.Time
	// lostCount is the number of attempts that were interrupted before the answer had gone on for
	// isolator.SurvivalTime.
	lostCount int
	// connection is the connection on which the last attempt was sent; nil if none was opened.
	connection net.Conn

	// timeout is the value of the header api.HeaderTimeout; it is valid only if timeoutGiven is true.
	timeout      time.Duration
	timeoutGiven bool
	// deadline is the time, on the monotonic clock, at which the request's time limit ends and ctx expires.
	deadline time.Time
	ctx      context.Context

	// repeatable is false for a request that may run at most once. ticket is the ticket of such a request.
	repeatable bool
	ticket     spender.Ticket
	// answerRecorder records the answer of an at-most-once request as it is written to the caller, so that
	// it can be sent again; nil for other requests.
	answerRecorder *recorder

	// unresolvedAttempts is the number of attempts that were sent, got no complete answer and may have
	// started at an upstream. It is never negative.
	unresolvedAttempts int
	// answerBegun is true once an event of a streamed answer has been written to the caller.
	answerBegun bool
	// failureWritten is true once a failure has been written to the caller.
	failureWritten bool
	// bodyStalled is true if the caller was refused before its body was read, and the rest of the body did
	// not end within discardTimeout and maxDiscardedBytes.
	bodyStalled bool
}

// failure describes why a request ends without a complete answer.
type failure struct {
	// code is one of the error codes of package api.
	code    string
	message string
	// param names the header or field at fault; empty if there is none.
	param string
	// retryAfter is the time after which the caller may send the request again; 0 if none is stated.
	retryAfter time.Duration
	// elsewhere lists the addresses of other entries that accept the request.
	elsewhere []string
	// outcome, if not empty, is sent to the caller instead of the outcome derived from this request's
	// attempts. It is set where an earlier request with the same ticket may have run although this one did
	// not.
	outcome api.Outcome
	// err is the cause; it is logged and not sent to the caller.
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

// handler serves an exchange. It returns nil if the request was answered.
type handler func(*exchange) *failure

// filter wraps a handler to do one check or step, such as authentication, before or after it.
type filter func(handler) handler

// chain wraps a handler in filters, the first one outermost.
func chain(last handler, filters ...filter) handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

// outcome returns the outcome of a request that ended with f: f.outcome if set, api.OutcomeUnknown if an
// attempt may have run or an answer was begun, and api.OutcomeNotRun otherwise.
func (x *exchange) outcome(f *failure) api.Outcome {
	if f.outcome != "" {
		return f.outcome
	}
	if x.unresolvedAttempts > 0 || x.answerBegun {
		return api.OutcomeUnknown
	}
	return api.OutcomeNotRun
}

// remaining returns the time left until the request's deadline. It reads the clock on every call, so that a
// process that was suspended does not act on an outdated value.
func (x *exchange) remaining() time.Duration { return time.Until(x.deadline) }

// errorDetail returns the error that is sent to the caller.
func (x *exchange) errorDetail(f *failure) api.ErrorDetail {
	return api.ErrorDetail{
		Code: f.code, Message: f.message, Param: f.param, Outcome: x.outcome(f),
		RetryAfterSeconds: f.retryAfter.Seconds(), Elsewhere: f.elsewhere,
	}
}

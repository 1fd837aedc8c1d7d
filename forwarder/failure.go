package forwarder

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/asserter"
)

// outcomeAnswered is the outcome of a request that an upstream answered.
const outcomeAnswered = "answered"

// Reasons for which a request is not answered by an upstream.
const (
	reasonNoConfig       = "no_configuration"
	reasonNoRoute        = "no_route"
	reasonUnknownKey     = "unknown_key"
	reasonUnconfirmed    = "configuration_unconfirmed"
	reasonHeaderTooLarge = "header_too_large"
	reasonBodyTooLarge   = "body_too_large"
	reasonBodyUnread     = "body_not_read"
	reasonStopping       = "stopping"
	reasonNotRun         = "refused_by_upstream"
	reasonUnreachable    = "upstream_unreachable"
	reasonFailed         = "upstream_failed"
	reasonDeadline       = "deadline"
	reasonCallerLeft     = "caller_left"
	reasonCutOff         = "cut_off"
	reasonBroken         = "stream_broken"
	reasonPanic          = "internal_error"
	reasonQuarantined    = "quarantined"
)

// Times after which a refused caller is asked to come back.
const (
	// soonRetry is for what another entry or upstream could serve at once.
	soonRetry = 50 * time.Millisecond
	// fullRetry is for upstreams without room: several answers of plain
	// services end in that time.
	fullRetry = 150 * time.Millisecond
	// configRetry is how long an entry takes to learn its configuration.
	configRetry = 300 * time.Millisecond
	// unconfirmedRetry is for an entry that may have missed a change, where
	// another may know better.
	unconfirmedRetry = 100 * time.Millisecond
	// lostRetry is for an entry that has no configuration and can't read one:
	// outages of the store last seconds, and callers seldom ask a third time.
	lostRetry = 2 * time.Second
)

// failure is why a request gets no upstream's answer.
type failure struct {
	status     int
	reason     string
	retryAfter time.Duration
	cause      error
}

func (f *failure) Error() string {
	if f.cause == nil {
		return f.reason
	}
	return fmt.Sprintf("%s: %v", f.reason, f.cause)
}

func (f *failure) Unwrap() error { return f.cause }

// notRun is a refusal of a request that did not run and never will.
func notRun(reason string, retryAfter time.Duration, cause error) *failure {
	return &failure{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter, cause: cause}
}

// unknown is the end of a request of which a part may have run.
func unknown(reason string, cause error) *failure {
	status := http.StatusBadGateway
	if reason == reasonDeadline {
		status = http.StatusGatewayTimeout
	}
	return &failure{status: status, reason: reason, cause: cause}
}

// promisesNotRun reports whether callers take a status for the promise that
// the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// respond is the only filter that writes a failure to the caller. It logs how
// each request ended.
func (f *Forwarder) respond(next handler) handler {
	return func(x *exchange) *failure {
		fail := next(x)
		f.finish(x, fail)
		if fail == nil {
			return nil
		}
		if x.begun || fail.reason == reasonCallerLeft {
			// An answer that can't be finished must not look complete.
			panic(http.ErrAbortHandler)
		}
		f.refuse(x, fail)
		return nil
	}
}

func (f *Forwarder) refuse(x *exchange, fail *failure) {
	f.asserter.Check(!promisesNotRun(fail.status) || x.pending == 0, asserter.NotRunAfterSend, "request %s: %s", x.call.ID, fail.reason)
	h := x.writer.Header()
	f.protocol.WriteRefusal(h, x.call.ID, fail.retryAfter)
	h.Set("Content-Type", "application/json")
	if !x.bodyRead {
		h.Set("Connection", "close")
	}
	x.writer.WriteHeader(fail.status)
	_ = json.NewEncoder(x.writer).Encode(struct {
		Error  string `json:"error"`
		NotRun bool   `json:"not_run"`
	}{Error: fail.reason, NotRun: x.pending == 0})
}

// finish counts and logs the end of a request.
func (f *Forwarder) finish(x *exchange, fail *failure) {
	outcome := outcomeAnswered
	if fail != nil {
		outcome = fail.reason
	}
	f.metrics.finished(outcome, time.Since(x.arrived))
	fields := []zap.Field{
		zap.String("request", x.call.ID), zap.String("outcome", outcome), zap.Int("status", x.status(fail)),
		zap.Duration("took_ms", time.Since(x.arrived)), zap.Int("attempts", x.sent), zap.Int("prompt", x.call.PromptTokens), zap.Stringer("content", x.content),
	}
	if x.call.MaxAnswerTokens > 0 {
		fields = append(fields, zap.Int("answer", x.call.MaxAnswerTokens), zap.Int("answer_hint", x.call.AnswerTokensHint), zap.Int("events", x.events))
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.String("kind", x.route.Kind.String()))
	}
	if x.view != nil {
		fields = append(fields, zap.Int64("config_revision", x.view.ConfigRevision))
		fields = append(fields, x.view.stopFields(x.arrived)...)
	}
	if !x.firstAt.IsZero() {
		f.metrics.streamed(x.call.PromptTokens, x.firstAt.Sub(x.arrived), x.longestPause)
		fields = append(fields, zap.Duration("first_ms", x.firstAt.Sub(x.arrived)), zap.Duration("longest_pause_ms", x.longestPause))
	}
	if fail == nil {
		f.log.Info("request", fields...)
		return
	}
	if fail.cause != nil && !errors.Is(fail.cause, http.ErrAbortHandler) {
		fields = append(fields, zap.Error(fail.cause))
	}
	if fail.retryAfter > 0 {
		fields = append(fields, zap.Duration("retry_after_ms", fail.retryAfter))
	}
	f.log.Warn("request", fields...)
}

func (x *exchange) status(fail *failure) int {
	if fail != nil && !x.begun {
		return fail.status
	}
	return x.answered
}

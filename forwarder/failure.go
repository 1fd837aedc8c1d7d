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
	// immediateRetry is for what another entry or upstream could serve at once.
	immediateRetry = 50 * time.Millisecond
	// fullRetry is for upstreams without room: several answers of plain
	// services end in that time.
	fullRetry = 150 * time.Millisecond
	// configRetry is how long an entry takes to learn its configuration.
	configRetry = 300 * time.Millisecond
	// unconfirmedRetry is for an entry that may have missed a change, where
	// another may know better.
	unconfirmedRetry = 100 * time.Millisecond
	// storeLostRetry is for an entry that has no configuration and can't read one:
	// outages of the store last seconds, and callers seldom ask a third time.
	storeLostRetry = 2 * time.Second
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

// notRunFailure is a refusal of a request that did not run and never will.
func notRunFailure(reason string, retryAfter time.Duration, cause error) *failure {
	return &failure{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter, cause: cause}
}

// unknownOutcomeFailure is the end of a request of which a part may have run.
func unknownOutcomeFailure(reason string, cause error) *failure {
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
		f.recordEnd(x, fail)
		if fail == nil {
			return nil
		}
		if x.responseBegun || fail.reason == reasonCallerLeft {
			// An answer that can't be finished must not look complete.
			panic(http.ErrAbortHandler)
		}
		f.writeRefusal(x, fail)
		return nil
	}
}

func (f *Forwarder) writeRefusal(x *exchange, fail *failure) {
	f.asserter.Check(!promisesNotRun(fail.status) || x.pendingCount == 0, asserter.NotRunAfterSend, "request %s: %s", x.metadata.ID, fail.reason)
	h := x.writer.Header()
	f.protocol.WriteRefusal(h, x.metadata.ID, fail.retryAfter)
	h.Set("Content-Type", "application/json")
	if !x.bodyRead {
		h.Set("Connection", "close")
	}
	x.writer.WriteHeader(fail.status)
	_ = json.NewEncoder(x.writer).Encode(struct {
		Error  string `json:"error"`
		NotRun bool   `json:"not_run"`
	}{Error: fail.reason, NotRun: x.pendingCount == 0})
}

// recordEnd counts and logs the end of a request.
func (f *Forwarder) recordEnd(x *exchange, fail *failure) {
	outcome := outcomeAnswered
	if fail != nil {
		outcome = fail.reason
	}
	f.metrics.recordRequest(outcome, time.Since(x.arrivedAt))
	fields := []zap.Field{
		zap.String("request", x.metadata.ID), zap.String("outcome", outcome), zap.Int("status", x.finalStatus(fail)),
		zap.Duration("took_ms", time.Since(x.arrivedAt)), zap.Int("attempts", x.sentCount), zap.Int("prompt", x.metadata.PromptTokens), zap.Stringer("content", x.fingerprint),
	}
	if x.metadata.MaxAnswerTokens > 0 {
		fields = append(fields, zap.Int("answer", x.metadata.MaxAnswerTokens), zap.Int("answer_hint", x.metadata.AnswerTokensHint), zap.Int("events", x.eventCount))
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.String("kind", x.route.Kind.String()))
	}
	if x.view != nil {
		fields = append(fields, zap.Int64("config_revision", x.view.ConfigRevision))
		fields = append(fields, x.view.stopLogFields(x.arrivedAt)...)
	}
	if !x.responseBegunAt.IsZero() {
		f.metrics.recordStream(x.metadata.PromptTokens, x.responseBegunAt.Sub(x.arrivedAt), x.longestGap)
		fields = append(fields, zap.Duration("first_ms", x.responseBegunAt.Sub(x.arrivedAt)), zap.Duration("longest_pause_ms", x.longestGap))
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

func (x *exchange) finalStatus(fail *failure) int {
	if fail != nil && !x.responseBegun {
		return fail.status
	}
	return x.responseStatus
}

// Package api holds the plain wire types that sapphireramp exchanges with
// callers, upstreams, the platform and between its own instances. It holds no
// behaviour beyond conversions; the core types live in their own packages.
package api

import (
	"net/http"
	"strconv"
	"time"
)

// Header names used towards callers and upstreams.
const (
	// HeaderTimeout is the caller's time limit for a request, in decimal
	// seconds counted from its arrival. A duration, so clocks need not agree.
	HeaderTimeout = "X-Request-Timeout"
	// HeaderIdempotencyKey carries the ticket of a request that may run at
	// most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRepeatable is "false" on a request that may run at most once.
	HeaderRepeatable = "X-Repeatable"
	// HeaderRequestID is the id of a request, 128 random bits.
	HeaderRequestID = "X-Request-Id"
	// HeaderAttemptID is the id of one attempt at a request, 128 random bits.
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderOwner is the name of the instance that owns an attempt or hold.
	HeaderOwner = "X-Owner"
	// HeaderOwnerIncarnation is the incarnation of the owner.
	HeaderOwnerIncarnation = "X-Owner-Incarnation"
	// HeaderPriority is an integer; a higher one is scheduled first.
	HeaderPriority = "X-Priority"
	// HeaderResumeFrom is the count of answer tokens already delivered.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderGroupHolds lists the hold ids that a group request may draw on.
	HeaderGroupHolds = "X-Group-Holds"
	// HeaderOutcome tells the caller what became of its request.
	HeaderOutcome = "X-Outcome"
	// HeaderForwardedByEntry marks a request passed on by another entry, which is
	// therefore never passed on again.
	HeaderForwardedByEntry = "X-Forwarded-By-Entry"
	// HeaderStarted is "false" on an upstream's error when the upstream
	// confirms that the request never started there.
	HeaderStarted = "X-Started"
)

// Outcome says what became of a request.
type Outcome string

// The outcomes. OutcomeUnknown is the only honest one when a request left for an
// upstream and nothing confirmed what happened to it there.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not_run"
	OutcomeUnknown  Outcome = "unknown"
)

// Codes of errors sent to callers.
const (
	CodeBadRequest          = "bad_request"
	CodeBodyTooLarge        = "body_too_large"
	CodeUnknownOrganisation = "unknown_organisation"
	CodeUnknownModel        = "unknown_model"
	CodeUnknownService      = "unknown_service"
	CodeModelNotAllowed     = "model_not_allowed"
	CodePromptTooLong       = "prompt_too_long"
	CodeDeadlinePast        = "deadline_past"
	CodeDeadlineExceeded    = "deadline_exceeded"
	CodeOverloaded          = "overloaded"
	CodeOrganisationLimit   = "organisation_limit"
	CodeNoUpstream          = "no_upstream"
	CodeUpstreamFailed      = "upstream_failed"
	// CodeQuarantined refuses requests that crash the upstreams that run them.
	CodeQuarantined      = "quarantined"
	CodeStopping         = "stopping"
	CodeNotReady         = "not_ready"
	CodeTicketRequired   = "ticket_required"
	CodeTicketUnknown    = "ticket_unknown"
	CodeTicketExpired    = "ticket_expired"
	CodeTicketOwnerGone  = "ticket_owner_gone"
	CodeTicketInProgress = "ticket_in_progress"
	CodeTicketSpent      = "ticket_spent"
)

// Error is the body of every refusal or failure sent to a caller.
type Error struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail follows the error object of the completions protocol, with the
// outcome added.
type ErrorDetail struct {
	Code    string  `json:"code"`
	Message string  `json:"message"`
	Param   string  `json:"param,omitempty"`
	Outcome Outcome `json:"outcome"`
	// RetryAfterSeconds is how long to wait before asking again; 0 when
	// asking again would not help.
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
	// Elsewhere lists entries to go to instead, where this one is stopping.
	Elsewhere []string `json:"elsewhere,omitempty"`
}

// CompletionRequest is a caller's prompt.
type CompletionRequest struct {
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// Temperature and TopP are passed on to the engine as they are.
	Temperature *float64 `json:"temperature,omitempty"`
	TopP        *float64 `json:"top_p,omitempty"`
	// Seed makes sampling repeatable, so that an answer can be resumed on
	// another engine.
	Seed uint64 `json:"seed,omitempty"`
}

// CompletionChunk is one server-sent event of an answer. Offset is the number
// of answer tokens before this chunk.
type CompletionChunk struct {
	ID        string             `json:"id"`
	AttemptID string             `json:"attempt_id,omitempty"`
	Offset    int                `json:"offset"`
	Choices   []CompletionChoice `json:"choices"`
	Usage     *CompletionUsage   `json:"usage,omitempty"`
	Error     *ErrorDetail       `json:"error,omitempty"`
}

// CompletionChoice carries the text of a chunk; each chunk has exactly one.
type CompletionChoice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
	// Tokens is how many answer tokens Text holds.
	Tokens       int    `json:"tokens"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// CompletionUsage counts tokens; present on the last chunk only.
type CompletionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// DoneMarker is the data of the event that ends a whole stream.
const DoneMarker = "[DONE]"

// BytesPerToken is the fixed ratio by which prompt tokens are estimated from
// the length of the prompt's text.
const BytesPerToken = 4

// EstimatePromptTokens estimates the tokens of a prompt of n bytes, at least 1.
func EstimatePromptTokens(promptBytes int) int {
	return max(1, (promptBytes+BytesPerToken-1)/BytesPerToken)
}

// ParseSeconds reads a decimal number of seconds. The result is negative or
// zero only when the text says so.
func ParseSeconds(text string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, err
	}
	const maxSeconds = float64(1<<62) / float64(time.Second)
	if seconds != seconds || seconds > maxSeconds || seconds < -maxSeconds {
		return 0, strconv.ErrRange
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// FormatSeconds is the inverse of ParseSeconds, to the millisecond.
func FormatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// HTTPStatus gives the HTTP status for an error code.
func HTTPStatus(code string) int {
	switch code {
	case CodeBadRequest, CodePromptTooLong, CodeDeadlinePast, CodeTicketRequired, CodeTicketUnknown:
		return http.StatusBadRequest
	case CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeUnknownOrganisation:
		return http.StatusUnauthorized
	case CodeModelNotAllowed:
		return http.StatusForbidden
	case CodeUnknownModel, CodeUnknownService:
		return http.StatusNotFound
	case CodeOrganisationLimit:
		return http.StatusTooManyRequests
	case CodeTicketExpired, CodeTicketOwnerGone, CodeTicketInProgress, CodeTicketSpent:
		return http.StatusConflict
	case CodeDeadlineExceeded:
		return http.StatusGatewayTimeout
	case CodeUpstreamFailed:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// Package api defines the wire types, paths and headers that sapphireramp exchanges with callers,
// upstreams and the platform, and between its own instances. It contains no logic except
// conversions; types that stay within a process are in the packages that use them.
//
// An entry is a process that accepts requests of callers and sends them to upstreams: engines, which
// run models, or other services. The keeper of an engine is the entry that grants the engine's KV
// memory to requests. Memory that an engine has set aside for a request is a hold.
//
// There are two kinds of entry. Those started with `sapphireramp gateway` run on the users' platform:
// they read its settings, configuration and instance registrations through package platform. Those
// started with `sapphireramp entry` have a settings file in this project's format, and fetch the
// configuration document and the instance list over HTTP, at PathConfig and PathInstances, from what
// the comments call just "the platform". The comment of a field that only one kind of entry sets says so.
package api

import (
	"net/http"
	"strconv"
	"time"
)

// Names of the headers in messages to and from callers and upstreams.
const (
	// HeaderTimeout is the caller's time limit for a request in decimal seconds, counted from the
	// arrival of the request. It is a duration, so clocks need not agree.
	HeaderTimeout = "X-Request-Timeout"
	// HeaderIdempotencyKey is the value of Ticket.Ticket, on a request that may run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRepeatable is "false" on a request that may run at most once, so that it must not be
	// sent to an upstream a second time.
	HeaderRepeatable = "X-Repeatable"
	// HeaderRequestID is the id of a request: 128 random bits.
	HeaderRequestID = "X-Request-Id"
	// HeaderAttemptID is the id of one attempt of a request: 128 random bits.
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderOwner is the name of the entry that sends an attempt or requests a hold, as
	// EngineHold.Owner reports it.
	HeaderOwner = "X-Owner"
	// HeaderOwnerIncarnation is the incarnation of the entry in HeaderOwner.
	HeaderOwnerIncarnation = "X-Owner-Incarnation"
	// HeaderPriority is the scheduling priority at the engine: an integer, where a higher one is
	// scheduled first.
	HeaderPriority = "X-Priority"
	// HeaderResumeFrom is the number of answer tokens that the caller has already received, on an
	// attempt that resumes an interrupted answer. The engine continues after them.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderGroupHolds lists, separated by commas, the ids of the holds whose memory a request may
	// use at a group of engines, which hold the shards of one long prompt together.
	HeaderGroupHolds = "X-Group-Holds"
	// HeaderOutcome is the Outcome of the request, in responses to callers.
	HeaderOutcome = "X-Outcome"
	// HeaderForwardedByEntry is the name of the entry that forwarded the request to this one. A
	// request with this header is not forwarded again.
	HeaderForwardedByEntry = "X-Forwarded-By-Entry"
	// HeaderStarted is "false" on an error response if the upstream confirms that it did not start
	// the request.
	HeaderStarted = "X-Started"
)

// Outcome states whether an upstream executed a request, as reported to the caller.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeAnswered means that an upstream executed and answered the request.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no upstream executed the request: it was sent to none, or those that
	// it was sent to confirmed that they did not start it.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request was sent to an upstream, and that the upstream may or
	// may not have executed it.
	OutcomeUnknown Outcome = "unknown"
)

// Codes of errors sent to callers; HTTPStatus returns the status of each.
const (
	CodeBadRequest          = "bad_request"
	CodeBodyTooLarge        = "body_too_large"
	CodeUnknownOrganisation = "unknown_organisation"
	CodeUnknownModel        = "unknown_model"
	CodeUnknownService      = "unknown_service"
	CodeModelNotAllowed     = "model_not_allowed"
	CodePromptTooLong       = "prompt_too_long"
	// CodeDeadlinePast is for a request that arrives with a time limit of 0 or less.
	CodeDeadlinePast = "deadline_past"
	// CodeDeadlineExceeded is for a request whose time limit ended before its answer.
	CodeDeadlineExceeded = "deadline_exceeded"
	// CodeOverloaded is for a request for which the entry or the engines have no capacity.
	CodeOverloaded = "overloaded"
	// CodeOrganisationLimit is for a request of an organisation that already has its maximum number
	// of requests in flight.
	CodeOrganisationLimit = "organisation_limit"
	// CodeNoUpstream is for a request that no upstream can accept or answer in time.
	CodeNoUpstream     = "no_upstream"
	CodeUpstreamFailed = "upstream_failed"
	// CodeQuarantined is for a request that crashes the upstreams that run it.
	CodeQuarantined = "quarantined"
	// CodeStopping is for a request at an entry that is shutting down.
	CodeStopping = "stopping"
	// CodeNotReady is for a request at an entry that has no configuration yet.
	CodeNotReady = "not_ready"
	// CodeTicketRequired is for a request that may run at most once and has no ticket.
	CodeTicketRequired = "ticket_required"
	CodeTicketUnknown  = "ticket_unknown"
	CodeTicketExpired  = "ticket_expired"
	// CodeTicketOwnerGone is for a ticket whose issuing entry can't be reached or has restarted
	// since it issued the ticket.
	CodeTicketOwnerGone = "ticket_owner_gone"
	// CodeTicketInProgress is for a ticket whose request is still running.
	CodeTicketInProgress = "ticket_in_progress"
	// CodeTicketSpent is for a ticket whose request has ended and whose answer is no longer stored.
	CodeTicketSpent = "ticket_spent"
)

// Error is the body of every error response to a caller.
type Error struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes why a request failed. It has the fields of the error object of the completions
// protocol, and in addition the outcome and hints for a retry.
type ErrorDetail struct {
	// Code is one of the Code constants.
	Code    string `json:"code"`
	Message string `json:"message"`
	// Param is the name of the invalid parameter or header; empty if none is invalid.
	Param   string  `json:"param,omitempty"`
	Outcome Outcome `json:"outcome"`
	// RetryAfterSeconds is the time in seconds that the caller should wait before a retry; 0 if a retry
	// would not help.
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
	// Elsewhere lists the addresses of other entries that accept callers; empty unless this entry
	// is shutting down.
	Elsewhere []string `json:"elsewhere,omitempty"`
}

// CompletionRequest is a caller's request to complete a prompt.
type CompletionRequest struct {
	Model string `json:"model"`
	// Adapter is the name of the adapter of the model to use; empty for none.
	Adapter string `json:"adapter,omitempty"`
	Prompt  string `json:"prompt"`
	// MaxTokens is the maximum length of the answer in tokens.
	MaxTokens int `json:"max_tokens"`
	// Stream is true if the answer is to be sent as server-sent events.
	Stream bool `json:"stream"`
	// Temperature and TopP are sampling parameters, forwarded to the engine unchanged; nil if not set
	// by the caller.
	Temperature *float64 `json:"temperature,omitempty"`
	TopP        *float64 `json:"top_p,omitempty"`
	// Seed makes sampling deterministic, so that another engine can resume the answer. If the caller
	// sets none (0), the entry chooses a random seed before it sends the request to an engine.
	Seed uint64 `json:"seed,omitempty"`
}

// CompletionChunk is the data of one server-sent event of an answer.
type CompletionChunk struct {
	// ID is the id of the request, AttemptID that of the attempt that generated the chunk.
	ID        string `json:"id"`
	AttemptID string `json:"attempt_id,omitempty"`
	// Offset is the number of answer tokens before this chunk.
	Offset  int                `json:"offset"`
	Choices []CompletionChoice `json:"choices"`
	// Usage is nil except in the last chunk.
	Usage *CompletionUsage `json:"usage,omitempty"`
	// Error is why the stream ends early; nil if it does not.
	Error *ErrorDetail `json:"error,omitempty"`
}

// CompletionChoice holds the text of a chunk. Each chunk has exactly one choice.
type CompletionChoice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
	// Tokens is the number of answer tokens in Text.
	Tokens int `json:"tokens"`
	// FinishReason is why the answer ends; empty before the last chunk.
	FinishReason string `json:"finish_reason,omitempty"`
}

// CompletionUsage holds the numbers of tokens in the prompt and in the answer of a request.
type CompletionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// DoneMarker is the data of the last event of a complete stream.
const DoneMarker = "[DONE]"

// BytesPerToken is the assumed number of bytes of text per token, from which the length of a prompt
// in tokens is estimated.
const BytesPerToken = 4

// EstimatePromptTokens returns the estimated number of tokens in a prompt of promptBytes bytes. It is
// at least 1.
func EstimatePromptTokens(promptBytes int) int {
	return max(1, (promptBytes+BytesPerToken-1)/BytesPerToken)
}

// ParseSeconds parses a decimal number of seconds. It returns an error for text that is no number, and
// strconv.ErrRange for NaN and for numbers whose magnitude is too large for a time.Duration, which
// could otherwise overflow to a duration of the wrong sign.
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

// FormatSeconds formats a duration as decimal seconds with three decimal places, as ParseSeconds reads
// it.
func FormatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// HTTPStatus returns the HTTP status of an error response with the given code, one of the Code
// constants. It returns 503 for unknown codes and those without a more specific status.
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

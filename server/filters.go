package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/admitter"
	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/asserter"
)

// deadlineSlack is the time after a request's deadline within which the rest of its answer, or its error,
// may still be written to the caller.
const deadlineSlack = 250 * time.Millisecond

// handler returns the entry's HTTP handler.
func (s *Server) handler() http.Handler {
	complete := chain(s.complete, s.writeOutcome, s.recoverPanic, s.checkServing, s.authenticate, s.parseOptions, s.admit, s.decodePrompt, s.atMostOnce)
	call := chain(s.callService, s.writeOutcome, s.recoverPanic, s.checkServing, s.authenticate, s.parseOptions, s.findCall, s.admit, s.readCall, s.atMostOnce)
	ticket := chain(s.issueTicket, s.writeOutcome, s.recoverPanic, s.checkServing, s.authenticate)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathCompletions, s.httpHandler(complete))
	mux.HandleFunc("POST "+api.PathServices+"{service}/{call}", s.httpHandler(call))
	mux.HandleFunc("POST "+api.PathTickets, s.httpHandler(ticket))
	mux.HandleFunc("GET "+api.PathAddresses, s.handleAddresses)
	mux.HandleFunc("GET "+api.PathStatus, s.handleStatus)
	mux.HandleFunc("GET "+api.PathHealth, s.handleHealth)
	mux.HandleFunc("GET "+api.PathReady, s.handleReady)
	mux.Handle("GET "+api.PathMetrics, s.config.MetricsHandler)
	return mux
}

func (s *Server) httpHandler(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_ = h(&exchange{
			server: s, writer: w, request: r, id: newID(), arrived: time.Now(),
			view: s.current.Load(), repeatable: true, ctx: r.Context(),
		})
	}
}

// writeOutcome is a filter that writes the error of a failed request to the caller, and logs and counts every
// request. It returns nil.
func (s *Server) writeOutcome(next handler) handler {
	return func(x *exchange) *failure {
		f := next(x)
		outcome := api.OutcomeAnswered
		code := "ok"
		if f != nil {
			outcome, code = x.outcome(f), f.code
			s.asserter.Check(outcome != api.OutcomeNotRun || x.unresolvedAttempts == 0, asserter.NotRunAfterSend, "request %s: %s", x.id, code)
			x.writeFailure(f)
		}
		s.metrics.requests.Tagged(map[string]string{"outcome": string(outcome), "code": code}).Counter("total").Inc(1)
		organisation := ""
		if x.organisation != nil {
			organisation = x.organisation.Name
		}
		fields := []zap.Field{
			zap.String("request", x.id), zap.String("path", x.request.URL.Path), zap.String("organisation", organisation),
			zap.String("outcome", string(outcome)), zap.String("code", code), zap.Duration("took_ms", time.Since(x.arrived)),
		}
		if f != nil {
			fields = append(fields, zap.Error(f))
		}
		s.logs.entry.Info("request", fields...)
		if x.bodyStalled {
			// The refusal was sent completely. Without this panic, http.Server would wait for the rest of
			// the body without limit, and so would a shutdown.
			panic(http.ErrAbortHandler)
		}
		return nil
	}
}

// writeFailure writes a failure to the caller as the response, or as the last event of a stream that has
// begun. It does nothing if a failure has been written for the request before.
func (x *exchange) writeFailure(f *failure) {
	if x.failureWritten {
		return
	}
	x.failureWritten = true
	// If this process was suspended, the deadline may be long past. The caller still gets the failure,
	// within deadlineSlack from now.
	connection := http.NewResponseController(x.writer)
	_ = connection.SetWriteDeadline(time.Now().Add(deadlineSlack))
	detail := x.errorDetail(f)
	if x.answerBegun {
		x.writeEvent(api.CompletionChunk{ID: x.id, Choices: []api.CompletionChoice{}, Error: &detail})
		return
	}
	if !x.bodyRead {
		_ = connection.EnableFullDuplex()
		defer x.discardBody(connection)
	}
	h := x.writer.Header()
	h.Set("Content-Type", "application/json")
	h.Set(api.HeaderOutcome, string(detail.Outcome))
	h.Set(api.HeaderRequestID, x.id)
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	var body bytes.Buffer
	_ = json.NewEncoder(&body).Encode(api.Error{Error: detail})
	h.Set("Content-Length", strconv.Itoa(body.Len())) // the flush then sends the complete response
	x.writer.WriteHeader(api.HTTPStatus(f.code))
	_, _ = x.writer.Write(body.Bytes())
}

const (
	// After a refusal, at most maxDiscardedBytes of the unread body are read and discarded, for at most
	// discardTimeout.
	maxDiscardedBytes = 64 << 20
	discardTimeout    = 2 * time.Second
)

// discardBody flushes a refusal and then reads and discards what the caller is still sending. Closing a
// connection with unread bytes resets it, and the caller could lose the refusal.
func (x *exchange) discardBody(connection *http.ResponseController) {
	_ = connection.Flush()
	_ = connection.SetReadDeadline(time.Now().Add(discardTimeout))
	_, err := io.CopyN(io.Discard, x.request.Body, maxDiscardedBytes)
	if err != io.EOF {
		x.bodyStalled = true // the read deadline stays set, as http.Server reads once more
		return
	}
	_ = connection.SetReadDeadline(time.Time{})
}

func (s *Server) recoverPanic(next handler) handler {
	return func(x *exchange) (f *failure) {
		defer func() {
			r := recover()
			if r == http.ErrAbortHandler {
				panic(r)
			}
			if r != nil {
				s.logs.entry.Error("panic", zap.String("request", x.id), zap.Any("value", r), zap.ByteString("stack", debug.Stack()))
				f = newFailure(api.CodeUpstreamFailed, "internal error")
				f.outcome = api.OutcomeUnknown // whatever was counted before the panic
			}
		}()
		return next(x)
	}
}

// checkServing is a filter that refuses requests before this entry is ready and while it is shutting down.
// An entry that is shutting down still serves requests with tickets that it issued, as no other entry can
// spend them. It has the connection closed after each answer: one left open would be closed when the entry
// exits, possibly with a request already sent on it.
func (s *Server) checkServing(next handler) handler {
	return func(x *exchange) *failure {
		if x.view.stopping {
			x.writer.Header().Set("Connection", "close")
		}
		if !x.view.ready || x.view.accepted == nil {
			f := newFailure(api.CodeNotReady, "this entry has not received the configuration in force yet")
			f.retryAfter = s.retryAfter()
			return f
		}
		ownTicket := strings.HasPrefix(x.request.Header.Get(api.HeaderIdempotencyKey), s.settings.Name+".")
		if x.view.stopping && !ownTicket {
			f := newFailure(api.CodeStopping, "this entry is shutting down")
			for _, e := range x.view.acceptingEntries {
				f.elsewhere = append(f.elsewhere, e.Address.String())
			}
			f.retryAfter = stoppingRetryAfter
			return f
		}
		return next(x)
	}
}

// stoppingRetryAfter is the Retry-After of a refusal by an entry that is shutting down. It is short, as the
// caller can turn to another entry at once.
const stoppingRetryAfter = 100 * time.Millisecond

// retryAfter returns a random time for the Retry-After header of a refused request, so that callers do not
// all retry at the same time. It is 1 s if the control goroutine has ended.
func (s *Server) retryAfter() time.Duration {
	d := time.Second
	s.onControl(func(c *control) { d = c.admitter.RetryAfter() })
	return d
}

// authenticate is a filter that sets the exchange's organisation by the bearer key in the Authorization
// header. It refuses requests without a key or with one that belongs to no organisation.
func (s *Server) authenticate(next handler) handler {
	return func(x *exchange) *failure {
		key, bearer := strings.CutPrefix(x.request.Header.Get("Authorization"), "Bearer ")
		if !bearer || key == "" {
			f := newFailure(api.CodeUnknownOrganisation, "Authorization: a bearer key is required")
			f.param = "Authorization"
			return f
		}
		o, ok := x.view.accepted.OrganisationByKey(key)
		if !ok {
			f := newFailure(api.CodeUnknownOrganisation, "Authorization: the key belongs to no organisation")
			f.param = "Authorization"
			return f
		}
		x.organisation = o
		return next(x)
	}
}

// parseOptions is a filter that reads the time limit from api.HeaderTimeout and the repeatable flag from
// api.HeaderRepeatable. It refuses requests with an invalid value of either.
func (s *Server) parseOptions(next handler) handler {
	return func(x *exchange) *failure {
		if value := x.request.Header.Get(api.HeaderTimeout); value != "" {
			timeout, err := api.ParseSeconds(value)
			if err != nil {
				return badParam(api.HeaderTimeout, value, "a decimal number of seconds")
			}
			x.timeout, x.timeoutGiven = timeout, true
		}
		switch value := x.request.Header.Get(api.HeaderRepeatable); value {
		case "", "true":
		case "false":
			x.repeatable = false
		default:
			return badParam(api.HeaderRepeatable, value, `"true" or "false"`)
		}
		return next(x)
	}
}

func badParam(param, value, want string) *failure {
	f := newFailure(api.CodeBadRequest, "%s: %.100q: must be %s", param, value, want)
	f.param = param
	return f
}

// bodyCopies is the number of times that a body is held: as it arrived, decoded, and encoded for an upstream.
const bodyCopies = 3

// readBody reads the request body. It fails if the body is longer than the setting Callers.MaxBody, if there is no memory
// for it, or if it is not complete at the request's deadline, so that a caller that stops sending does not stay in flight
// for longer. The caller must close x.memory.
func (x *exchange) readBody() *failure {
	limit := x.server.settings.Callers.MaxBody
	connection := http.NewResponseController(x.writer)
	_ = connection.SetReadDeadline(x.deadline)
	defer func() { _ = connection.SetReadDeadline(time.Time{}) }()
	x.memory = x.server.account.Open(x.organisation.Name, accountant.Request)
	body, err := accountant.ReadAll(x.memory, x.request.Body, x.request.ContentLength, limit, bodyCopies)
	var tooLarge accountant.TooLargeError
	if errors.As(err, &tooLarge) {
		return newFailure(api.CodeBodyTooLarge, "body: must be at most %d bytes", limit)
	}
	if errors.Is(err, accountant.ErrNoMemory) {
		f := newFailure(api.CodeOverloaded, "this entry is short of memory for the body")
		f.retryAfter, f.err = x.server.account.RetryAfter(bodyCopies*max(0, x.request.ContentLength)), err
		return f
	}
	if err != nil && x.remaining() <= 0 {
		return newFailure(api.CodeDeadlineExceeded, "the time limit passed before the body was read")
	}
	if err != nil {
		f := newFailure(api.CodeBadRequest, "body: could not be read completely")
		f.err = err
		return f
	}
	x.body, x.bodyRead = body, true
	return nil
}

// DecodeCompletionRequest decodes the JSON body of a completion request. Unknown fields and trailing data are errors.
// The error names the invalid field if the fault is in one.
func DecodeCompletionRequest(body []byte) (*api.CompletionRequest, error) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	var r api.CompletionRequest
	if err := d.Decode(&r); err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, fmt.Errorf("body: must be one JSON object")
	}
	return &r, nil
}

// decodePrompt is a filter that reads the body of a completion request and refuses it unless its model,
// adapter, prompt and token limit are valid by the configuration document.
func (s *Server) decodePrompt(next handler) handler {
	return func(x *exchange) *failure {
		defer func() { x.memory.Close() }()
		if f := x.readBody(); f != nil {
			return f
		}
		r, err := DecodeCompletionRequest(x.body)
		if err != nil {
			return newFailure(api.CodeBadRequest, "%s", err)
		}
		x.completion = r
		if f := x.checkPrompt(r); f != nil {
			return f
		}
		return next(x)
	}
}

func (x *exchange) checkPrompt(r *api.CompletionRequest) *failure {
	model, ok := x.view.accepted.Model(r.Model)
	if !ok {
		f := newFailure(api.CodeUnknownModel, "model: %.100q: no such model", r.Model)
		f.param = "model"
		return f
	}
	if !slices.Contains(x.organisation.Models, r.Model) {
		f := newFailure(api.CodeModelNotAllowed, "model: %q: not allowed for the organisation", r.Model)
		f.param = "model"
		return f
	}
	if r.Adapter != "" && !slices.Contains(model.Adapters, r.Adapter) {
		return badParam("adapter", r.Adapter, "an adapter of the model")
	}
	if r.Prompt == "" {
		return badParam("prompt", "", "at least one byte")
	}
	limits := x.view.accepted.Document.Limits
	if r.MaxTokens < 1 || r.MaxTokens > limits.MaxNewTokens {
		return badParam("max_tokens", strconv.Itoa(r.MaxTokens), fmt.Sprintf("1 to %d", limits.MaxNewTokens))
	}
	tokens := api.EstimatePromptTokens(len(r.Prompt))
	if tokens > limits.MaxPromptTokens {
		f := newFailure(api.CodePromptTooLong, "prompt: %d tokens: must be at most %d", tokens, limits.MaxPromptTokens)
		f.param = "prompt"
		return f
	}
	return nil
}

// findCall is a filter that sets the service and the call from the request path. It refuses calls that the
// configuration document does not list or does not allow for the organisation. A call is repeatable only if
// both the document and the caller permit it.
func (s *Server) findCall(next handler) handler {
	return func(x *exchange) *failure {
		name, call := x.request.PathValue("service"), x.request.PathValue("call")
		service, ok := x.view.accepted.Service(name)
		if !ok || !slices.Contains(x.organisation.Services, name) {
			return newFailure(api.CodeUnknownService, "service: %.100q: unknown, or not allowed for the organisation", name)
		}
		repeatable, ok := service.IsRepeatable(call)
		if !ok {
			return newFailure(api.CodeUnknownService, "call: %.100q: no such call of service %s", call, name)
		}
		x.service, x.callName = service, call
		x.repeatable = x.repeatable && repeatable
		return next(x)
	}
}

// readCall is a filter that reads the body of a service call.
func (s *Server) readCall(next handler) handler {
	return func(x *exchange) *failure {
		defer func() { x.memory.Close() }()
		if f := x.readBody(); f != nil {
			return f
		}
		return next(x)
	}
}

// admit is a filter that sets the request's deadline and counts the request as in flight until it ends, or
// refuses it if too many requests are in flight at this entry. It precedes the filters that read the body,
// so that the number of bodies in memory is bounded too.
func (s *Server) admit(next handler) handler {
	return func(x *exchange) *failure {
		limits := x.view.accepted.Document.Limits
		var refusal *admitter.Refusal
		s.onControl(func(c *control) {
			x.deadline, refusal = c.admitter.Admit(time.Now(), admitter.Limits{
				MaxInFlight: limits.MaxInFlight, MaxTimeout: limits.MaxTimeout, DefaultTimeout: limits.DefaultTimeout,
			}, admitter.Request{
				ID: x.id, Organisation: x.organisation.Name, OrganisationLimit: x.organisation.MaxInFlight,
				Timeout: x.timeout, HasTimeout: x.timeoutGiven,
			})
		})
		if refusal != nil {
			return &failure{code: refusal.Code, message: refusal.Message, retryAfter: refusal.RetryAfter}
		}
		defer s.releaseRequest(x)
		ctx := x.request.Context()
		if !x.repeatable {
			// The answer is kept for a caller that presents the ticket again, so the request continues
			// after this caller disconnects.
			ctx = context.WithoutCancel(ctx)
		}
		var cancel context.CancelFunc
		x.ctx, cancel = context.WithDeadline(ctx, x.deadline)
		defer cancel()
		// A caller that stops reading does not occupy the request past its deadline.
		_ = http.NewResponseController(x.writer).SetWriteDeadline(x.deadline.Add(deadlineSlack))
		return next(x)
	}
}

func (s *Server) releaseRequest(x *exchange) {
	s.onControl(func(c *control) {
		present, late := c.admitter.Release(time.Now(), x.id)
		s.asserter.Check(present, asserter.LeakedFlight, "request %s was released twice", x.id)
		s.asserter.Check(late <= deadlineSlack || c.hasJustResumed(time.Now()), asserter.OutlivedLimit, "request %s: released %s after its deadline", x.id, late)
	})
}

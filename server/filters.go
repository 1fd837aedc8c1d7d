package server

import (
	"bytes"
	"context"
	"encoding/json"
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

	"github.com/sapphireramp/sapphireramp/admitter"
	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/asserter"
)

// deadlineSlack is how long after its limit the last of an answer or refusal
// may still be on its way to the caller.
const deadlineSlack = 250 * time.Millisecond

// handler returns the entry's HTTP interface.
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

// writeOutcome writes the error of a request that failed, and logs every request.
func (s *Server) writeOutcome(next handler) handler {
	return func(x *exchange) *failure {
		f := next(x)
		outcome := api.Answered
		code := "ok"
		if f != nil {
			outcome, code = x.outcome(f), f.code
			s.asserter.Check(outcome != api.NotRun || x.unresolvedAttempts == 0, asserter.NotRunAfterSend, "request %s: %s", x.id, code)
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
			// The refusal was sent whole. Without this, http.Server waits for
			// the rest of the body with no limit, and so does a stop.
			panic(http.ErrAbortHandler)
		}
		return nil
	}
}

// writeFailure writes a failure to the caller: as the response, or as the last
// event of an answer that has begun.
func (x *exchange) writeFailure(f *failure) {
	if x.failureWritten {
		return
	}
	x.failureWritten = true
	// After a pause the limit may be long past; the caller is told all the
	// same, within the slack from now.
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
	h.Set("Content-Length", strconv.Itoa(body.Len())) // the flush sends it whole
	x.writer.WriteHeader(api.StatusCode(f.code))
	_, _ = x.writer.Write(body.Bytes())
}

const (
	// maxDiscardedBytes is how much of an unread body is read after a refusal, and
	// dropTime for how long.
	maxDiscardedBytes = 64 << 20
	discardTimeout    = 2 * time.Second
)

// discardBody sends a refusal off and reads what the caller is still sending: a
// connection closed on unread bytes is reset, and the refusal lost with it.
func (x *exchange) discardBody(connection *http.ResponseController) {
	_ = connection.Flush()
	_ = connection.SetReadDeadline(time.Now().Add(discardTimeout))
	_, err := io.CopyN(io.Discard, x.request.Body, maxDiscardedBytes)
	if err != io.EOF {
		x.bodyStalled = true // the deadline stays: http.Server reads once more
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
			}
		}()
		return next(x)
	}
}

// checkServing refuses while this entry takes no callers. A stopping entry still
// serves the tickets that only it can spend. With each answer it has the caller
// leave the connection: one that stayed open would be closed at the entry's end,
// under a request that may be on its way.
func (s *Server) checkServing(next handler) handler {
	return func(x *exchange) *failure {
		if x.view.stopping {
			x.writer.Header().Set("Connection", "close")
		}
		if !x.view.ready || x.view.accepted == nil {
			f := newFailure(api.CodeNotReady, "this entry has yet to learn the configuration in force")
			f.retryAfter = s.retryAfter()
			return f
		}
		ownTicket := strings.HasPrefix(x.request.Header.Get(api.HeaderIdempotencyKey), s.settings.Name+".")
		if x.view.stopping && !ownTicket {
			f := newFailure(api.CodeStopping, "this entry is stopping")
			for _, e := range x.view.acceptingEntries {
				f.elsewhere = append(f.elsewhere, e.Address.String())
			}
			f.retryAfter = minRetryAfter
			return f
		}
		return next(x)
	}
}

// minRetryAfter is for refusals that another entry would not make.
const minRetryAfter = 100 * time.Millisecond

func (s *Server) retryAfter() time.Duration {
	d := time.Second
	s.onControl(func(c *control) { d = c.admitter.RetryAfter() })
	return d
}

// authenticate finds the organisation by its bearer key.
func (s *Server) authenticate(next handler) handler {
	return func(x *exchange) *failure {
		key, bearer := strings.CutPrefix(x.request.Header.Get("Authorization"), "Bearer ")
		if !bearer || key == "" {
			f := newFailure(api.CodeUnknownOrganisation, "Authorization: a bearer key is needed")
			f.param = "Authorization"
			return f
		}
		o, ok := x.view.accepted.OrganisationByKey(key)
		if !ok {
			f := newFailure(api.CodeUnknownOrganisation, "Authorization: the key is no organisation's")
			f.param = "Authorization"
			return f
		}
		x.organisation = o
		return next(x)
	}
}

// parseOptions reads the time limit and whether the request may be repeated.
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

// readBody reads the body within the request's limit. A caller that sends
// nothing more does not hold the request.
func (x *exchange) readBody() *failure {
	limit := x.server.settings.Callers.MaxBody
	connection := http.NewResponseController(x.writer)
	_ = connection.SetReadDeadline(x.deadline)
	defer func() { _ = connection.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(io.LimitReader(x.request.Body, limit+1))
	if int64(len(body)) > limit {
		return newFailure(api.CodeBodyTooLarge, "body: must be at most %d bytes", limit)
	}
	if err != nil && x.remaining() <= 0 {
		return newFailure(api.CodeDeadline, "the time limit passed before the body was read")
	}
	if err != nil {
		f := newFailure(api.CodeBadRequest, "body: could not be read whole")
		f.err = err
		return f
	}
	x.body, x.bodyRead = body, true
	return nil
}

// DecodePrompt reads a caller's prompt strictly. Errors name the field.
func DecodePrompt(body []byte) (*api.CompletionRequest, error) {
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

// decodePrompt reads a prompt and checks it against the document.
func (s *Server) decodePrompt(next handler) handler {
	return func(x *exchange) *failure {
		if f := x.readBody(); f != nil {
			return f
		}
		r, err := DecodePrompt(x.body)
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
		f := newFailure(api.CodeModelNotAllowed, "model: %q: not one of the organisation's", r.Model)
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
	tokens := api.PromptTokens(len(r.Prompt))
	if tokens > limits.MaxPromptTokens {
		f := newFailure(api.CodePromptTooLong, "prompt: %d tokens: must be at most %d", tokens, limits.MaxPromptTokens)
		f.param = "prompt"
		return f
	}
	return nil
}

// findCall finds the service and call in the document.
func (s *Server) findCall(next handler) handler {
	return func(x *exchange) *failure {
		name, call := x.request.PathValue("service"), x.request.PathValue("call")
		service, ok := x.view.accepted.Service(name)
		if !ok || !slices.Contains(x.organisation.Services, name) {
			return newFailure(api.CodeUnknownService, "service: %.100q: not one of the organisation's", name)
		}
		repeatable, ok := service.Repeatable(call)
		if !ok {
			return newFailure(api.CodeUnknownService, "call: %.100q: no such call of service %s", call, name)
		}
		x.service, x.callName = service, call
		x.repeatable = x.repeatable && repeatable
		return next(x)
	}
}

// readCall reads the body of a service call.
func (s *Server) readCall(next handler) handler {
	return func(x *exchange) *failure {
		if f := x.readBody(); f != nil {
			return f
		}
		return next(x)
	}
}

// admit takes the request into the table of those in flight, and sees that
// it leaves in time. It comes before the body is read, so that bodies in
// memory are bounded too.
func (s *Server) admit(next handler) handler {
	return func(x *exchange) *failure {
		limits := x.view.accepted.Document.Limits
		var refusal *admitter.Refusal
		s.onControl(func(c *control) {
			x.deadline, refusal = c.admitter.Admit(time.Now(), admitter.Limits{
				MaxInFlight: limits.MaxInFlight, MaxTimeout: limits.MaxTimeout, DefaultTimeout: limits.DefaultTimeout,
			}, admitter.Request{
				ID: x.id, Organisation: x.organisation.Name, OrganisationLimit: x.organisation.MaxInFlight,
				Timeout: x.timeout, Given: x.timeoutGiven,
			})
		})
		if refusal != nil {
			return &failure{code: refusal.Code, message: refusal.Message, retryAfter: refusal.RetryAfter}
		}
		defer s.releaseRequest(x)
		ctx := x.request.Context()
		if !x.repeatable {
			// The answer is kept for a caller that asks again, so the
			// request goes on when this one hangs up.
			ctx = context.WithoutCancel(ctx)
		}
		var cancel context.CancelFunc
		x.ctx, cancel = context.WithDeadline(ctx, x.deadline)
		defer cancel()
		// A caller that reads no more does not hold the request.
		_ = http.NewResponseController(x.writer).SetWriteDeadline(x.deadline.Add(deadlineSlack))
		return next(x)
	}
}

func (s *Server) releaseRequest(x *exchange) {
	s.onControl(func(c *control) {
		present, late := c.admitter.Release(time.Now(), x.id)
		s.asserter.Check(present, asserter.LeakedFlight, "request %s left twice", x.id)
		s.asserter.Check(late <= deadlineSlack || c.hasJustResumed(time.Now()), asserter.OutlivedLimit, "request %s: %s late", x.id, late)
	})
}

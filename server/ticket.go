package server

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/spender"
)

// inProgressRetryAfter is the Retry-After of a refusal if an earlier request with the same ticket is still
// running or the entry that issued the ticket did not answer.
const inProgressRetryAfter = time.Second

// issueTicket writes a new ticket to the caller. Only this incarnation of this entry can accept the ticket.
// An entry that is shutting down issues none.
func (s *Server) issueTicket(x *exchange) *failure {
	if x.view.stopping {
		return newFailure(api.CodeStopping, "this entry is shutting down")
	}
	var text string
	var err error
	s.onControl(func(c *control) { text, err = c.spender.Issue(time.Now()) })
	if err != nil {
		f := newFailure(api.CodeOverloaded, "no ticket could be issued")
		f.err, f.retryAfter = err, time.Second
		return f
	}
	writeJSON(x.writer, api.Ticket{Ticket: text, LifeSeconds: s.settings.Callers.TicketLife.Seconds()})
	return nil
}

// atMostOnce is a filter that requires a ticket of requests that may run at most once; it passes others on.
// It spends a ticket that this incarnation of this entry issued. Otherwise it forwards the request to the
// entry that issued the ticket, since only that one has the record of whether the ticket was spent.
func (s *Server) atMostOnce(next handler) handler {
	return func(x *exchange) *failure {
		if x.repeatable {
			return next(x)
		}
		key := x.request.Header.Get(api.HeaderIdempotencyKey)
		if key == "" {
			f := newFailure(api.CodeTicketRequired, "%s: a request that may run at most once needs a ticket from POST %s", api.HeaderIdempotencyKey, api.PathTickets)
			f.param = api.HeaderIdempotencyKey
			return f
		}
		ticket, err := spender.ParseTicket(key)
		if err != nil {
			f := newFailure(api.CodeTicketUnknown, "%s: not a ticket of this system", api.HeaderIdempotencyKey)
			f.param, f.err = api.HeaderIdempotencyKey, err
			return f
		}
		x.ticket = ticket
		if ticket.Owner != s.settings.Name || ticket.Incarnation != s.config.Incarnation {
			return s.forwardToOwner(x)
		}
		return s.spendTicket(x, next)
	}
}

// requestDigest returns the SHA-256 digest of the request's organisation, path and body. A spent ticket is
// bound to it, so that no other request can use the ticket.
func (x *exchange) requestDigest() [sha256.Size]byte {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\n%s\n", x.organisation.Name, x.request.URL.Path)
	h.Write(x.body)
	var sum [sha256.Size]byte
	copy(sum[:], h.Sum(nil))
	return sum
}

func (s *Server) spendTicket(x *exchange, next handler) *failure {
	var result spender.SpendResult
	var answer *spender.Answer
	var err error
	digest := x.requestDigest()
	s.onControl(func(c *control) { result, answer, err = c.spender.Spend(time.Now(), x.ticket, digest) })
	s.logs.route.Info("ticket", zap.String("request", x.id), zap.String("fate", result.String()))
	if err != nil {
		f := newFailure(api.CodeTicketUnknown, "%s: %s", api.HeaderIdempotencyKey, err)
		f.param = api.HeaderIdempotencyKey
		return f
	}
	switch result {
	case spender.Spent:
		return s.runWithTicket(x, next)
	case spender.Repeat:
		replayAnswer(x.writer, answer)
		return nil
	case spender.InProgress:
		f := newFailure(api.CodeTicketInProgress, "an earlier request with this ticket is still running")
		f.outcome, f.retryAfter = api.OutcomeUnknown, inProgressRetryAfter
		return f
	case spender.Ran:
		f := newFailure(api.CodeTicketSpent, "the ticket was spent and its answer is no longer kept")
		f.outcome = api.OutcomeUnknown
		return f
	case spender.Expired:
		return newFailure(api.CodeTicketExpired, "the ticket expired before it was spent")
	}
	return newFailure(api.CodeTicketUnknown, "the ticket was not issued by this entry")
}

func replayAnswer(w http.ResponseWriter, a *spender.Answer) {
	h := w.Header()
	h.Set("Content-Type", a.ContentType)
	h.Set(api.HeaderOutcome, a.Outcome)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// runWithTicket runs a request whose ticket was just spent, and keeps the answer or failure that was written
// to the caller, to be sent again. If the request certainly did not run, it makes the ticket usable again
// instead.
func (s *Server) runWithTicket(x *exchange, next handler) *failure {
	x.answerRecorder = &recorder{ResponseWriter: x.writer, limit: maxKeptAnswerBytes}
	x.writer = x.answerRecorder
	finished := false
	defer func() {
		if !finished { // a panic: the request may have run
			s.onControl(func(c *control) { c.spender.Finish(time.Now(), x.ticket, nil) })
		}
	}()
	f := next(x)
	finished = true
	outcome := api.OutcomeAnswered
	if f != nil {
		outcome = x.outcome(f)
		if outcome == api.OutcomeNotRun {
			s.onControl(func(c *control) { c.spender.Unspend(x.ticket) })
			return f
		}
		x.writeFailure(f)
	}
	answer := x.answerRecorder.answer(string(outcome))
	s.onControl(func(c *control) { c.spender.Finish(time.Now(), x.ticket, answer) })
	if f != nil {
		f.outcome = outcome
		return f
	}
	return nil
}

// recorder is an http.ResponseWriter that also keeps the status and the body that are written, unless the body
// is longer than limit bytes.
type recorder struct {
	http.ResponseWriter
	limit int
	// status is the HTTP status written; 0 before the header.
	status int
	body   bytes.Buffer
	// overflow is true if the body is longer than limit bytes. The answer is then not kept.
	overflow bool
}

func (r *recorder) WriteHeader(status int) {
	if r.status != 0 {
		return
	}
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write keeps the bytes and writes them to the caller. It ignores errors of the caller's connection, so that
// the answer is kept even if the caller has disconnected.
func (r *recorder) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if r.body.Len()+len(p) > r.limit {
		r.overflow = true
	} else if !r.overflow {
		r.body.Write(p)
	}
	_, _ = r.ResponseWriter.Write(p)
	return len(p), nil
}

// Unwrap returns the wrapped writer, which http.ResponseController needs to control the connection.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

func (r *recorder) answer(outcome string) *spender.Answer {
	if r.overflow || r.status == 0 {
		return nil
	}
	return &spender.Answer{Status: r.status, ContentType: r.Header().Get("Content-Type"), Outcome: outcome, Body: bytes.Clone(r.body.Bytes())}
}

// forwardToOwner forwards a request to the entry that issued its ticket and relays the answer. The request
// fails with api.CodeTicketOwnerGone, and runs nowhere, if an entry forwarded it before, or if the issuing
// entry is unknown or has restarted since, as far as this entry can see. It fails with the same code, but may
// have run, if the issuing entry does not answer.
func (s *Server) forwardToOwner(x *exchange) *failure {
	if x.request.Header.Get(api.HeaderForwardedByEntry) != "" {
		return ownerGoneFailure("the request was forwarded to an entry that did not issue its ticket")
	}
	owner, known := s.current.Load().members[x.ticket.Owner]
	switch {
	case x.ticket.Owner == s.settings.Name:
		return ownerGoneFailure("this entry has restarted since it issued the ticket")
	case !known || !owner.Address.IsValid():
		return ownerGoneFailure("the entry that issued the ticket is not known to this one")
	case owner.Incarnation > x.ticket.Incarnation:
		return ownerGoneFailure("the entry that issued the ticket has restarted since")
	}
	s.logs.route.Info("forward", zap.String("request", x.id), zap.String("entry", owner.Name), zap.String("reason", "ticket"))
	timeout := x.remaining()
	if timeout <= 0 {
		return newFailure(api.CodeDeadlineExceeded, "the time limit has passed")
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	url := "http://" + owner.Address.String() + x.request.URL.Path
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(x.ctx, trace), http.MethodPost, url, bytes.NewReader(x.body))
	if err != nil {
		return &failure{code: api.CodeBadRequest, message: "the request could not be forwarded", err: err}
	}
	for _, name := range []string{"Authorization", "Content-Type", api.HeaderIdempotencyKey, api.HeaderRepeatable} {
		if v := x.request.Header.Get(name); v != "" {
			r.Header.Set(name, v)
		}
	}
	r.Header.Set(api.HeaderTimeout, api.FormatSeconds(timeout))
	r.Header.Set(api.HeaderForwardedByEntry, s.settings.Name)
	response, err := s.entryClient.Do(r)
	if err != nil {
		f := ownerGoneFailure("the entry that issued the ticket did not answer")
		f.err, f.retryAfter = err, inProgressRetryAfter
		if connected {
			x.unresolvedAttempts++
		}
		return f
	}
	defer func() { _ = response.Body.Close() }()
	return x.relayResponse(response)
}

// ownerGoneFailure returns the failure for a ticket whose issuing entry can't be reached or has restarted
// since. The outcome is api.OutcomeUnknown, as an earlier request with the ticket may have run.
func ownerGoneFailure(message string) *failure {
	f := newFailure(api.CodeTicketOwnerGone, "%s: this request did not run; an earlier one with the ticket may have", message)
	f.outcome = api.OutcomeUnknown
	return f
}

// errAnswerCutOff reports that the response to a forwarded request ended before it was complete.
var errAnswerCutOff = errors.New("answer was cut off")

// relayResponse copies another entry's response to the caller as it arrives. If the response is cut off, the
// caller's connection is aborted too, so that the caller can't mistake the answer for complete.
func (x *exchange) relayResponse(response *http.Response) *failure {
	h := x.writer.Header()
	for _, name := range []string{"Content-Type", "Retry-After", api.HeaderOutcome, api.HeaderRequestID} {
		if v := response.Header.Get(name); v != "" {
			h.Set(name, v)
		}
	}
	x.writer.WriteHeader(response.StatusCode)
	controller := http.NewResponseController(x.writer)
	buffer := make([]byte, 32<<10)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			_, _ = x.writer.Write(buffer[:n])
			_ = controller.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			x.server.logs.route.Warn("forward_cut", zap.String("request", x.id), zap.Error(errAnswerCutOff), zap.NamedError("cause", err))
			panic(http.ErrAbortHandler)
		}
	}
}

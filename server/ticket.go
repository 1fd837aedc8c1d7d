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

// inProgressRetryAfter is when to ask again for the answer of a call in progress.
const inProgressRetryAfter = time.Second

// issueTicket gives a caller a ticket that this incarnation alone can spend.
func (s *Server) issueTicket(x *exchange) *failure {
	if x.view.stopping {
		return newFailure(api.CodeStopping, "this entry is stopping")
	}
	var text string
	var err error
	s.onControl(func(c *control) { text, err = c.spender.Issue(time.Now()) })
	if err != nil {
		f := newFailure(api.CodeOverloaded, "no ticket can be issued")
		f.err, f.retryAfter = err, time.Second
		return f
	}
	writeJSON(x.writer, api.Ticket{Ticket: text, LifeSeconds: s.settings.Callers.TicketLife.Seconds()})
	return nil
}

// atMostOnce sees that a request that may run at most once is spent in the memory
// of the one incarnation that issued its ticket, wherever it arrived.
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
		ticket, err := spender.Parse(key)
		if err != nil {
			f := newFailure(api.CodeTicketUnknown, "%s: no ticket of this system", api.HeaderIdempotencyKey)
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

// requestDigest names the request that a ticket is spent for.
func (x *exchange) requestDigest() [sha256.Size]byte {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\n%s\n", x.organisation.Name, x.request.URL.Path)
	h.Write(x.body)
	var sum [sha256.Size]byte
	copy(sum[:], h.Sum(nil))
	return sum
}

func (s *Server) spendTicket(x *exchange, next handler) *failure {
	var state spender.Fate
	var answer *spender.Answer
	var err error
	digest := x.requestDigest()
	s.onControl(func(c *control) { state, answer, err = c.spender.Spend(time.Now(), x.ticket, digest) })
	s.logs.route.Info("ticket", zap.String("request", x.id), zap.String("fate", state.String()))
	if err != nil {
		f := newFailure(api.CodeTicketUnknown, "%s: %s", api.HeaderIdempotencyKey, err)
		f.param = api.HeaderIdempotencyKey
		return f
	}
	switch state {
	case spender.Spent:
		return s.runWithTicket(x, next)
	case spender.Repeat:
		replayAnswer(x.writer, answer)
		return nil
	case spender.InProgress:
		f := newFailure(api.CodeTicketInProgress, "the request is running for an earlier call with this ticket")
		f.outcome, f.retryAfter = api.Unknown, inProgressRetryAfter
		return f
	case spender.Ran:
		f := newFailure(api.CodeTicketSpent, "the ticket was spent, and the answer is no longer kept")
		f.outcome = api.Unknown
		return f
	case spender.Expired:
		return newFailure(api.CodeTicketExpired, "the ticket was never spent and can no longer be")
	}
	return newFailure(api.CodeTicketUnknown, "the ticket is not this entry's")
}

func replayAnswer(w http.ResponseWriter, a *spender.Answer) {
	h := w.Header()
	h.Set("Content-Type", a.ContentType)
	h.Set(api.HeaderOutcome, a.Outcome)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// runWithTicket runs a request whose ticket was just spent, and keeps its answer.
// A request that truly did not run gives its ticket back.
func (s *Server) runWithTicket(x *exchange, next handler) *failure {
	x.answerRecorder = &recorder{ResponseWriter: x.writer, limit: maxKeptAnswerBytes}
	x.writer = x.answerRecorder
	finished := false
	defer func() {
		if !finished { // a panic: what ran is not known
			s.onControl(func(c *control) { c.spender.Finish(time.Now(), x.ticket, nil) })
		}
	}()
	f := next(x)
	finished = true
	outcome := api.Answered
	if f != nil {
		outcome = x.outcome(f)
		if outcome == api.NotRun {
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

// recorder keeps what is written to the caller.
type recorder struct {
	http.ResponseWriter
	limit    int
	status   int
	body     bytes.Buffer
	overflow bool
}

func (r *recorder) WriteHeader(status int) {
	if r.status != 0 {
		return
	}
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write keeps the bytes even when the caller has hung up.
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

// Unwrap lets a http.ResponseController reach the connection.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

func (r *recorder) answer(outcome string) *spender.Answer {
	if r.overflow || r.status == 0 {
		return nil
	}
	return &spender.Answer{Status: r.status, ContentType: r.Header().Get("Content-Type"), Outcome: outcome, Body: bytes.Clone(r.body.Bytes())}
}

// forwardToOwner passes a request to the incarnation that its ticket is bound to and
// relays the answer. It is passed on once only, and run by nobody else.
func (s *Server) forwardToOwner(x *exchange) *failure {
	if x.request.Header.Get(api.HeaderForwarded) != "" {
		return ownerGoneFailure("the ticket's entry is not the one it was issued by")
	}
	owner, known := s.current.Load().members[x.ticket.Owner]
	switch {
	case x.ticket.Owner == s.settings.Name:
		return ownerGoneFailure("the ticket was issued before this entry restarted")
	case !known || !owner.Address.IsValid():
		return ownerGoneFailure("the ticket's entry is not known here")
	case owner.Incarnation > x.ticket.Incarnation:
		return ownerGoneFailure("the ticket was issued before its entry restarted")
	}
	s.logs.route.Info("forward", zap.String("request", x.id), zap.String("entry", owner.Name), zap.String("reason", "ticket"))
	timeout := x.remaining()
	if timeout <= 0 {
		return newFailure(api.CodeDeadline, "the time limit has passed")
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	url := "http://" + owner.Address.String() + x.request.URL.Path
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(x.ctx, trace), http.MethodPost, url, bytes.NewReader(x.body))
	if err != nil {
		return &failure{code: api.CodeBadRequest, message: "the request could not be passed on", err: err}
	}
	for _, name := range []string{"Authorization", "Content-Type", api.HeaderIdempotencyKey, api.HeaderRepeatable} {
		if v := x.request.Header.Get(name); v != "" {
			r.Header.Set(name, v)
		}
	}
	r.Header.Set(api.HeaderTimeout, api.FormatSeconds(timeout))
	r.Header.Set(api.HeaderForwarded, s.settings.Name)
	response, err := s.singleUseClient.Do(r)
	if err != nil {
		f := ownerGoneFailure("the ticket's entry did not answer")
		f.err, f.retryAfter = err, inProgressRetryAfter
		if connected {
			x.unresolvedAttempts++
		}
		return f
	}
	defer func() { _ = response.Body.Close() }()
	return x.relayResponse(response)
}

// ownerGoneFailure says that the ticket can't be spent any more. Whether an earlier
// call with it ran is not known to anybody.
func ownerGoneFailure(message string) *failure {
	f := newFailure(api.CodeTicketOwnerGone, "%s: this call did not run; whether an earlier one did is not known", message)
	f.outcome = api.Unknown
	return f
}

// errAnswerCutOff is an answer that ended before it was whole.
var errAnswerCutOff = errors.New("answer was cut off")

// relayResponse passes on another entry's response as it comes. One that is cut off
// is cut off for the caller too, so that it is never taken for whole.
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

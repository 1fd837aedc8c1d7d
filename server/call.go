package server

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/asserter"
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/tunneler"
)

// callService sends a service call to one instance of the service after the other, up to maxAttempts, until
// one answers, and writes the whole answer to the caller. A call that may run at most once is sent again
// only if no byte of it was sent or the instance states that it never started the call. A call suspected of
// crashing instances is not sent again.
func (s *Server) callService(x *exchange) *failure {
	var tried []dispatcher.Instance
	x.fingerprint = fingerprintOf(x)
	for range maxAttempts {
		if f := cmp.Or(x.checkQuarantine(), x.checkUnavailable()); f != nil {
			return f
		}
		p, f := s.placeCall(x, tried)
		if f != nil {
			return f
		}
		tried = append(tried, p.First)
		s.logs.route.Info("route", zap.String("request", x.id), zap.String("organisation", x.organisation.Name),
			zap.String("service", x.service.Name), zap.String("call", x.callName), zap.String("instance", p.First.ID), zap.Int("running", p.Load.Running),
			zap.Bool("repeatable", x.repeatable), zap.Int("attempt", len(tried)))
		f = s.tryCall(x, p)
		if f == nil {
			s.quarantine.RecordSuccess(time.Now(), x.fingerprint)
			return nil
		}
		if x.ctx.Err() != nil || x.remaining() <= 0 {
			late := newFailure(api.CodeDeadlineExceeded, "the time limit has passed")
			late.retryAfter, late.err = s.retryAfter(), f.err
			return late
		}
		if !x.repeatable && x.unresolvedAttempts > 0 {
			return f
		}
		if x.isCrashSuspect() {
			f.retryAfter = s.retryAfter()
			return f
		}
	}
	f := newFailure(api.CodeUpstreamFailed, "no instance of service %s answered", x.service.Name)
	f.retryAfter = s.retryAfter()
	return f
}

// tryCall sends a service call to an instance and ends its placement, also if it panics.
func (s *Server) tryCall(x *exchange, p *dispatcher.Placement) (f *failure) {
	result := dispatcher.Abandoned
	defer func() { p.End(time.Now(), result) }()
	result, f = s.sendCall(x, p)
	return f
}

// slotsPerInstance is the number of calls that an instance of a service is assumed to run in parallel where
// the configuration document does not state it. With 16, a call goes to another data centre once each local
// instance runs about two calls more than the remote ones.
const slotsPerInstance = 16

// newCallDispatcher returns the dispatcher that places this entry's service calls.
func newCallDispatcher(dataCentre string) *dispatcher.Dispatcher {
	return dispatcher.NewUnreported(dataCentre, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// placeCall selects an instance of the call's service, preferably none of tried. It prefers instances in this
// data centre that have few calls of this entry in progress and on which few calls of this entry failed. It
// returns a failure if no instance can accept the call.
func (s *Server) placeCall(x *exchange, tried []dispatcher.Instance) (*dispatcher.Placement, *failure) {
	p, refusal := s.callDispatcher.Place(time.Now(), dispatcher.Demand{
		Service: x.service.Name, Avoid: tried, Organisation: apportioner.NewOrganisation(x.organisation.Name), Rank: rankOf(x.organisation.Rank), SentBefore: x.unresolvedAttempts > 0, MayHaveRun: x.unresolvedAttempts > 0,
	})
	if refusal == nil {
		return p, nil
	}
	return nil, s.callRefusal(x, refusal)
}

// callRefusal returns the failure for a call that the dispatcher refused. Where the reason is ReasonOverShare, its
// Retry-After is the dispatcher's, or the entry's own if that is 0.
func (s *Server) callRefusal(x *exchange, refusal *dispatcher.Refusal) *failure {
	if refusal.Reason != dispatcher.ReasonOverShare {
		f := newFailure(api.CodeNoUpstream, "no instance of service %s can accept the call now", x.service.Name)
		f.retryAfter, f.err = s.retryAfter(), refusal
		return f
	}
	s.metrics.overShare.Inc(1)
	s.logs.route.Info("over_share", zap.String("request", x.id), zap.String("organisation", x.organisation.Name), zap.Int("rank", x.organisation.Rank),
		zap.String("service", x.service.Name), zap.Duration("retry_after_ms", refusal.RetryAfter))
	f := newFailure(api.CodeOverloaded, "service %s is short of capacity, which is left to other organisations now", x.service.Name)
	f.retryAfter, f.err = cmp.Or(refusal.RetryAfter, s.retryAfter()), refusal
	return f
}

// sendCall sends a service call to the selected instance and writes the answer to the caller. It returns how
// the attempt ended, from which the dispatcher rates the instance, and a failure if nothing was written.
func (s *Server) sendCall(x *exchange, p *dispatcher.Placement) (dispatcher.PlacementResult, *failure) {
	client := s.trafficClient
	if !x.repeatable {
		client = s.singleUseClient
		s.asserter.Check(x.unresolvedAttempts == 0, asserter.SecondDispatch, "request %s", x.id)
	}
	request, err := x.callRequest(p.First)
	if err != nil {
		return dispatcher.Answered, &failure{code: api.CodeBadRequest, message: "the call could not be encoded", err: err}
	}
	if x.remaining() <= 0 {
		return dispatcher.Answered, newFailure(api.CodeDeadlineExceeded, "the time limit has passed")
	}
	x.unresolvedAttempts++
	x.interrupted = false
	attempt := attemptInfo{upstream: p.First.ID, address: p.First.Address.String(), sentAt: time.Now()}
	response, err := client.Do(request)
	if err != nil {
		f := newFailure(api.CodeUpstreamFailed, "service %s did not answer", x.service.Name)
		f.err = err
		var cutOff tunneler.CutOffError
		if x.connection == nil {
			x.unresolvedAttempts-- // no byte was sent to the service
		}
		if errors.As(err, &cutOff) {
			return dispatcher.Abandoned, f
		}
		if x.connection == nil {
			return dispatcher.Unreachable, f
		}
		var invalid connector.InvalidResponseError
		if !errors.As(err, &invalid) {
			x.detectCrash(x.ctx, attempt)
		}
		return x.unansweredResult(), f
	}
	defer func() { _ = response.Body.Close() }()
	attempt.answerStartedAt = time.Now()
	// An answer above Callers.MaxBody, or without memory for it, is not sent to the caller.
	body, err := accountant.ReadAll(x.memory, response.Body, response.ContentLength, s.settings.Callers.MaxBody, 1)
	var tooLarge accountant.TooLargeError
	if err != nil && !errors.As(err, &tooLarge) && !errors.Is(err, accountant.ErrNoMemory) {
		x.detectCrash(x.ctx, attempt)
	}
	if err != nil {
		f := newFailure(api.CodeUpstreamFailed, "the answer of service %s could not be read", x.service.Name)
		f.err = err
		return x.unansweredResult(), f
	}
	if response.Header.Get(api.HeaderStarted) == "false" {
		x.unresolvedAttempts--
		f := newFailure(api.CodeUpstreamFailed, "service %s refused", x.service.Name)
		f.err = fmt.Errorf("status %d", response.StatusCode)
		return dispatcher.NotRun, f
	}
	x.unresolvedAttempts--
	h := x.writer.Header()
	h.Set("Content-Type", response.Header.Get("Content-Type"))
	h.Set(api.HeaderOutcome, string(api.OutcomeAnswered))
	h.Set(api.HeaderRequestID, x.id)
	x.writer.WriteHeader(response.StatusCode)
	_, _ = x.writer.Write(body)
	if response.StatusCode >= http.StatusInternalServerError {
		return dispatcher.Failed, nil
	}
	p.RecordFirstByte(time.Now())
	return dispatcher.Answered, nil
}

// unansweredResult returns the dispatcher result of a call that got no answer. If the caller disconnected, or
// a link may be at fault, the missing answer does not count as a failure of the instance.
func (x *exchange) unansweredResult() dispatcher.PlacementResult {
	if errors.Is(x.ctx.Err(), context.Canceled) || x.isLinkAtFault() {
		return dispatcher.Abandoned
	}
	return dispatcher.Incomplete
}

// callRequest builds the HTTP request to a service instance. Once the transport has a connection, so that a
// byte of the request may have been sent, x.connection is set.
func (x *exchange) callRequest(i dispatcher.Instance) (*http.Request, error) {
	ctx := x.traceConnection(x.ctx)
	url := "http://" + i.Address.String() + x.request.URL.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(x.body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	if !x.repeatable {
		request.GetBody = nil // keeps the transport from resending the request by itself
	}
	request.Header.Set("Content-Type", x.request.Header.Get("Content-Type"))
	request.Header.Set(api.HeaderRequestID, x.id)
	return request, nil
}

package server

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/asserter"
)

// callService sends a call to an instance of a service and gives back its
// whole answer. A call that may not be repeated is sent again only where no
// byte of it left, or the instance says that it never started.
func (s *Server) callService(x *exchange) *failure {
	tried := map[string]bool{}
	x.content = contentOf(x)
	for range maxAttempts {
		if f := x.quarantined(); f != nil {
			return f
		}
		u, ok := s.chooseInstance(x, tried)
		if !ok {
			f := fail(api.CodeNoUpstream, "no instance of service %s can take the call now", x.service.Name)
			f.retryAfter = s.retryAfter()
			return f
		}
		tried[u.Name] = true
		s.logs.route.Info("route", zap.String("request", x.id), zap.String("organisation", x.organisation.Name),
			zap.String("service", x.service.Name), zap.String("call", x.call), zap.String("instance", u.Name),
			zap.Bool("repeatable", x.repeatable), zap.Int("attempt", len(tried)))
		f := s.sendCall(x, u)
		if f == nil {
			s.quarantine.Answered(time.Now(), x.content)
			return nil
		}
		if x.ctx.Err() != nil || x.left() <= 0 {
			late := fail(api.CodeDeadline, "the time limit has passed")
			late.retryAfter, late.err = s.retryAfter(), f.err
			return late
		}
		if !x.repeatable && x.pending > 0 {
			return f
		}
		if x.isSuspect() {
			f.retryAfter = s.retryAfter()
			return f
		}
	}
	f := fail(api.CodeUpstreamFailed, "no instance of service %s answered", x.service.Name)
	f.retryAfter = s.retryAfter()
	return f
}

// chooseInstance draws one of the instances that were not tried, of this data centre if it has any.
func (s *Server) chooseInstance(x *exchange, tried map[string]bool) (upstream, bool) {
	var near, far []upstream
	for _, u := range s.current.Load().services[x.service.Name] {
		switch {
		case tried[u.Name]:
		case u.DataCentre == s.settings.DataCentre:
			near = append(near, u)
		default:
			far = append(far, u)
		}
	}
	candidates := near
	if len(near) == 0 {
		candidates = far
	}
	if len(candidates) == 0 {
		return upstream{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

func (s *Server) sendCall(x *exchange, u upstream) *failure {
	client := s.traffic
	if !x.repeatable {
		client = s.single
		s.asserter.Check(x.pending == 0, asserter.SecondDispatch, "request %s", x.id)
	}
	request, connected, err := x.callRequest(u)
	if err != nil {
		return &failure{code: api.CodeBadRequest, message: "the call could not be encoded", err: err}
	}
	if x.left() <= 0 {
		return fail(api.CodeDeadline, "the time limit has passed")
	}
	x.pending++
	x.cut = false
	t := trial{upstream: u.Name, address: u.Address.String(), sent: time.Now()}
	response, err := client.Do(request)
	if err != nil {
		if *connected {
			x.noteEnd(x.ctx, t)
		} else {
			x.pending-- // no byte left for the service
		}
		f := fail(api.CodeUpstreamFailed, "service %s did not answer", x.service.Name)
		f.err = err
		return f
	}
	defer func() { _ = response.Body.Close() }()
	t.began = time.Now()
	body, err := readAnswer(response, s.settings.Callers.MaxBody)
	if err != nil && !errors.Is(err, errAnswerTooLarge) {
		x.noteEnd(x.ctx, t)
	}
	if err != nil {
		f := fail(api.CodeUpstreamFailed, "service %s broke off", x.service.Name)
		f.err = err
		return f
	}
	if response.Header.Get(api.HeaderStarted) == "false" {
		x.pending--
		f := fail(api.CodeUpstreamFailed, "service %s refused", x.service.Name)
		f.err = fmt.Errorf("status %d", response.StatusCode)
		return f
	}
	x.pending--
	h := x.writer.Header()
	h.Set("Content-Type", response.Header.Get("Content-Type"))
	h.Set(api.HeaderOutcome, string(api.Answered))
	h.Set(api.HeaderRequestID, x.id)
	x.writer.WriteHeader(response.StatusCode)
	_, _ = x.writer.Write(body)
	return nil
}

// callRequest makes the request to a service. The bool is set once a
// connection was had, so that a byte may have left.
func (x *exchange) callRequest(u upstream) (*http.Request, *bool, error) {
	connected := new(bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { *connected = true }}
	ctx := httptrace.WithClientTrace(x.ctx, trace)
	url := "http://" + u.Address.String() + x.request.URL.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(x.body))
	if err != nil {
		return nil, nil, fmt.Errorf("make request: %w", err)
	}
	if !x.repeatable {
		request.GetBody = nil // the transport can't send it again by itself
	}
	request.Header.Set("Content-Type", x.request.Header.Get("Content-Type"))
	request.Header.Set(api.HeaderRequestID, x.id)
	return request, connected, nil
}

// errAnswerTooLarge is an answer over the limit, which can't be given whole.
var errAnswerTooLarge = errors.New("answer is too large")

func readAnswer(response *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, errAnswerTooLarge
	}
	return body, nil
}

package server

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/asserter"
	"github.com/sapphireramp/sapphireramp/relayer"
	"github.com/sapphireramp/sapphireramp/router"
)

// maxEventBytes bounds one server-sent event of an engine.
const maxEventBytes = 1 << 20

// prefillTimeoutFactor multiplies the estimated prefill time in waiting for a first
// token, as the estimate may be off.
const prefillTimeoutFactor = 3

// engineAttempt is one attempt on an engine.
type engineAttempt struct {
	engine    *router.Engine
	attemptID string
	// holdIDs is the hold ids of a group, empty for one engine.
	holdIDs []string
	// groupSize is how many engines prefill together, 0 for one.
	groupSize int
}

// errSilent says that an engine's stream stopped without a word.
var errSilent = errors.New("engine is silent")

// errHoldLost says that the engine no longer has the attempt's hold.
var errHoldLost = errors.New("engine no longer has the hold")

// runAttempt sends an attempt and relays its answer.
func (c *completion) runAttempt(ctx context.Context, r engineAttempt) *failure {
	x := c.x
	s := x.server
	c.attempts++
	c.triedEngines = append(c.triedEngines, r.engine.Name)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.registerHold(r.engine.Name, r.attemptID, func() { cancel(errHoldLost) })
	defer s.unregisterHold(r.engine.Name, r.attemptID)
	load := r.engine.Load
	prefill := int64(api.PromptTokens(len(x.completion.Prompt)))
	load.OwnFlight.Add(1)
	class := c.class()
	load.OwnTokens[class].Add(prefill)
	defer load.OwnFlight.Add(-1)
	awaitingFirst := true
	onFirstToken := func() {
		if awaitingFirst {
			load.OwnTokens[class].Add(-prefill)
			awaitingFirst, c.answerStartedAt = false, time.Now()
		}
	}
	defer onFirstToken()

	sentAt, unresolvedBefore := time.Now(), x.unresolvedAttempts
	x.interrupted, c.answerStartedAt = false, time.Time{}
	response, f := c.sendAttempt(ctx, cancel, r)
	if f != nil && x.unresolvedAttempts > unresolvedBefore {
		x.detectCrash(ctx, c.attemptInfo(r, sentAt))
	}
	if f != nil {
		return f
	}
	defer func() { _ = response.Body.Close() }()
	f = c.relayChunks(ctx, cancel, r, response.Body, onFirstToken)
	if f != nil {
		x.detectCrash(ctx, c.attemptInfo(r, sentAt))
		s.cancelStream(r.engine.Address, r.attemptID)
	}
	return f
}

func (c *completion) attemptInfo(r engineAttempt, sentAt time.Time) attemptInfo {
	return attemptInfo{upstream: r.engine.Name, address: r.engine.Address, sentAt: sentAt, answerStartedAt: c.answerStartedAt}
}

// sendAttempt dispatches an attempt. When it returns a failure the exchange's count
// of pending attempts says whether anything may have started.
func (c *completion) sendAttempt(ctx context.Context, cancel context.CancelCauseFunc, r engineAttempt) (*http.Response, *failure) {
	x := c.x
	s := x.server
	request, err := c.buildRequest(ctx, r)
	if err != nil {
		return nil, &failure{code: api.CodeBadRequest, message: "the request could not be encoded", err: err}
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	// The time is read again: this process may have been paused since the
	// engine was chosen, which may be leaving by now.
	if x.remaining() <= 0 {
		return nil, newFailure(api.CodeDeadline, "the time limit has passed")
	}
	if u, ok := s.current.Load().engines[r.engine.Name]; !ok || !u.Usable {
		return nil, newFailure(api.CodeUpstreamFailed, "engine %s is leaving", r.engine.Name)
	}
	client := s.trafficClient
	if !x.repeatable {
		s.asserter.Check(x.unresolvedAttempts == 0, asserter.SecondDispatch, "request %s", x.id)
		client = s.singleUseClient
	}
	x.unresolvedAttempts++
	silenceTimer := time.AfterFunc(s.settings.Timing.Silence, func() { cancel(errSilent) })
	response, err := client.Do(request)
	silenceTimer.Stop()
	if err != nil {
		if !connected {
			x.unresolvedAttempts-- // no byte left for the engine
		}
		f := newFailure(api.CodeUpstreamFailed, "engine %s did not answer", r.engine.Name)
		f.err = contextCause(ctx, err)
		return nil, f
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		if response.Header.Get(api.HeaderStarted) == "false" {
			x.unresolvedAttempts-- // the engine says that it never started
			r.engine.Load.Free.Store(0)
		}
		reason, _ := io.ReadAll(io.LimitReader(response.Body, 200))
		f := newFailure(api.CodeUpstreamFailed, "engine %s refused", r.engine.Name)
		f.err = fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(reason)))
		return nil, f
	}
	return response, nil
}

// contextCause prefers why a context was ended over the error that it led to.
func contextCause(ctx context.Context, err error) error {
	if why := context.Cause(ctx); why != nil {
		return why
	}
	return err
}

func (c *completion) buildRequest(ctx context.Context, r engineAttempt) (*http.Request, error) {
	x := c.x
	body := *x.completion
	body.Stream = true
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode prompt: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.engine.Address+api.PathCompletions, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	if !x.repeatable {
		request.GetBody = nil // the transport can't send it again by itself
	}
	h := request.Header
	h.Set("Content-Type", "application/json")
	h.Set(api.HeaderRequestID, x.id)
	h.Set(api.HeaderAttemptID, r.attemptID)
	h.Set(api.HeaderOwner, x.server.settings.Name)
	h.Set(api.HeaderIncarnation, strconv.FormatUint(x.server.config.Incarnation, 10))
	h.Set(api.HeaderPriority, strconv.Itoa(c.priority()))
	h.Set(api.HeaderResumeFrom, strconv.Itoa(c.relayer.Begin(r.attemptID)))
	if len(r.holdIDs) > 0 {
		h.Set(api.HeaderGroup, strings.Join(r.holdIDs, ","))
	}
	return request, nil
}

// priority is higher for shorter prompts, as the document weighs it.
func (c *completion) priority() int {
	policy := c.x.view.accepted.Document.Policy
	return router.Priority(c.class(), policy.ShortWeight)
}

// relayChunks relays an attempt's chunks until the answer is whole or the attempt
// has failed.
func (c *completion) relayChunks(ctx context.Context, cancel context.CancelCauseFunc, r engineAttempt, body io.Reader, onFirstToken func()) *failure {
	silence := c.x.server.settings.Timing.Silence
	prefill := router.Engine{PrefillRate: r.engine.PrefillRate * max(1, r.groupSize), Load: &router.Load{}}
	estimated := prefill.Predict(time.Now(), router.Longest, api.PromptTokens(len(c.x.completion.Prompt))) +
		r.engine.Predict(time.Now(), router.Longest, 0)
	silenceTimer := time.AfterFunc(silence+prefillTimeoutFactor*estimated, func() { cancel(errSilent) })
	defer silenceTimer.Stop()
	pace := tokenPace{startOffset: c.relayer.Delivered()}
	defer func() { pace.record(r.engine.Load, c.relayer.Delivered()) }()
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData || data == api.DoneMarker {
			continue
		}
		var chunk api.CompletionChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return c.streamFailure(r, err)
		}
		offset := c.relayer.Delivered()
		text, verdict := c.relayer.Accept(chunk)
		switch verdict {
		case relayer.Drop:
			continue
		case relayer.Broken:
			return c.streamFailure(r, fmt.Errorf("chunk at %d of %d delivered", chunk.Offset, offset))
		}
		c.x.server.asserter.Check(chunk.ID == c.x.id, asserter.ForeignChunk, "request %s got a chunk of %s", c.x.id, chunk.ID)
		silenceTimer.Reset(silence)
		onFirstToken()
		pace.start()
		c.version = r.engine.Version
		c.deliver(offset, text, chunk.Usage)
		if verdict == relayer.Whole {
			c.x.unresolvedAttempts--
			return nil
		}
	}
	return c.streamFailure(r, contextCause(ctx, scanner.Err()))
}

// minPaceTokens is how many tokens show an engine's pace.
const minPaceTokens = 8

// tokenPace measures the time between the tokens of one attempt.
type tokenPace struct {
	startOffset int
	firstToken  time.Time
}

// start marks the first token.
func (p *tokenPace) start() {
	if p.firstToken.IsZero() {
		p.firstToken = time.Now()
	}
}

// record tells the router how fast the engine was, when enough tokens came.
func (p *tokenPace) record(load *router.Load, delivered int) {
	tokens := delivered - p.startOffset
	if p.firstToken.IsZero() || tokens < minPaceTokens {
		return
	}
	load.Paced(time.Now(), time.Since(p.firstToken)/time.Duration(tokens))
}

// streamFailure ends an attempt that may have done work.
func (c *completion) streamFailure(r engineAttempt, err error) *failure {
	f := newFailure(api.CodeUpstreamFailed, "engine %s broke off", r.engine.Name)
	f.err = err
	if err == nil {
		f.err = io.ErrUnexpectedEOF
	}
	return f
}

// writeEvent writes one event to the caller, and the response's start first.
func (x *exchange) writeEvent(chunk api.CompletionChunk) {
	if !x.answerBegun {
		x.answerBegun = true
		h := x.writer.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		h.Set(api.HeaderRequestID, x.id)
		x.writer.WriteHeader(http.StatusOK)
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(x.writer, "data: %s\n\n", data)
	_ = http.NewResponseController(x.writer).Flush()
}

// writeDone marks the end of a whole answer.
func (x *exchange) writeDone() {
	_, _ = fmt.Fprintf(x.writer, "data: %s\n\n", api.DoneMarker)
	_ = http.NewResponseController(x.writer).Flush()
}

// cancelStream tells an engine that an attempt is given up. It is only a
// kindness: a hold that nobody renews is freed by the engine's keeper.
func (s *Server) cancelStream(address, attemptID string) {
	go func() {
		request, err := http.NewRequest(http.MethodDelete, "http://"+address+api.PathStreams+attemptID, nil)
		if err != nil {
			return
		}
		response, err := s.engineClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
	}()
}

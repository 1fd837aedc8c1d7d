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
	"strconv"
	"strings"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/asserter"
	"github.com/sapphireramp/sapphireramp/isolator"
	"github.com/sapphireramp/sapphireramp/relayer"
	"github.com/sapphireramp/sapphireramp/router"
	"github.com/sapphireramp/sapphireramp/splitter"
	"github.com/sapphireramp/sapphireramp/watcher"
)

// maxEventBytes is the maximum size of one server-sent event of an engine.
const maxEventBytes = 1 << 20

// prefillTimeoutFactor is the multiple of the estimated time to first token that is added to Timing.Silence to
// get the timeout for the first token. It is more than 1 as the estimate may be too low.
const prefillTimeoutFactor = 3

// engineAttempt describes one attempt on an engine.
type engineAttempt struct {
	engine    *router.Engine
	attemptID string
	// keeper names the entry that granted the memory; empty if none was asked or answered.
	keeper string
	// holdIDs are the IDs of the holds on memory for a group's shards; empty for a single engine.
	holdIDs []string
	// groupSize is the number of engines that prefill the prompt together; 0 for a single engine.
	groupSize int
}

// errSilent reports that an engine sent no response header or no next token for Timing.Silence, or no first
// token for that time plus prefillTimeoutFactor times the estimated time to first token.
var errSilent = errors.New("engine sent nothing for too long")

// runAttempt sends an attempt to its engine and relays the answer. It returns nil once the answer is
// complete. If the attempt fails after it may have started, it checks for a crash of the engine.
func (c *completion) runAttempt(ctx context.Context, attempt engineAttempt) *failure {
	x := c.x
	s := x.server
	c.attempts++
	c.fruitlessAttempts++
	c.triedEngines = append(c.triedEngines, attempt.engine.Name)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.registerHold(attempt.engine.Name, attempt.attemptID, ownHold{
		organisation: x.organisation.Name, rank: x.organisation.Rank, keeper: attempt.keeper, onLost: func(lost holdLostError) { cancel(lost) },
	})
	defer s.unregisterHold(attempt.engine.Name, attempt.attemptID)
	load := attempt.engine.Load
	prefill := int64(api.EstimatePromptTokens(len(x.completion.Prompt)))
	load.OwnInFlight.Add(1)
	class := c.class()
	load.OwnPrefillTokens[class].Add(prefill)
	defer load.OwnInFlight.Add(-1)
	isPrefilling := true
	endPrefill := func() {
		if isPrefilling {
			load.OwnPrefillTokens[class].Add(-prefill)
			isPrefilling, c.answerStartedAt = false, time.Now()
		}
	}
	defer endPrefill()

	sentAt, unresolvedBefore := time.Now(), x.unresolvedAttempts
	x.interrupted, c.answerStartedAt = false, time.Time{}
	response, f := c.sendAttempt(ctx, cancel, attempt)
	if f != nil && x.unresolvedAttempts > unresolvedBefore {
		x.detectCrash(ctx, c.attemptInfo(attempt, sentAt))
	}
	if f != nil {
		return f
	}
	defer func() { _ = response.Body.Close() }()
	f = c.relayChunks(ctx, cancel, attempt, response.Body, endPrefill)
	if f != nil {
		x.detectCrash(ctx, c.attemptInfo(attempt, sentAt))
		s.cancelStream(attempt.engine.Address, attempt.attemptID)
	}
	return f
}

func (c *completion) attemptInfo(attempt engineAttempt, sentAt time.Time) attemptInfo {
	return attemptInfo{upstream: attempt.engine.Name, address: attempt.engine.Address, healthPath: api.PathLoad, sentAt: sentAt, answerStartedAt: c.answerStartedAt}
}

// sendAttempt sends an attempt and returns the engine's response if its status is OK. On failure,
// x.unresolvedAttempts is greater by one than before if the engine may have started the attempt.
func (c *completion) sendAttempt(ctx context.Context, cancel context.CancelCauseFunc, attempt engineAttempt) (*http.Response, *failure) {
	x := c.x
	s := x.server
	request, err := c.buildRequest(ctx, attempt)
	if err != nil {
		return nil, &failure{code: api.CodeBadRequest, message: "the request could not be encoded", err: err}
	}
	request = request.WithContext(x.traceConnection(ctx))
	// The clock and the view are read again, as this process may have been suspended since the engine was
	// chosen, and the engine may be leaving by now.
	if x.remaining() <= 0 {
		return nil, newFailure(api.CodeDeadlineExceeded, "the time limit has passed")
	}
	if u, ok := s.current.Load().engines[attempt.engine.Name]; !ok || !u.Usable {
		return nil, newFailure(api.CodeUpstreamFailed, "engine %s is leaving", attempt.engine.Name)
	}
	client := s.trafficClient
	if !x.repeatable {
		s.asserter.Check(x.unresolvedAttempts == 0, asserter.SecondDispatch, "request %s", x.id)
		client = s.singleUseClient
	}
	x.unresolvedAttempts++
	silenceTimer := watcher.NewSilenceTimer(s.settings.Timing.Silence, func() { cancel(errSilent) })
	response, err := client.Do(request)
	silenceTimer.Stop()
	if err != nil {
		if x.connection == nil {
			x.unresolvedAttempts-- // no byte was sent to the engine
		}
		f := newFailure(api.CodeUpstreamFailed, "engine %s did not answer", attempt.engine.Name)
		f.err = contextCause(ctx, err)
		return nil, f
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		if response.Header.Get(api.HeaderStarted) == "false" {
			x.unresolvedAttempts-- // the engine states that it never started the attempt
			attempt.engine.Load.FreeTokens.Store(0)
		}
		reason, _ := io.ReadAll(io.LimitReader(response.Body, 200))
		f := newFailure(api.CodeUpstreamFailed, "engine %s refused", attempt.engine.Name)
		f.err = fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(reason)))
		return nil, f
	}
	return response, nil
}

// contextCause returns the cause of the context's end, such as errSilent, or err if ctx has not ended.
func contextCause(ctx context.Context, err error) error {
	if why := context.Cause(ctx); why != nil {
		return why
	}
	return err
}

func (c *completion) buildRequest(ctx context.Context, attempt engineAttempt) (*http.Request, error) {
	x := c.x
	body := *x.completion
	body.Stream = true
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode prompt: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+attempt.engine.Address+api.PathCompletions, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	if !x.repeatable {
		request.GetBody = nil // keeps the transport from resending the request by itself
	}
	h := request.Header
	h.Set("Content-Type", "application/json")
	h.Set(api.HeaderRequestID, x.id)
	h.Set(api.HeaderAttemptID, attempt.attemptID)
	h.Set(api.HeaderOwner, x.server.settings.Name)
	h.Set(api.HeaderOwnerIncarnation, strconv.FormatUint(x.server.config.Incarnation, 10))
	h.Set(api.HeaderPriority, strconv.Itoa(c.priority()))
	h.Set(api.HeaderResumeFrom, strconv.Itoa(c.relayer.BeginAttempt(attempt.attemptID)))
	if len(attempt.holdIDs) > 0 {
		h.Set(api.HeaderGroupHolds, strings.Join(attempt.holdIDs, ","))
	}
	return request, nil
}

// priority returns the prompt's scheduling priority at engines, which is higher for classes of shorter
// prompts. ShortWeight in the document's policy sets by how much.
func (c *completion) priority() int {
	policy := c.x.view.accepted.Document.Policy
	return router.EnginePriority(c.class(), policy.ShortWeight)
}

// relayChunks relays the chunks of an attempt's answer to the caller. It returns nil once the answer is
// complete, and otherwise why the attempt failed. It calls onChunk before it delivers each chunk that the
// relayer accepts.
func (c *completion) relayChunks(ctx context.Context, cancel context.CancelCauseFunc, attempt engineAttempt, body io.Reader, onChunk func()) *failure {
	silence := c.x.server.settings.Timing.Silence
	prefill := router.Engine{PrefillRate: attempt.engine.PrefillRate * max(1, attempt.groupSize), Load: &router.Load{}}
	estimated := prefill.PredictFirstToken(time.Now(), router.Longest, api.EstimatePromptTokens(len(c.x.completion.Prompt))) +
		attempt.engine.PredictFirstToken(time.Now(), router.Longest, 0)
	silenceTimer := watcher.NewSilenceTimer(silence+prefillTimeoutFactor*estimated, func() { cancel(errSilent) })
	defer silenceTimer.Stop()
	timer := tokenTimer{startOffset: c.relayer.DeliveredTokens()}
	defer func() { timer.reportTo(attempt.engine.Load, c.relayer.DeliveredTokens()) }()
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	scanner.Split(splitter.ScanCompleteLines)
	hasSurvived := false
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData || data == api.DoneMarker {
			continue
		}
		var chunk api.CompletionChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return c.streamFailure(attempt, err)
		}
		offset := c.relayer.DeliveredTokens()
		text, verdict := c.relayer.Accept(chunk)
		switch verdict {
		case relayer.Drop:
			continue
		case relayer.Broken:
			return c.streamFailure(attempt, fmt.Errorf("chunk at offset %d, but %d tokens were delivered", chunk.Offset, offset))
		}
		c.x.server.asserter.Check(chunk.ID == c.x.id, asserter.ForeignChunk, "request %s received a chunk of request %s", c.x.id, chunk.ID)
		silenceTimer.Reset(silence)
		onChunk()
		hasSurvived = hasSurvived || c.x.recordSurvival(c.answerStartedAt, isolator.SurvivalTime)
		timer.recordFirst()
		c.version = attempt.engine.Version
		c.deliver(offset, text, chunk.Usage)
		if verdict == relayer.Whole {
			c.x.unresolvedAttempts--
			return nil
		}
	}
	return c.streamFailure(attempt, contextCause(ctx, scanner.Err()))
}

// minTimedTokens is the minimum number of tokens that an attempt must have delivered for its time per token to
// be recorded.
const minTimedTokens = 8

// tokenTimer measures the mean time between the answer tokens of one attempt.
type tokenTimer struct {
	// startOffset is the number of tokens of the answer that earlier attempts delivered.
	startOffset int
	// firstTokenAt is the time of the attempt's first accepted chunk, zero before it.
	firstTokenAt time.Time
}

// recordFirst sets firstTokenAt to the current time. Later calls do nothing.
func (t *tokenTimer) recordFirst() {
	if t.firstTokenAt.IsZero() {
		t.firstTokenAt = time.Now()
	}
}

// reportTo adds the mean time per token since the attempt's first one to the engine's load, if the attempt
// delivered at least minTimedTokens. Delivered is the number of tokens of the answer delivered by all
// attempts.
func (t *tokenTimer) reportTo(load *router.Load, delivered int) {
	tokens := delivered - t.startOffset
	if t.firstTokenAt.IsZero() || tokens < minTimedTokens {
		return
	}
	load.RecordTimePerToken(time.Now(), time.Since(t.firstTokenAt)/time.Duration(tokens))
}

// streamFailure returns the failure of an attempt whose stream ended early or was invalid because of err; nil
// means that the stream ended without an error. The engine may have run the attempt.
func (c *completion) streamFailure(attempt engineAttempt, err error) *failure {
	f := newFailure(api.CodeUpstreamFailed, "the answer of engine %s was cut off or invalid", attempt.engine.Name)
	f.err = err
	if err == nil {
		f.err = io.ErrUnexpectedEOF
	}
	return f
}

// writeEvent writes a chunk to the caller as a server-sent event and flushes it. It writes the response header
// first if the event is the first of the answer.
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

// writeDone writes api.DoneMarker to the caller as the last event of a complete stream.
func (x *exchange) writeDone() {
	_, _ = fmt.Fprintf(x.writer, "data: %s\n\n", api.DoneMarker)
	_ = http.NewResponseController(x.writer).Flush()
}

// cancelStream asks an engine in the background to end an attempt that has failed. Errors are ignored, as
// the engine's keeper frees holds that nobody renews.
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

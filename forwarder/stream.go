package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/splitter"
)

// readBufferBytes is the maximum number of bytes read from a stream at once. A usual event is smaller
// than 1 KB.
const readBufferBytes = 8 << 10

// errPartialEvent is the error of a stream that ends within an event.
var errPartialEvent = errors.New("the stream ended within an event")

// errEmptyStream is the error of a stream that ends before its first event.
var errEmptyStream = errors.New("the stream ended without an event")

// serveStream serves a request that is answered by a stream of events. If allowRetry returns true, a
// stream that breaks off is resumed at another engine after the last event that the caller got, and
// continues in the same response.
func (f *Forwarder) serveStream(x *exchange) *failure {
	events := splitter.New(x.metadata.LastEventID)
	defer func() { x.outbox.abort() }()
	unsentCount := 0
	for {
		p, fail := f.place(x, dispatcher.Demand{PromptTokens: x.metadata.PromptTokens, AnswerTokens: expectedAnswerTokens(x)})
		if fail != nil && x.pendingCount > 0 {
			return unknownOutcomeFailure(reasonFailed, fail.cause)
		}
		if fail != nil {
			return fail
		}
		a := f.send(x, p, events.LastID())
		if a.verdict == verdictAnswered && a.response.StatusCode >= http.StatusMultipleChoices && !x.responseBegun {
			return f.relayFailure(x, a)
		}
		if a.verdict == verdictAnswered {
			f.relayStream(x, a, events)
		}
		if a.verdict == verdictAnswered {
			f.endAttempt(x, a)
			return finishStream(x)
		}
		retry := f.allowRetry(x, a, unsentCount)
		if !retry && a.verdict == verdictFailed && !x.responseBegun {
			return f.relayFailure(x, a)
		}
		f.endAttempt(x, a)
		if !retry && x.responseBegun {
			return unknownOutcomeFailure(reasonBroken, a.err)
		}
		if !retry {
			return f.lastAttemptFailure(x, a)
		}
		if a.verdict == verdictUnsent {
			unsentCount++
		}
		x.avoidGroups = x.avoidGroups || shouldAvoidGroups(p, a)
		avoidFailedUpstream(x, a)
		events.DiscardPartial()
	}
}

// shouldAvoidGroups reports whether the attempts after the failed attempt a must use a single engine
// without helpers. This is so if a group of engines received the request in a, the prompt fits into the
// memory of one engine, and no restart of an upstream ended the attempt. A prompt that needs the memory
// of several engines is tried again at another group.
func shouldAvoidGroups(p *dispatcher.Placement, a *attempt) bool {
	return len(p.Helpers) > 0 && len(p.HelperMemoryTokens) == 0 && a.verdict != verdictUnsent && !a.isLostToRestart()
}

// expectedAnswerTokens returns the expected length of the answer in tokens: the caller's estimate, but
// at most the maximum length, or the maximum length if the caller stated no estimate.
func expectedAnswerTokens(x *exchange) int {
	if x.metadata.AnswerTokensHint > 0 {
		return min(x.metadata.AnswerTokensHint, x.metadata.MaxAnswerTokens)
	}
	return x.metadata.MaxAnswerTokens
}

// eventMaxWait returns how long the caller still waits for the first event, or for the next one, before
// it abandons the stream. The time ends at the deadline of the request at the latest, and is at least
// 1 ms.
func eventMaxWait(x *exchange) time.Duration {
	return max(time.Millisecond, min(matcher.CallerAbandonTime(x.route.FirstByteTarget, x.route.GapTarget)-waitedForEvent(x), time.Until(x.deadline)))
}

// waitedForEvent returns how long the caller has waited for the first event since the request arrived
// or, if the response has begun, for the next event since the last one.
func waitedForEvent(x *exchange) time.Duration {
	if x.responseBegun {
		return time.Since(x.lastEventAt)
	}
	return time.Since(x.arrivedAt)
}

// relayStream writes the events of an attempt to the caller as they arrive. The verdict of the attempt
// stays verdictAnswered if the stream ends after a complete event. It becomes verdictFailed if the
// status is 300 or above, and verdictBroken if the stream breaks off, ends within an event or before
// the first one, lacks events, or can't be written to the caller.
func (f *Forwarder) relayStream(x *exchange, a *attempt, events *splitter.Splitter) {
	if a.response.StatusCode >= http.StatusMultipleChoices {
		a.verdict, a.err = verdictFailed, fmt.Errorf("status %d", a.response.StatusCode)
		return
	}
	buffer := make([]byte, readBufferBytes)
	partial := f.account.Open(x.organisation, accountant.Buffer)
	defer partial.Close()
	begun := false
	for {
		n, err := a.response.Body.Read(buffer)
		complete, splitErr := events.Feed(buffer[:n])
		if len(complete) > 0 {
			a.watchdog.recordRead() // bytes that make no new event may go on without end
		}
		if !partial.Resize(int64(max(0, events.PartialBytes()-freeBytes))) && splitErr == nil {
			splitErr = errMemoryShort
		}
		for _, e := range complete {
			if begun {
				a.placement.RecordEvent(time.Now())
			} else {
				a.placement.RecordFirstByte(time.Now())
				a.reservations.markBegun()
				begun = true
			}
			if f.recordEvent(x, a, time.Now()) {
				f.quarantine.RecordSuccess(time.Now(), x.fingerprint)
			}
			if fail := f.writeEvent(x, a, e); fail != nil {
				a.verdict, a.err, a.isCallerAtFault = verdictBroken, fail, true
				return
			}
		}
		if err == nil {
			err = splitErr
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && splitErr == nil && events.HasPartial():
			a.markEndedEarly(errPartialEvent)
			return
		case errors.Is(err, io.EOF) && splitErr == nil && !begun && !x.responseBegun:
			a.markEndedEarly(errEmptyStream)
			return
		case errors.Is(err, io.EOF) && splitErr == nil:
			return
		default:
			a.markBroken(a.response.Request.Context(), fmt.Errorf("read stream: %w", cancellationCause(a.response.Request.Context(), err)))
			a.connectionLost = a.connectionLost && splitErr == nil
			return
		}
	}
}

// finishStream waits until the caller has got the rest of a stream that its engine has ended.
func finishStream(x *exchange) *failure {
	x.body.release()
	if x.outbox == nil {
		return nil
	}
	if err := x.outbox.finish(); err != nil {
		return &failure{reason: reasonCallerLeft, cause: fmt.Errorf("write to caller: %w", err)}
	}
	return nil
}

// writeEvent passes one event on to the caller. Before the first event it writes the response header of
// the upstream that sent the event. While it waits for a caller that reads slowly, nothing is read from the
// upstream, whose silence does not count then.
func (f *Forwarder) writeEvent(x *exchange, a *attempt, e splitter.Event) error {
	now := time.Now()
	if !x.responseBegun {
		copyHeaders(x.writer.Header(), a.response.Header)
		x.writer.Header().Del("Content-Length")
		x.writeHeader(a.response.StatusCode)
		x.outbox = newOutbox(x.writer, f.account.Open(x.organisation, accountant.Buffer))
	}
	x.longestGap = max(x.longestGap, now.Sub(x.lastEventAt))
	x.lastEventAt = now
	x.eventCount++
	a.watchdog.pause()
	defer a.watchdog.recordRead()
	if err := x.outbox.add(x.ctx, e.Raw); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// relayFailure writes an upstream's response with a status of 300 or above to the caller unchanged, and ends the attempt.
func (f *Forwarder) relayFailure(x *exchange, a *attempt) *failure {
	buffered := f.bufferResponse(x, a)
	if buffered == nil {
		f.endAttempt(x, a)
		return f.lastAttemptFailure(x, a)
	}
	return f.writeLastResponse(x, a, buffered)
}

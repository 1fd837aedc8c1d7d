package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/dispatcher"
)

// maxBufferedBytes is the size up to which the body of a plain response is read completely before
// it is written to the caller; the rest of a larger body is copied as it arrives.
const maxBufferedBytes = 1 << 20

// forward sends a request to upstreams until one answers, no further attempt is allowed or the deadline
// passes. It is the handler that the filters wrap.
func (f *Forwarder) forward(x *exchange) *failure {
	ctx, cancel := context.WithDeadline(x.ctx, x.deadline)
	defer cancel()
	caller := x.ctx
	x.ctx, x.hasCallerLeft = ctx, func() bool { return caller.Err() != nil }
	f.recognizeReturn(x)
	f.retryBudget.RecordRequest(time.Now(), x.service)
	defer func() { // of a retry that reached no upstream
		x.retry.Release()
		x.prepared.close()
	}()
	defer f.abandon(x)
	var fail *failure
	if x.isStream() {
		fail = f.serveStream(x)
	} else {
		fail = f.servePlain(x)
	}
	if fail == nil {
		return nil
	}
	if shutdownFail := x.shutdownFailure(caller, f.view(), fail.cause); shutdownFail != nil {
		return shutdownFail
	}
	if x.hasCallerLeft() {
		return &failure{status: http.StatusBadGateway, reason: reasonCallerLeft, cause: fail.cause}
	}
	if ctx.Err() != nil && x.pendingCount > 0 {
		return unknownOutcomeFailure(reasonDeadline, fail.cause)
	}
	return fail
}

// allowRetry reports whether a request may be sent once more after the failed attempt a. An attempt with
// the verdict verdictUnsent may be repeated maxUnsentAttempts times while upstreams can be reached;
// unsentCount is the number of such attempts before a. After any other attempt, the route must allow the
// request to run again if it may have run, MaxAttempts must not be reached, and isSuspect must return
// false. Such a retry is reserved in the retry budget, and is not allowed if the budget is used up. No
// retry is allowed once the request is cancelled or past its deadline.
func (f *Forwarder) allowRetry(x *exchange, a *attempt, unsentCount int) bool {
	if x.ctx.Err() != nil {
		return false
	}
	if a.verdict == verdictUnsent {
		return unsentCount < maxUnsentAttempts && !f.tunneler.IsUnavailable()
	}
	if x.pendingCount > 0 && !x.route.IsRepeatable() {
		return false
	}
	if x.sentCount >= x.route.MaxAttempts || f.isSuspect(x, a) {
		return false
	}
	if retry := a.watchdog.takeRetry(); retry != nil {
		x.retry, x.prepared = retry.reservation, retry.connection
		return true
	}
	reservation, d := f.retryBudget.Reserve(time.Now(), x.service, f.view().RetryBudgetEntries)
	if !d.Allowed {
		f.metrics.retriesDenied.Inc(1)
		f.log.Warn("retry_budget_used_up", zap.String("request", x.metadata.ID), zap.String("service", x.service), zap.Int("spent", d.Spent),
			zap.Float64("allowed", d.Limit), zap.Int("entries", d.Entries), zap.Duration("counting_ms", d.CountingFor))
		return false
	}
	x.retry = reservation
	return true
}

// countRetry counts a retry against the retry budget at the moment at which its upstream gets it. It does nothing for
// the first attempt that reaches an upstream.
func (f *Forwarder) countRetry(x *exchange) {
	if x.retry == nil {
		return
	}
	x.retry.Use(time.Now())
	x.retry = nil
	f.metrics.retries.Inc(1)
}

// lastAttemptFailure returns the failure of a request after its last attempt a: status 503 if the
// request has not run, 502 if it may have. If links were at fault, the caller is told to come back when
// these may work again.
func (f *Forwarder) lastAttemptFailure(x *exchange, a *attempt) *failure {
	if x.pendingCount == 0 && a.verdict == verdictUnsent && a.isLinkAtFault {
		return notRunFailure(reasonUpstreamsCutOff, f.tunneler.RetryAfter(), a.err)
	}
	if x.pendingCount == 0 && a.verdict == verdictUnsent {
		return notRunFailure(reasonUnreachable, fullRetry, a.err)
	}
	if x.pendingCount == 0 {
		return notRunFailure(reasonNotRun, fullRetry, a.err)
	}
	return unknownOutcomeFailure(reasonFailed, a.err)
}

// servePlain serves a request of a route whose responses are not streams. It makes attempts until one
// gets a response or allowRetry returns false, and only then writes a response to the caller.
func (f *Forwarder) servePlain(x *exchange) *failure {
	unsentCount := 0
	for {
		p, fail := f.place(x, dispatcher.Demand{})
		if fail != nil && x.pendingCount > 0 {
			return unknownOutcomeFailure(reasonFailed, fail.cause)
		}
		if fail != nil {
			return fail
		}
		a := f.send(x, p, "")
		buffered := f.bufferResponse(x, a)
		retry := a.verdict != verdictAnswered && f.allowRetry(x, a, unsentCount)
		if !retry && buffered != nil {
			return f.writeLastResponse(x, a, buffered)
		}
		buffered.release()
		f.endAttempt(x, a)
		if !retry {
			return f.lastAttemptFailure(x, a)
		}
		if a.verdict == verdictUnsent {
			unsentCount++
		}
		avoidFailedUpstream(x, a)
	}
}

// bufferedResponse is the response of an upstream to a plain request, read up to maxBufferedBytes, or less while the
// entry holds much.
type bufferedResponse struct {
	// body is the part of the response body that was read; the whole body if rest is nil.
	body []byte
	// rest reads what follows body; nil if body is complete.
	rest io.Reader
	// holding holds the part of body above freeBytes.
	holding *accountant.Holding
}

// bufferResponse reads the response body of an attempt with the verdict verdictAnswered or
// verdictFailed, up to maxBufferedBytes. It returns nil for attempts with another verdict, and for a
// response that breaks off: that attempt gets the verdict verdictBroken.
func (f *Forwarder) bufferResponse(x *exchange, a *attempt) *bufferedResponse {
	if a.verdict != verdictAnswered && a.verdict != verdictFailed {
		return nil
	}
	holding := f.account.Open(x.organisation, accountant.Buffer)
	body, isComplete, err := readHeld(holding, a.response.Body, a.response.ContentLength, maxBufferedBytes+1)
	if err != nil {
		holding.Close()
		a.markBroken(a.response.Request.Context(), err)
		return nil
	}
	a.watchdog.stop()
	a.placement.RecordFirstByte(time.Now())
	if !isComplete {
		return &bufferedResponse{body: body, rest: a.response.Body, holding: holding}
	}
	return &bufferedResponse{body: body, holding: holding}
}

// release ends the use of a buffered response; nil is allowed.
func (buffered *bufferedResponse) release() {
	if buffered != nil {
		buffered.holding.Close()
	}
}

// writeLastResponse ends an attempt and writes its response to the caller. An attempt whose response is complete is
// ended first, and the body of the request released: the upstream is free again, however slowly the caller reads.
func (f *Forwarder) writeLastResponse(x *exchange, a *attempt, buffered *bufferedResponse) *failure {
	if buffered.rest != nil {
		defer f.endAttempt(x, a)
		return f.writeResponse(x, a, buffered)
	}
	f.endAttempt(x, a)
	x.body.release()
	return f.writeResponse(x, a, buffered)
}

// writeResponse writes the response of an upstream to the caller: the header, the buffered part of the
// body, then the rest of a larger body as it arrives. It returns a failure if the caller has
// disconnected or the rest of the body breaks off.
func (f *Forwarder) writeResponse(x *exchange, a *attempt, buffered *bufferedResponse) *failure {
	defer buffered.release()
	h := x.writer.Header()
	copyHeaders(h, a.response.Header)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // net/http would guess one from the body
	}
	length := a.response.ContentLength
	if buffered.rest == nil {
		length = int64(len(buffered.body))
	}
	h.Del("Content-Length")
	if length >= 0 && canHaveBody(a.response.StatusCode) && x.request.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.writeHeader(a.response.StatusCode)
	if _, err := x.writer.Write(buffered.body); err != nil && canHaveBody(a.response.StatusCode) && !errors.Is(err, http.ErrBodyNotAllowed) {
		return &failure{reason: reasonCallerLeft, cause: err}
	}
	if buffered.rest == nil {
		return nil
	}
	buffered.release()
	buffered.body = nil
	// The rest is read from the upstream until the deadline. After it, a write to a caller that does not read would
	// only keep the placement.
	stop := context.AfterFunc(x.ctx, func() { _ = http.NewResponseController(x.writer).SetWriteDeadline(time.Now()) })
	defer stop()
	if _, err := io.Copy(x.writer, buffered.rest); err != nil {
		return unknownOutcomeFailure(reasonBroken, err)
	}
	if !stop() {
		// The write deadline is set, and the connection can't be used any more.
		return unknownOutcomeFailure(reasonDeadline, context.Cause(x.ctx))
	}
	return nil
}

// canHaveBody reports whether HTTP allows a body in a response with the given status.
func canHaveBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeHeader writes the status and the headers set in x.writer to the caller, and records that the
// response has begun.
func (x *exchange) writeHeader(status int) {
	x.writer.WriteHeader(status)
	x.responseBegun, x.responseStatus = true, status
	x.responseBegunAt = time.Now()
	x.lastEventAt = x.responseBegunAt
}

package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/dispatcher"
)

// maxBuffered is the largest plain answer in bytes that is read whole before
// it is passed on; the rest of a larger one is passed on as it comes.
const maxBuffered = 1 << 20

// forward makes attempts until the request has its answer or can have none.
func (f *Forwarder) forward(x *exchange) *failure {
	ctx, cancel := context.WithDeadline(x.ctx, x.deadline)
	defer cancel()
	caller := x.ctx
	x.ctx, x.callerLeft = ctx, func() bool { return caller.Err() != nil }
	f.budget.Requested(time.Now(), x.service)
	var fail *failure
	if x.isStream() {
		fail = f.stream(x)
	} else {
		fail = f.plain(x)
	}
	if fail == nil {
		return nil
	}
	if cut := x.cutOff(caller, f.view(), fail.cause); cut != nil {
		return cut
	}
	if x.callerLeft() {
		return &failure{status: http.StatusBadGateway, reason: reasonCallerLeft, cause: fail.cause}
	}
	if ctx.Err() != nil && x.pending > 0 {
		return unknown(reasonDeadline, fail.cause)
	}
	return fail
}

// mayRepeat reports whether the request may be sent once more after an
// attempt, and takes that out of the budget where it counts.
func (f *Forwarder) mayRepeat(x *exchange, a *attempt, unsent int) bool {
	if x.ctx.Err() != nil {
		return false
	}
	if a.verdict == verdictUnsent {
		return unsent < mostUnsent
	}
	if x.pending > 0 && !x.route.IsRepeatable() {
		return false
	}
	if x.sent >= x.route.MaxAttempts || f.isSuspect(x, a) {
		return false
	}
	if !f.budget.Spend(time.Now(), x.service, f.view().MaxEntries) {
		f.metrics.denied.Inc(1)
		f.log.Warn("retry_budget_used_up", zap.String("request", x.call.ID), zap.String("service", x.service))
		return false
	}
	return true
}

// ended is the failure of a request whose last attempt was a.
func ended(x *exchange, a *attempt) *failure {
	if x.pending == 0 && a.verdict == verdictUnsent {
		return notRun(reasonUnreachable, fullRetry, a.err)
	}
	if x.pending == 0 {
		return notRun(reasonNotRun, fullRetry, a.err)
	}
	return unknown(reasonFailed, a.err)
}

// plain serves a request with a whole answer.
func (f *Forwarder) plain(x *exchange) *failure {
	unsent := 0
	for {
		p, fail := f.place(x, dispatcher.Demand{})
		if fail != nil && x.pending > 0 {
			return unknown(reasonFailed, fail.cause)
		}
		if fail != nil {
			return fail
		}
		a := f.send(x, p, "")
		answer := f.readPlain(x, a)
		repeat := a.verdict != verdictAnswered && f.mayRepeat(x, a, unsent)
		if !repeat && answer != nil {
			fail := f.deliver(x, a, answer)
			f.close(x, a)
			return fail
		}
		f.close(x, a)
		if !repeat {
			return ended(x, a)
		}
		if a.verdict == verdictUnsent {
			unsent++
		}
		avoidFailed(x, a)
	}
}

// plainAnswer is an upstream's answer, read up to the limit of the buffer.
type plainAnswer struct {
	body []byte
	// rest holds what is beyond the buffer; nil where the answer is whole.
	rest io.Reader
}

// readPlain reads the answer of an attempt that has one. An answer that
// breaks off makes the attempt broken.
func (f *Forwarder) readPlain(x *exchange, a *attempt) *plainAnswer {
	if a.verdict != verdictAnswered && a.verdict != verdictFailed {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(a.response.Body, maxBuffered+1))
	if err != nil {
		a.breakOff(a.response.Request.Context(), err)
		return nil
	}
	a.watchdog.stop()
	a.placement.FirstByteSeen(time.Now())
	if len(body) > maxBuffered {
		return &plainAnswer{body: body, rest: a.response.Body}
	}
	return &plainAnswer{body: body}
}

// deliver passes an upstream's whole answer on.
func (f *Forwarder) deliver(x *exchange, a *attempt, answer *plainAnswer) *failure {
	h := x.writer.Header()
	copyHeaders(h, a.response.Header)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // the library would guess one
	}
	length := a.response.ContentLength
	if answer.rest == nil {
		length = int64(len(answer.body))
	}
	h.Del("Content-Length")
	if length >= 0 && bodyAllowed(a.response.StatusCode) && x.request.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.begin(a.response.StatusCode)
	if _, err := x.writer.Write(answer.body); err != nil && bodyAllowed(a.response.StatusCode) && !errors.Is(err, http.ErrBodyNotAllowed) {
		return &failure{reason: reasonCallerLeft, cause: err}
	}
	if answer.rest == nil {
		return nil
	}
	if _, err := io.Copy(x.writer, answer.rest); err != nil {
		return unknown(reasonBroken, err)
	}
	return nil
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// begin writes the header of the answer to the caller.
func (x *exchange) begin(status int) {
	x.writer.WriteHeader(status)
	x.begun, x.answered = true, status
	x.firstAt = time.Now()
	x.eventAt = x.firstAt
}

package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/isolator"
)

const (
	// requestBytes is the memory that counts for a request besides its header and body: the buffers and goroutines
	// of its two connections, and freeBytes of its response.
	requestBytes = 64 << 10
	// refusedBodyTime is the time for which the rest of a refused body is read and dropped, so that the caller gets
	// the refusal: closing a connection with unread bytes resets it.
	refusedBodyTime = time.Second
)

// reserveMemory returns a filter that refuses a request, with status 503, if the entry has no memory for it, even without
// a body.
func (f *Forwarder) reserveMemory(next handler) handler {
	return func(x *exchange) *failure {
		holding := f.account.Open("", accountant.Request)
		defer holding.Close()
		fields := 0
		x.headerBytes, fields = headerSize(x.request)
		needed := requestBytes + accountant.HeadMemory(x.headerBytes, fields) // of the copy for upstreams
		if !holding.Grow(needed) {
			return f.refuseForMemory(x, needed)
		}
		defer func() { f.metrics.memoryHeld.Update(float64(f.account.Usage().Held)) }()
		return next(x)
	}
}

// readBody returns a filter that reads the whole request body before the first attempt, so that an
// attempt can be repeated and an upstream that responds early never gets half a body. It sets the
// fingerprint of the request. It refuses bodies that are larger than the configuration allows, with
// status 413, that the entry has no memory for, with 503, and those that are not complete by the
// deadline or make no progress, with 408.
func (f *Forwarder) readBody(next handler) handler {
	return func(x *exchange) *failure {
		maxBytes, length := x.view.Table.Config.Limits.BodyBytes, x.request.ContentLength
		tooLarge := &failure{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge, cause: fmt.Errorf("request body: must be at most %d bytes", maxBytes)}
		if maxBytes > 0 && length > maxBytes {
			return tooLarge
		}
		x.body = newRequestBody(f.account.Open(x.organisation, accountant.Request))
		defer x.body.release()
		if !x.body.holding.Grow(max(0, length)) {
			return f.refuseForMemory(x, length)
		}
		err := f.receiveBody(x, maxBytes)
		if shutdownFail := x.shutdownFailure(x.ctx, f.view(), err); shutdownFail != nil {
			return shutdownFail
		}
		switch {
		case errors.Is(err, errMemoryShort):
			return f.refuseForMemory(x, x.body.size+maxChunkBytes)
		case errors.Is(err, errBodyStalled):
			return &failure{status: http.StatusRequestTimeout, reason: reasonBodyUnread, cause: err}
		case errors.Is(err, context.Canceled), x.ctx.Err() != nil:
			return &failure{status: http.StatusRequestTimeout, reason: reasonCallerLeft, cause: err}
		case err != nil:
			return &failure{status: http.StatusRequestTimeout, reason: reasonBodyUnread, cause: err}
		case maxBytes > 0 && x.body.size > maxBytes:
			return tooLarge
		}
		x.bodyRead = true
		x.fingerprint = fingerprintOf(x)
		x.parts = isolator.PartsOf(x.organisation, x.metadata.SharedParts)
		f.isolator.RecordRequest(x.parts)
		return next(x)
	}
}

// receiveBody reads the body of a request into memory. Its error is errBodyStalled if the caller makes no progress.
func (f *Forwarder) receiveBody(x *exchange, maxBytes int64) error {
	if x.request.ContentLength == 0 {
		return nil
	}
	controller := http.NewResponseController(x.writer)
	_ = controller.SetReadDeadline(x.deadline)
	// A cancelled request, also one cancelled by the exit of the entry, interrupts the read, so that
	// a refusal can still be sent to the caller.
	stop := context.AfterFunc(x.ctx, func() { _ = controller.SetReadDeadline(time.Now()) })
	defer stop()
	p := f.watchProgress(x, func() { _ = controller.SetReadDeadline(time.Now()) })
	err := x.body.read(x.request.Body, x.request.ContentLength, maxBytes, p.recordRead)
	stop()
	if p.stop() {
		return errBodyStalled
	}
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
	}
	return err
}

// refuseForMemory returns the failure, with status 503, of a request that needs more memory than the account grants.
func (f *Forwarder) refuseForMemory(x *exchange, needed int64) *failure {
	use, retryAfter := f.account.Usage(), f.account.RetryAfter(needed)
	f.metrics.refusedForMemory.Inc(1)
	f.log.Warn("memory_short", zap.String("request", x.metadata.ID), zap.String("organisation", x.organisation), zap.Int64("needed", needed),
		zap.Int64("held", use.Held), zap.Int64("large", use.Large), zap.Int64("buffers", use.Buffers), zap.Int64("connections", use.Connections), zap.Int64("limit", use.Limit), zap.Duration("retry_after_ms", retryAfter))
	return notRunFailure(reasonMemoryShort, retryAfter, errMemoryShort)
}

// discardBody reads and drops the rest of the body of a refused request, for refusedBodyTime at most.
func (x *exchange) discardBody() {
	controller := http.NewResponseController(x.writer)
	_ = controller.EnableFullDuplex()
	_ = controller.Flush()
	_ = controller.SetReadDeadline(time.Now().Add(refusedBodyTime))
	_, _ = io.Copy(io.Discard, x.request.Body)
}

package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// limitHeader returns a filter that refuses requests whose header is larger than the configuration
// allows.
func (f *Forwarder) limitHeader(next handler) handler {
	return func(x *exchange) *failure {
		limit := x.view.Table.Config.Limits.HeaderBytes
		if size := headerSize(x.request); limit > 0 && size > limit {
			return &failure{
				status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeaderTooLarge, cause: fmt.Errorf("header: %d bytes, over %d", size, limit),
			}
		}
		return next(x)
	}
}

// headerLineOverhead is the size in bytes of what a header line has besides name and value: colon,
// space, CR and LF.
const headerLineOverhead = 4

// headerSize returns the approximate size in bytes of the header of a request as it was sent.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + headerLineOverhead
	size += len("Host") + len(r.Host) + headerLineOverhead
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + headerLineOverhead
		}
	}
	return size
}

// readBody returns a filter that reads the whole body before the first attempt, so that an attempt
// can be repeated and an upstream that responds early never gets half a body.
func (f *Forwarder) readBody(next handler) handler {
	return func(x *exchange) *failure {
		limit := x.view.Table.Config.Limits.BodyBytes
		tooLarge := &failure{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge, cause: fmt.Errorf("body: over %d bytes", limit)}
		if limit > 0 && x.request.ContentLength > limit {
			return tooLarge
		}
		connection := http.NewResponseController(x.writer)
		_ = connection.SetReadDeadline(x.deadline)
		// Interrupts the read when the request is cancelled, also by the shutdown of the entry, so
		// that its caller can still be sent a refusal.
		stop := context.AfterFunc(x.ctx, func() { _ = connection.SetReadDeadline(time.Now()) })
		from := io.Reader(x.request.Body)
		if limit > 0 {
			from = io.LimitReader(from, limit+1)
		}
		body, err := io.ReadAll(from)
		stop()
		if cut := x.shutdownFailure(x.ctx, f.view(), err); cut != nil {
			return cut
		}
		_ = connection.SetReadDeadline(time.Time{})
		if errors.Is(err, context.Canceled) || x.ctx.Err() != nil {
			return &failure{status: http.StatusRequestTimeout, reason: reasonCallerLeft, cause: err}
		}
		if err != nil {
			return &failure{status: http.StatusRequestTimeout, reason: reasonBodyUnread, cause: err}
		}
		if limit > 0 && int64(len(body)) > limit {
			return tooLarge
		}
		x.body, x.bodyRead = body, true
		x.fingerprint = fingerprintOf(x)
		return next(x)
	}
}

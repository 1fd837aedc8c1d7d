package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sapphireramp/sapphireramp/isolator"
)

// limitHeader returns a filter that refuses requests whose header is larger than the configuration
// allows, with status 431.
func (f *Forwarder) limitHeader(next handler) handler {
	return func(x *exchange) *failure {
		maxBytes := x.view.Table.Config.Limits.HeaderBytes
		if size := headerSize(x.request); maxBytes > 0 && size > maxBytes {
			return &failure{
				status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeaderTooLarge, cause: fmt.Errorf("request header: %d bytes: must be at most %d", size, maxBytes),
			}
		}
		return next(x)
	}
}

// headerLineOverhead is the number of bytes in a header line besides name and value: colon, space, CR
// and LF.
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

// readBody returns a filter that reads the whole request body before the first attempt, so that an
// attempt can be repeated and an upstream that responds early never gets half a body. It sets the
// fingerprint of the request. It refuses bodies that are larger than the configuration allows, with
// status 413, or not complete by the deadline, with 408.
func (f *Forwarder) readBody(next handler) handler {
	return func(x *exchange) *failure {
		maxBytes := x.view.Table.Config.Limits.BodyBytes
		tooLarge := &failure{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge, cause: fmt.Errorf("request body: must be at most %d bytes", maxBytes)}
		if maxBytes > 0 && x.request.ContentLength > maxBytes {
			return tooLarge
		}
		controller := http.NewResponseController(x.writer)
		_ = controller.SetReadDeadline(x.deadline)
		// A cancelled request, also one cancelled by the exit of the entry, interrupts the read, so that
		// a refusal can still be sent to the caller.
		stop := context.AfterFunc(x.ctx, func() { _ = controller.SetReadDeadline(time.Now()) })
		source := io.Reader(x.request.Body)
		if maxBytes > 0 {
			source = io.LimitReader(source, maxBytes+1)
		}
		body, err := io.ReadAll(source)
		stop()
		if shutdownFail := x.shutdownFailure(x.ctx, f.view(), err); shutdownFail != nil {
			return shutdownFail
		}
		_ = controller.SetReadDeadline(time.Time{})
		if errors.Is(err, context.Canceled) || x.ctx.Err() != nil {
			return &failure{status: http.StatusRequestTimeout, reason: reasonCallerLeft, cause: err}
		}
		if err != nil {
			return &failure{status: http.StatusRequestTimeout, reason: reasonBodyUnread, cause: err}
		}
		if maxBytes > 0 && int64(len(body)) > maxBytes {
			return tooLarge
		}
		x.body, x.bodyRead = body, true
		x.fingerprint = fingerprintOf(x)
		x.parts = isolator.PartsOf(x.organisation, x.metadata.SharedParts)
		f.isolator.RecordRequest(x.parts)
		return next(x)
	}
}

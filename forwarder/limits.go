package forwarder

import (
	"fmt"
	"net/http"
)

// limitHeader returns a filter that refuses requests whose header is larger than the configuration
// allows, with status 431.
func (f *Forwarder) limitHeader(next handler) handler {
	return func(x *exchange) *failure {
		maxBytes := x.view.Table.Config.Limits.HeaderBytes
		if maxBytes > 0 && x.headerBytes > maxBytes {
			return &failure{
				status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeaderTooLarge, cause: fmt.Errorf("request header: %d bytes: must be at most %d", x.headerBytes, maxBytes),
			}
		}
		return next(x)
	}
}

// headerLineOverhead is the number of bytes in a header line besides name and value: colon, space, CR
// and LF.
const headerLineOverhead = 4

// headerSize returns the approximate size in bytes of the header of a request as it was sent, and the number of its fields.
func headerSize(r *http.Request) (size, fields int) {
	size = len(r.Method) + len(r.RequestURI) + len(r.Proto) + headerLineOverhead
	size += len("Host") + len(r.Host) + headerLineOverhead
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + headerLineOverhead
			fields++
		}
	}
	return size, fields
}

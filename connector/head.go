package connector

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// MaxHeadBytes is the maximum size of the head of a response that an entry reads. http.Transport reads ten mebibytes unless
// a limit is set.
const MaxHeadBytes = 64 << 10

// InvalidResponseError is the error of a response whose head http.Transport accepts although it is not one of HTTP, or
// not that of a final response. Nothing in it is believed or passed on.
type InvalidResponseError struct {
	Proto  string
	Status int
	// Header is the name of the invalid header; empty if Proto, the version of HTTP, or Status is invalid.
	Header string
}

func (e InvalidResponseError) Error() string {
	if e.Header != "" {
		return fmt.Sprintf("invalid response: header %.40q", e.Header)
	}
	return fmt.Sprintf("invalid response: %.20s status %d", e.Proto, e.Status)
}

// minStatus and maxStatus bound the statuses of final responses.
const minStatus, maxStatus = 200, 599

// CheckHead returns an InvalidResponseError if the head of a response is invalid.
func CheckHead(r *http.Response) error {
	if r.ProtoMajor != 1 || r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return InvalidResponseError{Proto: r.Proto, Status: r.StatusCode}
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return InvalidResponseError{Proto: r.Proto, Status: r.StatusCode, Header: name}
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return InvalidResponseError{Proto: r.Proto, Status: r.StatusCode, Header: name}
			}
		}
	}
	return nil
}

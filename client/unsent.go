package client

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
)

// UnsentError reports that a request did not run, because its entry could not be reached or the connection broke
// before all of the request was written to it.
type UnsentError struct {
	Entry netip.AddrPort
	// Err is the error of the connection.
	Err error
}

func (e *UnsentError) Error() string {
	return fmt.Sprintf("send request to entry %s: %v", e.Entry, e.Err)
}

func (e *UnsentError) Unwrap() error { return e.Err }

// trackedBody is the body of a request. It sets isRead once the last byte has been taken to be sent.
type trackedBody struct {
	io.ReadCloser
	left   int64
	isRead *atomic.Bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left -= int64(n); b.left <= 0 || err != nil {
		b.isRead.Store(true)
	}
	return n, err
}

// trackSending returns the request with a body that tells how much of it was taken to be sent. IsSent reports
// whether an entry may have received the whole request: it had a connection, and the last byte of the body was
// taken. An entry runs no request of which it lacks a byte.
func trackSending(request *http.Request) (tracked *http.Request, isSent func() bool) {
	var isConnected, isRead atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { isConnected.Store(true) }}
	tracked = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	if request.ContentLength == 0 {
		return tracked, isConnected.Load
	}
	tracked.Body = &trackedBody{ReadCloser: request.Body, left: request.ContentLength, isRead: &isRead}
	tracked.GetBody = func() (io.ReadCloser, error) {
		body, err := request.GetBody()
		if err != nil {
			return nil, fmt.Errorf("rewind body: %w", err)
		}
		return &trackedBody{ReadCloser: body, left: request.ContentLength, isRead: &isRead}, nil
	}
	return tracked, func() bool { return isConnected.Load() && isRead.Load() }
}

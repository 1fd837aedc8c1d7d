package client

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/api"
)

// roundTripFunc is an http.RoundTripper that responds to each request with the returned status and body.
type roundTripFunc func(r *http.Request) (status int, body string)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) {
	status, body := f(r)
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), Request: r}, nil
}

// newTestClient returns a client with one seed, whose requests all go to respond.
func newTestClient(tries int, respond roundTripFunc) *Client {
	return New(Config{
		Seeds: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:80")}, SeedsOnly: true, MaxTries: tries,
		HTTPClient: &http.Client{Transport: respond},
	})
}

const (
	firstChunk = `data: {"id":"r","offset":0,"choices":[{"text":"a ","tokens":1}]}` + "\n\n"
	lastChunk  = `data: {"id":"r","offset":1,"choices":[{"text":"","tokens":0,"finish_reason":"stop"}],"usage":{"completion_tokens":1}}` + "\n\n"
	endMarker  = "data: [DONE]\n\n"
)

// A streamed response is complete only with consecutive chunks, the right token count and the end marker.
func TestIncompleteStreamIsAnError(t *testing.T) {
	cases := map[string]struct {
		stream string
		whole  bool
	}{
		"whole":     {firstChunk + lastChunk + endMarker, true},
		"no marker": {firstChunk + lastChunk, false},
		"no end":    {firstChunk + endMarker, false},
		"a gap":     {lastChunk + endMarker, false},
		"twice":     {firstChunk + firstChunk + lastChunk + endMarker, false},
		"empty":     {"", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := newTestClient(1, func(*http.Request) (int, string) { return http.StatusOK, c.stream })
			result, err := client.Complete(context.Background(), api.CompletionRequest{Stream: true}, Options{}, nil)
			is.Equal(err == nil, c.whole)
			if c.whole {
				is.Equal(result.Text, "a ")
			}
		})
	}
}

const refusal = `{"error":{"code":"overloaded","outcome":"not_run","retry_after_seconds":0.001}}`

// Retries of requests that an overloaded fleet refused are limited to maxRetryBurst plus a tenth of the requests.
func TestRetriesAreBounded(t *testing.T) {
	is := is.New(t)
	sent := 0
	client := newTestClient(5, func(*http.Request) (int, string) {
		sent++
		return http.StatusServiceUnavailable, refusal
	})
	const requests = 100
	for range requests {
		_, err := client.Complete(context.Background(), api.CompletionRequest{}, Options{Timeout: time.Minute}, nil)
		var entryErr *EntryError
		is.True(errors.As(err, &entryErr))
	}
	is.True(sent <= requests+requests/10+maxRetryBurst)
	is.True(sent > requests)
}

// A request that may have run is sent again only with its ticket.
func TestUnknownOutcomeIsOnlyResentWithTicket(t *testing.T) {
	is := is.New(t)
	sent := 0
	client := newTestClient(5, func(*http.Request) (int, string) {
		sent++
		return http.StatusBadGateway, `{"error":{"code":"upstream_failed","outcome":"unknown","retry_after_seconds":0.001}}`
	})
	_, err := client.Complete(context.Background(), api.CompletionRequest{}, Options{}, nil)
	is.True(err != nil)
	is.Equal(sent, 1)
	_, err = client.Complete(context.Background(), api.CompletionRequest{}, Options{Ticket: "t"}, nil)
	is.True(err != nil)
	is.Equal(sent, 6)
}

// Guards against answers that are none in HTTP, or were not sent whole, and are results for those who use the client as it is.
func TestBrokenAnswersAreErrors(t *testing.T) {
	for name, answer := range map[string]string{
		"LF before a name":    "HTTP/1.1 200 OK\r\n\nX-Broken: a\r\nContent-Length: 2\r\n\r\n{}",
		"space before a name": "HTTP/1.1 200 OK\r\nX-Broken: a\r\n Content-Length: 2\r\n\r\n{}",
		"chunks in HTTP/1.0":  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"head cut off":        "HTTP/1.1 200 OK\r\nX-Broken: a\r\n",
		"body cut off":        "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{}",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = listener.Close() }()
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, answer)
				}
			}()
			c := New(Config{Seeds: []netip.AddrPort{netip.MustParseAddrPort(listener.Addr().String())}, SeedsOnly: true})
			result, err := c.Call(context.Background(), "dispatch", "lookup", []byte("{}"), Options{Timeout: 5 * time.Second})
			if err == nil {
				t.Errorf("result %q", result.Text)
			}
		})
	}
}

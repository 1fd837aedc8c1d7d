package client

import (
	"context"
	"errors"
	"io"
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

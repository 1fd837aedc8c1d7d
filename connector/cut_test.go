package connector_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/standin/network"
)

// askInBubble is ask in virtual time. It returns once the transport is done with the connection.
func askInBubble(c net.Conn) (status int, body string, err error) {
	defer time.Sleep(time.Second)
	return ask(c)
}

// ask sends a request over a connection, and returns the response with its body.
func ask(c net.Conn) (status int, body string, err error) {
	dial := func(context.Context, string, string) (net.Conn, error) { return c, nil }
	transport := connector.NewTransport(&http.Transport{DialContext: dial, DisableKeepAlives: true}, nil)
	request, err := http.NewRequest(http.MethodPost, "http://upstream/", strings.NewReader("request"))
	if err != nil {
		return 0, "", err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// Guards against a response whose head is cut off, at any byte and however its connection ends, and that is taken for one
// with an empty or short body.
func TestHeadsThatAreCutOff(t *testing.T) {
	for name, head := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nX-Engine-Stamp: a\r\nContent-Length: 4\r\nX: a\r\n\r\n",
		"chunks":   "HTTP/1.1 200 OK\r\nX-Engine-Stamp: a\r\nTransfer-Encoding: chunked\r\nX: a\r\n\r\n",
		"neither":  "HTTP/1.1 200 OK\r\nX-Engine-Stamp: a\r\nX: a\r\n\r\n",
		"HTTP/1.0": "HTTP/1.0 200 OK\r\nX-Engine-Stamp: a\r\nX: a\r\n\r\n",
		"interim":  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		for end, errs := range map[string][2]error{
			"closed":                   {syscall.EPIPE, io.EOF},
			"reset, read returns it":   {syscall.EPIPE, syscall.ECONNRESET},
			"reset, write returns it":  {syscall.ECONNRESET, io.EOF},
			"closed before the answer": {syscall.EPIPE, io.EOF},
		} {
			t.Run(name+", "+end, func(t *testing.T) {
				for size := range len(head) {
					synctest.Test(t, func(t *testing.T) {
						order := network.WriteBeforeEnd
						if end == "closed before the answer" {
							order = network.WriteBeforeResponse
						}
						status, body, err := askInBubble(network.NewPlayedConn(order, head[:size], errs[0], errs[1]))
						if err == nil {
							t.Errorf("cut off after %d bytes: status %d, body %q", size, status, body)
						}
					})
				}
			})
		}
	}
}

// Guards against a whole response that is lost because its upstream does not read all of the request: the write that fails
// returns before the response was read.
func TestEarlyResponsesAreRead(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		writeErr error
		want     error
	}{
		"length, reset":        {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", syscall.ECONNRESET, nil},
		"chunks, reset":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", syscall.ECONNRESET, nil},
		"neither, reset":       {"HTTP/1.1 200 OK\r\n\r\nbody", syscall.ECONNRESET, syscall.ECONNRESET},
		"length, closed":       {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", syscall.EPIPE, nil},
		"neither, closed":      {"HTTP/1.1 200 OK\r\n\r\nbody", syscall.EPIPE, nil},
		"part of it, reset":    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", syscall.ECONNRESET, syscall.ECONNRESET},
		"part of it, closed":   {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", syscall.EPIPE, io.ErrUnexpectedEOF},
		"long body, and reset": {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 10000) + "\r\nContent-Length: 4\r\n\r\nbody", syscall.ECONNRESET, nil},
	} {
		t.Run(name, func(t *testing.T) {
			for _, order := range []network.Order{network.WriteBeforeResponse, network.WriteBeforeEnd} {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					status, body, err := askInBubble(network.NewPlayedConn(order, c.response, c.writeErr, nil))
					is.Equal(status, http.StatusOK)
					is.Equal(body, "body")
					is.True(errors.Is(err, c.want))
				})
			}
		})
	}
	for _, writeErr := range []error{syscall.ECONNRESET, syscall.EPIPE} { // no response at all
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			_, _, err := askInBubble(network.NewPlayedConn(network.WriteBeforeResponse, "", writeErr, nil))
			is.True(err != nil)
		})
	}
}

// Guards against resets that are no error, or are another, where the write and the read learn of them in any order.
func TestResets(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\n\r\nbody"
	for _, c := range []struct {
		order             network.Order
		writeErr, readErr error
		want              error
	}{
		{network.WriteBeforeEnd, syscall.ECONNRESET, io.EOF, syscall.ECONNRESET},
		{network.WriteAfterEnd, syscall.ECONNRESET, io.EOF, syscall.ECONNRESET},
		{network.WriteBeforeEnd, syscall.ETIMEDOUT, io.EOF, syscall.ETIMEDOUT},
		{network.WriteAfterEnd, syscall.EHOSTUNREACH, io.EOF, syscall.EHOSTUNREACH},
		{network.WriteAfterEnd, syscall.EPIPE, syscall.ECONNRESET, syscall.ECONNRESET},
		{network.WriteBeforeEnd, syscall.EPIPE, io.EOF, nil},
		{network.WriteAfterEnd, syscall.EPIPE, io.EOF, nil},
		{network.WriteBlocks, nil, io.EOF, nil},
	} {
		t.Run(fmt.Sprintf("order %d, %v, %v", c.order, c.writeErr, c.readErr), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				status, body, err := askInBubble(network.NewPlayedConn(c.order, response, c.writeErr, c.readErr))
				is.Equal(status, http.StatusOK)
				is.Equal(body, "body")
				is.True(errors.Is(err, c.want))
			})
		})
	}
}

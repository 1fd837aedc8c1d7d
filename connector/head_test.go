package connector

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/accountant"
)

// Guards against response heads of many short fields, which take many times their bytes, also in interim responses.
func TestResponseHeadsOfManyLines(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 600\r\n\r\n"
	body := strings.Repeat("\n", 600) // lines of a body do not count
	many := strings.Repeat("x:\r\n", MaxHeadLines)
	for _, c := range []struct {
		name, response string
		isTooLong      bool
	}{
		{"sound", sound + body, false},
		{"after interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + sound + body, false},
		{"many fields", "HTTP/1.1 200 OK\r\n" + many + "\r\n", true},
		{"many fields in an interim response", "HTTP/1.1 103 Early Hints\r\n" + many + "\r\n" + sound + body, true},
		{"many fields after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + many + "\r\n" + body, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			account := accountant.New(1 << 20)
			near, far := net.Pipe()
			dial := func(context.Context, string, string) (net.Conn, error) { return near, nil }
			transport := NewTransport(&http.Transport{DialContext: dial, DisableKeepAlives: true}, account)
			go func() {
				defer func() { _ = far.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(far))
				_, _ = io.WriteString(far, c.response)
			}()
			request, err := http.NewRequest(http.MethodGet, "http://upstream/", nil)
			is.NoErr(err)
			response, err := transport.RoundTrip(request)
			var tooMany TooManyLinesError
			is.Equal(errors.As(err, &tooMany), c.isTooLong)
			if !c.isTooLong {
				is.NoErr(err)
				is.True(account.Usage().Held > 0)
				data, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(string(data), body)
				is.NoErr(response.Body.Close())
			}
		})
	}
}

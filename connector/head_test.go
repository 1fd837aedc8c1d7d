package connector_test

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
	"github.com/sapphireramp/sapphireramp/connector"
)

// Guards against response heads of many short fields, which take many times their bytes, also in interim responses.
func TestResponseHeadsOfManyLines(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 600\r\n\r\n"
	body := strings.Repeat("\n", 600) // lines of a body do not count
	many := strings.Repeat("x:\r\n", connector.MaxHeadLines)
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
			transport := connector.NewTransport(&http.Transport{DialContext: dial, DisableKeepAlives: true}, account)
			go func() {
				defer func() { _ = far.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(far))
				_, _ = io.WriteString(far, c.response)
			}()
			request, err := http.NewRequest(http.MethodGet, "http://upstream/", nil)
			is.NoErr(err)
			response, err := transport.RoundTrip(request)
			var tooMany connector.TooManyLinesError
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

// askInParts sends a request to an upstream that answers with parts of a response, each written on its own, and then closes
// the connection. It returns the response with its body.
func askInParts(parts []string) (status int, body string, err error) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		_, _ = http.ReadRequest(bufio.NewReader(far))
		for _, p := range parts {
			_, _ = io.WriteString(far, p)
		}
	}()
	return ask(near)
}

// split returns a text in parts of a size.
func split(text string, size int) []string {
	var parts []string
	for ; len(text) > size; text = text[size:] {
		parts = append(parts, text[:size])
	}
	return append(parts, text)
}

// Guards against responses that are none in HTTP and are taken for one, wherever reads divide them.
func TestInvalidHeads(t *testing.T) {
	const body = "body"
	const length = "Content-Length: 4\r\n"
	for name, response := range map[string]string{
		"LF before a name":           "HTTP/1.1 200 OK\r\n\nX: a\r\n" + length + "\r\n",
		"LF behind the length":       "HTTP/1.1 200 OK\r\n" + length + "\nX: a\r\n\r\n",
		"two LF behind a field":      "HTTP/1.1 200 OK\r\nX: a\n\n" + length + "\r\n",
		"one LF behind a field":      "HTTP/1.1 200 OK\r\nX: a\n" + length + "\r\n",
		"LF behind the status":       "HTTP/1.1 200 OK\n" + length + "\r\n",
		"head that ends in LF":       "HTTP/1.1 200 OK\r\n" + length + "\n",
		"CR in a line's end":         "HTTP/1.1 200 OK\r\nX: a\r\r\n" + length + "\r\n",
		"space before a name":        "HTTP/1.1 200 OK\r\nX: a\r\n " + length + "\r\n",
		"tab before a name":          "HTTP/1.1 200 OK\r\nX: a\r\n\t" + length + "\r\n",
		"space before the first":     "HTTP/1.1 200 OK\r\n " + length + "\r\n",
		"line of a space":            "HTTP/1.1 200 OK\r\n \r\n" + length + "\r\n",
		"space behind a name":        "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\n",
		"no name":                    "HTTP/1.1 200 OK\r\n: a\r\n" + length + "\r\n",
		"no colon":                   "HTTP/1.1 200 OK\r\nX\r\n" + length + "\r\n",
		"control in a name":          "HTTP/1.1 200 OK\r\nX\x01: a\r\n" + length + "\r\n",
		"NUL in a value":             "HTTP/1.1 200 OK\r\nX: \x00\r\n" + length + "\r\n",
		"chunks in HTTP/1.0":         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"coding in HTTP/1.0":         "HTTP/1.0 200 OK\r\n" + length + "transfer-encoding: identity\r\n\r\n",
		"chunks and a length":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + length + "\r\n",
		"a length and chunks":        "HTTP/1.1 200 OK\r\n" + length + "TRANSFER-ENCODING: chunked\r\n\r\n",
		"status 000":                 "HTTP/1.1 000 OK\r\n" + length + "\r\n",
		"status 101":                 "HTTP/1.1 101 OK\r\n" + length + "\r\n",
		"status 600":                 "HTTP/1.1 600 OK\r\n" + length + "\r\n",
		"status +20":                 "HTTP/1.1 +20 OK\r\n" + length + "\r\n",
		"two spaces":                 "HTTP/1.1  200 OK\r\n" + length + "\r\n",
		"control in the reason":      "HTTP/1.1 200 O\x01K\r\n" + length + "\r\n",
		"HTTP/2.0":                   "HTTP/2.0 200 OK\r\n" + length + "\r\n",
		"http/1.1":                   "http/1.1 200 OK\r\n" + length + "\r\n",
		"empty line first":           "\r\nHTTP/1.1 200 OK\r\n" + length + "\r\n",
		"LF in an interim response":  "HTTP/1.1 103 Early Hints\r\n\nHTTP/1.1 200 OK\r\n" + length + "\r\n",
		"space after an interim one": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX: a\r\n " + length + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(response+body); size++ {
				status, got, err := askInParts(split(response+body, size))
				var invalid connector.InvalidResponseError
				if !errors.As(err, &invalid) {
					t.Errorf("parts of %d bytes: status %d, body %q: %v", size, status, got, err)
				}
			}
		})
	}
}

// controlsAndBlanks returns all control bytes of ASCII, and the space.
func controlsAndBlanks() []byte {
	out := []byte{0x7f}
	for b := range byte(' ' + 1) {
		out = append(out, b)
	}
	return out
}

// Guards against a body that is not the upstream's because a control byte or a blank stands anywhere in the head.
func TestBytesInsertedIntoHeads(t *testing.T) {
	for name, c := range map[string]struct{ head, coded string }{
		"length":   {"HTTP/1.1 200 OK\r\nX: a\r\nContent-Length: 4\r\nY: a\r\n\r\n", "body"},
		"chunks":   {"HTTP/1.1 200 OK\r\nX: a\r\nTransfer-Encoding: chunked\r\nY: a\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n"},
		"neither":  {"HTTP/1.1 200 OK\r\nX: a\r\nY: a\r\n\r\n", "body"},
		"HTTP/1.0": {"HTTP/1.0 200 OK\r\nX: a\r\nContent-Length: 4\r\nY: a\r\n\r\n", "body"},
	} {
		t.Run(name, func(t *testing.T) {
			for at := range len(c.head) {
				for _, inserted := range controlsAndBlanks() {
					response := c.head[:at] + string([]byte{inserted}) + c.head[at:] + c.coded
					if strings.HasPrefix(response, c.head) {
						continue // the byte has become the first one of the body
					}
					status, body, err := askInParts([]string{response})
					if err == nil && (status != http.StatusOK || body != "body") {
						t.Errorf("%q at %d: status %d, body %q", inserted, at, status, body)
					}
				}
			}
		})
	}
}

// Guards against sound responses that are refused, wherever reads divide them.
func TestSoundHeads(t *testing.T) {
	for name, response := range map[string]string{
		"length":            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"trailer":           "HTTP/1.1 200 OK\r\nTrailer: X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: a\r\n\r\n",
		"neither":           "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\n\r\nbody",
		"HTTP/1.0, length":  "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"no reason":         "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nbody",
		"no space":          "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nbody",
		"long reason":       "HTTP/1.1 200 All is well, \xc3\xa9\r\nContent-Length: 4\r\n\r\nbody",
		"white space":       "HTTP/1.1 200 OK\r\nX:\r\nY: \t a \t b \t\r\nContent-Length:4\t\r\n\r\nbody",
		"interim responses": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for size := 1; size <= len(response); size++ {
				status, body, err := askInParts(split(response, size))
				is.NoErr(err)
				is.Equal(status, http.StatusOK)
				is.Equal(body, "body")
			}
		})
	}
}

// Guards against heads that are checked only at the first response of a connection, and against bodies that are checked.
func TestHeadsOfReusedConnections(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	transport := connector.NewTransport(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return near, nil }}, nil)
	go func() {
		requests := bufio.NewReader(far)
		for _, response := range []string{
			"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n\n a\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n\n\n\r\n0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nX: a\r\n Content-Length: 0\r\n\r\n",
		} {
			_, _ = http.ReadRequest(requests)
			_, _ = io.WriteString(far, response)
		}
	}()
	ask := func() (string, error) {
		request, err := http.NewRequest(http.MethodPost, "http://upstream/", nil)
		is.NoErr(err)
		response, err := transport.RoundTrip(request)
		if err != nil {
			return "", err
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}
	for _, want := range []string{"\n a\r\n", "\n\n"} {
		body, err := ask()
		is.NoErr(err)
		is.Equal(body, want)
	}
	_, err := ask()
	var invalid connector.InvalidResponseError
	is.True(errors.As(err, &invalid))
}

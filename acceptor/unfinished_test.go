package acceptor_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/acceptor"
	"github.com/sapphireramp/sapphireramp/accountant"
)

// serveOnSockets serves a handler on a loopback address until the end of the test, and returns the address and the server.
func serveOnSockets(t *testing.T, handler http.HandlerFunc) (string, *http.Server) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	a := acceptor.New(acceptor.Config{
		Account: accountant.New(16 << 20), Limits: func() acceptor.Limits { return acceptor.Limits{} }, Log: zap.NewNop(), Scope: tally.NoopScope,
	})
	server := &http.Server{Handler: handler}
	a.Attach(server)
	counted := a.Listen(listener, acceptor.Callers)
	go func() { _ = server.Serve(counted) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), server
}

// Guards against a response that is cut off, and that a client takes for whole because it has neither a length nor chunks:
// for clients of HTTP/1.0 its end is that of the connection.
func TestUnfinishedResponsesLookUnfinished(t *testing.T) {
	const size = 1 << 20
	hasBegun := make(chan struct{}, 1)
	address, server := serveOnSockets(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Query().Has("length") {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		sent := size
		if r.URL.Path != "/whole" {
			sent = size / 2
		}
		_, _ = w.Write(make([]byte, sent))
		_ = http.NewResponseController(w).Flush()
		switch r.URL.Path {
		case "/panic":
			panic(http.ErrAbortHandler)
		case "/server-closes":
			hasBegun <- struct{}{}
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	})
	ask := func(path, version, body string) (int, error) {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			return 0, err
		}
		defer func() { _ = connection.Close() }()
		_ = connection.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = fmt.Fprintf(connection, "POST %s %s\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, version, len(body), body)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			return 0, err
		}
		n, err := io.Copy(io.Discard, response.Body)
		return int(n), err
	}
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, query := range []string{"", "?length"} {
			t.Run(version+query, func(t *testing.T) {
				is := is.New(t)
				n, err := ask("/whole"+query, version, "x")
				is.NoErr(err)
				is.Equal(n, size)
				n, err = ask("/panic"+query, version, "x")
				is.True(err != nil)
				is.True(n <= size/2)
			})
		}
	}
	t.Run("server closes", func(t *testing.T) {
		is := is.New(t)
		ended := make(chan error, 1)
		go func() {
			_, err := ask("/server-closes", "HTTP/1.0", "x")
			ended <- err
		}()
		<-hasBegun
		is.NoErr(server.Close())
		is.True(<-ended != nil)
	})
}

// Guards against clients of HTTP/1.0 whose connection is reset although the response is whole: between two requests, after
// one whose body the server has not read, and when they read late.
func TestFinishedResponsesEndInOrder(t *testing.T) {
	const size = 8 << 20
	address, _ := serveOnSockets(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, size))
			return
		}
		_, _ = io.WriteString(w, "answer")
	})
	t.Run("kept open", func(t *testing.T) {
		is := is.New(t)
		connection, err := net.Dial("tcp", address)
		is.NoErr(err)
		_ = connection.SetDeadline(time.Now().Add(10 * time.Second))
		reader := bufio.NewReader(connection)
		for n := range 3 {
			keep := "Connection: keep-alive\r\n"
			if n == 2 {
				keep = ""
			}
			_, _ = fmt.Fprintf(connection, "GET / HTTP/1.0\r\n%s\r\n", keep)
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), "answer")
		}
		_, err = reader.ReadByte()
		is.Equal(err, io.EOF)
	})
	for name, c := range map[string]struct {
		request string
		// wait is the time after which the client reads, size the size of its response.
		wait time.Duration
		size int
	}{
		"late reader": {"GET /large HTTP/1.0\r\n\r\n", 200 * time.Millisecond, size},
		"unread body": {"POST / HTTP/1.0\r\nContent-Length: 5000000\r\n\r\nbegin", 0, len("answer")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			connection, err := net.Dial("tcp", address)
			is.NoErr(err)
			_ = connection.SetDeadline(time.Now().Add(10 * time.Second))
			_, _ = io.WriteString(connection, c.request)
			time.Sleep(c.wait)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			is.NoErr(err)
			n, err := io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			is.Equal(int(n), c.size)
		})
	}
}

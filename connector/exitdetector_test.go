package connector_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/connector"
)

// Guards against a process that has exited being taken for a running one, because something else accepts
// connections to its address and closes them.
func TestHasExited(t *testing.T) {
	is := is.New(t)
	detector := connector.NewExitDetector((&net.Dialer{}).DialContext)
	listen := func() net.Listener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { _ = listener.Close() })
		return listener
	}
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	is.True(!detector.HasExited(server.Listener.Addr().String(), "/health")) // runs
	is.True(!detector.HasExited(listen().Addr().String(), "/health"))        // accepts nothing, as a frozen process
	dropping := listen()
	go func() {
		for {
			connection, err := dropping.Accept()
			if err != nil {
				return
			}
			_ = connection.Close()
		}
	}()
	is.True(detector.HasExited(dropping.Addr().String(), ""))
	reading := listen()
	go func() {
		for {
			connection, err := reading.Accept()
			if err != nil {
				return
			}
			_, _ = connection.Read(make([]byte, 1024))
			_ = connection.Close()
		}
	}()
	is.True(detector.HasExited(reading.Addr().String(), "/health"))
	is.True(!detector.HasExited(reading.Addr().String(), "")) // as of a server that keeps connections open
	refusing := listen()
	is.NoErr(refusing.Close())
	is.True(detector.HasExited(refusing.Addr().String(), ""))
}

// lostConn is a connection that ends, while nothing is known of the process at its other end.
type lostConn struct{ net.Conn }

func (lostConn) IsLost() bool { return true }

// Guards against a process being taken for one that has exited, because a connection through another one was lost.
func TestLostConnectionIsNoExit(t *testing.T) {
	is := is.New(t)
	detector := connector.NewExitDetector(func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		_ = far.Close()
		return lostConn{near}, nil
	})
	is.True(!detector.HasExited("10.0.0.1:80", "/health"))
}

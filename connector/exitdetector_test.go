package connector_test

import (
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
	is.True(!detector.HasExited(server.Listener.Addr().String())) // runs
	is.True(!detector.HasExited(listen().Addr().String()))        // accepts nothing, as a frozen process
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
	is.True(detector.HasExited(dropping.Addr().String()))
	refusing := listen()
	is.NoErr(refusing.Close())
	is.True(detector.HasExited(refusing.Addr().String()))
}

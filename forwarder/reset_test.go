package forwarder_test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/network"
	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// earlyResponse returns the beginning of a response without a length, or a whole one: one event of a stream.
func earlyResponse(id string) string {
	return "HTTP/1.1 200 OK\r\n" + soundHead + "\r\n" + worker.StreamEvent(id, 1)
}

// Guards against a part of a response that is taken for the whole: its upstream sent it while the request was being written,
// and reset the connection. The kernel reports that once, to the write or to the read, whichever comes first, and one that
// comes second reads an end.
func TestResetThatTheWriterLearnsOfEndsNoResponse(t *testing.T) {
	for name, order := range map[string]network.Order{"write returns first": network.WriteBeforeEnd, "read returns first": network.WriteAfterEnd} {
		for _, failure := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT} {
			t.Run(fmt.Sprintf("%s, %v", name, failure), func(t *testing.T) {
				withForwarder(t, func(f *fixture) {
					for _, path := range paths {
						id := "reset-" + path[1:4]
						f.setNextConnection(network.NewPlayedConn(order, earlyResponse(id), failure, nil))
						usage := ""
						if path == "/stream/x" || path == "/fixed/x" {
							usage = "1000,100"
						}
						a := f.ask(request{path: path, id: id, usage: usage, body: strings.Repeat("x", 900)})
						switch path {
						case "/once/x":
							f.is.Equal(a.status, http.StatusBadGateway)
							f.is.Equal(a.header.Get("X-Engine-Stamp"), "")
						case "/safe/x":
							f.is.Equal(a.status, http.StatusOK)
							f.is.Equal(a.body, worker.AnswerBody(id)) // of the other upstream
						case "/stream/x":
							f.is.NoErr(a.err)
							f.is.Equal(a.body, wholeStream(id, 1)) // resumed at another engine
						case "/fixed/x":
							f.is.Equal(a.body, worker.StreamEvent(id, 1))
							f.is.True(a.err != nil) // cut off
						}
					}
				})
			})
		}
	}
}

// Guards against whole responses that are lost: their upstream sent them while the request was being written, and closed
// the connection in order. A write then fails because the other end is closed, or blocks as nobody reads the request.
func TestEarlyResponseThatEndsInOrderIsWhole(t *testing.T) {
	for name, connection := range map[string]func(id string) *network.PlayedConn{
		"write fails first": func(id string) *network.PlayedConn {
			return network.NewPlayedConn(network.WriteBeforeEnd, earlyResponse(id), syscall.EPIPE, nil)
		},
		"read returns first": func(id string) *network.PlayedConn {
			return network.NewPlayedConn(network.WriteAfterEnd, earlyResponse(id), syscall.EPIPE, nil)
		},
		"write blocks": func(id string) *network.PlayedConn {
			return network.NewPlayedConn(network.WriteBlocks, earlyResponse(id), nil, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			withForwarder(t, func(f *fixture) {
				for _, path := range paths {
					id := "early-" + path[1:4]
					f.setNextConnection(connection(id))
					a := f.ask(request{path: path, id: id, usage: "1000,100", body: strings.Repeat("x", 900)})
					f.is.NoErr(a.err)
					f.is.Equal(a.status, http.StatusOK)
					f.is.Equal(a.body, worker.StreamEvent(id, 1))
					f.is.Equal(a.header.Get("X-Engine-Stamp"), "stamp")
					f.is.True(a.duration < 100*time.Millisecond)
				}
			})
		})
	}
}

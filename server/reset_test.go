package server

import (
	"context"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/client"
	"github.com/sapphireramp/sapphireramp/standin/network"
)

// Guards against a part of an answer of a service that is taken for the whole: the service sent it while the call was being
// written, and reset the connection, of which the write learned.
func TestResetDuringACallEndsNoAnswer(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\n\r\n{"
	for name, order := range map[string]network.Order{"write returns first": network.WriteBeforeEnd, "read returns first": network.WriteAfterEnd} {
		t.Run(name, func(t *testing.T) {
			withCrashingServices(t, 2, func(f *testFleet, c *crashingServices) {
				is := is.New(f.t)
				caller := f.directClient(f.entries[0], 1)
				for range 4 {
					for n := range 2 {
						f.played.Store(host(4, n+1).String()+":80", network.NewPlayedConn(order, part, syscall.ECONNRESET, nil))
					}
					_, err := caller.Call(context.Background(), "dispatch", "truck", []byte("{}"), client.Options{Timeout: 5 * time.Second, AtMostOnce: true})
					is.True(err != nil)
					f.played.Clear()
					time.Sleep(time.Second) // the instance is probed
				}
				f.played.Store(host(4, 1).String()+":80", network.NewPlayedConn(order, part, syscall.ECONNRESET, nil))
				for range 10 { // repeated at the other instance
					answer, err := caller.Call(context.Background(), "dispatch", "lookup", []byte("{}"), client.Options{Timeout: 5 * time.Second})
					is.NoErr(err)
					is.Equal(answer.Text, "{}")
				}
			})
		})
	}
}

// Guards against broken answers of another entry, to which a request with its ticket was passed on, that are complete for
// the caller.
func TestBrokenAnswersOfOtherEntries(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	for name, c := range map[string]*struct {
		response string
		writeErr error
	}{
		"reset":               {head + "\r\n{", syscall.ECONNRESET},
		"cut off":             {head + "Content-Length: 20\r\n\r\n{}", syscall.EPIPE},
		"head cut off":        {head, syscall.EPIPE},
		"status 000":          {strings.Replace(head, "200", "000", 1) + "Content-Length: 2\r\n\r\n{}", syscall.EPIPE},
		"LF before a name":    {head + "\nX-Broken: a\r\nContent-Length: 2\r\n\r\n{}", syscall.EPIPE},
		"space before a name": {head + "X-Broken: a\r\n Content-Length: 2\r\n\r\n{}", syscall.EPIPE},
		"chunks in HTTP/1.0":  {strings.Replace(head, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", syscall.EPIPE},
	} {
		t.Run(name, func(t *testing.T) {
			withReadyFleet(t, func(f *testFleet) {
				is := is.New(f.t)
				for _, order := range []network.Order{network.WriteBeforeEnd, network.WriteAfterEnd} {
					ticket, err := f.directClient(f.entries[0], 1).RequestTicket(context.Background())
					is.NoErr(err)
					f.played.Store(f.entries[0].settings.Address.String(), network.NewPlayedConn(order, c.response, c.writeErr, nil))
					_, err = f.directClient(f.entries[1], 1).Call(context.Background(), "dispatch", "truck", []byte("{}"), client.Options{Timeout: 5 * time.Second, Ticket: ticket})
					is.True(err != nil)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

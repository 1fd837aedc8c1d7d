//go:build knownred

package server

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/api"
)

// A caller asks a stopping entry again and again, on one connection for as long
// as that is left open, and learns what became of every request that it sent.
// Its bytes take a quarter of a second to come, so that one request is on its
// way when the entry ends. Connections that the entry closed as idle at its end
// took such a request with them, without an answer.
func TestStoppingEntryAnswersKeptConnections(t *testing.T) {
	withReadyFleet(t, func(f *testFleet) {
		is := is.New(f.t)
		e := f.entries[0]
		header, body := rawPrompt(api.CompletionRequest{Model: "model", Prompt: "again", MaxTokens: 1})
		f.net.Limit(callerHost, 4*len(header+body))
		e.stop()
		time.Sleep(100 * time.Millisecond)
		for {
			c, err := f.net.Dialer(callerHost)(context.Background(), "tcp", e.settings.Address.String())
			if err != nil {
				break // the entry takes no connections any more
			}
			answers := bufio.NewReader(c)
			for closed := false; !closed; {
				_, _ = io.WriteString(c, header+body)
				response, err := http.ReadResponse(answers, nil)
				is.NoErr(err) // a request that was sent has no answer
				is.Equal(response.Header.Get(api.HeaderOutcome), string(api.NotRun))
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				closed = response.Close
			}
			_ = c.Close()
		}
		is.True(e.ended(e.stopTime()))
	})
}

// A caller that was refused sends no more of its body and keeps its connection
// open. The stop does not wait for it: an operator who saw the entry stay would
// end it by force, and the answers in progress with it.
func TestStalledCallerDoesNotHoldStop(t *testing.T) {
	withReadyFleet(t, func(f *testFleet) {
		is := is.New(f.t)
		e := f.entries[0]
		header, body := rawPrompt(api.CompletionRequest{Model: "model", Prompt: "stalled", MaxTokens: 1})
		e.stop()
		time.Sleep(100 * time.Millisecond)
		c := f.dial(e)
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, header+body[:10])
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(response.Header.Get(api.HeaderOutcome), string(api.NotRun))
		is.True(e.ended(time.Minute)) // the entry waits for a caller that says nothing
	})
}

//go:build knownred

package server

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/api"
)

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

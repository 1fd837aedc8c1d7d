package server

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/client"
)

// Guards against an attempt that this entry ended being logged as an invalid answer of its engine, because the
// stream was cut within an event.
func TestReasonOfEndedAttemptIsLogged(t *testing.T) {
	withTestFleet(t, 1, 3, func(f *testFleet) {
		is := is.New(t)
		entry := f.entries[0]
		f.killEntry(entry)
		f.log = &lockedBuffer{}
		f.startEntry(entry)
		time.Sleep(8 * time.Second)
		for _, e := range f.engines {
			whole := e.server.Handler()
			f.replaceHandler(e, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != api.PathCompletions {
					whole.ServeHTTP(w, r)
					return
				}
				_, _ = io.WriteString(w, "data: {\"id\":")
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			}))
		}
		r := api.CompletionRequest{Model: "model", Prompt: "a short prompt", MaxTokens: 20}
		_, err := f.directClient(entry, 1).Complete(context.Background(), r, client.Options{Timeout: 10 * time.Second}, nil)
		is.True(err != nil)
		is.True(strings.Contains(f.log.String(), errSilent.Error()))
		is.True(!strings.Contains(f.log.String(), "JSON"))
	})
}

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
		entry := f.restartWithLog()
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

// cutWriter aborts the response after a number of writes.
type cutWriter struct {
	http.ResponseWriter
	left int
}

func (w *cutWriter) Write(p []byte) (int, error) {
	if w.left--; w.left < 0 {
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(p)
}

func (w *cutWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Guards against an answer that is given up half-way because several engines failed, although each brought it
// further. An answer that none brings further is given up.
func TestAnswerThatProgressesIsNotGivenUp(t *testing.T) {
	withTestFleet(t, 1, 3, func(f *testFleet) {
		is := is.New(t)
		time.Sleep(5 * time.Second)
		ask := func(tokensPerAttempt int) (client.Result, error) {
			for _, e := range f.engines {
				whole := e.server.Handler()
				f.replaceHandler(e, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == api.PathCompletions {
						w = &cutWriter{w, tokensPerAttempt}
					}
					whole.ServeHTTP(w, r)
				}))
			}
			r := api.CompletionRequest{Model: "model", Prompt: "a short prompt", MaxTokens: 200}
			return f.directClient(f.entries[0], 1).Complete(context.Background(), r, client.Options{Timeout: time.Minute}, nil)
		}
		result, err := ask(30)
		is.NoErr(err)
		is.Equal(result.Tokens, 200)
		_, err = ask(0)
		is.True(err != nil)
	})
}

package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/client"
)

// crashingPrompt makes each engine that runs a certain prompt crash 60 ms after receiving it. The engine
// restarts after downtime.
type crashingPrompt struct {
	fleet    *testFleet
	text     string
	downtime time.Duration
	lock     sync.Mutex
	// arrivals holds the times at which an engine received the prompt.
	arrivals []time.Time
}

// wrap returns the handler of an engine that crashes under the prompt.
func (c *crashingPrompt) wrap(e *testEngine, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if r.URL.Path == api.PathCompletions && strings.Contains(string(body), c.text) {
			c.lock.Lock()
			c.arrivals = append(c.arrivals, time.Now())
			c.lock.Unlock()
			time.AfterFunc(60*time.Millisecond, func() { c.crashEngine(e) })
		}
		next.ServeHTTP(w, r)
	})
}

func (c *crashingPrompt) crashEngine(e *testEngine) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if e.dead {
		return
	}
	c.fleet.killEngine(e)
	time.AfterFunc(c.downtime, func() {
		c.lock.Lock()
		defer c.lock.Unlock()
		c.startEngine(e)
	})
}

func (c *crashingPrompt) startEngine(e *testEngine) {
	c.fleet.startEngine(e)
	c.fleet.replaceHandler(e, c.wrap(e, e.server.Handler()))
}

// Engines crash one after the other under one prompt that is sent repeatedly through all entries, as
// happened on the users' platform. Guards against one prompt crashing engine after engine.
func TestPromptThatCrashesEnginesIsQuarantined(t *testing.T) {
	checkCrashingPrompt(t, 2500*time.Millisecond)
}

// Guards against crashes that are only seen by a refused connection: the next incarnation of the engine listens
// before one could be refused.
func TestPromptThatCrashesEnginesThatRestartAtOnceIsQuarantined(t *testing.T) {
	checkCrashingPrompt(t, time.Millisecond)
}

// checkCrashingPrompt checks that a prompt that crashes engines, which restart after downtime, is quarantined, and
// that other prompts are not.
func checkCrashingPrompt(t *testing.T, downtime time.Duration) {
	t.Helper()
	withTestFleet(t, 3, 6, func(f *testFleet) {
		is := is.New(t)
		c := &crashingPrompt{fleet: f, text: "crash ", downtime: downtime}
		for _, e := range f.engines {
			f.killEngine(e)
			c.startEngine(e)
		}
		time.Sleep(3 * time.Second)
		ask := func(prompt string) error {
			r := api.CompletionRequest{Model: "model", Prompt: prompt, MaxTokens: 20}
			_, err := f.client(1).Complete(context.Background(), r, client.Options{Timeout: 5 * time.Second}, nil)
			return err
		}
		for range 40 {
			_ = ask("crash " + strings.Repeat("a", 100)) // crashes an engine or is refused
			time.Sleep(200 * time.Millisecond)
		}
		c.lock.Lock()
		times := c.arrivals
		c.lock.Unlock()
		is.True(len(times) >= 3)
		late := 0
		for _, at := range times {
			if at.After(times[2].Add(3 * time.Second)) {
				late++
			}
		}
		is.True(late <= 3)
		time.Sleep(5 * time.Second)
		for range 10 {
			is.NoErr(ask("another " + strings.Repeat("a", 100)))
		}
	})
}

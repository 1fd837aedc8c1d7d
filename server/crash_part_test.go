package server

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/client"
)

// Engines crash under prompts that begin with the same two texts and are not alike otherwise. Guards against prompts
// that share something that crashes engines being sent to engine after engine, as only equal ones were counted.
func TestPromptsThatShareACrashingPrefixAreQuarantined(t *testing.T) {
	system, document := strings.Repeat("system text ", 100), strings.Repeat("crash document ", 400)
	sound := func(n int) api.CompletionRequest {
		return api.CompletionRequest{Prompt: system + strings.Repeat(fmt.Sprintf("another %d ", n%5), 600) + fmt.Sprint(n)}
	}
	checkCommonCause(t, "crash document", sound, func(n int) api.CompletionRequest {
		return api.CompletionRequest{Prompt: system + document + fmt.Sprint("question ", n)}
	})
}

// What prompts share is told by their adapter and beginnings, of one model and organisation.
func TestPartsOf(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("a", 5000)
	parts := partsOf("crew", &api.CompletionRequest{Model: "m", Adapter: "a1", Prompt: long})
	is.Equal(len(parts), 3) // the adapter, and two beginnings
	other := partsOf("crew", &api.CompletionRequest{Model: "m", Prompt: long[:2000] + "b" + long})
	is.Equal(len(other), 2)
	is.Equal(other[0], parts[1])
	is.True(other[1] != parts[2])
	is.Equal(len(partsOf("crew", &api.CompletionRequest{Model: "m", Prompt: long[:1024]})), 0)
	is.True(partsOf("crew", &api.CompletionRequest{Model: "n", Prompt: long})[0] != parts[1])
	is.Equal(len(partsOf("crew", &api.CompletionRequest{Prompt: strings.Repeat(long, 200)})), 5)
}

// checkCommonCause sends five prompts a second that crash engines, which those do that contain trigger, and beside
// them sound ones. It checks that no more than a dozen engines crash, that none does in the end, and that the sound ones
// are answered then.
func checkCommonCause(t *testing.T, trigger string, sound, bad func(n int) api.CompletionRequest) {
	t.Helper()
	withTestFleet(t, 3, 8, func(f *testFleet) {
		c := &crashingPrompt{fleet: f, text: trigger, downtime: 2500 * time.Millisecond}
		for _, e := range f.engines {
			f.killEngine(e)
			c.startEngine(e)
		}
		time.Sleep(3 * time.Second)
		began := time.Now()
		var sending sync.WaitGroup
		var lock sync.Mutex
		answered, sent := 0, 0
		send := func(n int, r api.CompletionRequest, isCounted bool) {
			sending.Add(1)
			go func() {
				defer sending.Done()
				r.Model, r.MaxTokens = "model", 20
				_, err := f.client(n%3+1).Complete(context.Background(), r, client.Options{Timeout: 3 * time.Second}, nil)
				lock.Lock()
				defer lock.Unlock()
				if isCounted {
					sent++
				}
				if isCounted && err == nil {
					answered++
				}
			}()
		}
		for n := range 100 {
			send(n, bad(n), false)
			for k := range 2 {
				send(2*n+k, sound(2*n+k), time.Since(began) > 9*time.Second)
			}
			time.Sleep(200 * time.Millisecond)
		}
		sending.Wait()
		c.lock.Lock()
		defer c.lock.Unlock()
		late := 0
		for _, at := range c.arrivals {
			if at.Sub(began) > 9*time.Second {
				late++
			}
		}
		t.Logf("%d arrivals, %d of them late; %d of %d sound prompts answered", len(c.arrivals), late, answered, sent)
		if len(c.arrivals) > 12 || late > 0 {
			t.Errorf("%d prompts reached engines, %d of them late", len(c.arrivals), late)
		}
		if float64(answered) < 0.95*float64(sent) {
			t.Errorf("%d of %d sound prompts were answered", answered, sent)
		}
	})
}

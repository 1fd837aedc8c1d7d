package server

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/client"
)

// groupPrompt returns a prompt that needs the memory of three engines. Its answer takes 20 s.
func groupPrompt() api.CompletionRequest {
	return api.CompletionRequest{Model: "model", Prompt: strings.Repeat("word", 40_000), MaxTokens: 1000}
}

// withGroupAnswer runs a function while the first entry streams the answer to groupPrompt, and checks that the
// answer is complete. Interrupt gets the engines of the group, the one that streams first. The result is the
// log of the entry.
func withGroupAnswer(t *testing.T, engines int, interrupt func(f *testFleet, group []*testEngine)) (log string) {
	t.Helper()
	withTestFleet(t, 2, engines, func(f *testFleet) {
		is := is.New(t)
		entry := f.entries[0]
		f.killEntry(entry)
		f.log = &lockedBuffer{}
		f.startEntry(entry)
		time.Sleep(8 * time.Second) // keepers receive reports of their engines
		var result client.Result
		var err error
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			result, err = f.directClient(entry, 1).Complete(context.Background(), groupPrompt(), client.Options{Timeout: 100 * time.Second}, nil)
		}()
		time.Sleep(5 * time.Second)
		group := slices.DeleteFunc(slices.Clone(f.engines), func(e *testEngine) bool { return f.engineReport(e).UsedTokens == 0 })
		is.Equal(len(group), 3)
		interrupt(f, group)
		<-answered
		is.NoErr(err)
		is.Equal(result.Text, wholeAnswer(groupPrompt()))
		log = f.log.String()
	})
	return log
}

// Guards against a prompt that is refused as too long, although a group of all engines can hold it: the engine that
// streamed is not chosen again for the next attempt, and the others are too few. All have recovered.
func TestGroupOfAllEnginesIsResumed(t *testing.T) {
	is := is.New(t)
	log := withGroupAnswer(t, 3, func(f *testFleet, group []*testEngine) {
		f.killEngine(group[0])
		f.startEngine(group[0])
	})
	is.Equal(strings.Count(log, "event=group "), 2)
}

// Guards against a final refusal of a prompt that fits the engines of the document, but not those that are usable
// now: its caller would never try again.
func TestPromptThatFitsTheDocumentIsNotTooLong(t *testing.T) {
	withTestFleet(t, 2, 3, func(f *testFleet) {
		is := is.New(t)
		ask := func(r api.CompletionRequest) api.ErrorDetail {
			_, err := f.directClient(f.entries[0], 1).Complete(context.Background(), r, client.Options{Timeout: 8 * time.Second}, nil)
			var refused *client.EntryError
			is.True(errors.As(err, &refused))
			return refused.Detail
		}
		for i := range f.instanceList.Instances {
			if f.instanceList.Instances[i].Name == "engine-3" {
				f.instanceList.Instances[i].State = api.InstanceLeaving
			}
		}
		f.publishList()
		time.Sleep(5 * time.Second)
		refused := ask(groupPrompt())
		is.Equal(refused.Code, api.CodeOverloaded)
		is.True(refused.RetryAfterSeconds > 0)
		longer := groupPrompt()
		longer.Prompt = strings.Repeat(longer.Prompt, 2)
		is.Equal(ask(longer).Code, api.CodePromptTooLong)
	})
}

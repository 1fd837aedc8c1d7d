package server

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/client"
	"github.com/sapphireramp/sapphireramp/standin/engine"
)

// These tests check that a request accepted by an entry that is shutting down gets its complete answer or a
// truthful refusal, however long that takes.

// withReadyFleet runs a function on a fleet of two entries that accept callers and three engines, the fewest
// that can hold the document's longest prompt.
func withReadyFleet(t *testing.T, run func(*testFleet)) {
	t.Helper()
	withTestFleet(t, 2, 3, func(f *testFleet) {
		time.Sleep(5 * time.Second) // keepers receive reports of their engines
		run(f)
	})
}

// maxStopTime returns the time that an entry of a test fleet needs to shut down without requests in
// progress, plus a second.
func (e *testEntry) maxStopTime() time.Duration {
	c := e.settings.Callers
	return c.AddressLife + c.DrainSlack + 2*e.settings.Timing.Heartbeat + time.Second
}

// hasEnded reports whether the entry's Run returns within the given time.
func (e *testEntry) hasEnded(within time.Duration) bool {
	select {
	case <-e.done:
		return true
	case <-time.After(within):
		return false
	}
}

// directClient returns a client that uses one entry only.
func (f *testFleet) directClient(e *testEntry, tries int) *client.Client {
	c := client.Config{APIKey: testKey, MaxTries: tries, HTTPClient: f.httpClient(), SeedsOnly: true}
	c.Seeds = append(c.Seeds, e.settings.Address)
	return client.New(c)
}

// dial opens a connection from the caller's host to an entry.
func (f *testFleet) dial(e *testEntry) net.Conn {
	c, err := f.net.Dialer(callerHost)(context.Background(), "tcp", e.settings.Address.String())
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

// rawPrompt returns a complete HTTP request for a prompt.
func rawPrompt(r api.CompletionRequest) (header, body string) {
	data, _ := json.Marshal(r)
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", api.PathCompletions, testKey, len(data)), string(data)
}

func wholeAnswer(r api.CompletionRequest) string {
	var all strings.Builder
	for i := range r.MaxTokens {
		all.WriteString(engine.AnswerToken(engine.AnswerTag(r), i))
	}
	return all.String()
}

// The shutdown starts 0.5 s into answers that take 20 s, ten times the shutdown time of an idle entry.
// Guards against cutting off any kind of answer: a stream, a response in one piece, a prompt on a group of
// engines, an at-most-once call, and one that another entry forwarded to the entry that shuts down.
func TestStoppingEntryFinishesAcceptedRequests(t *testing.T) {
	long := api.CompletionRequest{Model: "model", Prompt: "a long answer", MaxTokens: 1000}
	streamed, grouped := long, long
	streamed.Stream = true
	grouped.Prompt, grouped.Stream = strings.Repeat("joint ", 20_000), true
	complete := func(r api.CompletionRequest) func(*testFleet, *testEntry) (string, error) {
		return func(f *testFleet, e *testEntry) (string, error) {
			result, err := f.directClient(e, 1).Complete(context.Background(), r, client.Options{Timeout: time.Minute}, nil)
			return result.Text, err
		}
	}
	call := func(ask func(*testFleet) *testEntry) func(*testFleet, *testEntry) (string, error) {
		return func(f *testFleet, e *testEntry) (string, error) {
			ticket, err := f.directClient(e, 1).RequestTicket(context.Background())
			if err != nil {
				return "", err
			}
			f.service.Delay = 20 * time.Second
			_, err = f.directClient(ask(f), 1).Call(context.Background(), "dispatch", "truck", []byte(`{"truck":1}`), client.Options{Timeout: time.Minute, Ticket: ticket})
			return "", err
		}
	}
	for _, c := range []struct {
		name string
		ask  func(*testFleet, *testEntry) (string, error)
		want string
	}{
		{"stream", complete(streamed), wholeAnswer(streamed)},
		{"whole answer", complete(long), wholeAnswer(long)},
		{"group", complete(grouped), wholeAnswer(grouped)},
		{"at most once", call(func(f *testFleet) *testEntry { return f.entries[0] }), ""},
		{"forwarded", call(func(f *testFleet) *testEntry { return f.entries[1] }), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			withReadyFleet(t, func(f *testFleet) {
				is := is.New(f.t)
				e := f.entries[0]
				var text string
				var err error
				answered := make(chan struct{})
				go func() {
					defer close(answered)
					text, err = c.ask(f, e)
				}()
				time.Sleep(500 * time.Millisecond)
				is.True(e.server.inFlight() > 0)
				e.stop()
				is.True(!e.hasEnded(10 * time.Second)) // the entry waits for the answer
				<-answered
				is.NoErr(err)
				is.Equal(text, c.want)
				is.True(e.hasEnded(e.maxStopTime()))
			})
		})
	}
}

// An engine crashes during the shutdown of an entry: the answer is resumed on another engine.
func TestStoppingEntryResumesStream(t *testing.T) {
	withReadyFleet(t, func(f *testFleet) {
		is := is.New(f.t)
		e := f.entries[0]
		r := api.CompletionRequest{Model: "model", Prompt: "a long answer", MaxTokens: 1000, Stream: true}
		var result client.Result
		var err error
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			result, err = f.directClient(e, 1).Complete(context.Background(), r, client.Options{Timeout: time.Minute}, nil)
		}()
		time.Sleep(500 * time.Millisecond)
		e.stop()
		time.Sleep(e.maxStopTime())
		// All engines are queried before any is killed, so that an engine on which the answer resumes is not
		// killed too.
		serving := slices.DeleteFunc(slices.Clone(f.engines), func(engine *testEngine) bool { return f.engineReport(engine).UsedTokens == 0 })
		is.True(len(serving) > 0)
		for _, engine := range serving {
			f.killEngine(engine)
		}
		<-answered
		is.NoErr(err)
		is.Equal(result.Text, wholeAnswer(r))
		is.True(e.hasEnded(e.maxStopTime()))
	})
}

// The header of a prompt arrives before the shutdown, and the last byte of its body long after an idle
// entry would have exited. Guards against the entry exiting without an answer to such a request.
func TestStoppingEntryAwaitsBody(t *testing.T) {
	withReadyFleet(t, func(f *testFleet) {
		is := is.New(f.t)
		e := f.entries[0]
		header, body := rawPrompt(api.CompletionRequest{Model: "model", Prompt: "slow", MaxTokens: 10})
		c := f.dial(e)
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, header+body[:10])
		time.Sleep(100 * time.Millisecond)
		e.stop()
		is.True(!e.hasEnded(10 * time.Second))
		_, _ = io.WriteString(c, body[10:])
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		is.NoErr(response.Write(io.Discard))
		is.True(e.hasEnded(e.maxStopTime()))
	})
}

// The header of a prompt arrives in two pieces, the second after the shutdown has begun. Guards against a
// refusal that misleads the caller: it must have the code for stopping and the outcome not run, the prompt
// must have reached no engine, and it must name the other entry, which then serves the prompt.
func TestStoppingEntryRefusesNewRequests(t *testing.T) {
	withReadyFleet(t, func(f *testFleet) {
		is := is.New(f.t)
		e := f.entries[0]
		r := api.CompletionRequest{Model: "model", Prompt: "late", MaxTokens: 10}
		header, body := rawPrompt(r)
		c := f.dial(e)
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, header[:20])
		e.stop()
		time.Sleep(500 * time.Millisecond)
		go func() { _, _ = io.WriteString(c, header[20:]+body) }()
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		var refusal api.Error
		is.NoErr(json.NewDecoder(response.Body).Decode(&refusal))
		is.Equal(refusal.Error.Code, api.CodeStopping)
		is.Equal(refusal.Error.Outcome, api.OutcomeNotRun)
		is.Equal(response.Header.Get("Retry-After"), "1")
		is.Equal(refusal.Error.Elsewhere, []string{f.entries[1].settings.Address.String()})
		is.Equal(len(f.engineReport(f.engines[0]).Requests), 0)

		time.Sleep(time.Duration(refusal.Error.RetryAfterSeconds * float64(time.Second)))
		result, err := f.directClient(f.entries[1], 1).Complete(context.Background(), r, client.Options{Timeout: time.Second}, nil)
		is.NoErr(err)
		is.Equal(result.Text, wholeAnswer(r))
	})
}

// Calls with unspent tickets of an entry that shuts down are sent to another entry, which forwards them,
// until after the exit. Guards against a wrong report: an answered call must have run once, and a refused
// one, with outcome unknown, must not have run.
func TestStoppingEntrySpendsItsTickets(t *testing.T) {
	withReadyFleet(t, func(f *testFleet) {
		is := is.New(f.t)
		e, other := f.entries[0], f.entries[1]
		var tickets []string
		for range 60 {
			ticket, err := f.directClient(e, 1).RequestTicket(context.Background())
			is.NoErr(err)
			tickets = append(tickets, ticket)
		}
		e.stop()
		for n, ticket := range tickets {
			body := fmt.Sprintf(`{"truck":%d}`, n)
			_, err := f.directClient(other, 1).Call(context.Background(), "dispatch", "truck", []byte(body), client.Options{Timeout: 5 * time.Second, Ticket: ticket})
			ran := 0
			for _, x := range f.service.Executions() {
				if x.Body == body {
					ran++
				}
			}
			var refused *client.EntryError
			switch {
			case err == nil:
				is.Equal(ran, 1)
			case errors.As(err, &refused):
				is.Equal(refused.Detail.Outcome, api.OutcomeUnknown)
				is.Equal(ran, 0)
			default:
				is.NoErr(err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		is.True(e.hasEnded(e.maxStopTime()))
	})
}

// A caller sends requests to an entry that is shutting down, on one connection for as long as it stays
// open, and gets an answer to each. Sending takes a quarter of a second, so that one request is in transit
// when the entry exits. Guards against the entry closing idle connections at its exit, which lost such a
// request without an answer.
func TestStoppingEntryAnswersOnKeepAliveConnections(t *testing.T) {
	withReadyFleet(t, func(f *testFleet) {
		is := is.New(f.t)
		e := f.entries[0]
		header, body := rawPrompt(api.CompletionRequest{Model: "model", Prompt: "again", MaxTokens: 1})
		f.net.LimitSendRate(callerHost, 4*len(header+body))
		e.stop()
		time.Sleep(100 * time.Millisecond)
		for {
			c, err := f.net.Dialer(callerHost)(context.Background(), "tcp", e.settings.Address.String())
			if err != nil {
				break // the entry no longer accepts connections
			}
			answers := bufio.NewReader(c)
			for closed := false; !closed; {
				_, _ = io.WriteString(c, header+body)
				response, err := http.ReadResponse(answers, nil)
				is.NoErr(err) // a request that was sent got no answer
				is.Equal(response.Header.Get(api.HeaderOutcome), string(api.OutcomeNotRun))
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				closed = response.Close
			}
			_ = c.Close()
		}
		is.True(e.hasEnded(e.maxStopTime()))
	})
}

// A caller that was refused sends no more of its body and keeps its connection open. Guards against the
// shutdown waiting for that caller: an operator would then kill the entry, along with the answers in
// progress.
func TestStalledCallerDoesNotDelayShutdown(t *testing.T) {
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
		is.Equal(response.Header.Get(api.HeaderOutcome), string(api.OutcomeNotRun))
		is.True(e.hasEnded(time.Minute)) // the entry waits for a caller that sends nothing
	})
}

// Callers that got their addresses before a shutdown send at-most-once calls with up to four tries. Guards
// against a call failing because the entry that is shutting down refused it a ticket while another entry
// was ready.
func TestTicketIsIssuedElsewhereDuringShutdown(t *testing.T) {
	withReadyFleet(t, func(f *testFleet) {
		is := is.New(f.t)
		var callers []*client.Client
		for range 10 {
			c := f.client(4)
			_, err := c.Addresses(context.Background())
			is.NoErr(err)
			callers = append(callers, c)
		}
		f.entries[0].stop()
		time.Sleep(10 * time.Millisecond)
		for _, c := range callers {
			_, err := c.Call(context.Background(), "dispatch", "truck", []byte(`{}`), client.Options{Timeout: 5 * time.Second, AtMostOnce: true})
			is.NoErr(err)
		}
	})
}

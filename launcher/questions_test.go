package launcher_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/standin/caller"
	"github.com/sapphireramp/sapphireramp/standin/worker"
)

const (
	// longEvents is how many events a long answer has, of 50 tokens each.
	longEvents = 20
	// lifetime is how long a stopping entry goes on after the order to stop.
	lifetime = grace - 300*time.Millisecond
	// longPatience is that of callers who wait for any answer.
	longPatience = 20 * time.Second
	// longUsage is a short prompt with a long answer.
	longUsage = "2000,1000"
	// heavyUsage is a prompt that takes an engine over a second, groupUsage one that needs the
	// memory of two; their answers are long.
	heavyUsage, groupUsage = "200000,1000", "320000,1000"
)

// lengthen adds upstreams that take long, and routes to them. What the configuration says of
// engines is the longest that their answers take: 20 events with pauses of 0.345 s.
func (f *fleet) lengthen() {
	for _, pause := range []time.Duration{200, 230, 260, 290, 320, 345} {
		f.addWorkerThat("long", 20*time.Millisecond, longEvents, pause*time.Millisecond)
	}
	for range 3 {
		f.addWorkerThat("heavy", 1500*time.Millisecond, longEvents, 300*time.Millisecond)
		f.addWorkerThat("near", 2300*time.Millisecond, 0, 0)
		f.addWorkerThat("slow", 6500*time.Millisecond, 0, 0)
	}
	for range 3 {
		f.addWorkerThat("brief", 20*time.Millisecond, longEvents, 100*time.Millisecond)
	}
	route := func(name, kind, service string, timeout, target, attempts int, resume bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h", "prefix": "/" + name + "/", "kind": kind, "service": service, "timeout-ms": timeout,
			"target-latency-ms": target, "gap-aim-ms": 400, "max-attempts": attempts, "stream-resume": resume,
		}
	}
	engine := func(step float64) json.RawMessage {
		return json.RawMessage(fmt.Sprintf(`{"slots":16,"kv-capacity-tokens":315000,"stride":50,"step_ms":%g,"per_seq_ms":0.001,"read_per_s":177000,"chunk":2048}`, step))
	}
	f.store.Put("op/config", map[string]any{
		"version": 2,
		"routes": []any{
			route("once", "non_idempotent", "app", 3000, 300, 1, false),
			route("once/near", "non_idempotent", "near", 3000, 300, 1, false),
			route("once/slow", "non_idempotent", "slow", 8000, 300, 1, false),
			route("safe", "idempotent", "app", 3000, 300, 2, false),
			route("safe/near", "idempotent", "near", 3000, 300, 2, false),
			route("safe/slow", "idempotent", "slow", 8000, 300, 2, false),
			route("stream", "streaming", "long", 8000, 300, 2, true),
			route("fixed", "streaming", "long", 8000, 300, 2, false),
			route("stream/brief", "streaming", "brief", 8000, 300, 2, true),
			route("stream/heavy", "streaming", "heavy", 15000, 3000, 2, true),
			route("fixed/heavy", "streaming", "heavy", 15000, 3000, 2, false),
		},
		"services": []any{
			map[string]any{"name": "app"}, map[string]any{"name": "near"}, map[string]any{"name": "slow"},
			map[string]any{"name": "long", "engine": engine(6.9)}, map[string]any{"name": "heavy", "engine": engine(6.9)},
			map[string]any{"name": "brief", "engine": engine(2)},
		},
		"limits":  map[string]any{"max-body-bytes": 100000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "crew", "api-keys": []string{"key-1"}}},
	})
	time.Sleep(3 * time.Second)
}

// question is one request to an entry that is told to stop.
type question struct {
	path string
	// usage is the prompt's tokens and the most that its answer may have.
	usage string
	// at is when it is sent, from the order to stop on, negative before.
	at time.Duration
	// body is how long its body takes; 0 for none.
	body time.Duration
	// kept is true where its connection has served another request before.
	kept bool
}

// over returns questions alike at times from first to the end of the process.
func (q question) over(first time.Duration) []question {
	var out []question
	// Callers don't ask at the very moments at which a stopping entry looks around.
	for q.at = first + 5*time.Millisecond; q.at < lifetime; q.at += 250 * time.Millisecond {
		out = append(out, q)
	}
	return out
}

// bodiesUntil returns questions alike whose bodies end at times from the order to stop on.
func (q question) bodiesUntil(last time.Duration) []question {
	var out []question
	for q.body = 255*time.Millisecond - q.at; q.body < last-q.at; q.body += 250 * time.Millisecond {
		out = append(out, q)
	}
	return out
}

// slowBody is a body of two bytes, the last of which comes after a time.
func slowBody(d time.Duration) io.Reader {
	r, w := io.Pipe()
	go func() {
		_, _ = w.Write([]byte("a"))
		time.Sleep(d)
		_, _ = w.Write([]byte("b"))
		_ = w.Close()
	}()
	return r
}

// askStopping stops an entry a second from now, and asks it questions by its address, as
// callers do that still have it. It returns the answers in the order of the questions.
func (f *fleet) askStopping(e *entry, questions []question) []caller.Result {
	f.rounds++
	results := make([]caller.Result, len(questions))
	stopAt := time.Now().Add(time.Second)
	var asked sync.WaitGroup
	for i, q := range questions {
		id := f.id(i)
		asked.Go(func() {
			c := f.newCaller(uint64(i))
			defer c.Close()
			c.Fix(netip.AddrPortFrom(e.host, entryPort))
			if q.kept {
				c.Ask("/safe/x", "before-"+id, "key-1", longPatience)
			}
			if q.usage != "" {
				c.Usage = q.usage
			}
			if q.body > 0 {
				c.Body = func() io.Reader { return slowBody(q.body) }
			}
			time.Sleep(time.Until(stopAt.Add(q.at)))
			results[i] = c.Ask(q.path, id, "key-1", longPatience)
		})
	}
	time.Sleep(time.Until(stopAt))
	e.stop()
	asked.Wait()
	<-e.ended
	return results
}

// id is that of a question of the last round.
func (f *fleet) id(i int) string { return fmt.Sprintf("q%d-%d", f.rounds, i) }

var errUnanswered = errors.New("the entry broke the connection off")

// lost says how the entry lost a request that it took; nil where it gave the whole answer, or
// refused honestly what it never passed on, or no longer took it.
func (f *fleet) lost(r caller.Result) error {
	ran := f.runs(r.ID)
	if broken := r.Broken(ran, longEvents); len(broken) > 0 {
		return errors.New(strings.Join(broken, ", "))
	}
	switch {
	case r.Served():
		return nil
	case r.Err != nil && ran == 0 && strings.Contains(r.Err.Error(), "connection refused"):
		return nil
	case r.Err != nil:
		return fmt.Errorf("%w after %s, %d runs, %d bytes: %w", errUnanswered, r.Took.Round(time.Millisecond), ran, len(r.Body), r.Err)
	case r.Status == http.StatusServiceUnavailable && ran == 0:
		return checkRetryAfter(r.RetryAfter)
	}
	return fmt.Errorf("answered with %d after %s, %d runs, Retry-After %q", r.Status, r.Took.Round(time.Millisecond), ran, r.RetryAfter)
}

// checkRetryAfter wants a time that a caller can wait for.
func checkRetryAfter(text string) error {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds <= 0 || seconds > longPatience.Seconds() {
		return fmt.Errorf("refused with Retry-After %q", text)
	}
	return nil
}

// heldBack reports whether a stopping entry took its time to refuse a request.
func heldBack(q question, r caller.Result) bool {
	return q.at >= 0 && r.Err == nil && r.Status == http.StatusServiceUnavailable && r.Took > q.body+50*time.Millisecond
}

// checkNoneLost asks an entry that stops, and fails the test for every request that it loses.
// It returns the answers in the order of the questions.
func (f *fleet) checkNoneLost(questions []question) []caller.Result {
	f.t.Helper()
	results := f.askStopping(f.entries[0], questions)
	for i, r := range results {
		if err := f.lost(r); err != nil {
			f.t.Errorf("%s asked %s after the order to stop, body %s: %v", r.Path, questions[i].at, questions[i].body, err)
		}
		if heldBack(questions[i], r) {
			f.t.Errorf("%s asked %s after the order to stop was refused after %s", r.Path, questions[i].at, r.Took)
		}
	}
	return results
}

func (f *fleet) setAll(fault worker.Fault) {
	for _, w := range f.workers {
		w.SetFault(fault)
	}
}

// withLongAnswers runs a test with two entries before upstreams that take long.
func withLongAnswers(t *testing.T, test func(is *is.I, f *fleet)) {
	withFleet(t, 2, func(is *is.I, f *fleet) {
		f.lengthen()
		test(is, f)
	})
}

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
	// exitDelay is how long a stopping entry goes on after the order to stop.
	exitDelay = gracePeriod - 300*time.Millisecond
	// callerTimeout is that of callers who wait for any answer.
	callerTimeout = 20 * time.Second
	// longAnswerUsage is a short prompt with a long answer.
	longAnswerUsage = "2000,1000"
	// longPromptUsage is a prompt that takes an engine over a second, groupUsage one that needs the
	// memory of two; their answers are long.
	longPromptUsage, groupPromptUsage = "200000,1000", "320000,1000"
)

// addSlowWorkers adds upstreams that take long, and routes to them. What the configuration says of
// engines is the longest that their answers take: 20 events with pauses of 0.345 s.
func (f *fleet) addSlowWorkers() {
	for _, pause := range []time.Duration{200, 230, 260, 290, 320, 345} {
		f.addWorkerWith("long", 20*time.Millisecond, longEvents, pause*time.Millisecond)
	}
	for range 3 {
		f.addWorkerWith("heavy", 1500*time.Millisecond, longEvents, 300*time.Millisecond)
		f.addWorkerWith("near", 2300*time.Millisecond, 0, 0)
		f.addWorkerWith("slow", 6500*time.Millisecond, 0, 0)
	}
	for range 3 {
		f.addWorkerWith("brief", 20*time.Millisecond, longEvents, 100*time.Millisecond)
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

// plannedRequest is one request to an entry that is told to stop.
type plannedRequest struct {
	path string
	// usage is the prompt's tokens and the most that its answer may have.
	usage string
	// sendAt is when it is sent, from the order to stop on, negative before.
	sendAt time.Duration
	// bodyTime is how long its body takes; 0 for none.
	bodyTime time.Duration
	// reusesConn is true where its connection has served another request before.
	reusesConn bool
}

// repeatUntilExit returns planned alike at times from first to the end of the process.
func (q plannedRequest) repeatUntilExit(firstSendAt time.Duration) []plannedRequest {
	var out []plannedRequest
	// Callers don't ask at the very moments at which a stopping entry looks around.
	for q.sendAt = firstSendAt + 5*time.Millisecond; q.sendAt < exitDelay; q.sendAt += 250 * time.Millisecond {
		out = append(out, q)
	}
	return out
}

// withBodiesUntil returns planned alike whose bodies end at times from the order to stop on.
func (q plannedRequest) withBodiesUntil(lastEnd time.Duration) []plannedRequest {
	var out []plannedRequest
	for q.bodyTime = 255*time.Millisecond - q.sendAt; q.bodyTime < lastEnd-q.sendAt; q.bodyTime += 250 * time.Millisecond {
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

// sendDuringShutdown stops an entry a second from now, and asks it planned by its address, as
// callers do that still have it. It returns the answers in the order of the planned.
func (f *fleet) sendDuringShutdown(e *entry, planned []plannedRequest) []caller.Result {
	f.trafficCount++
	results := make([]caller.Result, len(planned))
	stopAt := time.Now().Add(time.Second)
	var senders sync.WaitGroup
	for i, q := range planned {
		id := f.requestID(i)
		senders.Go(func() {
			c := f.newCaller(uint64(i))
			defer c.Close()
			c.Fix(netip.AddrPortFrom(e.host, entryPort))
			if q.reusesConn {
				c.Ask("/safe/x", "before-"+id, "key-1", callerTimeout)
			}
			if q.usage != "" {
				c.Usage = q.usage
			}
			if q.bodyTime > 0 {
				c.Body = func() io.Reader { return slowBody(q.bodyTime) }
			}
			time.Sleep(time.Until(stopAt.Add(q.sendAt)))
			results[i] = c.Ask(q.path, id, "key-1", callerTimeout)
		})
	}
	time.Sleep(time.Until(stopAt))
	e.stop()
	senders.Wait()
	<-e.exited
	return results
}

// requestID is that of a question of the last round.
func (f *fleet) requestID(i int) string { return fmt.Sprintf("q%d-%d", f.trafficCount, i) }

var errUnanswered = errors.New("the entry broke the connection off")

// checkResult says how the entry lost a request that it took; nil where it gave the whole answer, or
// refused honestly what it never passed on, or no longer took it.
func (f *fleet) checkResult(r caller.Result) error {
	runs := f.runCount(r.ID)
	if violations := r.Broken(runs, longEvents); len(violations) > 0 {
		return errors.New(strings.Join(violations, ", "))
	}
	switch {
	case r.Served():
		return nil
	case r.Err != nil && runs == 0 && strings.Contains(r.Err.Error(), "connection refused"):
		return nil
	case r.Err != nil:
		return fmt.Errorf("%w after %s, %d runs, %d bytes: %w", errUnanswered, r.Took.Round(time.Millisecond), runs, len(r.Body), r.Err)
	case r.Status == http.StatusServiceUnavailable && runs == 0:
		return checkRetryAfter(r.RetryAfter)
	}
	return fmt.Errorf("answered with %d after %s, %d runs, Retry-After %q", r.Status, r.Took.Round(time.Millisecond), runs, r.RetryAfter)
}

// checkRetryAfter wants a time that a caller can wait for.
func checkRetryAfter(text string) error {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds <= 0 || seconds > callerTimeout.Seconds() {
		return fmt.Errorf("refused with Retry-After %q", text)
	}
	return nil
}

// isRefusedLate reports whether a stopping entry took its time to refuse a request.
func isRefusedLate(q plannedRequest, r caller.Result) bool {
	return q.sendAt >= 0 && r.Err == nil && r.Status == http.StatusServiceUnavailable && r.Took > q.bodyTime+50*time.Millisecond
}

// checkNoneLost asks an entry that stops, and fails the test for every request that it loses.
// It returns the answers in the order of the planned.
func (f *fleet) checkNoneLost(planned []plannedRequest) []caller.Result {
	f.t.Helper()
	results := f.sendDuringShutdown(f.entries[0], planned)
	for i, r := range results {
		if err := f.checkResult(r); err != nil {
			f.t.Errorf("%s asked %s after the order to stop, body %s: %v", r.Path, planned[i].sendAt, planned[i].bodyTime, err)
		}
		if isRefusedLate(planned[i], r) {
			f.t.Errorf("%s asked %s after the order to stop was refused after %s", r.Path, planned[i].sendAt, r.Took)
		}
	}
	return results
}

func (f *fleet) setFaults(fault worker.Fault) {
	for _, w := range f.workers {
		w.SetFault(fault)
	}
}

// withLongAnswers runs a test with two entries before upstreams that take long.
func withLongAnswers(t *testing.T, test func(is *is.I, f *fleet)) {
	withFleet(t, 2, func(is *is.I, f *fleet) {
		f.addSlowWorkers()
		test(is, f)
	})
}

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
	// longEvents is the number of events, of 50 tokens each, in a long response.
	longEvents = 20
	// exitDelay is the time from SIGTERM until an entry cancels its remaining requests and exits.
	exitDelay = shutdownGrace - 300*time.Millisecond
	// callerTimeout is the timeout of callers. It is longer than any response takes.
	callerTimeout = 20 * time.Second
	// longAnswerUsage is the value of X-Token-Usage, the lengths of prompt and answer in tokens, for a
	// short prompt with a long answer.
	longAnswerUsage = "2000,1000"
	// longPromptUsage is the value for a prompt that takes an engine over a second to prefill,
	// groupPromptUsage that for a prompt that needs the memory of two engines. Their answers are long.
	longPromptUsage, groupPromptUsage = "200000,1000", "320000,1000"
)

// addSlowWorkers adds workers with slow responses, and routes to these workers. The step time of all
// engines in the configuration is that of the slowest, which sends 20 events with gaps of 0.345 s.
func (f *fleet) addSlowWorkers() {
	for _, gap := range []time.Duration{200, 230, 260, 290, 320, 345} {
		f.addWorkerWith("long", 20*time.Millisecond, longEvents, gap*time.Millisecond)
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

// plannedRequest is a request to be sent to an entry around the time of its SIGTERM.
type plannedRequest struct {
	path string
	// usage states the prompt length and the maximum answer length in tokens; empty for no prompt.
	usage string
	// sendAt is the time from SIGTERM at which the request is sent; negative for before it.
	sendAt time.Duration
	// bodyTime is the time that sending the body takes; 0 for no body.
	bodyTime time.Duration
	// reusesConn is true if the request is sent on a connection that already served another request.
	reusesConn bool
}

// repeatUntilExit returns copies of the request, one for each 250 ms from firstSendAt after SIGTERM until
// the entry exits.
func (q plannedRequest) repeatUntilExit(firstSendAt time.Duration) []plannedRequest {
	var out []plannedRequest
	// The offset keeps requests off the multiples of drainPollPeriod, at which the entry checks its state.
	for q.sendAt = firstSendAt + 5*time.Millisecond; q.sendAt < exitDelay; q.sendAt += 250 * time.Millisecond {
		out = append(out, q)
	}
	return out
}

// withBodiesUntil returns copies of the request whose bodies are complete at different times, one for each
// 250 ms from SIGTERM until lastEnd after it.
func (q plannedRequest) withBodiesUntil(lastEnd time.Duration) []plannedRequest {
	var out []plannedRequest
	for q.bodyTime = 255*time.Millisecond - q.sendAt; q.bodyTime < lastEnd-q.sendAt; q.bodyTime += 250 * time.Millisecond {
		out = append(out, q)
	}
	return out
}

// slowBody returns a body of two bytes, the second of which arrives d after the first.
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

// sendDuringShutdown stops an entry a second from now and sends the planned requests directly to the
// entry, as callers do that still use its address. It returns the results in the order of the requests.
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
			c.SetFixedAddress(netip.AddrPortFrom(e.host, entryPort))
			if q.reusesConn {
				c.Do("/safe/x", "before-"+id, "key-1", callerTimeout)
			}
			if q.usage != "" {
				c.TokenUsage = q.usage
			}
			if q.bodyTime > 0 {
				c.Body = func() io.Reader { return slowBody(q.bodyTime) }
			}
			time.Sleep(time.Until(stopAt.Add(q.sendAt)))
			results[i] = c.Do(q.path, id, "key-1", callerTimeout)
		})
	}
	time.Sleep(time.Until(stopAt))
	e.stop()
	senders.Wait()
	<-e.exited
	return results
}

// requestID returns the ID of planned request i of the last call of sendDuringShutdown.
func (f *fleet) requestID(i int) string { return fmt.Sprintf("q%d-%d", f.trafficCount, i) }

var errUnanswered = errors.New("the entry closed the connection without a complete response")

// checkResult returns an error if the entry lost a request that it had accepted. It returns nil if the
// response is complete, if the entry refused a request that did not run, or if it no longer accepted
// connections.
func (f *fleet) checkResult(r caller.Result) error {
	executions := f.executionCount(r.ID)
	if violations := r.Violations(executions, longEvents); len(violations) > 0 {
		return errors.New(strings.Join(violations, ", "))
	}
	switch {
	case r.IsServed():
		return nil
	case r.Err != nil && executions == 0 && strings.Contains(r.Err.Error(), "connection refused"):
		return nil
	case r.Err != nil:
		return fmt.Errorf("%w after %s, %d executions, %d bytes: %w", errUnanswered, r.Duration.Round(time.Millisecond), executions, len(r.Body), r.Err)
	case r.Status == http.StatusServiceUnavailable && executions == 0:
		return checkRetryAfter(r.RetryAfter)
	}
	return fmt.Errorf("answered with %d after %s, %d executions, Retry-After %q", r.Status, r.Duration.Round(time.Millisecond), executions, r.RetryAfter)
}

// checkRetryAfter returns an error unless text is a positive number of seconds within callerTimeout.
func checkRetryAfter(text string) error {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds <= 0 || seconds > callerTimeout.Seconds() {
		return fmt.Errorf("refused with Retry-After %q", text)
	}
	return nil
}

// isRefusedLate reports whether an entry refused a request sent after SIGTERM only after a delay.
func isRefusedLate(q plannedRequest, r caller.Result) bool {
	return q.sendAt >= 0 && r.Err == nil && r.Status == http.StatusServiceUnavailable && r.Duration > q.bodyTime+50*time.Millisecond
}

// checkNoneLost sends the planned requests to an entry that shuts down, and fails the test for every
// request that is lost or refused late. It returns the results in the order of the requests.
func (f *fleet) checkNoneLost(planned []plannedRequest) []caller.Result {
	f.t.Helper()
	results := f.sendDuringShutdown(f.entries[0], planned)
	for i, r := range results {
		if err := f.checkResult(r); err != nil {
			f.t.Errorf("%s sent %s after SIGTERM, body %s: %v", r.Path, planned[i].sendAt, planned[i].bodyTime, err)
		}
		if isRefusedLate(planned[i], r) {
			f.t.Errorf("%s sent %s after SIGTERM was refused only after %s", r.Path, planned[i].sendAt, r.Duration)
		}
	}
	return results
}

// setFaults sets the fault of all workers.
func (f *fleet) setFaults(fault worker.Fault) {
	for _, w := range f.workers {
		w.SetFault(fault)
	}
}

// withLongAnswers runs a test with two entries and workers whose responses take long.
func withLongAnswers(t *testing.T, test func(is *is.I, f *fleet)) {
	withFleet(t, 2, func(is *is.I, f *fleet) {
		f.addSlowWorkers()
		test(is, f)
	})
}

package forwarder_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// restartEngine restarts the engine with index i under the same ID and adds its new incarnation to the
// dispatcher's instance list. Connections to the old incarnation stay open, as behind a partition.
func (f *fixture) restartEngine(i int) {
	f.engines[i].Restart()
	f.instances[2+i].Started = time.Now().Add(time.Millisecond)
	f.dispatcher.UpdateUpstreams(f.table, f.instances)
}

// runningEngine returns the index of the engine that runs the request with an id.
func (f *fixture) runningEngine(id string) int {
	f.is.Helper()
	i := slices.IndexFunc(f.engines, func(w *worker.Worker) bool { return worker.ExecutionCount(slices.Values([]*worker.Worker{w}), id) > 0 })
	f.is.True(i >= 0)
	return i
}

// A resumable stream whose engine restarts resumes at another engine at once, although its
// connection stays silent; a stream that may not be resumed ends at once. Neither waits for the
// watchdog, which would take 1.5 s here.
func TestStreamContinuesAfterEngineRestart(t *testing.T) {
	for _, c := range []struct {
		path   string
		status int
		err    bool
	}{{"/stream/x", 200, false}, {"/fixed/x", 200, true}} {
		withForwarder(t, func(f *fixture) {
			done := make(chan answer)
			go func() { done <- f.ask(request{path: c.path, id: "s1", usage: "1000,100"}) }()
			time.Sleep(200 * time.Millisecond) // 4 of 10 events have arrived
			f.restartEngine(f.runningEngine("s1"))
			a := <-done
			f.is.Equal(a.status, c.status)
			f.is.Equal(a.err != nil, c.err)
			if !c.err {
				f.is.Equal(a.body, wholeStream("s1", 1))
			}
			f.is.True(a.duration < 700*time.Millisecond)
		})
	}
}

// Two IDs share an address if an upstream has taken over the address of another. The upstream refuses
// requests for the ID that is gone; these have not run and are sent to another upstream.
func TestTwoIDsWithOneAddress(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		other := f.instances[0]
		other.ID = "i-9"
		f.dispatcher.UpdateUpstreams(f.table, append(slices.Clone(f.instances), other))
		for i := range 40 {
			id := fmt.Sprintf("r%d", i)
			f.is.Equal(f.ask(request{path: "/safe/x", id: id}).status, 200)
			f.is.Equal(countExecutions(f.plain, id), 1)
		}
	})
}

// A request that may run at most once fails with an unknown outcome as soon as its upstream
// restarts, since it may have run.
func TestAtMostOnceRequestEndsOnUpstreamRestart(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		setFaults(f.plain, worker.FaultNoAnswer)
		done := make(chan answer)
		go func() { done <- f.ask(request{path: "/once/x", id: "r1"}) }()
		time.Sleep(200 * time.Millisecond)
		for i, w := range f.plain {
			if len(w.Executions()) > 0 {
				w.Restart()
				f.instances[i].Started = time.Now()
			}
		}
		f.dispatcher.UpdateUpstreams(f.table, f.instances)
		a := <-done
		f.is.Equal(a.status, 502)
		f.is.True(a.duration < 250*time.Millisecond)
		f.is.Equal(countExecutions(f.plain, "r1"), 1)
	})
}

// If a helper of a group restarts, the request starts over with new reservations, and the old ones
// are released.
func TestGroupStartsOverAfterHelperRestart(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		setFaults(f.engines, worker.FaultSlow)
		done := make(chan answer)
		go func() { done <- f.ask(request{path: "/long/x", id: "s1", usage: "400000,100"}) }()
		time.Sleep(200 * time.Millisecond)
		helper := slices.IndexFunc(f.engines, func(w *worker.Worker) bool { return len(w.ReservedTokens()) > 0 })
		f.is.True(helper >= 0)
		setFaults(f.engines, worker.FaultNone)
		f.restartEngine(helper)
		a := <-done
		f.is.Equal(a.status, 200)
		f.is.Equal(a.body, wholeStream("s1", 1))
		f.is.True(a.duration < 1500*time.Millisecond)
		time.Sleep(time.Second)
		for _, e := range f.engines {
			f.is.Equal(len(e.ReservedTokens()), 0)
		}
	})
}

// During a store outage, an entry receives the update about an upstream's restart late, when a
// request for a stream has already reached the new incarnation. The entry must not cancel that
// stream. In a randomised test run, the upstream was still running the request after the entry had
// closed the connection.
func TestStreamFromNewIncarnationContinues(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		time.AfterFunc(200*time.Millisecond, func() {
			for i := range f.instances {
				f.instances[i].Started = f.instances[i].Started.Add(time.Second)
			}
			f.dispatcher.UpdateUpstreams(f.table, f.instances)
		})
		a := f.ask(request{path: "/fixed/x", id: "r", usage: "2000,200"})
		f.is.NoErr(a.err)
		f.is.Equal(a.body, wholeStream("r", 1))
	})
}

// During a store outage, an entry received the update about an upstream's restart seconds late. It
// answered with 502 a request that had reached the healthy new incarnation 17 ms before.
func TestRequestToNewIncarnationIsAnswered(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		setFaults(f.plain, worker.FaultSlow)
		time.Sleep(10 * time.Second)
		time.AfterFunc(200*time.Millisecond, func() {
			for i := range f.instances {
				f.instances[i].Started = time.Now().Add(-6 * time.Second)
			}
			f.dispatcher.UpdateUpstreams(f.table, f.instances)
		})
		a := f.ask(request{path: "/once/x", id: "r1"})
		f.is.Equal(a.status, 200)
		f.is.Equal(countExecutions(f.plain, "r1"), 1)
	})
}

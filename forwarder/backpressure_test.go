package forwarder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// While the store is unavailable, the instance list does not show that an upstream is leaving. An
// entry that ignored the header in the upstream's responses sent it requests for seconds, and some
// were cut off by the upstream's exit. The log shows such a fault as place lines for the upstream
// after its upstream_leaving line.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		for _, w := range f.plain {
			w.SetLeaving()
		}
		for n := range 10 {
			f.ask(request{path: "/safe/x", id: fmt.Sprint("r", n)})
		}
		for _, w := range f.plain {
			f.is.Equal(len(w.Executions()), 1) // the request whose response stated that the upstream is leaving
		}
		refused := f.ask(request{path: "/safe/x", id: "last"})
		f.is.Equal(refused.status, 503) // without waiting, as no upstream accepts requests
		f.is.Equal(refused.duration, time.Duration(0))
		f.instances[0].Started = f.instances[0].Started.Add(time.Minute)
		f.plain[0].Restart()
		f.dispatcher.UpdateUpstreams(f.table, f.instances)
		f.is.Equal(f.ask(request{path: "/safe/x", id: "new"}).status, 200) // the new incarnation is not leaving
	})
}

// Engines state that they are leaving in the header of a stream. The events of the stream continue,
// and the entry sends the engine no further requests.
func TestLeavingEngineGetsNoStreams(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		stream := func(id string) answer { return f.ask(request{path: "/stream/x", id: id, usage: "2000,200"}) }
		f.engines[0].SetLeaving()
		f.engines[1].SetLeaving()
		f.engines[2].SetFault(worker.FaultFull)
		for n := range 2 {
			id := fmt.Sprint("leaving", n)
			f.is.Equal(stream(id).body, wholeStream(id, 1))
		}
		f.is.Equal(len(f.engines[0].Executions()), 1)
		f.is.Equal(len(f.engines[1].Executions()), 1)
		f.is.Equal(stream("nowhere").status, 503)
		// An upstream that disappears from the list and reappears is the same incarnation.
		f.dispatcher.UpdateUpstreams(f.table, f.instances[:2])
		f.dispatcher.UpdateUpstreams(f.table, f.instances)
		f.is.Equal(stream("listed").status, 503)
		f.engines[2].SetFault(worker.FaultNone)
		for n := range 12 {
			id := fmt.Sprint("r", n)
			f.is.Equal(stream(id).body, wholeStream(id, 1))
		}
		f.is.Equal(len(f.engines[0].Executions())+len(f.engines[1].Executions()), 2)
	})
}

// An upstream that refuses a request and asks for a backoff in Retry-After gets no requests until the
// backoff ends.
func TestUpstreamInBackoffGetsNoRequests(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		for _, w := range f.plain {
			w.SetFault(worker.FaultBackoff)
		}
		first := f.ask(request{path: "/safe/x", id: "first"})
		f.is.Equal(first.status, 503)
		for _, w := range f.plain {
			w.SetFault(worker.FaultNone)
		}
		time.Sleep(time.Second)
		refused := f.ask(request{path: "/safe/x", id: "second"})
		f.is.Equal(refused.status, 503)
		f.is.Equal(refused.duration, time.Duration(0))
		f.is.Equal(refused.header.Get("Retry-After"), "2.000") // when the first backoff ends
		f.is.Equal(countExecutions(f.plain, "second"), 0)
		time.Sleep(worker.BackoffTime - time.Second)
		f.is.Equal(f.ask(request{path: "/safe/x", id: "third"}).status, 200)
	})
}

// A backoff of some upstreams does not delay requests that others can serve.
func TestBackoffAppliesToOneUpstreamOnly(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		f.engines[0].SetFault(worker.FaultBackoff)
		f.engines[1].SetFault(worker.FaultBackoff)
		start := time.Now()
		for n := 0; time.Since(start) < worker.BackoffTime-time.Second; n++ {
			f.is.Equal(f.ask(request{path: "/stream/x", id: fmt.Sprint("r", n), usage: "2000,200"}).status, 200)
		}
		for _, w := range f.engines[:2] {
			f.is.True(w.RefusedCount() <= 1)
		}
	})
}

// During a store outage, an entry receives the update about an upstream's restart only after the new
// incarnation has asked the entry for a backoff. The late update must not end that backoff.
func TestBackoffSurvivesLateRestartUpdate(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		time.Sleep(10 * time.Second)
		for _, w := range f.plain {
			w.SetFault(worker.FaultBackoff)
		}
		f.ask(request{path: "/safe/x", id: "first"})
		for i, w := range f.plain {
			w.SetFault(worker.FaultNone)
			f.instances[i].Started = time.Now().Add(-5 * time.Second)
		}
		f.dispatcher.UpdateUpstreams(f.table, f.instances)
		f.is.Equal(f.ask(request{path: "/safe/x", id: "second"}).status, 503)
		f.is.Equal(countExecutions(f.plain, "second"), 0)
	})
}

package forwarder_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/budgeter"
	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// Guards against retries that count against the retry budget although no upstream got them.
func TestRetriesThatReachNoUpstreamUseNoBudget(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		f.engines[0].SetFault(worker.FaultConnectionLost)
		for _, i := range f.instances[3:] {
			f.net.RefuseConnections(entryHost, i.Address.Addr())
		}
		f.retryBudget.Configure(time.Now(), budgeter.Config{Window: 10 * time.Second, BaseRetries: 3})
		ran := 0
		for n := range 8 {
			id := fmt.Sprintf("unsent-%d", n)
			f.is.True(f.ask(request{path: "/stream/x", id: id, usage: "1000,100"}).status >= 500)
			ran += len(f.engines[0].Executions())
		}
		f.is.True(ran > 0)
		_, decision := f.retryBudget.Reserve(time.Now(), "lm", 1)
		f.is.True(decision.Allowed)
	})
}

// Several upstreams fall silent at one moment, and the budget allows to retry fewer of their calls. Guards against all
// being cut off from upstreams that answer later.
func TestSilentCallsAreCutOffOnlyWithARetry(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		const calls, allowed = 6, 2
		f.retryBudget.Configure(time.Now(), budgeter.Config{Window: 10 * time.Second, BaseRetries: 3})
		for _, w := range f.plain {
			w.SetFault(worker.FaultSlow)
		}
		var asking sync.WaitGroup
		var served atomic.Int64
		for n := range calls {
			asking.Go(func() {
				if a := f.ask(request{path: "/safe/x", id: fmt.Sprintf("silent-%d", n)}); a.err == nil && a.status == 200 {
					served.Add(1)
				}
			})
		}
		asking.Wait()
		executions := 0
		for _, w := range f.plain {
			executions += len(w.Executions())
		}
		f.is.Equal(executions, calls+allowed)
		f.is.True(served.Load() >= calls-allowed)
	})
}

// Guards against a call that is given up at a silent upstream while no other can be connected to, although the upstream
// answers later: the caller was told that the outcome is unknown.
func TestSilentCallIsKeptWhileNoUpstreamCanBeReached(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		for _, w := range f.plain {
			w.SetFault(worker.FaultSlow)
		}
		answered := make(chan answer, 1)
		go func() { answered <- f.ask(request{path: "/safe/x", id: "kept"}) }()
		time.Sleep(50 * time.Millisecond)
		for _, i := range f.instances {
			f.net.RefuseConnections(entryHost, i.Address.Addr())
		}
		a := <-answered
		f.is.NoErr(a.err)
		f.is.Equal(a.status, 200)
	})
}

// The same where the links fail just after a connection to another upstream has been opened. In a randomised test run, the
// relay of a cut off entry opened one connection, and no more.
func TestSilentCallIsKeptUntilItsRetryIsConnected(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		for _, w := range f.plain {
			w.SetFault(worker.FaultSlow)
		}
		answered := make(chan answer, 1)
		go func() { answered <- f.ask(request{path: "/safe/x", id: "kept"}) }()
		time.Sleep(150 * time.Millisecond) // reached at 100 ms, silent for too long at 200 ms
		for _, i := range f.instances {
			f.net.RefuseConnections(entryHost, i.Address.Addr())
		}
		a := <-answered
		f.is.NoErr(a.err)
		f.is.Equal(a.status, 200)
		f.is.Equal(len(f.plain[0].Executions())+len(f.plain[1].Executions()), 1)
	})
}

// Guards against a retry that opens another connection than the one that was opened for it before the silent attempt was
// cancelled.
func TestRetryUsesItsConnection(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		const calls = 20
		f.plain[0].SetFault(worker.FaultNoAnswer)
		for n := range calls {
			a := f.ask(request{path: "/safe/x", id: fmt.Sprintf("retried-%d", n)})
			f.is.NoErr(a.err)
			f.is.Equal(a.status, 200)
		}
		retried := len(f.plain[0].Executions())
		f.is.True(retried > 0)
		// Each retry has one connection, and one before it that shows that upstreams can be reached.
		f.is.True(f.countDials(f.instances[1].Address) <= calls+retried)
	})
}

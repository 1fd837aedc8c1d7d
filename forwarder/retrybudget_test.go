package forwarder_test

import (
	"fmt"
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
		f.is.True(f.retryBudget.AllowsRetry(time.Now(), "lm", 1))
	})
}

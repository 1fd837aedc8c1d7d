package launcher_test

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/caller"
)

// burst is what became of a burst beside a steady load.
type burst struct {
	// served counts the requests of the burst with a response, at their first try or at their return; returned those
	// that came back at the time that they were told, and servedAtReturn those of them that were served then.
	served, returned, servedAtReturn int
	// steady is the part of the steady load that was served.
	steady float64
}

// sendBurst sends 40 requests a second for 8 s to all entries, and after 2 s 640 a second more for 2 s to some. Their
// callers wait 10 s, and return once at the time that they are told if that is within a third of their time left.
func (r *shareTest) sendBurst(entries []netip.AddrPort) burst {
	steady := caller.OpenLoop{Name: "b", Path: "/once/b", APIKey: "b", Timeout: 10 * time.Second, PerSecond: 40, Entries: r.entryAddresses(), NewCaller: r.newCaller, HasDistinctPaths: true}
	extra := caller.OpenLoop{Name: "a", Path: "/once/a", APIKey: "a", Timeout: 10 * time.Second, PerSecond: 640, Entries: entries, NewCaller: r.newCaller, HasDistinctPaths: true, Returns: true}
	var out burst
	var sending sync.WaitGroup
	sending.Go(func() {
		results := steady.Run(8 * time.Second)
		out.steady = float64(countServed(results)) / float64(len(results))
	})
	time.Sleep(2 * time.Second)
	first := extra.Run(2 * time.Second)
	sending.Wait()
	out.returned, out.servedAtReturn = len(extra.Returned()), countServed(extra.Returned())
	out.served = countServed(first) + out.servedAtReturn
	r.t.Logf("%+v", out)
	return out
}

func countServed(results []caller.Result) int {
	n := 0
	for _, r := range results {
		if r.IsServed() {
			n++
		}
	}
	return n
}

// checkBurst fails the test unless nine tenths of the burst were served that can be, and those were served who came
// back in time. The service can serve 120 requests of the burst a second beside the steady load, in the 2 s of
// the burst and the 3.33 s within which its callers come back: 640.
func (r *shareTest) checkBurst(got burst) {
	r.t.Helper()
	if got.served < 576 {
		r.t.Errorf("%d requests of the burst served, want 576 of 640 that can be", got.served)
	}
	if kept := float64(got.servedAtReturn) / float64(got.returned); kept < 0.9 {
		r.t.Errorf("%.3f of the callers served who returned when they were told, want 0.9", kept)
	}
	if got.steady < 0.98 {
		r.t.Errorf("%.3f of the steady load served, want 0.98", got.steady)
	}
}

// Guards against refused callers that are told a time at which nobody keeps room for them, and against a burst that is
// refused for good although there is room right after it.
func TestBurstIsServedAtItsReturn(t *testing.T) {
	withShareTest(t, 0, 0, func(r *shareTest) { r.checkBurst(r.sendBurst(r.entryAddresses())) })
}

// Guards against promises that are divided equally between entries where one entry has all refused callers.
func TestBurstAtOneEntryIsServedAtItsReturn(t *testing.T) {
	withShareTest(t, 0, 0, func(r *shareTest) { r.checkBurst(r.sendBurst(r.entryAddresses(4))) })
}

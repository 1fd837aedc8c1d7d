package launcher_test

import (
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/caller"
	"github.com/sapphireramp/sapphireramp/standin/store"
)

// The tests in this file guard against an organisation, or requests without urgency, that keep others from being
// served while a plain service is short of capacity. The service has 4 upstreams with 4 slots and a queue each, and
// 100 ms of work a request: it serves 160 requests a second.
const (
	shareUpstreams, shareSlots, shareQueue = 4, 4, 16
	shareWork                              = 100 * time.Millisecond
	shareCapacity                          = 160.0
	shareTarget                            = 300 * time.Millisecond
	// shareTime is the time for which callers send; the first shareWarmUp of it does not count.
	shareTime, shareWarmUp = 6 * time.Second, time.Second
)

// shareTest is a fleet of six entries with that service, and two organisations.
type shareTest struct {
	*fleet
	workers []string
}

// withShareTest runs a test with the given priorities of the organisations a and b, whose keys are their names.
func withShareTest(t *testing.T, priorityA, priorityB int, run func(r *shareTest)) {
	synctest.Test(t, func(t *testing.T) {
		r := &shareTest{fleet: newFleet(t, 6)}
		defer r.shutDown()
		r.putShareConfig(2, priorityA, priorityB)
		for range shareUpstreams {
			id := r.addWorkerWith("work", shareWork, 1, 0)
			r.fleet.workers[id].SetSlots(shareSlots, shareQueue)
			u := store.NewUpstreamRecord("work", netip.AddrPortFrom(r.workerHosts[id], 80))
			u.Slots = shareSlots
			r.store.Put("servers/"+id, u)
			r.workers = append(r.workers, id)
		}
		time.Sleep(2 * time.Second)
		run(r)
	})
}

func (r *shareTest) putShareConfig(version, priorityA, priorityB int) {
	r.store.Put("op/config", map[string]any{
		"version":  version,
		"routes":   []any{map[string]any{"name": "work", "host": "h", "prefix": "/once/", "kind": "non_idempotent", "service": "work", "timeout-ms": 10000, "target-latency-ms": shareTarget.Milliseconds(), "max-attempts": 2}},
		"services": []any{map[string]any{"name": "work", "health-path": "/health"}},
		"tenants": []any{
			map[string]any{"name": "a", "api-keys": []string{"a"}, "priority": priorityA},
			map[string]any{"name": "b", "api-keys": []string{"b"}, "priority": priorityB},
		},
	})
}

// entryAddresses returns the addresses of the entries with the given indexes; of all if there are none.
func (r *shareTest) entryAddresses(indexes ...int) []netip.AddrPort {
	var addresses []netip.AddrPort
	for i := range r.entries {
		if len(indexes) == 0 {
			addresses = append(addresses, netip.AddrPortFrom(entryHost(i), entryPort))
		}
	}
	for _, i := range indexes {
		addresses = append(addresses, netip.AddrPortFrom(entryHost(i), entryPort))
	}
	return addresses
}

// load is what the callers of one organisation send.
type load struct {
	key       string
	perSecond float64
	entries   []netip.AddrPort
}

// served is what became of the requests of one load: the part of those with a response that were served, and of the
// served ones the part that were on time.
type served struct {
	fraction, onTime, perSecond float64
}

// send sends loads at the same time, and returns what became of each.
func (r *shareTest) send(duration time.Duration, loads ...load) []served {
	out := make([]served, len(loads))
	began := time.Now()
	var sending sync.WaitGroup
	for i, l := range loads {
		sending.Go(func() {
			o := caller.OpenLoop{Name: l.key, Path: "/once/x", APIKey: l.key, Timeout: 3 * time.Second, PerSecond: l.perSecond, Entries: l.entries, NewCaller: r.newCaller}
			answered, on, sent := 0.0, 0.0, 0.0
			for _, result := range o.Run(duration) {
				if result.Err != nil || result.StartedAt.Before(began.Add(shareWarmUp)) {
					continue
				}
				sent++
				if result.IsServed() {
					answered++
					if result.Duration <= shareTarget {
						on++
					}
				}
			}
			out[i] = served{fraction: answered / sent, onTime: on / answered, perSecond: answered / (duration - shareWarmUp).Seconds()}
		})
	}
	sending.Wait()
	r.t.Logf("served of each load, on time of these, served per second: %.3f", out)
	return out
}

// checkModest fails the test unless the modest organisation is served on time and the service is used.
func (r *shareTest) checkModest(modest, greedy served) {
	r.t.Helper()
	if modest.fraction < 0.98 || modest.onTime < 0.9 {
		r.t.Errorf("%.3f of the modest organisation served, %.3f of these on time, want 0.98 and 0.9", modest.fraction, modest.onTime)
	}
	if used := (modest.perSecond + greedy.perSecond) / shareCapacity; used < 0.97 {
		r.t.Errorf("%.3f of the service used, want 0.97", used)
	}
}

// Guards against a greedy organisation that crowds out a modest one.
func TestGreedyOrganisationLeavesOthersTheirShare(t *testing.T) {
	withShareTest(t, 0, 0, func(r *shareTest) {
		got := r.send(shareTime, load{"a", 480, r.entryAddresses()}, load{"b", 20, r.entryAddresses()})
		r.checkModest(got[1], got[0])
	})
}

// Guards against shares by entry: the modest organisation uses one entry only.
func TestShareHoldsAtOneEntry(t *testing.T) {
	withShareTest(t, 0, 0, func(r *shareTest) {
		got := r.send(shareTime, load{"a", 480, r.entryAddresses()}, load{"b", 20, r.entryAddresses(2)})
		r.checkModest(got[1], got[0])
	})
}

// Guards against shares by entry: the greedy organisation uses one entry only.
func TestShareHoldsAgainstOneEntry(t *testing.T) {
	withShareTest(t, 0, 0, func(r *shareTest) {
		got := r.send(shareTime, load{"a", 480, r.entryAddresses(3)}, load{"b", 20, r.entryAddresses()})
		r.checkModest(got[1], got[0])
	})
}

// Guards against priorities without an effect, and against requests without urgency that starve.
func TestUrgentOrganisationIsServedFirst(t *testing.T) {
	withShareTest(t, 0, 2, func(r *shareTest) {
		got := r.send(shareTime, load{"a", 120, r.entryAddresses()}, load{"b", 120, r.entryAddresses()})
		if got[0].fraction < 0.98 || got[1].fraction < 0.25 {
			t.Errorf("%.3f of the urgent requests served, %.3f of the others, want 0.98 and 0.25", got[0].fraction, got[1].fraction)
		}
	})
}

// Guards against shares that are lost with entries, and use of killed ones that is never forgotten.
func TestShareHoldsWhileEntriesAreKilled(t *testing.T) {
	withShareTest(t, 0, 0, func(r *shareTest) {
		done := make(chan []served)
		go func() {
			done <- r.send(12*time.Second, load{"a", 480, r.entryAddresses()}, load{"b", 20, r.entryAddresses()})
		}()
		for i := range r.entries {
			time.Sleep(1500 * time.Millisecond)
			r.killEntry(r.entries[i])
			time.Sleep(300 * time.Millisecond)
			r.entries[i] = r.startEntry(i)
		}
		if got := <-done; got[1].fraction < 0.95 {
			t.Errorf("%.3f of the modest organisation served, want 0.95", got[1].fraction)
		}
	})
}

// Guards against admission control that serves an organisation worse that is alone.
func TestGreedyOrganisationAloneUsesAll(t *testing.T) {
	withShareTest(t, 0, 0, func(r *shareTest) {
		got := r.send(shareTime, load{"a", 480, r.entryAddresses()})
		if used := got[0].perSecond / shareCapacity; used < 0.97 {
			t.Errorf("%.3f of the service used, want 0.97", used)
		}
	})
}

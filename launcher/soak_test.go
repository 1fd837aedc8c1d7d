package launcher_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/sapphireramp/sapphireramp/standin/caller"
	"github.com/sapphireramp/sapphireramp/standin/store"
	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// TestMain sets rapid's flags to fixed values, so that test runs are reproducible.
// Flags on the command line take precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	flagsSet := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { flagsSet[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "12", "rapid.nofailfile": "true"} {
		if !flagsSet[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// disruption is a kind of disruption of the fleet.
type disruption struct {
	name string
	// begin starts a disruption with random parameters, and returns the function that ends it.
	begin func(f *fleet, t *rapid.T) func()
}

// disruptions lists the kinds of disruptions from which TestSoak chooses.
var disruptions = []disruption{
	{"upstream fault", func(f *fleet, t *rapid.T) func() {
		w := f.workers[rapid.SampledFrom([]string{"i-app-1", "i-app-3", "i-lm-2", "i-lm-4"}).Draw(t, "worker")]
		w.SetFault(rapid.SampledFrom(worker.AllFaults).Draw(t, "fault"))
		return func() { w.SetFault(worker.FaultNone) }
	}},
	{"store", func(f *fleet, t *rapid.T) func() {
		storeReturned := f.disruptionLog.RecordStoreOutage()
		f.store.SetMode(rapid.SampledFrom([]store.Mode{store.Unavailable, store.RateLimited, store.Unresponsive, store.ResetsConnections, store.Slow}).Draw(t, "mode"))
		return func() { f.store.SetMode(store.Available); storeReturned() }
	}},
	{"history dropped", func(f *fleet, _ *rapid.T) func() {
		f.store.Compact()
		return func() {}
	}},
	{"store goes back", func(f *fleet, t *rapid.T) func() {
		duration := func(name string, longest int) time.Duration {
			return time.Duration(rapid.IntRange(0, longest).Draw(t, name)) * time.Millisecond
		}
		c := f.store.Copy()
		f.putConfig(rapid.IntRange(10, 1000).Draw(t, "version"), "key-1")
		time.Sleep(duration("age", 3000))
		rewrite := f.restoreStore(c, duration("outage", 1500))
		time.Sleep(duration("until rewritten", 1000))
		rewrite()
		return func() {}
	}},
	{"entry cut off from store", func(f *fleet, t *rapid.T) func() {
		host := entryHost(rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry"))
		storeReturned := f.disruptionLog.RecordStoreOutage()
		f.net.Disconnect(host, storeHost)
		return func() { f.net.Reconnect(host, storeHost); storeReturned() }
	}},
	{"partition between entries", func(f *fleet, t *rapid.T) func() {
		a := entryHost(rapid.IntRange(0, len(f.entries)-1).Draw(t, "one"))
		b := entryHost(rapid.IntRange(0, len(f.entries)-1).Draw(t, "other"))
		partitionEnded := f.disruptionLog.RecordPartition()
		f.net.Disconnect(a, b)
		return func() { f.net.Reconnect(a, b); partitionEnded() }
	}},
	{"entries cut off from upstreams", func(f *fleet, t *rapid.T) func() {
		var cut []int
		for i := range f.entries {
			if rapid.IntRange(0, 2).Draw(t, "cut") > 0 {
				cut = append(cut, i)
			}
		}
		return f.cutOffAll(cut, rapid.SampledFrom(allCutKinds).Draw(t, "kind"))
	}},
	{"entry killed", func(f *fleet, t *rapid.T) func() {
		if i, ok := f.takeDownEntry(t); ok {
			f.killEntry(f.entries[i])
		}
		return func() {}
	}},
	{"entry stopped", func(f *fleet, t *rapid.T) func() {
		if i, ok := f.takeDownEntry(t); ok {
			f.stopEntry(f.entries[i])
		}
		return func() {}
	}},
	{"entries stopped in series", func(f *fleet, t *rapid.T) func() {
		f.stopInSeries(t)
		return func() {}
	}},
	{"settings reloaded", func(f *fleet, t *rapid.T) func() {
		e := f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry")]
		select {
		case e.reload <- struct{}{}:
		default: // a reload is pending, or the entry has exited
		}
		return func() {}
	}},
	{"burst", func(f *fleet, t *rapid.T) func() {
		x := f.startTraffic(rapid.IntRange(4, 12).Draw(t, "callers"))
		f.bursts = append(f.bursts, x)
		return x.Stop
	}},
	{"configuration", func(f *fleet, t *rapid.T) func() {
		f.putConfig(rapid.IntRange(10, 1000).Draw(t, "version"), "key-1")
		return func() {}
	}},
	{"upstream restarted", func(f *fleet, t *rapid.T) func() {
		id := rapid.SampledFrom([]string{"i-app-1", "i-app-3", "i-lm-2", "i-lm-4"}).Draw(t, "worker")
		f.restartWorker(id, strings.Split(id, "-")[1])
		return func() {}
	}},
	{"request that crashes upstreams", func(f *fleet, t *rapid.T) func() {
		pause := time.Duration(rapid.IntRange(50, 800).Draw(t, "pause")) * time.Millisecond
		x := f.startRepeater(rapid.IntRange(1, 3).Draw(t, "callers"), pause)
		f.repeaters = append(f.repeaters, x)
		return x.Stop
	}},
	{"part that crashes upstreams", func(f *fleet, t *rapid.T) func() {
		pause := time.Duration(rapid.IntRange(50, 800).Draw(t, "pause")) * time.Millisecond
		x := f.startPartSender(rapid.IntRange(1, 3).Draw(t, "callers"), pause)
		f.partSenders = append(f.partSenders, x)
		return x.Stop
	}},
	{"upstream leaving", func(f *fleet, t *rapid.T) func() {
		id := rapid.SampledFrom([]string{"i-app-1", "i-app-3", "i-lm-2", "i-lm-4"}).Draw(t, "worker")
		f.workers[id].SetLeaving()
		return func() { f.restartWorker(id, strings.Split(id, "-")[1]) }
	}},
	{"upstream backoff", func(f *fleet, t *rapid.T) func() {
		w := f.workers[rapid.SampledFrom([]string{"i-app-1", "i-app-3", "i-lm-2", "i-lm-4"}).Draw(t, "worker")]
		w.SetFault(worker.FaultBackoff)
		time.Sleep(time.Duration(rapid.IntRange(50, 500).Draw(t, "time")) * time.Millisecond)
		w.SetFault(worker.FaultNone) // accepts requests again, except from entries that it asked for a backoff
		return func() {}
	}},
	{"upstream with a rate limit", func(f *fleet, t *rapid.T) func() {
		w := f.workers[rapid.SampledFrom([]string{"i-app-1", "i-app-3", "i-lm-2", "i-lm-4"}).Draw(t, "worker")]
		w.SetRateLimit(rapid.SampledFrom([]float64{0, 0.5, 1.2, 5}).Draw(t, "limit"))
		return w.EndRateLimit
	}},
	{"outage of upstreams", func(f *fleet, t *rapid.T) func() {
		for range rapid.IntRange(2, 5).Draw(t, "upstreams") {
			id := rapid.SampledFrom([]string{"i-app-1", "i-lm-2", "i-app-3", "i-lm-4", "i-lm-6"}).Draw(t, "worker")
			f.crashWorker(id, strings.Split(id, "-")[1])
			time.Sleep(time.Duration(rapid.IntRange(0, 400).Draw(t, "between")) * time.Millisecond)
		}
		return func() {}
	}},
	{"data centre evacuated", func(f *fleet, t *rapid.T) func() {
		return f.evacuate(rapid.SampledFrom([]string{"dc-0", "dc-1", "dc-2"}).Draw(t, "data centre"))
	}},
	{"data centre returns cold", func(f *fleet, t *rapid.T) func() {
		f.returnCold(rapid.SampledFrom([]string{"dc-0", "dc-1", "dc-2"}).Draw(t, "data centre"))
		return func() {}
	}},
	{"upstream drained", func(f *fleet, _ *rapid.T) func() {
		f.putWorker("i-lm-6", "lm", "draining")
		return func() { f.putWorker("i-lm-6", "lm", "ready") }
	}},
}

// takeDownEntry chooses a random running entry, marks it as down and returns its index. It returns
// false if at most half of the entries are running.
func (f *fleet) takeDownEntry(t *rapid.T) (int, bool) {
	f.restartExited(false)
	var free []int
	for i := range f.entries {
		if !f.downEntries[i] {
			free = append(free, i)
		}
	}
	if len(free) <= len(f.entries)/2 {
		return 0, false
	}
	i := rapid.SampledFrom(free).Draw(t, "entry")
	f.downEntries[i] = true
	return i, true
}

// restartExited restarts the entries that were taken down and have exited. If wait is true, it
// waits until all entries that were taken down have exited and restarts them.
func (f *fleet) restartExited(wait bool) {
	for i := range f.entries {
		if !f.downEntries[i] {
			continue
		}
		select {
		case <-f.entries[i].exited:
		default:
			if !wait {
				continue
			}
			<-f.entries[i].exited
		}
		f.entries[i], f.downEntries[i] = f.startEntry(i), false
	}
}

// stopInSeries stops entries as SIGTERM does, one after the other, so that their shutdowns
// overlap. They are restarted by restartExited.
func (f *fleet) stopInSeries(t *rapid.T) {
	for range rapid.IntRange(2, 3).Draw(t, "stops") {
		if i, ok := f.takeDownEntry(t); ok {
			f.stopEntry(f.entries[i])
		}
		time.Sleep(time.Duration(rapid.IntRange(100, 1600).Draw(t, "gap")) * time.Millisecond)
	}
}

// TestSoak sends requests while random disruptions overlap. It guards against
// incomplete answers, requests that run too often or although they are reported as
// not run, requests sent to upstreams that are leaving or asked for a backoff, and
// requests that crash engines, as a whole or by a part of their prompts, not being quarantined. After the disruptions, all
// requests must be served, and no request or reservation may be left at the
// upstreams.
//
// Every plan contains a series of entry stops, and the longest responses take as long
// as callers wait. Without stops, or with responses of at most half a second, the test
// missed responses that were cut off by the exit of their entry.
func TestSoak(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var plan []int
		for range rapid.IntRange(2, 5).Draw(r, "disruptions") {
			plan = append(plan, rapid.IntRange(0, len(disruptions)-1).Draw(r, "kind"))
		}
		insert := func(name string) {
			kind := slices.IndexFunc(disruptions, func(t disruption) bool { return t.name == name })
			plan = slices.Insert(plan, rapid.IntRange(0, len(plan)).Draw(r, "place"), kind)
		}
		// Every plan contains a series of entry stops, entries that lose their links to upstreams, and a
		// disruption of upstreams.
		insert("entries stopped in series")
		insert("entries cut off from upstreams")
		insert(rapid.SampledFrom([]string{"request that crashes upstreams", "part that crashes upstreams", "outage of upstreams", "upstream leaving", "upstream backoff"}).Draw(r, "upstream disruption"))
		runSoak(t, r, plan)
	})
}

func runSoak(t *testing.T, r *rapid.T, plan []int) {
	defer func() {
		if t.Failed() { // a failure in the synctest bubble ends the whole test
			t.Logf("rapid.seed %s, plan %s", flag.Lookup("rapid.seed").Value, disruptionNames(plan))
		}
	}()
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWithPlan(t, 6, worker.RandomPlan(eventGap))
		defer f.shutDown()
		f.idSalt = fmt.Sprintf("s%d", rapid.IntRange(0, 9999).Draw(r, "salt"))
		x := f.startTraffic(12)
		var endFuncs []func()
		for _, kind := range plan {
			endFuncs = append(endFuncs, disruptions[kind].begin(f, r))
			time.Sleep(time.Duration(rapid.IntRange(100, 1500).Draw(r, "gap")) * time.Millisecond)
			f.restartExited(false)
		}
		for _, end := range endFuncs {
			end()
		}
		f.restartExited(true)
		x.Stop()
		for _, x := range append(f.bursts, x) {
			x.checkResults()
		}
		f.checkBackpressure(x)
		for _, x := range f.repeaters {
			for _, b := range x.RepeatViolations(f.evidence()) {
				t.Error(b)
			}
		}
		for _, x := range f.partSenders {
			for _, b := range x.PartViolations(f.evidence()) {
				t.Error(b)
			}
		}
		time.Sleep(5 * time.Second)
		trafficAfter := f.startTraffic(4)
		time.Sleep(2 * time.Second)
		served, sent := trafficAfter.stopAndCheck()
		if served < sent {
			t.Errorf("after the disruptions %d of %d requests are served", served, sent)
		}
		time.Sleep(5 * time.Second)
		for id, w := range f.workers {
			if w.InProgress() > 0 || len(w.ReservedTokens()) > 0 {
				t.Errorf("upstream %s still has %d requests and %d reservations", id, w.InProgress(), len(w.ReservedTokens()))
			}
		}
	})
}

// checkBackpressure fails the test for every request that an entry sent to an upstream after the
// upstream had stated to that entry that it is leaving, or had asked that entry for a backoff, and for
// every rate limit of an upstream that entries exceeded.
func (f *fleet) checkBackpressure(x *traffic) {
	all := append([]*caller.Traffic{x.Traffic}, f.repeaters...)
	for _, x := range f.bursts {
		all = append(all, x.Traffic)
	}
	for _, b := range caller.BackpressureViolations(f.evidence(), all...) {
		f.t.Error(b)
	}
	for _, b := range caller.RateLimitViolations(f.evidence(), slices.Collect(maps.Values(f.workers)), all...) {
		f.t.Error(b)
	}
}

// disruptionNames returns the names of the disruptions in a plan.
func disruptionNames(plan []int) []string {
	var names []string
	for _, kind := range plan {
		names = append(names, disruptions[kind].name)
	}
	return names
}

package launcher_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/caller"
)

const (
	// contactTime is the time after the begin of a partition from which on the callers of entries that
	// reach no upstream are to be served like those of others.
	contactTime = 3 * time.Second
	// partitionTime is the duration of the partitions in these tests.
	partitionTime = 12 * time.Second
	// triesPerSecond is the number of requests per second, of all entries together.
	triesPerSecond = 60
	// minServedFraction is the fraction of first tries to be served at entries that reach no upstream.
	minServedFraction = 0.95
)

// cutKind is what becomes of the connections between an entry and upstreams that it can't reach.
type cutKind int

const (
	// cutHangs: open connections stall, new ones time out.
	cutHangs cutKind = iota
	// cutResets: open connections are reset, new ones are refused.
	cutResets
	// cutRefuses: open connections go on, new ones are refused.
	cutRefuses
)

func (k cutKind) String() string { return [...]string{"hangs", "resets", "refuses"}[k] }

// allCutKinds holds every cutKind.
var allCutKinds = []cutKind{cutHangs, cutResets, cutRefuses}

// cutOffAll separates the entries with the given indexes from all upstreams at one moment; clients, the store and
// the other entries still reach them. The returned function ends the partition.
func (f *fleet) cutOffAll(entries []int, kind cutKind) (reconnect func()) {
	upstreams := slices.Collect(maps.Values(f.workerHosts))
	var hosts []netip.Addr
	var recordEnds []func()
	for _, i := range entries {
		hosts = append(hosts, entryHost(i))
		recordEnds = append(recordEnds, f.disruptionLog.RecordEntryCut(entryHost(i), kind != cutRefuses))
	}
	if kind == cutHangs {
		f.net.DisconnectAll(hosts, upstreams)
	} else {
		f.net.RefuseAll(hosts, upstreams)
	}
	forEachPair := func(call func(host, upstream netip.Addr)) {
		for _, host := range hosts {
			for _, upstream := range upstreams {
				call(host, upstream)
			}
		}
	}
	if kind == cutResets {
		forEachPair(f.net.ResetConnections)
	}
	return func() {
		for _, recordEnd := range recordEnds {
			recordEnd()
		}
		if kind == cutHangs {
			forEachPair(f.net.Reconnect)
		} else {
			forEachPair(f.net.AllowConnections)
		}
	}
}

// firstTries sends triesPerSecond requests a second, each kind and each entry in turn, at which callers try
// once. Its results are complete after wait.
type firstTries struct {
	fleet   *fleet
	name    string
	lock    sync.Mutex
	results []caller.Result
	sending sync.WaitGroup
}

// firstTryPaths has a path for each kind of route.
var firstTryPaths = []string{"/once/x", "/safe/x", "/stream/x", "/fixed/x"}

// startFirstTries sends requests to the entries with the given indexes for a time.
func (f *fleet) startFirstTries(name string, entries []int, duration time.Duration) *firstTries {
	x := &firstTries{fleet: f, name: name}
	x.sending.Add(1)
	go func() {
		defer x.sending.Done()
		began := time.Now()
		for n := 0; time.Since(began) < duration; n++ {
			x.sending.Add(1)
			go x.send(n, entries[n%len(entries)], firstTryPaths[n/len(entries)%len(firstTryPaths)])
			time.Sleep(time.Second / triesPerSecond)
		}
	}()
	return x
}

// send sends one request to an entry.
func (x *firstTries) send(n, entry int, path string) {
	defer x.sending.Done()
	c := x.fleet.newCaller(uint64(n))
	defer c.Close()
	c.SetFixedAddress(netip.AddrPortFrom(entryHost(entry), entryPort))
	r := c.Do(path, fmt.Sprintf("%s-%d", x.name, n), "key-1", shortTimeout)
	x.lock.Lock()
	defer x.lock.Unlock()
	x.results = append(x.results, r)
}

// wait waits for the last request to end, and fails the test for every result that violates a guarantee.
func (x *firstTries) wait() {
	x.sending.Wait()
	for _, r := range x.results {
		for _, v := range r.Violations(x.fleet.executionCount(r.ID), streamEvents) {
			x.fleet.t.Error(v)
		}
	}
}

// servedBetween returns how many requests that were sent to entries for which includes returns true, in a
// span of time, were served, how many were sent, and how many of these ran more than once.
func (x *firstTries) servedBetween(from, to time.Time, includes func(entry netip.Addr) bool) (served, sent, ranTwice int) {
	for _, r := range x.results {
		if r.StartedAt.Before(from) || !r.StartedAt.Before(to) || !includes(r.Entry.Addr()) {
			continue
		}
		sent++
		if r.IsServed() {
			served++
		}
		if x.fleet.executionCount(r.ID) > 1 {
			ranTwice++
		}
	}
	return served, sent, ranTwice
}

// isOneOf returns a function that reports whether a host is that of an entry with one of the given indexes.
func isOneOf(entries []int) func(netip.Addr) bool {
	return func(host netip.Addr) bool {
		for _, i := range entries {
			if entryHost(i) == host {
				return true
			}
		}
		return false
	}
}

// checkServed fails the test if fewer than minServedFraction of the requests were served.
func (x *firstTries) checkServed(what string, from, to time.Time, includes func(netip.Addr) bool) {
	x.fleet.t.Helper()
	served, sent, ranTwice := x.servedBetween(from, to, includes)
	x.fleet.t.Logf("%s served %d of %d, %d ran more than once", what, served, sent, ranTwice)
	if sent == 0 || float64(served) < minServedFraction*float64(sent) {
		x.fleet.t.Errorf("%s served %d of %d first tries, want %g of them", what, served, sent, minServedFraction)
	}
}

// Guards against requests being refused at entries that reach no upstream while other entries do: their first
// tries are served like those of the others, however the connections fail, and after the partition too.
func TestEntriesWithoutUpstreamsServeFirstTries(t *testing.T) { checkFirstTries(t, 1, 4) }

// The same where a whole data centre is cut off.
func TestDataCentreWithoutUpstreamsServesFirstTries(t *testing.T) { checkFirstTries(t, 2, 5) }

// The same where one entry is left that reaches upstreams.
func TestAllButOneWithoutUpstreamsServeFirstTries(t *testing.T) { checkFirstTries(t, 0, 1, 2, 3, 4) }

// checkFirstTries checks, for each cutKind, that first tries are served where the entries with the given indexes
// are cut off from upstreams for partitionTime.
func checkFirstTries(t *testing.T, cut ...int) {
	for _, kind := range allCutKinds {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 6)
				defer f.shutDown()
				isCut := isOneOf(cut)
				isOther := func(host netip.Addr) bool { return !isCut(host) }
				x := f.startFirstTries("p", []int{0, 1, 2, 3, 4, 5}, time.Second+partitionTime+2*contactTime)
				time.Sleep(time.Second)
				began := time.Now()
				reconnect := f.cutOffAll(cut, kind)
				time.Sleep(partitionTime)
				ended := time.Now()
				reconnect()
				x.wait()
				served, sent, ranTwice := x.servedBetween(began.Add(-time.Second), began, isCut)
				t.Logf("cut off entries, sent in the second before, served %d of %d, %d ran more than once", served, sent, ranTwice)
				served, sent, ranTwice = x.servedBetween(began, began.Add(contactTime), isCut)
				t.Logf("cut off entries before contactTime served %d of %d, %d ran more than once", served, sent, ranTwice)
				x.checkServed("cut off entries", began.Add(contactTime), ended, isCut)
				x.checkServed("other entries", began, ended, isOther)
				x.checkServed("all entries after the partition", ended, ended.Add(2*contactTime), func(netip.Addr) bool { return true })
			})
		})
	}
}

package launcher_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/caller"
)

// The tests in this file guard against a request that crashes each engine that runs it and that
// callers send again under new IDs and to other entries. Such a request crashed 43 engines within
// half a minute. Each entry treated every repeat as a new request: the retry budget counts retries per
// service, and health checks attribute failures to the engines. Entries now recognise the request by its fingerprint, which
// the log has as content, and log the exit of an engine as upstream_ended.

// newCrashFleet starts a fleet with six entries and eight engines.
func newCrashFleet(t *testing.T) *fleet {
	f := newFleet(t, 6)
	for range 5 {
		f.addWorker("lm")
	}
	time.Sleep(time.Second)
	return f
}

// startRepeater starts the given number of callers, which all send the same request again and again. It
// crashes engines. Each caller waits for the duration pause between two sends, and keeps to one of the entries with
// the given indexes, if there are any.
func (f *fleet) startRepeater(callers int, pause time.Duration, entries ...int) *caller.Traffic {
	f.trafficCount++
	return caller.NewRepeatingTraffic(fmt.Sprintf("r%d%s", f.trafficCount, f.idSalt), callers, caller.CrashPath, pause, func(n int) *caller.Caller {
		c := f.newCaller(uint64(100 + n))
		c.BodyOf = func(string) string { return "the same" }
		c.PromptPartsOf = func(string) string { return commonPart + ":300,ab:200" }
		if len(entries) > 0 {
			c.SetFixedAddress(netip.AddrPortFrom(entryHost(entries[n%len(entries)]), entryPort))
		}
		return c
	})
}

// startDistinctTraffic starts callers whose requests all have different content.
func (f *fleet) startDistinctTraffic(callers int) *traffic {
	f.trafficCount++
	return &traffic{fleet: f, Traffic: caller.NewTraffic(fmt.Sprintf("d%d%s", f.trafficCount, f.idSalt), callers, func(n int) *caller.Caller {
		c := f.newCaller(uint64(n))
		c.BodyOf = func(id string) string { return id }
		return c
	})}
}

// checkCrashingRequest sends a request that crashes engines again and again beside other requests, and checks that
// it is quarantined and that all others are served afterwards.
func (f *fleet) checkCrashingRequest() {
	f.t.Helper()
	others := f.startDistinctTraffic(8)
	x := f.startRepeater(3, 150*time.Millisecond)
	time.Sleep(12 * time.Second)
	x.Stop()
	for _, b := range x.RepeatViolations(f.evidence()) {
		f.t.Error(b)
	}
	others.stopAndCheck()
	trafficAfter := f.startDistinctTraffic(4)
	time.Sleep(2 * time.Second)
	if served, sent := trafficAfter.stopAndCheck(); served < sent {
		f.t.Errorf("after the crashes %d of %d requests are served", served, sent)
	}
}

// A request that crashes engines is quarantined. Afterwards all requests with other fingerprints are
// served.
func TestRequestThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(t)
		defer f.shutDown()
		f.checkCrashingRequest()
	})
}

// The address of an engine that has crashed goes on listening, as behind a proxy, closes connections
// at once or after a request, or listens again before a connection to it could be refused. Guards against crashes that are only seen
// by a refused connection.
func TestRequestThatCrashesUpstreamsBehindAListenerIsQuarantined(t *testing.T) {
	for name, kind := range map[string]crashKind{"connections dropped": dropsConnections, "requests dropped": dropsRequests, "restarts at once": restartsAtOnce} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleet(t)
				defer f.shutDown()
				f.crashKind = kind
				f.checkCrashingRequest()
			})
		})
	}
}

// A restarted entry receives the quarantined fingerprints from the other entries. Guards against the
// restarted entry sending the request that crashes engines to more engines.
func TestRestartedEntryReceivesQuarantines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(t)
		defer f.shutDown()
		x := f.startRepeater(2, 200*time.Millisecond)
		time.Sleep(6 * time.Second)
		f.killEntry(f.entries[2])
		<-f.entries[2].exited
		f.entries[2] = f.startEntry(2)
		time.Sleep(8 * time.Second)
		x.Stop()
		for _, b := range x.RepeatViolations(f.evidence()) {
			t.Error(b)
		}
	})
}

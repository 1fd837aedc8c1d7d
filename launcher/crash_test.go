package launcher_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/caller"
)

// Engines ended one after the other, 43 in half a minute, each a moment after it had begun to run
// one request that came again and again, under new ids and at every entry. Each entry took it for
// a new request: the budget of repeats counts by service, and health blames the upstream. That it was one request
// is told by the content in the entries' logs, and by upstream_ended that the engines had ended.

// newCrashFleet is a fleet with eight engines that a request can crash.
func newCrashFleet(t *testing.T) *fleet {
	f := newFleet(t, 6)
	for range 5 {
		f.addWorker("lm")
	}
	time.Sleep(time.Second)
	return f
}

// startRepeater starts callers that ask for what crashes engines.
func (f *fleet) startRepeater(callers int, pause time.Duration) *caller.Traffic {
	f.trafficCount++
	return caller.NewRepeater(fmt.Sprintf("r%d%s", f.trafficCount, f.idSalt), callers, caller.CrashPath, pause, func(n int) *caller.Caller {
		c := f.newCaller(uint64(100 + n))
		c.BodyOf = func(string) string { return "the same" }
		return c
	})
}

// startDistinctTraffic starts callers that each ask for something else.
func (f *fleet) startDistinctTraffic(callers int) *traffic {
	f.trafficCount++
	return &traffic{fleet: f, Traffic: caller.NewTraffic(fmt.Sprintf("d%d%s", f.trafficCount, f.idSalt), callers, func(n int) *caller.Caller {
		c := f.newCaller(uint64(n))
		c.BodyOf = func(id string) string { return id }
		return c
	})}
}

func TestRequestThatCrashesUpstreamsIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(t)
		defer f.shutDown()
		others := f.startDistinctTraffic(8)
		x := f.startRepeater(3, 150*time.Millisecond)
		time.Sleep(12 * time.Second)
		x.Stop()
		for _, b := range x.Repeats(f.evidence()) {
			t.Error(b)
		}
		others.stopAndCheck()
		trafficAfter := f.startDistinctTraffic(4)
		time.Sleep(2 * time.Second)
		if served, sent := trafficAfter.stopAndCheck(); served < sent {
			t.Errorf("afterwards %d of %d are served", served, sent)
		}
	})
}

// An entry that starts anew remembers nothing, and learns from the others what they refuse.
func TestStartedEntryLearnsWhatCrashesUpstreams(t *testing.T) {
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
		for _, b := range x.Repeats(f.evidence()) {
			t.Error(b)
		}
	})
}

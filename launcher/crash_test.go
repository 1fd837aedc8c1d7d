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

// crashFleet is a fleet with eight engines that a request can crash.
func crashFleet(t *testing.T) *fleet {
	f := newFleet(t, 6)
	for range 5 {
		f.addWorker("lm")
	}
	time.Sleep(time.Second)
	return f
}

// repeater starts callers that ask for what crashes engines.
func (f *fleet) repeater(callers int, pause time.Duration) *caller.Traffic {
	f.rounds++
	return caller.NewRepeater(fmt.Sprintf("r%d%s", f.rounds, f.salt), callers, caller.CrashPath, pause, func(n int) *caller.Caller {
		c := f.newCaller(uint64(100 + n))
		c.BodyOf = func(string) string { return "the same" }
		return c
	})
}

// distinct starts callers that each ask for something else.
func (f *fleet) distinct(callers int) *traffic {
	f.rounds++
	return &traffic{fleet: f, Traffic: caller.NewTraffic(fmt.Sprintf("d%d%s", f.rounds, f.salt), callers, func(n int) *caller.Caller {
		c := f.newCaller(uint64(n))
		c.BodyOf = func(id string) string { return id }
		return c
	})}
}

func TestRequestThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := crashFleet(t)
		defer f.end()
		others := f.distinct(8)
		x := f.repeater(3, 150*time.Millisecond)
		time.Sleep(12 * time.Second)
		x.Stop()
		for _, b := range x.Repeats(f.evidence()) {
			t.Error(b)
		}
		others.end()
		calm := f.distinct(4)
		time.Sleep(2 * time.Second)
		if served, asked := calm.end(); served < asked {
			t.Errorf("afterwards %d of %d are served", served, asked)
		}
	})
}

// An entry that starts anew remembers nothing, and learns from the others what they refuse.
func TestRestartedEntryReceivesQuarantines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := crashFleet(t)
		defer f.end()
		x := f.repeater(2, 200*time.Millisecond)
		time.Sleep(6 * time.Second)
		f.kill(f.entries[2])
		<-f.entries[2].ended
		f.entries[2] = f.start(2)
		time.Sleep(8 * time.Second)
		x.Stop()
		for _, b := range x.Repeats(f.evidence()) {
			t.Error(b)
		}
	})
}

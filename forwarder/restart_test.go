package forwarder_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// restartEngine has an engine start again under its ID, behind a partition that hides the end of
// its connections, and lists the new run.
func (f *fixture) restartEngine(i int) {
	f.engines[i].Restart()
	f.instances[2+i].Started = time.Now().Add(time.Millisecond)
	f.dispatcher.Update(f.table, f.instances)
}

// runningEngine is the engine that works on a request.
func (f *fixture) runningEngine(id string) int {
	f.is.Helper()
	i := slices.IndexFunc(f.engines, func(w *worker.Worker) bool { return worker.TimesRun(slices.Values([]*worker.Worker{w}), id) > 0 })
	f.is.True(i >= 0)
	return i
}

// A stream whose engine starts anew goes on at another at once, though its connection says
// nothing; one that may not go on ends at once. Nobody waits for the watchdog, which would
// take a second and a half here.
func TestStreamOfALostRunGoesOn(t *testing.T) {
	for _, c := range []struct {
		path   string
		status int
		err    bool
	}{{"/stream/x", 200, false}, {"/fixed/x", 200, true}} {
		withForwarder(t, func(f *fixture) {
			done := make(chan answer)
			go func() { done <- f.ask(request{path: c.path, id: "s1", usage: "1000,100"}) }()
			time.Sleep(200 * time.Millisecond) // four of ten events
			f.restartEngine(f.runningEngine("s1"))
			a := <-done
			f.is.Equal(a.status, c.status)
			f.is.Equal(a.err != nil, c.err)
			if !c.err {
				f.is.Equal(a.body, wholeStream("s1", 1))
			}
			f.is.True(a.duration < 700*time.Millisecond)
		})
	}
}

// Two ids have one address, as where an upstream left it to another: a request meant for the one
// that is not there any more has not run, and is served elsewhere.
func TestTwoIDsWithOneAddress(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		other := f.instances[0]
		other.ID = "i-9"
		f.dispatcher.Update(f.table, append(slices.Clone(f.instances), other))
		for i := range 40 {
			id := fmt.Sprintf("r%d", i)
			f.is.Equal(f.ask(request{path: "/safe/x", id: id}).status, 200)
			f.is.Equal(countRuns(f.plain, id), 1)
		}
	})
}

// What may run once has its honest answer at once when its upstream starts anew: it may have run.
func TestCallOfALostRunEnds(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		setFaults(f.plain, worker.Mute)
		done := make(chan answer)
		go func() { done <- f.ask(request{path: "/once/x", id: "r1"}) }()
		time.Sleep(200 * time.Millisecond)
		for i, w := range f.plain {
			if len(w.Runs()) > 0 {
				w.Restart()
				f.instances[i].Started = time.Now()
			}
		}
		f.dispatcher.Update(f.table, f.instances)
		a := <-done
		f.is.Equal(a.status, 502)
		f.is.True(a.duration < 250*time.Millisecond)
		f.is.Equal(countRuns(f.plain, "r1"), 1)
	})
}

// A group of which one helper starts anew begins again with memory set aside anew, and what
// the others held is given back.
func TestGroupOfALostRunBeginsAgain(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		setFaults(f.engines, worker.Slow)
		done := make(chan answer)
		go func() { done <- f.ask(request{path: "/long/x", id: "s1", usage: "400000,100"}) }()
		time.Sleep(200 * time.Millisecond)
		helper := slices.IndexFunc(f.engines, func(w *worker.Worker) bool { return len(w.Held()) > 0 })
		f.is.True(helper >= 0)
		setFaults(f.engines, worker.Sound)
		f.restartEngine(helper)
		a := <-done
		f.is.Equal(a.status, 200)
		f.is.Equal(a.body, wholeStream("s1", 1))
		f.is.True(a.duration < 1500*time.Millisecond)
		time.Sleep(time.Second)
		for _, e := range f.engines {
			f.is.Equal(len(e.Held()), 0)
		}
	})
}

// A stream broke off at a sound upstream: its entry heard of the upstream's new run late, as the store
// had been away, when the stream had been sent to that run already, and ended what the run before had.
// Found by the virtual soak: the run went on when its caller's connection ended.
func TestStreamThatTheNewRunAnswersGoesOn(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		time.AfterFunc(200*time.Millisecond, func() {
			for i := range f.instances {
				f.instances[i].Started = f.instances[i].Started.Add(time.Second)
			}
			f.dispatcher.Update(f.table, f.instances)
		})
		a := f.ask(request{path: "/fixed/x", id: "r", usage: "2000,200"})
		f.is.NoErr(a.err)
		f.is.Equal(a.body, wholeStream("r", 1))
	})
}

// A call got 502 from a sound upstream, 17 ms after it had reached it: its entry heard only then, as the store had
// been away, that the upstream had started anew, some seconds before. Found by the virtual soak.
func TestCallSentLongAfterTheNewRunBeganIsAnswered(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		setFaults(f.plain, worker.Slow)
		time.Sleep(10 * time.Second)
		time.AfterFunc(200*time.Millisecond, func() {
			for i := range f.instances {
				f.instances[i].Started = time.Now().Add(-6 * time.Second)
			}
			f.dispatcher.Update(f.table, f.instances)
		})
		a := f.ask(request{path: "/once/x", id: "r1"})
		f.is.Equal(a.status, 200)
		f.is.Equal(countRuns(f.plain, "r1"), 1)
	})
}

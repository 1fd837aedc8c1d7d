package forwarder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// While the store was away an instance of a plain service said in its answers that it was leaving.
// Entries passed these answers on and sent it calls for seconds more, of which its end cut some: what an
// upstream says of itself changed no belief, only the store did. The entries' logs tell it by place lines
// after an answer of an upstream that said so.
func TestUpstreamThatSaysThatItLeavesGetsNothingMore(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		for _, w := range f.plain {
			w.Leave()
		}
		for n := range 10 {
			f.ask(request{path: "/safe/x", id: fmt.Sprint("r", n)})
		}
		for _, w := range f.plain {
			f.is.Equal(len(w.Runs()), 1) // the one that told so
		}
		refused := f.ask(request{path: "/safe/x", id: "last"})
		f.is.Equal(refused.status, 503) // at once, as nobody is left
		f.is.Equal(refused.duration, time.Duration(0))
		f.instances[0].Started = f.instances[0].Started.Add(time.Minute)
		f.plain[0].Restart()
		f.dispatcher.Update(f.table, f.instances)
		f.is.Equal(f.ask(request{path: "/safe/x", id: "new"}).status, 200) // its next run does not leave
	})
}

// Engines say so with the header of a stream, whose events go on.
func TestEngineThatSaysThatItLeavesGetsNothingMore(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		stream := func(id string) answer { return f.ask(request{path: "/stream/x", id: id, usage: "2000,200"}) }
		f.engines[0].Leave()
		f.engines[1].Leave()
		f.engines[2].SetFault(worker.Full)
		for n := range 2 {
			id := fmt.Sprint("told", n)
			f.is.Equal(stream(id).body, wholeStream(id, 1))
		}
		f.is.Equal(len(f.engines[0].Runs()), 1)
		f.is.Equal(len(f.engines[1].Runs()), 1)
		f.is.Equal(stream("nowhere").status, 503)
		// An upstream that lapses and is listed again is the same run.
		f.dispatcher.Update(f.table, f.instances[:2])
		f.dispatcher.Update(f.table, f.instances)
		f.is.Equal(stream("listed").status, 503)
		f.engines[2].SetFault(worker.Sound)
		for n := range 12 {
			id := fmt.Sprint("r", n)
			f.is.Equal(stream(id).body, wholeStream(id, 1))
		}
		f.is.Equal(len(f.engines[0].Runs())+len(f.engines[1].Runs()), 2)
	})
}

// An upstream that turns a request away may say for how long it wants nothing.
func TestPausingUpstreamGetsNothingMeanwhile(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		for _, w := range f.plain {
			w.SetFault(worker.Pausing)
		}
		first := f.ask(request{path: "/safe/x", id: "first"})
		f.is.Equal(first.status, 503)
		for _, w := range f.plain {
			w.SetFault(worker.Sound)
		}
		time.Sleep(time.Second)
		refused := f.ask(request{path: "/safe/x", id: "second"})
		f.is.Equal(refused.status, 503)
		f.is.Equal(refused.duration, time.Duration(0))
		f.is.Equal(refused.header.Get("Retry-After"), "2.000") // when the first of them takes some again
		f.is.Equal(countRuns(f.plain, "second"), 0)
		time.Sleep(worker.PauseTime - time.Second)
		f.is.Equal(f.ask(request{path: "/safe/x", id: "third"}).status, 200)
	})
}

// A pause of one upstream keeps nobody from the others.
func TestPauseIsThatOfOneUpstream(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		f.engines[0].SetFault(worker.Pausing)
		f.engines[1].SetFault(worker.Pausing)
		began := time.Now()
		for n := 0; time.Since(began) < worker.PauseTime-time.Second; n++ {
			f.is.Equal(f.ask(request{path: "/stream/x", id: fmt.Sprint("r", n), usage: "2000,200"}).status, 200)
		}
		for _, w := range f.engines[:2] {
			f.is.True(w.Refused() <= 1)
		}
	})
}

// An upstream wanted nothing for three seconds, and its entry heard only then, as the store had been away, that
// it had started anew before: what it said was said by the new run.
func TestPauseOutlivesLateWordOfTheRun(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		time.Sleep(10 * time.Second)
		for _, w := range f.plain {
			w.SetFault(worker.Pausing)
		}
		f.ask(request{path: "/safe/x", id: "first"})
		for i, w := range f.plain {
			w.SetFault(worker.Sound)
			f.instances[i].Started = time.Now().Add(-5 * time.Second)
		}
		f.dispatcher.Update(f.table, f.instances)
		f.is.Equal(f.ask(request{path: "/safe/x", id: "second"}).status, 503)
		f.is.Equal(countRuns(f.plain, "second"), 0)
	})
}

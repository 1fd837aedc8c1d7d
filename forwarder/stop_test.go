package forwarder_test

import (
	"fmt"
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/forwarder"
	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// startStopping has the entry of a test stop: it ends after a time, so many others take callers, and
// callers may use its address for three seconds.
func (f *fixture) startStopping(left time.Duration, others int) {
	v := *f.view.Load()
	v.Stopping, v.StopBy, v.OtherEntries, v.AddressValidUntil = true, time.Now().Add(left), others, time.Now().Add(3*time.Second)
	f.view.Store(&v)
}

// retryAfter is the time after which an answer asks its caller to return.
func (f *fixture) retryAfter(a answer) time.Duration {
	f.is.Helper()
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	f.is.NoErr(err)
	return time.Duration(seconds * float64(time.Second))
}

// A stopping entry asks callers to leave, and begins nothing that it can't
// finish.
func TestStoppingEntry(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		stopping := *f.view.Load()
		stopping.Stopping, stopping.StopBy, stopping.OtherEntries = true, time.Now().Add(2*time.Second), 1
		f.view.Store(&stopping)
		a := f.ask(request{path: "/once/x", id: "r1"})
		f.is.Equal(a.status, 200)
		f.is.True(a.closesConnection)
		a = f.ask(request{path: "/stream/x", id: "s1", usage: "1000,100"})
		f.is.Equal(a.status, 503)
		f.is.Equal(countRuns(f.engines, "s1"), 0)
	})
}

// A request that waits for its turn does not wait on at an entry that stops: it is begun where
// it can end in time, and else its caller is told at once to go elsewhere.
func TestHeldRequestAtAStoppingEntry(t *testing.T) {
	for _, left := range []time.Duration{8 * time.Second, 2 * time.Second} {
		withForwarder(t, func(f *fixture) {
			for range 2 {
				_, refusal := f.dispatcher.Place(time.Now(), dispatcher.Demand{
					Service: "lm", PromptTokens: 150000, FirstByteTarget: time.Hour, GapTarget: time.Hour, Admitted: true,
				})
				f.is.True(refusal == nil)
			}
			done := make(chan answer)
			go func() { done <- f.ask(request{path: "/long/x", id: "s1", usage: "90000,2000"}) }()
			time.Sleep(150 * time.Millisecond)
			f.is.Equal(countRuns(f.engines, "s1"), 0)
			stopping := *f.view.Load()
			stopping.Stopping, stopping.StopBy = true, time.Now().Add(left)
			f.view.Store(&stopping)
			time.Sleep(50 * time.Millisecond)
			begun := left > 6*time.Second
			f.is.Equal(countRuns(f.engines, "s1") > 0, begun)
			a := <-done
			f.is.Equal(a.status == 200, begun)
			f.is.True(begun || a.status == 503 && a.duration < 250*time.Millisecond)
		})
	}
}

// A stopping entry begins only what ends before it does: by the time limit of the request, or, for
// callers that may still have its address, by what the longest answer that the request allows takes. All others
// are told at once where to go. A stream was once begun where its target and three seconds were
// left, as most answers end in that time; longer ones were cut in the middle.
func TestStoppingEntryBeginsOnlyWhatEndsInTime(t *testing.T) {
	const long, brief = "1000,4500", "1000,100" // 4.3 s and 0.1 s of decoding at an idle engine
	for _, c := range []struct {
		path, usage    string
		patience, left time.Duration
		// after the order to stop it is asked.
		after time.Duration
		begun bool
	}{
		{"/stream/x", long, 10 * time.Second, 10100 * time.Millisecond, 0, true},
		{"/stream/x", long, 10 * time.Second, 7300 * time.Millisecond, 0, true},
		{"/stream/x", long, 10 * time.Second, 7300 * time.Millisecond, 2 * time.Second, false},
		{"/stream/x", long, 10 * time.Second, 5 * time.Second, 0, false},
		{"/stream/x", long, 2 * time.Second, 4 * time.Second, 0, true},
		{"/stream/x", long, 2 * time.Second, 7300 * time.Millisecond, 3100 * time.Millisecond, true},
		{"/stream/x", brief, 10 * time.Second, 4 * time.Second, 2900 * time.Millisecond, true},
		{"/stream/x", brief, 10 * time.Second, 4 * time.Second, 3100 * time.Millisecond, false},
		{"/fixed/x", long, 10 * time.Second, 5 * time.Second, 0, false},
		{"/long/x", "90000,2000", 15 * time.Second, 7300 * time.Millisecond, 0, true},
		{"/long/x", "90000,2000", 15 * time.Second, 3 * time.Second, 0, false},
		{"/once/x", "", 2 * time.Second, 2100 * time.Millisecond, 0, true},
		{"/once/x", "", 2 * time.Second, 1900 * time.Millisecond, 0, false},
		{"/safe/x", "", time.Second, 1100 * time.Millisecond, 0, true},
		{"/safe/x", "", time.Second, 900 * time.Millisecond, 0, false},
	} {
		t.Run(fmt.Sprintf("%s %s %s of %s after %s", c.path, c.usage, c.patience, c.left, c.after), func(t *testing.T) {
			withForwarder(t, func(f *fixture) {
				f.startStopping(c.left, 1)
				time.Sleep(c.after)
				a := f.ask(request{path: c.path, id: "r1", usage: c.usage, patience: c.patience})
				ran := countRuns(f.engines, "r1") + countRuns(f.plain, "r1")
				f.is.True(a.closesConnection)
				if c.begun {
					f.is.Equal(a.status, 200)
					f.is.Equal(ran, 1)
					return
				}
				f.is.Equal(a.status, 503)
				f.is.Equal(ran, 0)
				f.is.True(a.duration < 20*time.Millisecond)
				f.is.Equal(f.retryAfter(a), 50*time.Millisecond)
			})
		})
	}
}

// Where no other entry takes callers, one that stops serves them while their answers surely end in
// time, and else tells them when it has started again.
func TestLastEntryThatStops(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		f.startStopping(5*time.Second, 0)
		short := f.ask(request{path: "/stream/x", id: "s1", usage: "1000,100"})
		f.is.Equal(short.status, 200)
		f.is.Equal(short.body, wholeStream("s1", 1))
		long := f.ask(request{path: "/stream/x", id: "s2", usage: "1000,4500"})
		f.is.Equal(long.status, 503)
		f.is.Equal(countRuns(f.engines, "s2"), 0)
		known := time.Until(f.view.Load().AddressValidUntil)
		f.is.True(known > 0)
		f.is.True(f.retryAfter(long) > known && f.retryAfter(long) < known+3*time.Second)
	})
}

// A request whose body was still on its way when its entry was told to stop has not been passed on:
// it is refused, and can be served elsewhere.
func TestSlowBodyAtAStoppingEntry(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		body, send := io.Pipe()
		done := make(chan answer)
		go func() { done <- f.ask(request{path: "/stream/x", id: "s1", usage: "1000,4500", bodyReader: body}) }()
		time.Sleep(100 * time.Millisecond)
		f.startStopping(5*time.Second, 1)
		time.Sleep(400 * time.Millisecond)
		_, err := send.Write([]byte("prompt"))
		f.is.NoErr(err)
		f.is.NoErr(send.Close())
		a := <-done
		f.is.Equal(a.status, 503)
		f.is.Equal(countRuns(f.engines, "s1"), 0)
	})
}

// A stream that broke at its engine goes on at another, also at an entry that stops: nothing that
// has begun can be refused any more, and all that is left to lose is the rest.
func TestBrokenStreamGoesOnAtAStoppingEntry(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		done := make(chan answer)
		go func() { done <- f.ask(request{path: "/stream/x", id: "s1", usage: "1000,4500"}) }()
		time.Sleep(200 * time.Millisecond)
		f.startStopping(7*time.Second, 1)
		f.restartEngine(f.runningEngine("s1"))
		a := <-done
		f.is.NoErr(a.err)
		f.is.Equal(a.body, wholeStream("s1", 1))
	})
}

// What a stopping entry begins has to end before it does: all entries hear of that, so that they keep
// from its engine what would hold it up.
func TestEndOfAStoppingEntryIsTold(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		f.startStopping(7300*time.Millisecond, 1)
		done := make(chan answer)
		go func() { done <- f.ask(request{path: "/stream/x", id: "s1", usage: "1000,4500"}) }()
		time.Sleep(100 * time.Millisecond)
		shares := f.dispatcher.RequestLoads(time.Now())
		f.is.Equal(len(shares), 1)
		f.is.True(shares[0].Remaining > 7*time.Second && shares[0].Remaining <= 7300*time.Millisecond)
		f.is.Equal((<-done).status, 200)
	})
}

// A stopping entry gives up on an engine that is silent before its first event only where another can
// end the answer in time: the caller would be told of a failure, where the engine was only slow.
func TestSilenceNearTheEndOfAnEntry(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		setFaults(f.engines, worker.Slow)
		done := make(chan answer)
		go func() { done <- f.ask(request{path: "/stream/x", id: "s1", usage: "1000,4500"}) }()
		time.Sleep(100 * time.Millisecond)
		f.startStopping(4*time.Second, 1)
		a := <-done
		f.is.Equal(a.status, 200)
		f.is.Equal(a.body, wholeStream("s1", 1))
		f.is.Equal(countRuns(f.engines, "s1"), 1)
	})
}

// A call is in progress at an upstream that says nothing when its entry is told to stop. Another
// upstream answers in 20 ms and seconds are left, but the call stays where it is until
// its time or its entry is over, as its time limit is later than the end of the entry.
func TestSilentCallGoesElsewhereAtAStop(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		setFaults(f.plain, worker.Mute)
		done := make(chan answer)
		go func() { done <- f.ask(request{path: "/safe/x", id: "r1", patience: 2 * time.Second}) }()
		time.Sleep(10 * time.Millisecond)
		setFaults(f.plain, worker.Sound)
		f.startStopping(1900*time.Millisecond, 1)
		a := <-done
		f.is.NoErr(a.err)
		f.is.Equal(a.status, 200)
		f.is.Equal(countRuns(f.plain, "r1"), 2)
	})
}

// A stream that has eight of its ten events is in progress at an engine that turns silent. The
// two that are left take 0.9 s elsewhere by the longest forecast, and 4 s are left when the
// silence has lasted too long, but all ten are reckoned with: it stays until its entry is over.
func TestSilentStreamGoesOnElsewhereAtAStop(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		const left = 6 * time.Second
		done := make(chan answer, 1)
		go func() { done <- f.ask(request{path: "/stream/x", id: "s1", usage: "1000,4500"}) }()
		time.Sleep(400 * time.Millisecond)
		silent := f.instances[2+f.runningEngine("s1")].Address.Addr()
		f.net.Cut(entryHost, silent)
		f.startStopping(left, 1)
		time.Sleep(left)
		f.net.Kill(silent)
		a := <-done
		f.is.NoErr(a.err)
		f.is.Equal(a.body, wholeStream("s1", 1))
		f.is.True(a.duration < left)
	})
}

// A stopping entry admits what it would admit otherwise: a prompt that costs others more than it is worth
// is not begun because its entry stops.
func TestStoppingEntryRefusesWhatCostsTooMuch(t *testing.T) {
	for _, patience := range []time.Duration{2 * time.Second, 10 * time.Second} {
		withForwarder(t, func(f *fixture) {
			for range 6 {
				_, refusal := f.dispatcher.Place(time.Now(), dispatcher.Demand{
					Service: "lm", PromptTokens: 300_000, AnswerTokens: 100, FirstByteTarget: 3 * time.Second, GapTarget: time.Second, Admitted: true,
				})
				f.is.True(refusal == nil)
			}
			f.startStopping(7300*time.Millisecond, 1)
			a := f.ask(request{path: "/long/x", id: "s1", usage: "90000,100", patience: patience})
			f.is.Equal(a.status, 503)
			f.is.Equal(countRuns(f.engines, "s1"), 0)
		})
	}
}

// An entry that is told to stop before it knows a configuration refuses at once: it will not serve.
func TestStoppingEntryWithoutConfiguration(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		f.view.Store(&forwarder.View{Stopping: true, StopBy: time.Now().Add(7 * time.Second), OtherEntries: 1, StoreUnavailable: true})
		a := f.ask(request{path: "/stream/x", id: "s1", usage: "1000,100", patience: 10 * time.Second})
		f.is.Equal(a.status, 503)
		f.is.True(a.duration < 20*time.Millisecond)
		f.is.Equal(f.retryAfter(a), 50*time.Millisecond)
	})
}

// A day of stops in series lost an answer that the last of seven entries had begun 3.04 s after its order to
// stop: no other took callers at that moment, so the forecast alone decided, which is no bound. Once nobody can have
// its address any more, an entry begins only what surely ends before it does, with others or without.
func TestLastEntryBeginsNothingUnsureOnceItIsForgotten(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		f.startStopping(7*time.Second, 0)
		time.Sleep(3 * time.Second)
		late := f.ask(request{path: "/stream/x", id: "s1", usage: "1000,100"})
		f.is.Equal(late.status, 503)
		f.is.Equal(countRuns(f.engines, "s1"), 0)
		f.is.True(f.retryAfter(late) > time.Second) // when it has started again
		sure := f.ask(request{path: "/stream/x", id: "s2", usage: "1000,100", patience: 2 * time.Second})
		f.is.Equal(sure.status, 200)
		f.is.Equal(sure.body, wholeStream("s2", 1))
	})
}

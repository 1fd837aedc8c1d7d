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

// startStopping starts the shutdown of the entry: it exits after untilExit, otherEntries other entries
// accept callers, and callers may use the stopping entry's address for another 3 s.
func (f *fixture) startStopping(untilExit time.Duration, otherEntries int) {
	v := *f.view.Load()
	v.Stopping, v.StopBy, v.OtherEntries, v.AddressValidUntil = true, time.Now().Add(untilExit), otherEntries, time.Now().Add(3*time.Second)
	f.view.Store(&v)
}

// retryAfter returns the Retry-After of an answer.
func (f *fixture) retryAfter(a answer) time.Duration {
	f.is.Helper()
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	f.is.NoErr(err)
	return time.Duration(seconds * float64(time.Second))
}

// A stopping entry asks callers to close their connections, and refuses requests that may still be in
// progress when it exits.
func TestStoppingEntryClosesConnections(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		stopping := *f.view.Load()
		stopping.Stopping, stopping.StopBy, stopping.OtherEntries = true, time.Now().Add(2*time.Second), 1
		f.view.Store(&stopping)
		a := f.ask(request{path: "/once/x", id: "r1"})
		f.is.Equal(a.status, 200)
		f.is.True(a.closesConnection)
		a = f.ask(request{path: "/stream/x", id: "s1", usage: "1000,100"})
		f.is.Equal(a.status, 503)
		f.is.Equal(countExecutions(f.engines, "s1"), 0)
	})
}

// A request that waits for a placement stops waiting when its entry begins to stop: it is sent if
// it can end in time, and refused at once otherwise.
func TestWaitingRequestAtStoppingEntry(t *testing.T) {
	for _, untilExit := range []time.Duration{8 * time.Second, 2 * time.Second} {
		withForwarder(t, func(f *fixture) {
			for range 2 {
				_, refusal := f.dispatcher.Place(time.Now(), dispatcher.Demand{
					Service: "lm", PromptTokens: 150000, FirstByteTarget: time.Hour, GapTarget: time.Hour, SentBefore: true,
				})
				f.is.True(refusal == nil)
			}
			done := make(chan answer)
			go func() { done <- f.ask(request{path: "/long/x", id: "s1", usage: "90000,2000"}) }()
			time.Sleep(150 * time.Millisecond)
			f.is.Equal(countExecutions(f.engines, "s1"), 0)
			stopping := *f.view.Load()
			stopping.Stopping, stopping.StopBy = true, time.Now().Add(untilExit)
			f.view.Store(&stopping)
			time.Sleep(50 * time.Millisecond)
			isServed := untilExit > 6*time.Second
			f.is.Equal(countExecutions(f.engines, "s1") > 0, isServed)
			a := <-done
			f.is.Equal(a.status == 200, isServed)
			f.is.True(isServed || a.status == 503 && a.duration < 250*time.Millisecond)
		})
	}
}

// A stopping entry accepts a request only if it ends before the exit: by its deadline or, while callers
// may still use the entry's address, by the predicted end of its longest allowed response. All other
// requests are refused at once with a Retry-After. Streams used to be accepted if the first-byte target
// plus 3 s were left until the exit, in which most responses end; longer ones were cut off.
func TestStoppingEntryBeginsOnlyWhatEndsInTime(t *testing.T) {
	const long, brief = "1000,4500", "1000,100" // an idle engine decodes for 4.3 s and 0.1 s
	for _, c := range []struct {
		path, usage        string
		timeout, untilExit time.Duration
		// after is the time from the stop signal to the request.
		after    time.Duration
		isServed bool
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
		t.Run(fmt.Sprintf("%s %s %s of %s after %s", c.path, c.usage, c.timeout, c.untilExit, c.after), func(t *testing.T) {
			withForwarder(t, func(f *fixture) {
				f.startStopping(c.untilExit, 1)
				time.Sleep(c.after)
				a := f.ask(request{path: c.path, id: "r1", usage: c.usage, timeout: c.timeout})
				ran := countExecutions(f.engines, "r1") + countExecutions(f.plain, "r1")
				f.is.True(a.closesConnection)
				if c.isServed {
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

// If no other entry accepts callers, a stopping entry serves requests that are predicted to end in
// time, and gives other callers a Retry-After at which it has restarted.
func TestLastStoppingEntryServesShortRequests(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		f.startStopping(5*time.Second, 0)
		short := f.ask(request{path: "/stream/x", id: "s1", usage: "1000,100"})
		f.is.Equal(short.status, 200)
		f.is.Equal(short.body, wholeStream("s1", 1))
		long := f.ask(request{path: "/stream/x", id: "s2", usage: "1000,4500"})
		f.is.Equal(long.status, 503)
		f.is.Equal(countExecutions(f.engines, "s2"), 0)
		untilExpiry := time.Until(f.view.Load().AddressValidUntil)
		f.is.True(untilExpiry > 0)
		f.is.True(f.retryAfter(long) > untilExpiry && f.retryAfter(long) < untilExpiry+3*time.Second)
	})
}

// A request whose body is still being received when its entry starts to stop has not reached an
// upstream. If it may still be in progress when the entry exits, it is refused so that another entry can
// serve it.
func TestStoppingEntryRefusesSlowBody(t *testing.T) {
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
		f.is.Equal(countExecutions(f.engines, "s1"), 0)
	})
}

// A stream that breaks off resumes at another engine even while its entry is stopping: a response
// that has begun can't be refused any more, and without a new attempt the rest is lost for certain.
func TestBrokenStreamResumesAtStoppingEntry(t *testing.T) {
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

// A stopping entry broadcasts the time until its exit as the remaining time of its requests, so that no
// entry places work on their engines that would delay them beyond the exit.
func TestStopDeadlineIsBroadcast(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		f.startStopping(7300*time.Millisecond, 1)
		done := make(chan answer)
		go func() { done <- f.ask(request{path: "/stream/x", id: "s1", usage: "1000,4500"}) }()
		time.Sleep(100 * time.Millisecond)
		loads := f.dispatcher.OwnRequestLoads(time.Now())
		f.is.Equal(len(loads), 1)
		f.is.True(loads[0].Remaining > 7*time.Second && loads[0].Remaining <= 7300*time.Millisecond)
		f.is.Equal((<-done).status, 200)
	})
}

// A stopping entry gives up an engine that is silent before its first event only if another engine
// can complete the response before the entry exits. Otherwise the caller would get a failure
// although the engine may only be slow.
func TestSilentEngineIsKeptIfNoOtherEndsInTime(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		setFaults(f.engines, worker.FaultSlow)
		done := make(chan answer)
		go func() { done <- f.ask(request{path: "/stream/x", id: "s1", usage: "1000,4500"}) }()
		time.Sleep(100 * time.Millisecond)
		f.startStopping(4*time.Second, 1)
		a := <-done
		f.is.Equal(a.status, 200)
		f.is.Equal(a.body, wholeStream("s1", 1))
		f.is.Equal(countExecutions(f.engines, "s1"), 1)
	})
}

// A plain request at a silent upstream is retried while its entry is stopping. It used to stay at
// that upstream until its deadline or the entry's exit, because its deadline is later than the
// exit, although another upstream responds in 20 ms and seconds were left.
func TestSilentRequestIsRetriedAtStoppingEntry(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		setFaults(f.plain, worker.FaultNoAnswer)
		done := make(chan answer)
		go func() { done <- f.ask(request{path: "/safe/x", id: "r1", timeout: 2 * time.Second}) }()
		time.Sleep(10 * time.Millisecond)
		setFaults(f.plain, worker.FaultNone)
		f.startStopping(1900*time.Millisecond, 1)
		a := <-done
		f.is.NoErr(a.err)
		f.is.Equal(a.status, 200)
		f.is.Equal(countExecutions(f.plain, "r1"), 2)
	})
}

// A stream with 8 of its 10 events whose engine becomes silent resumes at another engine while its
// entry is stopping. The last two events are predicted to take at most 0.9 s there, and 4 s are
// left when the watchdog fires. The stream used to stay at the silent engine until the exit, because the
// prediction was for all ten events.
func TestSilentStreamResumesAtStoppingEntry(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		const untilExit = 6 * time.Second
		done := make(chan answer, 1)
		go func() { done <- f.ask(request{path: "/stream/x", id: "s1", usage: "1000,4500"}) }()
		time.Sleep(400 * time.Millisecond)
		silent := f.instances[2+f.runningEngine("s1")].Address.Addr()
		f.net.Disconnect(entryHost, silent)
		f.startStopping(untilExit, 1)
		time.Sleep(untilExit)
		f.net.KillHost(silent)
		a := <-done
		f.is.NoErr(a.err)
		f.is.Equal(a.body, wholeStream("s1", 1))
		f.is.True(a.duration < untilExit)
	})
}

// A stopping entry refuses a prompt whose cost to other requests exceeds its value, as any entry does,
// also if the response would end before the exit.
func TestStoppingEntryRefusesTooCostlyPrompt(t *testing.T) {
	for _, timeout := range []time.Duration{2 * time.Second, 10 * time.Second} {
		withForwarder(t, func(f *fixture) {
			for range 6 {
				_, refusal := f.dispatcher.Place(time.Now(), dispatcher.Demand{
					Service: "lm", PromptTokens: 300_000, AnswerTokens: 100, FirstByteTarget: 3 * time.Second, GapTarget: time.Second, SentBefore: true,
				})
				f.is.True(refusal == nil)
			}
			f.startStopping(7300*time.Millisecond, 1)
			a := f.ask(request{path: "/long/x", id: "s1", usage: "90000,100", timeout: timeout})
			f.is.Equal(a.status, 503)
			f.is.Equal(countExecutions(f.engines, "s1"), 0)
		})
	}
}

// An entry that begins to stop before it has a configuration refuses requests at once.
func TestStoppingEntryWithoutConfiguration(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		f.view.Store(&forwarder.View{Stopping: true, StopBy: time.Now().Add(7 * time.Second), OtherEntries: 1, StoreUnavailable: true})
		a := f.ask(request{path: "/stream/x", id: "s1", usage: "1000,100", timeout: 10 * time.Second})
		f.is.Equal(a.status, 503)
		f.is.True(a.duration < 20*time.Millisecond)
		f.is.Equal(f.retryAfter(a), 50*time.Millisecond)
	})
}

// Once callers may no longer use the entry's address, a stopping entry accepts only requests whose
// deadline is before its exit, even if no other entry accepts callers. In a soak run in which seven
// entries were stopped in turn, the last one accepted a stream 3.04 s after its stop signal because
// its predicted end was before the exit, and cut it off.
func TestLastStoppingEntryRefusesUnboundedRequestsOnceAddressExpired(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		f.startStopping(7*time.Second, 0)
		time.Sleep(3 * time.Second)
		late := f.ask(request{path: "/stream/x", id: "s1", usage: "1000,100"})
		f.is.Equal(late.status, 503)
		f.is.Equal(countExecutions(f.engines, "s1"), 0)
		f.is.True(f.retryAfter(late) > time.Second) // once the entry has restarted
		bounded := f.ask(request{path: "/stream/x", id: "s2", usage: "1000,100", timeout: 2 * time.Second})
		f.is.Equal(bounded.status, 200)
		f.is.Equal(bounded.body, wholeStream("s2", 1))
	})
}

//go:build knownred

package forwarder_test

import (
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// A call is in progress at an upstream that says nothing when its entry is told to stop. Another
// upstream answers in 20 ms and seconds are left, but the call stays where it is until
// its time or its entry is over, as its time limit is later than the end of the entry.
func TestSilentCallGoesElsewhereAtAStop(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		setAll(f.plain, worker.Mute)
		done := make(chan answer)
		go func() { done <- f.ask(request{path: "/safe/x", id: "r1", patience: 2 * time.Second}) }()
		time.Sleep(10 * time.Millisecond)
		setAll(f.plain, worker.Sound)
		f.stopping(1900*time.Millisecond, 1)
		a := <-done
		f.is.NoErr(a.err)
		f.is.Equal(a.status, 200)
		f.is.Equal(runs(f.plain, "r1"), 2)
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
		silent := f.instances[2+f.running("s1")].Address.Addr()
		f.net.Cut(entryHost, silent)
		f.stopping(left, 1)
		time.Sleep(left)
		f.net.Kill(silent)
		a := <-done
		f.is.NoErr(a.err)
		f.is.Equal(a.body, whole("s1", 1))
		f.is.True(a.took < left)
	})
}

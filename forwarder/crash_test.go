package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/quarantiner"
	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// fingerprintOf returns the fingerprint of a request that the fixture sends with its default API key.
func fingerprintOf(path, body string) quarantiner.Fingerprint {
	return quarantiner.FingerprintOf([]byte(http.MethodPost), []byte("h"), []byte(path), []byte("crew"), []byte(body))
}

// killWorkingEngines kills the processes of all engines that are running a request.
func (f *fixture) killWorkingEngines() {
	for i, w := range f.engines {
		if w.InProgress() == 0 {
			continue
		}
		w.Restart()
		f.net.KillHost(f.instances[len(f.plain)+i].Address.Addr())
	}
}

// Guards against two faults when an upstream exits during a response: that a crash is not counted for a
// request that had just begun, and that an exit is counted for a request whose events had arrived for
// longer than a request that crashes its upstream runs.
func TestCrashCountsAgainstRequestJustBegun(t *testing.T) {
	for _, c := range []struct {
		name string
		ran  time.Duration
		want int
	}{{"just begun", 200 * time.Millisecond, 1}, {"long under way", 2500 * time.Millisecond, 0}} {
		t.Run(c.name, func(t *testing.T) {
			withForwarder(t, func(f *fixture) {
				for _, w := range f.engines {
					w.SetPlan(&worker.AnswerPlan{EventCount: func(string) int { return 100 }})
				}
				time.AfterFunc(c.ran, f.killWorkingEngines)
				a := f.ask(request{path: "/fixed/x", id: "r", usage: "2000,200", body: "b"})
				f.is.True(a.err != nil)
				time.Sleep(time.Second)
				f.is.Equal(f.quarantine.CrashCount(fingerprintOf("/fixed/x", "b")), c.want)
			})
		})
	}
}

// A response that breaks off although its upstream keeps running is not counted as a crash.
func TestBrokenResponseOfLiveUpstreamIsNoCrash(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		setFaults(f.engines, worker.FaultBrokenOff)
		f.ask(request{path: "/fixed/x", id: "r", usage: "2000,200", body: "b"})
		time.Sleep(time.Second)
		f.is.Equal(f.quarantine.CrashCount(fingerprintOf("/fixed/x", "b")), 0)
	})
}

// A request during which two upstreams crashed is not retried when a third upstream crashes. From
// then on its fingerprint is quarantined: requests with equal content are refused, others are served.
func TestSuspectRequestIsNotRetriedAndQuarantinedIsRefused(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		now, fingerprint := time.Now(), fingerprintOf("/stream/x", "b")
		for n := range 2 {
			ended := now.Add(time.Duration(n-3) * time.Second)
			f.quarantine.RecordCrash(now, quarantiner.Crash{Fingerprint: fingerprint, Incarnation: quarantiner.IncarnationHash(n), LastSent: ended.Add(-100 * time.Millisecond), Ended: ended})
		}
		time.AfterFunc(100*time.Millisecond, f.killWorkingEngines)
		f.ask(request{path: "/stream/x", id: "third", usage: "2000,200", body: "b"})
		f.is.Equal(countExecutions(f.engines, "third"), 1)
		time.Sleep(2 * time.Second)
		f.is.Equal(len(f.quarantine.Evaluate(time.Now())), 1)
		fourth := f.ask(request{path: "/stream/x", id: "fourth", usage: "2000,200", body: "b"})
		f.is.Equal(fourth.status, 503)
		f.is.Equal(fourth.header.Get("Retry-After"), "300.000")
		f.is.Equal(countExecutions(f.engines, "fourth"), 0)
		other := f.ask(request{path: "/safe/x", id: "other", body: "b"})
		f.is.Equal(other.status, 200)
	})
}

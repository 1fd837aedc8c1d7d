package quarantiner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/quarantiner"
)

// An interruption counts as a crash only if its own incarnation has been replaced soon after.
func TestInterruptionIsACrashOnceTheUpstreamHasRestarted(t *testing.T) {
	is := is.New(t)
	q, now := quarantiner.New(), time.Unix(1000, 0)
	fp := quarantiner.FingerprintOf([]byte("request"))
	interruption := func(incarnation quarantiner.IncarnationHash, ended time.Time) quarantiner.Crash {
		return quarantiner.Crash{Fingerprint: fp, Incarnation: incarnation, LastSent: ended.Add(-time.Second), Ended: ended}
	}
	q.RecordInterruption(now, interruption(1, now))
	q.RecordInterruption(now, interruption(2, now))
	is.Equal(q.CrashCount(fp), 0)
	is.Equal(len(q.ConfirmExit(now.Add(time.Second), 1)), 1)
	is.Equal(q.CrashCount(fp), 1)
	is.Equal(len(q.ConfirmExit(now.Add(time.Second), 1)), 0)
	is.Equal(len(q.ConfirmExit(now.Add(11*time.Second), 2)), 0) // too long ago
	is.Equal(q.CrashCount(fp), 1)
}

// Interruptions without a restart, as in an outage of the network, take bounded memory.
func TestInterruptionsAreBounded(t *testing.T) {
	is := is.New(t)
	q, now := quarantiner.New(), time.Unix(1000, 0)
	fp := quarantiner.FingerprintOf([]byte("request"))
	for range 5000 {
		q.RecordInterruption(now, quarantiner.Crash{Fingerprint: fp, Incarnation: 1, LastSent: now, Ended: now})
	}
	is.Equal(len(q.ConfirmExit(now, 1)), 1024)
}

// Guards against a request that is quarantined because it was sent to the same upstreams as one that crashes them:
// interruptions are confirmed seconds after the crashes, several at once, and what other entries had sent there
// has not been received yet.
func TestConfirmedCrashesAwaitReportsOfOthers(t *testing.T) {
	is := is.New(t)
	q, start := quarantiner.New(), time.Unix(1000, 0)
	q.SetUpstreamCount(20)
	innocent, crashing := quarantiner.FingerprintOf([]byte("innocent")), quarantiner.FingerprintOf([]byte("crashing"))
	crash := func(fp quarantiner.Fingerprint, i int, ran time.Duration) quarantiner.Crash {
		ended := start.Add(time.Duration(i) * 1500 * time.Millisecond)
		return quarantiner.Crash{Fingerprint: fp, Incarnation: quarantiner.IncarnationHash(i + 1), LastSent: ended.Add(-ran), Ended: ended}
	}
	for i := range 3 {
		q.RecordInterruption(start, crash(innocent, i, time.Second))
	}
	now := start.Add(6 * time.Second)
	for i := range 3 {
		is.Equal(len(q.ConfirmExit(now, quarantiner.IncarnationHash(i+1))), 1)
	}
	is.Equal(len(q.Evaluate(now)), 0)
	for i := range 3 {
		q.RecordCrash(now.Add(500*time.Millisecond), crash(crashing, i, 60*time.Millisecond))
	}
	is.Equal(len(q.Evaluate(now.Add(time.Second))), 0)
	_, isRefused := q.QuarantinedUntil(now.Add(2*time.Second), innocent)
	is.True(!isRefused)
}

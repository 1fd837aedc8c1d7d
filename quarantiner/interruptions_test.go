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

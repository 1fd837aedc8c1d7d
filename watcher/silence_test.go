package watcher

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// withSilenceTimer runs a function in virtual time with a timer of a second, the number of its calls and a
// function that lets the clock of the timer jump, as if the process had been suspended.
func withSilenceTimer(t *testing.T, run func(is *is.I, timer *SilenceTimer, calls *atomic.Int32, suspend func(time.Duration))) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int32
		var jumped atomic.Int64
		now := func() time.Time { return time.Now().Add(time.Duration(jumped.Load())) }
		timer := newSilenceTimer(time.Second, func() { calls.Add(1) }, now)
		defer timer.Stop()
		run(is.New(t), timer, &calls, func(d time.Duration) { jumped.Add(int64(d)) })
	})
}

func TestSilenceIsReportedInTime(t *testing.T) {
	withSilenceTimer(t, func(is *is.I, timer *SilenceTimer, calls *atomic.Int32, _ func(time.Duration)) {
		time.Sleep(900 * time.Millisecond)
		timer.Reset(time.Second)
		time.Sleep(999 * time.Millisecond)
		is.Equal(calls.Load(), int32(0))
		time.Sleep(2 * time.Millisecond)
		is.Equal(calls.Load(), int32(1))
		timer.Reset(time.Second)
		timer.Stop()
		timer.Reset(time.Second)
		time.Sleep(10 * time.Second)
		is.Equal(calls.Load(), int32(1))
	})
}

// Guards against a process that was suspended and takes its own silence for that of its peer.
func TestOwnSuspensionIsNoSilence(t *testing.T) {
	withSilenceTimer(t, func(is *is.I, timer *SilenceTimer, calls *atomic.Int32, suspend func(time.Duration)) {
		for range 3 {
			suspend(5 * time.Second)
			time.Sleep(1001 * time.Millisecond) // the timer fires 5 s late
			timer.Reset(time.Second)            // what has arrived is read
		}
		is.Equal(calls.Load(), int32(0))
		suspend(5 * time.Second)
		time.Sleep(1001 * time.Millisecond)
		is.Equal(calls.Load(), int32(0))
		time.Sleep(readTime) // nothing has arrived
		is.Equal(calls.Load(), int32(1))
	})
}

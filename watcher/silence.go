// Package watcher detects that a peer has sent nothing for too long. It does not count the time in which this
// process did not run: what the peer has sent meanwhile still has to be read.
package watcher

import (
	"sync"
	"time"
)

const (
	// maxLateness is the time by which a timer may fire late while this process runs as usual.
	maxLateness = 50 * time.Millisecond
	// readTime is the time in which a process that runs again reads what has arrived meanwhile.
	readTime = 100 * time.Millisecond
)

// SilenceTimer calls a function once a limit has passed without a call of Reset. Its methods may be called by
// any goroutine, also by the function.
type SilenceTimer struct {
	lock  sync.Mutex
	timer *time.Timer
	// dueAt is the time at which the timer is to fire. isStopped is true once Stop was called.
	dueAt     time.Time
	isStopped bool
	onSilence func()
	// now is the clock; a field for tests, in which it jumps.
	now func() time.Time
}

// NewSilenceTimer returns a started timer that calls onSilence, on a goroutine of its own, after the limit.
func NewSilenceTimer(limit time.Duration, onSilence func()) *SilenceTimer {
	return newSilenceTimer(limit, onSilence, time.Now)
}

func newSilenceTimer(limit time.Duration, onSilence func(), now func() time.Time) *SilenceTimer {
	t := &SilenceTimer{onSilence: onSilence, now: now, dueAt: now().Add(limit)}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.timer = time.AfterFunc(limit, t.fire)
	return t
}

// fire calls onSilence, unless the timer fires so late that this process has not run meanwhile: the peer then
// gets readTime more.
func (t *SilenceTimer) fire() {
	t.lock.Lock()
	now := t.now()
	if t.isStopped || now.Before(t.dueAt) {
		t.lock.Unlock() // Stop or Reset came too late to prevent the call
		return
	}
	if now.Sub(t.dueAt) > maxLateness {
		t.dueAt = now.Add(readTime)
		t.timer.Reset(readTime)
		t.lock.Unlock()
		return
	}
	t.lock.Unlock()
	t.onSilence()
}

// Reset makes the timer call onSilence after the limit from now on, also if it did so before.
func (t *SilenceTimer) Reset(limit time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.isStopped {
		return
	}
	t.dueAt = t.now().Add(limit)
	t.timer.Reset(limit)
}

// Stop ends the timer. A call of onSilence may be in progress when it returns.
func (t *SilenceTimer) Stop() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.isStopped = true
	t.timer.Stop()
}

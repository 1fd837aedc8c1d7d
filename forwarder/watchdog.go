package forwarder

import (
	"slices"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/matcher"
)

// Limits on how long an upstream may be silent. Beyond them an attempt is given up if another upstream
// accepts the request.
const (
	// silenceFraction is the allowed silence of an engine as a fraction of the time after which the
	// caller abandons its stream. The rest is for the next engine, which takes 0.2 s for a short
	// prompt. A smaller fraction would send many prompts twice while their engine only prefills, just
	// when engines are busiest.
	silenceFraction = 0.75
	// busySilenceFraction replaces silenceFraction for an engine that is expected to be silent
	// because it prefills.
	busySilenceFraction = 0.85
	// busyPrefillFactor is the allowed duration of a prefill as a multiple of the expected one.
	busyPrefillFactor = 1.5
	// recheckInterval is the time until the watchdog checks again whether another upstream accepts
	// the request of a silent one, after none did.
	recheckInterval = 100 * time.Millisecond
	// plainSilenceFactor is the allowed silence of a plain service as a multiple of the first-byte
	// target: a response usually takes a fifth of the target, and one in a hundred takes five times
	// as long.
	plainSilenceFactor = 2
)

// watchdog ends an attempt whose upstream is silent for too long. recordRead and stop accept a nil
// receiver, which stands for an attempt that silence does not end.
type watchdog struct {
	lock  sync.Mutex
	timer *time.Timer
	// lastReadAt is when the upstream last sent anything; the start of the attempt before that.
	lastReadAt time.Time
	// silenceLimit is the silence that is always allowed, busySilenceLimit the longest silence that
	// is allowed while the upstream is expected to be busy.
	silenceLimit, busySilenceLimit time.Duration
	// expectedBusy returns for how long the upstream is expected to be busy with prefill.
	expectedBusy func() time.Duration
	// responseBegun is true once a part of the response has arrived, in this attempt or an earlier
	// one of the same request.
	responseBegun bool
	// acceptedElsewhere reports whether another upstream would accept the request; begun states
	// whether its response has begun.
	acceptedElsewhere func(begun bool) bool
	// cancelAttempt cancels the attempt.
	cancelAttempt func()
}

// startWatchdog starts the watchdog of an attempt at placement p, which calls expire to cancel the
// attempt. It returns nil if the request may not be sent to another upstream afterwards: silence is
// then no reason to end the attempt before the deadline.
func (f *Forwarder) startWatchdog(x *exchange, p *dispatcher.Placement, cancelAttempt func()) *watchdog {
	if !x.route.IsRepeatable() || x.sentCount+1 >= x.route.MaxAttempts {
		return nil
	}
	w := &watchdog{lastReadAt: time.Now(), responseBegun: x.responseBegun, cancelAttempt: cancelAttempt, expectedBusy: func() time.Duration { return 0 }}
	w.acceptedElsewhere = func(begun bool) bool { return f.isAcceptedElsewhere(x, p, begun) }
	w.silenceLimit = plainSilenceFactor * x.route.FirstByteTarget
	w.busySilenceLimit = w.silenceLimit
	if x.isStream() {
		abandon := float64(matcher.CallerAbandonTime(x.route.FirstByteTarget, x.route.GapTarget))
		w.silenceLimit = time.Duration(silenceFraction * abandon)
		w.busySilenceLimit = time.Duration(busySilenceFraction * abandon)
		w.expectedBusy = p.ExpectedSilence
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.timer = time.AfterFunc(w.silenceLimit, w.checkSilence)
	return w
}

// checkSilence cancels the attempt if its upstream has been silent for longer than allowed and another
// upstream accepts the request. Otherwise it schedules the next check.
func (w *watchdog) checkSilence() {
	w.lock.Lock()
	defer w.lock.Unlock()
	allowed := min(w.busySilenceLimit, max(w.silenceLimit, time.Duration(busyPrefillFactor*float64(w.expectedBusy()))))
	if remaining := allowed - time.Since(w.lastReadAt); remaining > 0 {
		w.timer.Reset(remaining)
		return
	}
	if !w.acceptedElsewhere(w.responseBegun) {
		w.timer.Reset(recheckInterval)
		return
	}
	w.cancelAttempt()
}

// isAcceptedElsewhere reports whether an upstream other than the first of placement p would accept the
// request, and the retry budget allows the retry. begun states whether the response has begun.
func (f *Forwarder) isAcceptedElsewhere(x *exchange, p *dispatcher.Placement, begun bool) bool {
	d := x.lastDemand
	d.Avoid = append(slices.Clone(d.Avoid), p.First)
	d.SentBefore = false
	now, v := time.Now(), f.view()
	if x.mayOutlastEntry(v) && x.isStream() && !begun {
		// A stream without events stays at its engine if no other engine could complete it before this
		// entry exits. A stream that has begun has no such limit: its caller would abandon the silent
		// engine anyway.
		d = x.limitToStop(v, d)
	}
	return f.dispatcher.Accepts(now, d) && f.retryBudget.AllowsRetry(now, x.service, v.RetryBudgetEntries)
}

// recordRead records that a part of the response has arrived just now.
func (w *watchdog) recordRead() {
	if w == nil {
		return
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.lastReadAt, w.responseBegun = time.Now(), true
}

// stop stops the watchdog.
func (w *watchdog) stop() {
	if w == nil {
		return
	}
	w.timer.Stop()
}

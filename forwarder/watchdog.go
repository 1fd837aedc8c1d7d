package forwarder

import (
	"slices"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/matcher"
)

// Limits of silence, beyond which an upstream counts as gone where the request
// may be sent elsewhere.
const (
	// silenceFraction is the part of a caller's patience that is spent on one
	// upstream's silence. What is left is for the next, which takes a fifth of
	// a second for a short prompt. Less would send many prompts twice whose
	// engine only prefills, just when engines have most to do.
	silenceFraction = 0.75
	// busySilenceFraction is the part that is spent on an upstream that is expected to be
	// silent because it prefills.
	busySilenceFraction = 0.85
	// busyPrefillFactor is how much longer than expected prefill may take.
	busyPrefillFactor = 1.5
	// recheckInterval is after what time a request that nobody else would take is
	// offered to others again.
	recheckInterval = 100 * time.Millisecond
	// plainSilenceFactor is the silence of a plain service in targets: work takes a
	// fifth of the target as a rule, and one answer in a hundred five times that.
	plainSilenceFactor = 2
)

// watchdog ends an attempt whose upstream is silent for too long. All methods
// may be called on nil.
type watchdog struct {
	lock  sync.Mutex
	timer *time.Timer
	// lastReadAt is when the upstream last said something.
	lastReadAt time.Time
	// silenceLimit is the silence allowed at any time, most that allowed while busy
	// says that the upstream has something to prefill.
	silenceLimit, busySilenceLimit time.Duration
	expectedBusy                   func() time.Duration
	// responseBegun is true once a part of the answer was heard, of this attempt or an earlier one.
	responseBegun bool
	// acceptedElsewhere reports whether another upstream would take the request, begun or not.
	acceptedElsewhere func(begun bool) bool
	expire            func()
}

// startWatchdog starts a watchdog for an attempt. Where the request could not be sent
// elsewhere there is none: silence is no reason to end an answer sooner.
func (f *Forwarder) startWatchdog(x *exchange, p *dispatcher.Placement, expire func()) *watchdog {
	if !x.route.IsRepeatable() || x.sentCount+1 >= x.route.MaxAttempts {
		return nil
	}
	w := &watchdog{lastReadAt: time.Now(), responseBegun: x.responseBegun, expire: expire, expectedBusy: func() time.Duration { return 0 }}
	w.acceptedElsewhere = func(begun bool) bool { return f.isAcceptedElsewhere(x, p, begun) }
	w.silenceLimit = plainSilenceFactor * x.route.FirstByteTarget
	w.busySilenceLimit = w.silenceLimit
	if x.isStream() {
		abandon := float64(matcher.AbandonAfter(x.route.FirstByteTarget, x.route.GapTarget))
		w.silenceLimit = time.Duration(silenceFraction * abandon)
		w.busySilenceLimit = time.Duration(busySilenceFraction * abandon)
		w.expectedBusy = p.ExpectedSilence
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.timer = time.AfterFunc(w.silenceLimit, w.checkSilence)
	return w
}

// checkSilence expires the watchdog, unless the upstream was heard or is busy.
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
	w.expire()
}

// isAcceptedElsewhere reports whether another upstream would take the request in
// the time that its caller still waits, and the budget allows that.
func (f *Forwarder) isAcceptedElsewhere(x *exchange, p *dispatcher.Placement, begun bool) bool {
	d := x.lastDemand
	d.Avoid = append(slices.Clone(d.Avoid), p.First)
	d.Admitted = false
	now, v := time.Now(), f.view()
	if x.mayOutlastEntry(v) && x.isStream() && !begun {
		// What could not end there before this entry does stays where it is. Once it has begun
		// its caller leaves an engine that stays silent anyway.
		d = x.limitToStop(v, d)
	}
	return f.dispatcher.Accepts(now, d) && f.retryBudget.Left(now, x.service, v.MaxEntries)
}

// recordRead notes that the upstream said something.
func (w *watchdog) recordRead() {
	if w == nil {
		return
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.lastReadAt, w.responseBegun = time.Now(), true
}

func (w *watchdog) stop() {
	if w == nil {
		return
	}
	w.timer.Stop()
}

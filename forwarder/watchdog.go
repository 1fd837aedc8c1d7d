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
	// silentPart is the part of a caller's patience that is spent on one
	// upstream's silence. What is left is for the next, which takes a fifth of
	// a second for a short prompt. Less would send many prompts twice whose
	// engine only prefills, just when engines have most to do.
	silentPart = 0.75
	// busyPart is the part that is spent on an upstream that is expected to be
	// silent because it prefills.
	busyPart = 0.85
	// busyFactor is how much longer than expected prefill may take.
	busyFactor = 1.5
	// recheckTime is after what time a request that nobody else would take is
	// offered to others again.
	recheckTime = 100 * time.Millisecond
	// plainSilence is the silence of a plain service in targets: work takes a
	// fifth of the target as a rule, and one answer in a hundred five times that.
	plainSilence = 2
)

// watchdog ends an attempt whose upstream is silent for too long. All methods
// may be called on nil.
type watchdog struct {
	lock  sync.Mutex
	timer *time.Timer
	// heard is when the upstream last said something.
	heard time.Time
	// limit is the silence allowed at any time, most that allowed while busy
	// says that the upstream has something to prefill.
	limit, most time.Duration
	busy        func() time.Duration
	// begun is true once a part of the answer was heard, of this attempt or an earlier one.
	begun bool
	// elsewhere reports whether another upstream would take the request, begun or not.
	elsewhere func(begun bool) bool
	expire    func()
}

// watch starts a watchdog for an attempt. Where the request could not be sent
// elsewhere there is none: silence is no reason to end an answer sooner.
func (f *Forwarder) watch(x *exchange, p *dispatcher.Placement, expire func()) *watchdog {
	if !x.route.IsRepeatable() || x.sent+1 >= x.route.MaxAttempts {
		return nil
	}
	w := &watchdog{heard: time.Now(), begun: x.begun, expire: expire, busy: func() time.Duration { return 0 }}
	w.elsewhere = func(begun bool) bool { return f.takenElsewhere(x, p, begun) }
	w.limit = plainSilence * x.route.FirstByteTarget
	w.most = w.limit
	if x.isStream() {
		abandon := float64(matcher.AbandonAfter(x.route.FirstByteTarget, x.route.GapTarget))
		w.limit = time.Duration(silentPart * abandon)
		w.most = time.Duration(busyPart * abandon)
		w.busy = p.ExpectedSilence
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.timer = time.AfterFunc(w.limit, w.check)
	return w
}

// check expires the watchdog, unless the upstream was heard or is busy.
func (w *watchdog) check() {
	w.lock.Lock()
	defer w.lock.Unlock()
	allowed := min(w.most, max(w.limit, time.Duration(busyFactor*float64(w.busy()))))
	if left := allowed - time.Since(w.heard); left > 0 {
		w.timer.Reset(left)
		return
	}
	if !w.elsewhere(w.begun) {
		w.timer.Reset(recheckTime)
		return
	}
	w.expire()
}

// takenElsewhere reports whether another upstream would take the request in
// the time that its caller still waits, and the budget allows that.
func (f *Forwarder) takenElsewhere(x *exchange, p *dispatcher.Placement, begun bool) bool {
	d := x.demand
	d.Avoid = append(slices.Clone(d.Avoid), p.First)
	d.Admitted = false
	now, v := time.Now(), f.view()
	if x.mayOutlast(v) && x.isStream() && !begun {
		// What could not end there before this entry does stays where it is. Once it has begun
		// its caller leaves an engine that stays silent anyway.
		d = x.boundByStop(v, d)
	}
	return f.board.Accepts(now, d) && f.budget.Left(now, x.service, v.MaxEntries)
}

// hear notes that the upstream said something.
func (w *watchdog) hear() {
	if w == nil {
		return
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.heard, w.begun = time.Now(), true
}

func (w *watchdog) stop() {
	if w == nil {
		return
	}
	w.timer.Stop()
}

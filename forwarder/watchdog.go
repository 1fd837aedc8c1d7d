package forwarder

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/budgeter"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/watcher"
)

// Limits on how long an upstream may send nothing. An attempt whose upstream exceeds them is cancelled
// if another upstream accepts the request.
const (
	// silenceFraction is the time for which an engine may send nothing, as a fraction of the time after
	// which the caller abandons a stream without a new event. The rest is for the next engine, which
	// takes 0.2 s for a short prompt. With a smaller fraction, many prompts would be sent a second
	// time while their engine only prefills, just when engines are busiest.
	silenceFraction = 0.75
	// busySilenceFraction is the longest time for which an engine may send nothing while it is expected
	// to prefill prompts, also as a fraction of the time after which the caller abandons a stream.
	busySilenceFraction = 0.85
	// busyPrefillFactor is the time for which an engine may send nothing because of prefill, as a
	// multiple of the expected time.
	busyPrefillFactor = 1.5
	// recheckInterval is the interval at which the watchdog checks whether another upstream accepts
	// the request, once its own upstream has sent nothing for too long.
	recheckInterval = 100 * time.Millisecond
	// reachTTL is the time for which a connection to an upstream shows that another can be connected to. It is longer
	// than recheckInterval, so that one opened before an attempt may be cancelled counts when it is.
	reachTTL = recheckInterval + 50*time.Millisecond
	// plainSilenceFactor is the time for which an upstream of a plain service may send nothing, as a
	// multiple of the first-byte target. A response usually takes a fifth of the target, and one in a
	// hundred takes five times as long as usual.
	plainSilenceFactor = 2
)

// watchdog cancels an attempt whose upstream sends nothing for too long. recordRead and stop accept a
// nil receiver, which stands for an attempt that may wait until the deadline of the request.
type watchdog struct {
	lock  sync.Mutex
	timer *watcher.SilenceTimer
	// lastReadAt is when a new event of the response last arrived; the start of the attempt until then.
	lastReadAt time.Time
	// silenceLimit is the time for which any upstream may send nothing. busySilenceLimit is the longest
	// time for which an upstream may send nothing while it is expected to prefill.
	silenceLimit, busySilenceLimit time.Duration
	// expectedBusy returns the time for which the upstream is expected to send nothing because it
	// prefills prompts; 0 for a plain service.
	expectedBusy func() time.Duration
	// responseBegun is true once an event of the response has arrived in this attempt, or an earlier
	// attempt of the request began the response to the caller.
	responseBegun bool
	// confirmReach begins to find out whether another upstream can be connected to. It is called recheckInterval
	// before the attempt may be cancelled.
	confirmReach func()
	// reserveElsewhere returns an upstream that would accept the request and a reservation of the retry, nil if there is
	// no upstream or the retry budget does not allow it. It is passed responseBegun and avoid.
	reserveElsewhere func(begun bool, avoid []dispatcher.Instance) (dispatcher.Instance, *budgeter.Reservation)
	// connect opens a connection to an upstream for a retry of the request.
	connect func(dispatcher.Instance) (net.Conn, error)
	// avoid holds the upstream of the attempt and those that connect found to be at fault.
	avoid []dispatcher.Instance
	// isConnecting is true while connect is called.
	isConnecting bool
	// isPaused is true while the entry reads nothing from the upstream, from pause until recordRead.
	isPaused bool
	// isStopped is true once stop was called; the attempt is not cancelled any more.
	isStopped bool
	// retry is the retry for which cancelAttempt was called, until takeRetry; nil before.
	retry *preparedRetry
	// stopWatchingContact ends the effect of watchContact; nil unless that was called.
	stopWatchingContact func() bool
	// cancelAttempt cancels the attempt with the cause errUpstreamSilent.
	cancelAttempt func()
}

// startWatchdog starts the watchdog of an attempt at placement p. The watchdog calls cancelAttempt when
// the upstream has sent nothing for longer than the limits allow, another upstream would accept the
// request, and a connection to that is open; it opens the connection with dialContext. startWatchdog returns nil
// if the request may not be sent again after this attempt, because of its route's kind or MaxAttempts: the attempt may
// then wait until the deadline.
func (f *Forwarder) startWatchdog(dialContext context.Context, x *exchange, p *dispatcher.Placement, cancelAttempt func()) *watchdog {
	if !x.route.IsRepeatable() || x.sentCount+1 >= x.route.MaxAttempts {
		return nil
	}
	w := &watchdog{lastReadAt: time.Now(), responseBegun: x.responseBegun, avoid: []dispatcher.Instance{p.First}, cancelAttempt: cancelAttempt, expectedBusy: func() time.Duration { return 0 }}
	w.confirmReach = func() { f.tunneler.ConfirmReach(p.First.Address, reachTTL-recheckInterval) }
	w.reserveElsewhere = func(begun bool, avoid []dispatcher.Instance) (dispatcher.Instance, *budgeter.Reservation) {
		return f.reserveElsewhere(x, p, begun, avoid)
	}
	w.connect = func(upstream dispatcher.Instance) (net.Conn, error) {
		return f.tunneler.Dial(dialContext, "tcp", upstream.Address.String())
	}
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
	w.timer = watcher.NewSilenceTimer(w.silenceLimit-recheckInterval, w.checkSilence)
	return w
}

// watchContact makes the watchdog allow at most maxGap of silence, besides the expected prefill, once contact is
// done: the entry is cut off from all upstreams then, and the connection probably broken too. If maxGap is 0, or
// the watchdog nil, nothing changes.
func (w *watchdog) watchContact(contact context.Context, maxGap time.Duration) {
	if w == nil || maxGap <= 0 {
		return
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.stopWatchingContact = context.AfterFunc(contact, func() {
		w.lock.Lock()
		w.silenceLimit = min(w.silenceLimit, maxGap)
		w.lock.Unlock()
		w.checkSilence()
	})
}

// checkSilence is called when the timer fires. If the upstream has sent nothing for longer than allowed, another one
// accepts the request and the retry budget allows a retry, it connects to that. Otherwise it schedules the next check.
func (w *watchdog) checkSilence() {
	w.lock.Lock()
	defer w.lock.Unlock()
	remaining := w.remaining()
	if remaining > recheckInterval {
		w.timer.Reset(remaining - recheckInterval)
		return
	}
	if remaining > 0 {
		w.confirmReach()
		w.timer.Reset(remaining)
		return
	}
	if w.isStopped || w.retry != nil || w.isConnecting {
		return // the attempt has ended, is cancelled already, or prepareRetry goes on
	}
	if w.isPaused {
		w.timer.Reset(recheckInterval)
		return
	}
	upstream, reservation := w.reserveElsewhere(w.responseBegun, w.avoid)
	if reservation == nil {
		w.timer.Reset(recheckInterval)
		return
	}
	w.isConnecting = true
	go w.prepareRetry(upstream, reservation)
}

// remaining returns for how much longer the upstream may send nothing. The lock must be held.
func (w *watchdog) remaining() time.Duration {
	allowed := min(w.busySilenceLimit, max(w.silenceLimit, time.Duration(busyPrefillFactor*float64(w.expectedBusy()))))
	return allowed - time.Since(w.lastReadAt)
}

// prepareRetry connects to an upstream for a reserved retry, and cancels the attempt if that succeeds and the attempt's
// upstream is still silent. While links are down, a connection that was opened a moment before does not show that another
// one can be, and the attempt that is given up may be the only one that ends.
func (w *watchdog) prepareRetry(upstream dispatcher.Instance, reservation *budgeter.Reservation) {
	connection, err := w.connect(upstream)
	w.lock.Lock()
	defer w.lock.Unlock()
	w.isConnecting = false
	if err != nil && !isCutOff(err) {
		w.avoid = append(w.avoid, upstream)
	}
	if err != nil {
		reservation.Release()
		w.timer.Reset(recheckInterval)
		return
	}
	retry := &preparedRetry{reservation: reservation, connection: &preparedConnection{upstream: upstream, connection: connection}}
	if w.isStopped || w.isPaused || w.remaining() > 0 {
		retry.release()
		w.timer.Reset(recheckInterval)
		return
	}
	w.retry = retry
	w.cancelAttempt()
}

// takeRetry returns the retry for which the watchdog cancelled the attempt, and leaves it to the
// caller; nil if there is none. A nil watchdog is allowed.
func (w *watchdog) takeRetry() *preparedRetry {
	if w == nil {
		return nil
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	r := w.retry
	w.retry = nil
	return r
}

// reserveElsewhere returns an upstream that would accept the request instead of the silent first one of placement p, and a
// reservation of the retry. The reservation is nil if there is no such upstream, none can be connected to or the retry
// budget does not allow a retry. begun is true if the response has begun.
func (f *Forwarder) reserveElsewhere(x *exchange, p *dispatcher.Placement, begun bool, avoid []dispatcher.Instance) (dispatcher.Instance, *budgeter.Reservation) {
	d := x.lastDemand
	d.Avoid = slices.Concat(d.Avoid, avoid)
	d.SentBefore, d.MayHaveRun = false, true
	now, v := time.Now(), f.view()
	if x.mayOutlastEntry(v) && x.isStream() && !begun {
		// A stream without events stays at its engine if no other engine could complete it before this
		// entry exits. For a stream that has begun, no such condition applies: its caller would abandon
		// the stream of the silent engine anyway.
		d = x.limitToStop(v, d)
	}
	upstream, ok := f.dispatcher.FindAccepting(now, d)
	if !ok || !f.tunneler.ConfirmReach(p.First.Address, reachTTL) {
		return dispatcher.Instance{}, nil
	}
	reservation, _ := f.retryBudget.Reserve(now, x.service, v.RetryBudgetEntries)
	return upstream, reservation
}

// recordRead records that a new event of the response has just arrived, from which the silence is measured.
func (w *watchdog) recordRead() {
	if w == nil {
		return
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.lastReadAt, w.responseBegun, w.isPaused = time.Now(), true, false
}

// pause makes silence not count until recordRead; a nil watchdog is allowed.
func (w *watchdog) pause() {
	if w == nil {
		return
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.isPaused = true
}

// stop cancels the pending check; a nil watchdog is allowed.
func (w *watchdog) stop() {
	if w == nil {
		return
	}
	w.lock.Lock()
	w.isStopped = true
	if w.stopWatchingContact != nil {
		w.stopWatchingContact()
	}
	w.lock.Unlock()
	w.timer.Stop()
}

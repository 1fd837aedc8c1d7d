package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/dispatcher"
)

// verdict is what is known of an attempt after it.
type verdict string

const (
	// verdictUnsent: no connection was had, so nothing arrived.
	verdictUnsent verdict = "unsent"
	// verdictNotRun: the upstream states that it did not run the request.
	verdictNotRun verdict = "not_run"
	// verdictBroken: it may have run, and no whole answer came.
	verdictBroken verdict = "broken"
	// verdictFailed: it ran and the upstream answered with a failure.
	verdictFailed verdict = "failed"
	// verdictAnswered: a whole answer came.
	verdictAnswered verdict = "answered"
)

var (
	errWrongRequest      = errors.New("the answer is another request's")
	errUpstreamSilent    = errors.New("the upstream was silent for too long")
	errUpstreamRestarted = errors.New("an upstream of the request has started anew")
)

// maxUnsentAttempts bounds the upstreams tried in vain for a connection.
const maxUnsentAttempts = 4

// attempt is one try at one upstream.
type attempt struct {
	placement *dispatcher.Placement
	verdict   verdict
	err       error
	// connectionLost is true where the answer broke off by the connection's end, not by this entry.
	connectionLost bool
	// startedAt is when the attempt began, firstEvent and lastEvent are when events of its answer
	// came; zero before. events counts them, longestPause is the longest between two in
	// nanoseconds.
	startedAt, firstEventAt, lastEventAt time.Time
	eventCount, longestGap               atomic.Int64
	response                             *http.Response
	// helperAtFault is true where a helper, and not the first engine, is why the
	// attempt failed.
	helperAtFault bool
	// reservations is the memory reserved for the attempt; nil where it needs none.
	reservations *reservationGroup
	// cancel ends the attempt with a cause.
	cancel context.CancelCauseFunc
	// watchdog cancels the attempt when the upstream is silent; nil if unused.
	watchdog *watchdog
}

// send makes one attempt up to the header of the answer. The caller of send
// ends the attempt with close.
func (f *Forwarder) send(x *exchange, p *dispatcher.Placement, lastEventID string) *attempt {
	ctx, cancel := context.WithCancelCause(x.ctx)
	a := &attempt{placement: p, cancel: cancel, startedAt: time.Now()}
	a.watchdog = f.startWatchdog(x, p, func() { cancel(errUpstreamSilent) })
	p.OnRestart(func() { a.onUpstreamRestart(x.route.GapTarget) })
	var err error
	a.reservations, err = f.reserve(ctx, x, p, cancel)
	if err != nil {
		a.verdict, a.err = verdictUnsent, err
		f.blameFailedReservations(x, a)
		return a
	}
	// Only the request's own connection counts, not those of orders about its memory.
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	request, err := f.buildRequest(ctx, x, a, lastEventID)
	if err != nil {
		a.verdict, a.err = verdictUnsent, err
		return a
	}
	a.response, err = f.upstreams.RoundTrip(request)
	if !connected {
		a.verdict, a.err = verdictUnsent, fmt.Errorf("connect: %w", cancellationCause(ctx, err))
		return a
	}
	x.sentCount++
	x.pendingCount++
	if err != nil {
		a.markBroken(ctx, fmt.Errorf("await answer: %w", cancellationCause(ctx, err)))
		return a
	}
	f.classify(x, a)
	return a
}

// cancellationCause is why a context ended, where that is why a call failed.
func cancellationCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// buildRequest makes the request to the upstream of a placement.
func (f *Forwarder) buildRequest(ctx context.Context, x *exchange, a *attempt, lastEventID string) (*http.Request, error) {
	p := a.placement
	address := p.First.Address.String()
	request := &http.Request{
		Method: x.request.Method, URL: upstreamURL(x.request, address), Host: x.request.Host, Header: http.Header{},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	request = request.WithContext(ctx)
	copyHeaders(request.Header, x.request.Header)
	if _, ok := request.Header["User-Agent"]; !ok {
		request.Header["User-Agent"] = nil // the library would add its own
	}
	request.Header.Del("Content-Length")
	request.Header.Del("Expect")
	if len(x.body) > 0 || x.request.ContentLength != 0 {
		request.Body = http.NoBody
		request.ContentLength = int64(len(x.body))
	}
	if len(x.body) > 0 {
		request.Body = oneShotBody{bytes.NewReader(x.body)}
	}
	remaining := time.Until(x.deadline)
	if remaining <= 0 {
		return nil, context.DeadlineExceeded
	}
	f.protocol.WriteAttempt(request.Header, AttemptMetadata{
		InstanceID: p.First.ID, Remaining: remaining, Organisation: x.organisation, LastEventID: lastEventID,
		Helpers: a.reservations.withReservations(p.Helpers), Priority: enginePriority(x),
	})
	return request, nil
}

const (
	// priorityLevels is how many ranks of organisations and routes are told apart; a
	// lower one counts as the last of them.
	priorityLevels = 3
	// targetClasses is how many classes of target are told apart within a rank.
	targetClasses = 3
	// shortTarget and mediumTarget are the longest targets of the first two.
	shortTarget  = 500 * time.Millisecond
	mediumTarget = 2 * time.Second
)

// enginePriority orders what waits at an engine, 0 first: by the rank of the
// organisation, which goes before the route's, and within it the shorter the
// target, the sooner.
func enginePriority(x *exchange) int {
	class := targetClasses - 1
	switch target := x.route.FirstByteTarget; {
	case target <= shortTarget:
		class = 0
	case target <= mediumTarget:
		class = 1
	}
	return min(max(x.priority, 0), priorityLevels-1)*targetClasses + class
}

// oneShotBody is a body that can't be rewound, so that the library never sends
// a request again by itself.
type oneShotBody struct{ *bytes.Reader }

func (oneShotBody) Close() error { return nil }

// classify judges the header of an answer.
func (f *Forwarder) classify(x *exchange, a *attempt) {
	status := a.response.StatusCode
	reply := f.protocol.ReadResponse(status, a.response.Header)
	f.applyBackpressure(x, a, reply)
	switch {
	case reply.RequestID != "" && reply.RequestID != x.metadata.ID:
		a.verdict, a.err = verdictBroken, errWrongRequest
	case reply.NotRun:
		x.pendingCount--
		a.verdict, a.err = verdictNotRun, fmt.Errorf("status %d", status)
		if reply.FaultyAddress.IsValid() && reply.FaultyAddress != a.placement.First.Address {
			f.blameHelper(x, a, reply.FaultyAddress)
		}
	case status >= 500:
		a.verdict, a.err = verdictFailed, fmt.Errorf("status %d", status)
	case !reply.Stamped && status < 300:
		a.verdict, a.err = verdictBroken, errors.New("the answer is not signed")
	default:
		a.verdict = verdictAnswered
	}
}

// blameHelper notes a helper's fault.
func (f *Forwarder) blameHelper(x *exchange, a *attempt, address netip.AddrPort) {
	for _, h := range a.placement.Helpers {
		if h.Address == address {
			f.dispatcher.ReportHelperFailure(time.Now(), h)
			x.failedUpstreams = append(x.failedUpstreams, h)
			a.helperAtFault = true
		}
	}
}

// blameFailedReservations notes the helpers that set no memory aside.
func (f *Forwarder) blameFailedReservations(x *exchange, a *attempt) {
	for _, s := range reserveErrors(a.err) {
		f.blameHelper(x, a, s.Engine)
	}
}

// onUpstreamRestart ends the attempt as one of its upstreams is known to have started anew: no answer
// comes from a run that is over, and where a partition hid its end callers would wait for the watchdog, up to
// three quarters of their patience. A stream that goes on is made by the new run, of which this entry
// heard late; it shows that within twice its longest pause, or within most.
func (a *attempt) onUpstreamRestart(maxGap time.Duration) {
	seen := a.eventCount.Load()
	if seen == 0 {
		a.cancel(errUpstreamRestarted)
		return
	}
	if pause := time.Duration(a.longestGap.Load()); pause > 0 {
		maxGap = min(maxGap, 2*pause)
	}
	time.AfterFunc(maxGap, func() {
		if a.eventCount.Load() == seen {
			a.cancel(errUpstreamRestarted)
		}
	})
}

// isLostToRestart reports whether the attempt ended because an upstream has started anew.
func (a *attempt) isLostToRestart() bool { return errors.Is(a.err, errUpstreamRestarted) }

// isUpstreamBlameless reports whether the engine that was to answer is not to blame. Where an
// upstream has started anew, its new run isn't either.
func (a *attempt) isUpstreamBlameless() bool { return a.helperAtFault || a.isLostToRestart() }

// avoidFailedUpstream keeps the request from the upstream that failed an attempt.
func avoidFailedUpstream(x *exchange, a *attempt) {
	if !a.isUpstreamBlameless() {
		x.failedUpstreams = append(x.failedUpstreams, a.placement.First)
	}
}

// endAttempt ends an attempt and tells the board.
func (f *Forwarder) endAttempt(x *exchange, a *attempt) {
	a.watchdog.stop()
	if a.response != nil {
		_ = a.response.Body.Close()
	}
	a.cancel(nil)
	f.releaseReservations(a.reservations)
	f.metrics.recordAttempt(a.verdict)
	a.placement.End(time.Now(), dispatchResult(x, a))
	f.detectCrash(x, a)
	// A failure proves nothing: an upstream may fail what it has not begun.
	if a.verdict == verdictAnswered && a.response.StatusCode < http.StatusMultipleChoices {
		f.quarantine.RecordSuccess(time.Now(), x.fingerprint)
	}
	if a.verdict == verdictAnswered {
		return
	}
	f.log.Warn("attempt", zap.String("request", x.metadata.ID), zap.String("verdict", string(a.verdict)),
		zap.String("upstream", a.placement.First.ID), zap.Stringer("address", a.placement.First.Address),
		zap.Int("helpers", len(a.placement.Helpers)), zap.Duration("left_ms", time.Until(x.deadline)), zap.Stringer("content", x.fingerprint), zap.Error(a.err))
}

func dispatchResult(x *exchange, a *attempt) dispatcher.Result {
	switch {
	case x.hasCallerLeft(), a.isUpstreamBlameless():
		return dispatcher.Abandoned
	case a.verdict == verdictUnsent:
		return dispatcher.Unreachable
	case a.verdict == verdictNotRun:
		return dispatcher.Full
	case a.verdict == verdictBroken:
		return dispatcher.Incomplete
	case a.verdict == verdictFailed:
		return dispatcher.Failed
	}
	return dispatcher.Answered
}

package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/isolator"
	"github.com/sapphireramp/sapphireramp/tunneler"
	"github.com/sapphireramp/sapphireramp/watcher"
)

// verdict classifies an ended attempt by whether the upstream ran the request and whether a
// complete response arrived.
type verdict string

const (
	// verdictUnsent means that the upstream received nothing: memory could not be reserved, the
	// deadline had passed, or no connection was established.
	verdictUnsent verdict = "unsent"
	// verdictNotRun means that the upstream states that it did not run the request.
	verdictNotRun verdict = "not_run"
	// verdictBroken means that the request may have run, and no complete response arrived.
	verdictBroken verdict = "broken"
	// verdictFailed means that the upstream ran the request and responded with a failure.
	verdictFailed verdict = "failed"
	// verdictAnswered means that a complete response arrived. Until the body of the response has been
	// read, it means that a valid response header arrived.
	verdictAnswered verdict = "answered"
)

var (
	errWrongRequest      = errors.New("the response belongs to another request")
	errUpstreamSilent    = errors.New("the upstream sent nothing for too long")
	errAbandoned         = errors.New("the attempt ended with an internal error")
	errUpstreamRestarted = errors.New("an upstream of the request restarted")
)

// maxUnsentAttempts is how many attempts of a request with the verdict verdictUnsent are followed by
// another attempt. After one more such attempt the request fails.
const maxUnsentAttempts = 4

// attempt is one send of a request to one upstream.
type attempt struct {
	// placement holds the upstream to which the request is sent, as First, and the engines that
	// prefill shards of its prompt, as Helpers.
	placement *dispatcher.Placement
	verdict   verdict
	// err is why the attempt failed; nil if the verdict is verdictAnswered.
	err error
	// connectionLost is true if the response was cut short by the end of the connection, and not
	// because this entry cancelled the attempt.
	connectionLost bool
	// connection is the connection on which the request was sent; nil if none was opened.
	connection net.Conn
	// isLinkAtFault is true if the attempt failed because of the links of this entry or of a relay, and not
	// because of the upstream.
	isLinkAtFault bool
	// startedAt is when send was called for the attempt. firstEventAt and lastEventAt are when the
	// first and the latest event of the response arrived; zero before the first event.
	startedAt, firstEventAt, lastEventAt time.Time
	// eventCount is the number of events received so far, longestGap the longest time between two
	// consecutive ones in nanoseconds; 0 before the second event.
	eventCount, longestGap atomic.Int64
	// response is the response of the upstream; nil if no response header has arrived.
	response *http.Response
	// helperAtFault is true if the attempt failed because of a helper, and not because of the first
	// upstream of the placement.
	helperAtFault bool
	// isCallerAtFault is true if the attempt failed because an event could not be passed on to the caller.
	isCallerAtFault bool
	// reservations holds the memory reserved at helpers for the attempt; nil if the attempt needs none.
	reservations *reservationGroup
	// cancel cancels the context of the attempt with a cause, which ends the connection.
	cancel context.CancelCauseFunc
	// watchdog cancels the attempt if the upstream sends nothing for too long; nil if the attempt may
	// wait until the deadline of the request.
	watchdog *watchdog
}

// send makes one attempt: it reserves memory at the helpers, connects, sends the request, and
// classifies the response header. A resumed stream continues after the event with id lastEventID,
// empty for a whole response. Each attempt must be ended with endAttempt, whatever its verdict.
func (f *Forwarder) send(x *exchange, p *dispatcher.Placement, lastEventID string) *attempt {
	dialContext := tunneler.WithRequestID(x.ctx, x.metadata.ID)
	if homes := x.lastDemand.Homes; homes.IsRestricted() {
		dialContext = tunneler.WithRelayRegions(dialContext, homes.Allows)
	}
	ctx, cancel := context.WithCancelCause(dialContext)
	a := &attempt{placement: p, cancel: cancel, startedAt: time.Now()}
	x.openAttempt = a
	prepared := x.prepared
	x.prepared = nil
	defer prepared.close()
	a.watchdog = f.startWatchdog(dialContext, x, p, func() { cancel(errUpstreamSilent) })
	p.OnRestart(func() { a.onUpstreamRestart(x.route.GapTarget) })
	var err error
	a.reservations, err = f.reserve(ctx, x, p, cancel)
	if err != nil {
		a.verdict, a.err, a.isLinkAtFault = verdictUnsent, err, isCutOff(err)
		f.recordReservationFailures(x, a)
		return a
	}
	// The trace covers the connection of the request itself, not the connections on which memory
	// was reserved.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.connection = connector.Unwrap(info.Conn)
		f.countRetry(x)
		if !a.isTunnelled() {
			a.watchdog.watchContact(f.tunneler.Contact(), x.route.GapTarget)
		}
	}})
	request, err := f.buildRequest(withPreparedConnection(ctx, prepared), x, a, lastEventID)
	if err != nil {
		a.verdict, a.err = verdictUnsent, err
		return a
	}
	a.response, err = f.transport.RoundTrip(request)
	if a.connection == nil {
		a.isLinkAtFault = isCutOff(err)
		a.verdict, a.err = verdictUnsent, fmt.Errorf("connect: %w", cancellationCause(ctx, err))
		return a
	}
	x.sentCount++
	x.pendingCount++
	if err != nil {
		a.markBroken(ctx, fmt.Errorf("await response: %w", cancellationCause(ctx, err)))
		return a
	}
	f.classify(x, a)
	if !x.mayNeedBody() {
		x.body.release()
	}
	return a
}

// mayNeedBody reports whether the body may be sent to another upstream after an attempt that reached one.
func (x *exchange) mayNeedBody() bool {
	return x.sentCount < x.route.MaxAttempts && (x.pendingCount == 0 || x.route.IsRepeatable())
}

// cancellationCause returns the cause with which ctx was cancelled, or err if ctx was not cancelled.
func cancellationCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// buildRequest returns the HTTP request for an attempt: the caller's request with the headers that
// Protocol.WriteAttempt sets. Its error is context.DeadlineExceeded if the request's deadline has
// passed.
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
		request.Header["User-Agent"] = nil // net/http would add its own
	}
	request.Header.Del("Content-Length")
	request.Header.Del("Expect")
	remaining := time.Until(x.deadline)
	if remaining <= 0 {
		return nil, context.DeadlineExceeded
	}
	f.protocol.WriteAttempt(request.Header, AttemptMetadata{
		InstanceID: p.First.ID, Remaining: remaining, Organisation: x.organisation, LastEventID: lastEventID,
		Helpers: a.reservations.withReservations(p.Helpers), Priority: enginePriority(x),
	})
	if x.body.size > 0 || x.request.ContentLength != 0 {
		request.Body = http.NoBody
		request.ContentLength = x.body.size
	}
	if x.body.size > 0 {
		request.Body = x.body.open() // the transport closes it
	}
	return request, nil
}

const (
	// priorityLevels is the number of priorities of organisations and routes that engines
	// distinguish: 0, 1 and 2. Larger values are treated as 2.
	priorityLevels = 3
	// targetClasses is the number of classes of first-byte targets that are distinguished among
	// requests with equal priorities of organisation or route.
	targetClasses = 3
	// shortTarget and mediumTarget are the longest first-byte targets of the first and the second
	// class; the third class has no limit.
	shortTarget  = 500 * time.Millisecond
	mediumTarget = 2 * time.Second
)

// enginePriority returns the scheduling priority of a request at an engine; 0 is the most urgent.
// Requests are ordered by the priority of their organisation (of the route on public routes), then
// by the class of the first-byte target, shortest first. The result is below
// priorityLevels*targetClasses.
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

// classify sets the verdict of an attempt from the status and header of the response. It passes what
// the header states about accepting requests to applyBackpressure, and records the failure of a
// helper that the header names.
func (f *Forwarder) classify(x *exchange, a *attempt) {
	status := a.response.StatusCode
	metadata := f.protocol.ReadResponse(status, a.response.Header)
	f.applyBackpressure(x, a, metadata)
	switch {
	case metadata.RequestID != "" && metadata.RequestID != x.metadata.ID:
		a.verdict, a.err = verdictBroken, errWrongRequest
	case metadata.NotRun:
		x.pendingCount--
		a.verdict, a.err = verdictNotRun, fmt.Errorf("status %d", status)
		if metadata.FaultyAddress.IsValid() && metadata.FaultyAddress != a.placement.First.Address {
			f.recordHelperFailure(x, a, metadata.FaultyAddress)
		}
	case status >= 500:
		a.verdict, a.err = verdictFailed, fmt.Errorf("status %d", status)
	case !metadata.HasUpstreamStamp && status < 300:
		a.verdict, a.err = verdictBroken, errors.New("the response has no upstream stamp")
	default:
		a.verdict = verdictAnswered
	}
}

// recordHelperFailure reports a failure of the helper at an address to the dispatcher, and excludes
// the helper from further attempts of the request. It does nothing if the attempt has no helper with
// that address.
func (f *Forwarder) recordHelperFailure(x *exchange, a *attempt, address netip.AddrPort) {
	for _, h := range a.placement.Helpers {
		if h.Address == address {
			f.dispatcher.RecordHelperFailure(time.Now(), h)
			x.failedUpstreams = append(x.failedUpstreams, h)
			a.helperAtFault = true
		}
	}
}

// recordReservationFailures calls recordHelperFailure for each helper at which memory could not be
// reserved through its own fault.
func (f *Forwarder) recordReservationFailures(x *exchange, a *attempt) {
	for _, s := range reserveErrors(a.err) {
		if !isCutOff(s) {
			f.recordHelperFailure(x, a, s.Engine)
		}
	}
}

// isCutOff reports whether err is that of a connection that no entry could open, through no fault of the
// upstream.
func isCutOff(err error) bool {
	var cutOff tunneler.CutOffError
	return errors.As(err, &cutOff)
}

// onUpstreamRestart is called when the dispatcher finds that an upstream of the attempt has
// restarted. It cancels the attempt, since the incarnation that ran the request is gone. Where a
// network partition hides the end of the connection, the caller would otherwise wait for the
// watchdog, usually for silenceFraction of the time after which it abandons the stream.
//
// If events have arrived, the update about the restart may be late and the restart may have been
// before the attempt. The attempt then continues if another event arrives within twice the longest
// gap so far, at most maxGap, or within maxGap if there was no gap yet.
func (a *attempt) onUpstreamRestart(maxGap time.Duration) {
	eventsBefore := a.eventCount.Load()
	if eventsBefore == 0 {
		a.cancel(errUpstreamRestarted)
		return
	}
	if gap := time.Duration(a.longestGap.Load()); gap > 0 {
		maxGap = min(maxGap, 2*gap)
	}
	watcher.NewSilenceTimer(maxGap, func() {
		if a.eventCount.Load() == eventsBefore {
			a.cancel(errUpstreamRestarted)
		}
	})
}

// isTunnelled reports whether the request was sent through another entry.
func (a *attempt) isTunnelled() bool {
	_, ok := a.connection.(*tunneler.Tunnel)
	return ok
}

// isLostToRestart reports whether the attempt was cancelled by onUpstreamRestart.
func (a *attempt) isLostToRestart() bool { return errors.Is(a.err, errUpstreamRestarted) }

// hasOtherCause reports whether an attempt failed for a reason that says nothing about the present
// incarnation of its first upstream: a helper or a link failed, the caller did not read, an upstream of the attempt
// restarted, or it ended by a panic.
func (a *attempt) hasOtherCause() bool {
	return a.helperAtFault || a.isLinkAtFault || a.isCallerAtFault || a.isLostToRestart() || errors.Is(a.err, errAbandoned)
}

// avoidFailedUpstream excludes the first upstream of a failed attempt from further attempts of the
// request, unless hasOtherCause returns true for the attempt.
func avoidFailedUpstream(x *exchange, a *attempt) {
	if !a.hasOtherCause() {
		x.failedUpstreams = append(x.failedUpstreams, a.placement.First)
	}
}

// endAttempt stops the watchdog of an attempt, releases its connection and its reservations, and
// reports its result to the dispatcher and the quarantiner. It logs an attempt whose verdict is not
// verdictAnswered.
func (f *Forwarder) endAttempt(x *exchange, a *attempt) {
	x.placement, x.openAttempt = nil, nil
	a.watchdog.stop()
	a.watchdog.takeRetry().release()
	if a.verdict == verdictBroken && !a.isTunnelled() && f.tunneler.IsCutOff() {
		// The connection broke or stalled with the links of this entry.
		a.isLinkAtFault, a.connectionLost = true, false
	}
	if a.response != nil {
		_ = a.response.Body.Close()
	}
	a.cancel(nil)
	f.releaseReservations(a.reservations)
	f.metrics.recordAttempt(a.verdict)
	a.placement.End(time.Now(), dispatchResult(x, a))
	f.callNext(x.service)
	if a.verdict == verdictBroken && !a.isTunnelled() && !a.isLinkAtFault && f.tunneler.IsCutOff() {
		f.dispatcher.ForgetFailures() // the cut was found between the check above and End
	}
	f.detectCrash(x, a)
	x.endTrial(a.connectionLost)
	// Only a successful response shows that the request does not crash upstreams: an upstream may
	// respond with a failure to a request that it has not begun.
	if a.verdict == verdictAnswered && a.response.StatusCode < http.StatusMultipleChoices {
		f.quarantine.RecordSuccess(time.Now(), x.fingerprint)
		f.recordSurvival(x, a)
	}
	if a.verdict == verdictAnswered {
		return
	}
	f.log.Warn("attempt", zap.String("request", x.metadata.ID), zap.String("verdict", string(a.verdict)),
		zap.String("upstream", a.placement.First.ID), zap.Stringer("address", a.placement.First.Address),
		zap.Int("helpers", len(a.placement.Helpers)), zap.Bool("tunnelled", a.isTunnelled()), zap.Bool("link_at_fault", a.isLinkAtFault), zap.Duration("left_ms", time.Until(x.deadline)), zap.Stringer("content", x.fingerprint), zap.String("parts", isolator.JoinParts(x.parts)), zap.Duration("writing_ms", a.writingTime(time.Now())), zap.Error(a.err))
}

// abandon gives back what a request still holds when it ends by a panic: its attempt with the reserved memory, or its
// placement if no attempt has begun.
func (f *Forwarder) abandon(x *exchange) {
	if a := x.openAttempt; a != nil {
		if a.verdict == "" || a.verdict == verdictAnswered {
			a.verdict, a.err = verdictBroken, errAbandoned
		}
		f.endAttempt(x, a)
		return
	}
	if x.placement != nil {
		x.placement.Withdraw(time.Now())
		x.placement = nil
	}
}

// dispatchResult returns the result of an ended attempt that the dispatcher records for its first
// upstream: dispatcher.Abandoned if the caller left or hasOtherCause returns true, and otherwise the one
// that corresponds to the verdict.
func dispatchResult(x *exchange, a *attempt) dispatcher.PlacementResult {
	switch {
	case x.hasCallerLeft(), a.hasOtherCause():
		return dispatcher.Abandoned
	case a.verdict == verdictUnsent:
		return dispatcher.Unreachable
	case a.verdict == verdictNotRun:
		return dispatcher.NotRun
	case a.verdict == verdictBroken:
		return dispatcher.Incomplete
	case a.verdict == verdictFailed:
		return dispatcher.Failed
	}
	return dispatcher.Answered
}

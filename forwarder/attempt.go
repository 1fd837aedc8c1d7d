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
	errForeign   = errors.New("the answer is another request's")
	errSilent    = errors.New("the upstream was silent for too long")
	errRestarted = errors.New("an upstream of the request has started anew")
)

// mostUnsent bounds the upstreams tried in vain for a connection.
const mostUnsent = 4

// attempt is one try at one upstream.
type attempt struct {
	placement *dispatcher.Placement
	verdict   verdict
	err       error
	// cut is true where the answer broke off by the connection's end, not by this entry.
	cut bool
	// sentAt is when the attempt began, firstEvent and lastEvent are when events of its answer
	// came; zero before. events counts them, longestPause is the longest between two in
	// nanoseconds.
	sentAt, firstEvent, lastEvent time.Time
	events, longestPause          atomic.Int64
	response                      *http.Response
	// helperAtFault is true where a helper, and not the first engine, is why the
	// attempt failed.
	helperAtFault bool
	// group is the memory reserved for the attempt; nil where it needs none.
	group *group
	// cancel ends the attempt with a cause.
	cancel context.CancelCauseFunc
	// watchdog cancels the attempt when the upstream is silent; nil if unused.
	watchdog *watchdog
}

// send makes one attempt up to the header of the answer. The caller of send
// ends the attempt with close.
func (f *Forwarder) send(x *exchange, p *dispatcher.Placement, lastEvent string) *attempt {
	ctx, cancel := context.WithCancelCause(x.ctx)
	a := &attempt{placement: p, cancel: cancel, sentAt: time.Now()}
	a.watchdog = f.watch(x, p, func() { cancel(errSilent) })
	p.OnRestart(func() { a.restarted(x.route.GapTarget) })
	var err error
	a.group, err = f.reserve(ctx, x, p, cancel)
	if err != nil {
		a.verdict, a.err = verdictUnsent, err
		f.blameForMemory(x, a)
		return a
	}
	// Only the request's own connection counts, not those of orders about its memory.
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	request, err := f.build(ctx, x, a, lastEvent)
	if err != nil {
		a.verdict, a.err = verdictUnsent, err
		return a
	}
	a.response, err = f.upstreams.RoundTrip(request)
	if !connected {
		a.verdict, a.err = verdictUnsent, fmt.Errorf("connect: %w", causeOf(ctx, err))
		return a
	}
	x.sent++
	x.pending++
	if err != nil {
		a.breakOff(ctx, fmt.Errorf("await answer: %w", causeOf(ctx, err)))
		return a
	}
	f.classify(x, a)
	return a
}

// causeOf is why a context ended, where that is why a call failed.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// build makes the request to the upstream of a placement.
func (f *Forwarder) build(ctx context.Context, x *exchange, a *attempt, lastEvent string) (*http.Request, error) {
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
		request.Body = readCloser{bytes.NewReader(x.body)}
	}
	left := time.Until(x.deadline)
	if left <= 0 {
		return nil, context.DeadlineExceeded
	}
	f.protocol.WriteAttempt(request.Header, AttemptMetadata{
		InstanceID: p.First.ID, Remaining: left, Organisation: x.organisation, LastEventID: lastEvent,
		Helpers: a.group.helpers(p.Helpers), Priority: urgency(x),
	})
	return request, nil
}

const (
	// ranks is how many ranks of organisations and routes are told apart; a
	// lower one counts as the last of them.
	ranks = 3
	// targetClasses is how many classes of target are told apart within a rank.
	targetClasses = 3
	// shortTarget and mediumTarget are the longest targets of the first two.
	shortTarget  = 500 * time.Millisecond
	mediumTarget = 2 * time.Second
)

// urgency orders what waits at an engine, 0 first: by the rank of the
// organisation, which goes before the route's, and within it the shorter the
// target, the sooner.
func urgency(x *exchange) int {
	class := targetClasses - 1
	switch target := x.route.FirstByteTarget; {
	case target <= shortTarget:
		class = 0
	case target <= mediumTarget:
		class = 1
	}
	return min(max(x.rank, 0), ranks-1)*targetClasses + class
}

// readCloser is a body that can't be rewound, so that the library never sends
// a request again by itself.
type readCloser struct{ *bytes.Reader }

func (readCloser) Close() error { return nil }

// classify judges the header of an answer.
func (f *Forwarder) classify(x *exchange, a *attempt) {
	status := a.response.StatusCode
	reply := f.protocol.ReadResponse(status, a.response.Header)
	f.heed(x, a, reply)
	switch {
	case reply.RequestID != "" && reply.RequestID != x.call.ID:
		a.verdict, a.err = verdictBroken, errForeign
	case reply.NotRun:
		x.pending--
		a.verdict, a.err = verdictNotRun, fmt.Errorf("status %d", status)
		if reply.FaultyAddress.IsValid() && reply.FaultyAddress != a.placement.First.Address {
			f.blame(x, a, reply.FaultyAddress)
		}
	case status >= 500:
		a.verdict, a.err = verdictFailed, fmt.Errorf("status %d", status)
	case !reply.Stamped && status < 300:
		a.verdict, a.err = verdictBroken, errors.New("the answer is not signed")
	default:
		a.verdict = verdictAnswered
	}
}

// blame notes a helper's fault.
func (f *Forwarder) blame(x *exchange, a *attempt, at netip.AddrPort) {
	for _, h := range a.placement.Helpers {
		if h.Address == at {
			f.board.ReportHelperFailure(time.Now(), h)
			x.avoid = append(x.avoid, h)
			a.helperAtFault = true
		}
	}
}

// blameForMemory notes the helpers that set no memory aside.
func (f *Forwarder) blameForMemory(x *exchange, a *attempt) {
	for _, s := range failedShares(a.err) {
		f.blame(x, a, s.Engine)
	}
}

// restarted ends the attempt as one of its upstreams is known to have started anew: no answer
// comes from a run that is over, and where a partition hid its end callers would wait for the watchdog, up to
// three quarters of their patience. A stream that goes on is made by the new run, of which this entry
// heard late; it shows that within twice its longest pause, or within most.
func (a *attempt) restarted(most time.Duration) {
	seen := a.events.Load()
	if seen == 0 {
		a.cancel(errRestarted)
		return
	}
	if pause := time.Duration(a.longestPause.Load()); pause > 0 {
		most = min(most, 2*pause)
	}
	time.AfterFunc(most, func() {
		if a.events.Load() == seen {
			a.cancel(errRestarted)
		}
	})
}

// lost reports whether the attempt ended because an upstream has started anew.
func (a *attempt) lost() bool { return errors.Is(a.err, errRestarted) }

// blameless reports whether the engine that was to answer is not to blame. Where an
// upstream has started anew, its new run isn't either.
func (a *attempt) blameless() bool { return a.helperAtFault || a.lost() }

// avoidFailed keeps the request from the upstream that failed an attempt.
func avoidFailed(x *exchange, a *attempt) {
	if !a.blameless() {
		x.avoid = append(x.avoid, a.placement.First)
	}
}

// close ends an attempt and tells the board.
func (f *Forwarder) close(x *exchange, a *attempt) {
	a.watchdog.stop()
	if a.response != nil {
		_ = a.response.Body.Close()
	}
	a.cancel(nil)
	f.release(a.group)
	f.metrics.attempted(a.verdict)
	a.placement.End(time.Now(), resultOf(x, a))
	f.noteEnd(x, a)
	// A failure proves nothing: an upstream may fail what it has not begun.
	if a.verdict == verdictAnswered && a.response.StatusCode < http.StatusMultipleChoices {
		f.quarantine.RecordSuccess(time.Now(), x.content)
	}
	if a.verdict == verdictAnswered {
		return
	}
	f.log.Warn("attempt", zap.String("request", x.call.ID), zap.String("verdict", string(a.verdict)),
		zap.String("upstream", a.placement.First.ID), zap.Stringer("address", a.placement.First.Address),
		zap.Int("helpers", len(a.placement.Helpers)), zap.Duration("left_ms", time.Until(x.deadline)), zap.Stringer("content", x.content), zap.Error(a.err))
}

func resultOf(x *exchange, a *attempt) dispatcher.Result {
	switch {
	case x.callerLeft(), a.blameless():
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

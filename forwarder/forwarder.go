// Package forwarder is the HTTP handler that passes the requests of callers on to upstreams: plain
// requests with buffered responses, and streams event by event. A request passes through a chain of
// filters. The handler behind them makes attempts until one is answered, no further attempt is
// allowed, or the deadline passes.
//
// An attempt counts as pending from the time it is sent until its upstream states that it did not
// run the request. Only a request without pending attempts is refused with a status that promises
// that it has not run.
package forwarder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/asserter"
	"github.com/sapphireramp/sapphireramp/budgeter"
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/quarantiner"
	"github.com/sapphireramp/sapphireramp/sleeper"
)

// defaultTimeout applies to requests for which neither the caller nor the route sets a timeout.
const defaultTimeout = 30 * time.Second

// Config holds the settings and collaborators of a Forwarder. Every field is required.
type Config struct {
	// Protocol reads and writes the headers of requests and responses.
	Protocol Protocol
	// Reservations manages memory at engines for prompts longer than the memory of one engine.
	Reservations ReservationClient
	// ReservationTTL is the lease of memory reserved at engines. It must be shorter than the time
	// for which memory may stay reserved after the end of its request.
	ReservationTTL time.Duration
	// MaxIdle is for how long memory may stay reserved before a request uses it.
	MaxIdle time.Duration
	// View returns the current control state; it is called several times per request.
	View func() *View
	// Dispatcher chooses the upstreams of a request.
	Dispatcher *dispatcher.Dispatcher
	// RetryBudget limits the retries of each service.
	RetryBudget *budgeter.Budgeter
	// Quarantine decides which requests are refused because they crash upstreams.
	Quarantine *quarantiner.Quarantiner
	// Dial opens connections to upstreams.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  *zap.Logger
	// Scope receives the metrics of the forwarder.
	Scope tally.Scope
	// Asserter reports violated invariants.
	Asserter *asserter.Asserter
}

// Forwarder is an http.Handler that serves the requests of callers by upstreams.
type Forwarder struct {
	protocol          Protocol
	reservationClient ReservationClient
	reservationTTL    time.Duration
	maxIdle           time.Duration
	view              func() *View
	dispatcher        *dispatcher.Dispatcher
	retryBudget       *budgeter.Budgeter
	quarantine        *quarantiner.Quarantiner
	transport         *http.Transport
	exitDetector      *connector.ExitDetector
	log               *zap.Logger
	metrics           metrics
	asserter          *asserter.Asserter
	handler           handler
	inFlight          atomic.Int64
}

// New returns a Forwarder with the configuration c.
func New(c Config) *Forwarder {
	f := &Forwarder{
		protocol: c.Protocol, reservationClient: c.Reservations, reservationTTL: c.ReservationTTL, maxIdle: c.MaxIdle, view: c.View, dispatcher: c.Dispatcher, retryBudget: c.RetryBudget, quarantine: c.Quarantine, log: c.Log,
		metrics: newMetrics(c.Scope), asserter: c.Asserter, transport: newTransport(c.Dial), exitDetector: connector.NewExitDetector(c.Dial),
	}
	f.handler = chain(f.forward, f.respond, f.recoverPanic, f.requireConfig, f.limitHeader, f.matchRoute, f.readBody)
	return f
}

// InFlight returns the number of requests being served.
func (f *Forwarder) InFlight() int { return int(f.inFlight.Load()) }

// exchange is the state of one request on its way through the filters.
type exchange struct {
	// ctx is cancelled when the caller disconnects or the entry shuts down and, within forward, at
	// the deadline of the request.
	ctx context.Context
	// hasCallerLeft reports whether the caller's connection or the entry has ended; set by forward.
	hasCallerLeft func() bool
	writer        http.ResponseWriter
	request       *http.Request
	arrivedAt     time.Time
	metadata      RequestMetadata
	// view is the one in force when the request arrived. A newer one is only used for what concerns
	// the shutdown of the entry and the number of entries.
	view  *View
	route *matcher.Route
	// organisation is the name of the organisation that sent the request; empty on public routes.
	organisation string
	// priority is that of the organisation, or that of the route if there is no organisation; 0 is
	// the most urgent.
	priority int
	// service is the one chosen among the services of the route.
	service string
	// deadline is when the caller stops waiting for the response.
	deadline time.Time
	body     []byte
	// bodyRead is true once the whole body has been read into body.
	bodyRead bool
	// fingerprint identifies requests with equal content; zero until the body has been read.
	fingerprint quarantiner.Fingerprint

	// sentCount is the number of attempts that reached an upstream; pendingCount is how many of
	// them may have run, since their upstream has not stated otherwise.
	sentCount, pendingCount int
	// failedUpstreams are the upstreams that get no further attempt of this request.
	failedUpstreams []dispatcher.Instance
	// lastDemand is the demand of the latest search for a placement.
	lastDemand dispatcher.Demand
	// groupFailed is true once a group of engines has failed the request; it is then sent to a
	// single engine.
	groupFailed bool
	// responseBegun is true once the response header has been written to the caller, with status
	// responseStatus and at the time responseBegunAt.
	responseBegun   bool
	responseStatus  int
	responseBegunAt time.Time
	// lastEventAt is when the latest event was written to the caller; equal to responseBegunAt
	// before the first event.
	lastEventAt time.Time
	// longestGap is the longest time between two consecutive events written to the caller.
	longestGap time.Duration
	// eventCount is the number of events written to the caller.
	eventCount int
}

// handler serves an exchange. A nil failure means that nothing is left to report to the caller.
type handler func(*exchange) *failure

// filter wraps a handler with a step that comes before or after it.
type filter func(handler) handler

// chain wraps a handler with filters; the first filter is the outermost.
func chain(h handler, filters ...filter) handler {
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}

// ServeHTTP serves one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	x := &exchange{ctx: r.Context(), writer: w, request: r, arrivedAt: time.Now(), metadata: f.protocol.ReadRequest(r)}
	_ = f.handler(x)
}

// recoverPanic returns a filter that logs a panic and turns it into a failure.
func (f *Forwarder) recoverPanic(next handler) handler {
	return func(x *exchange) (fail *failure) {
		defer func() {
			r := recover()
			if r == nil {
				return
			}
			f.log.Error("panic", zap.String("request", x.metadata.ID), zap.Any("value", r), zap.ByteString("stack", debug.Stack()))
			fail = unknownOutcomeFailure(reasonPanic, fmt.Errorf("panic: %v", r))
		}()
		return next(x)
	}
}

// requireConfig returns a filter that refuses requests while the entry has no configuration.
func (f *Forwarder) requireConfig(next handler) handler {
	return func(x *exchange) *failure {
		x.view = f.awaitConfig(x)
		if x.view.Table == nil && x.view.Stopping {
			return refuseStopping(x.view, nil)
		}
		if x.view.Table == nil && x.view.StoreUnavailable {
			return notRunFailure(reasonNoConfig, storeLostRetry, nil)
		}
		if x.view.Table == nil {
			return notRunFailure(reasonNoConfig, configRetry, nil)
		}
		if x.view.Stopping {
			x.writer.Header().Set("Connection", "close")
		}
		return next(x)
	}
}

const (
	// startupWait is how long a request that reaches an entry just after its start waits for the
	// configuration, which one read from the store brings within a few milliseconds.
	startupWait = 150 * time.Millisecond
	// startupPollInterval is the interval between two checks for the configuration during that
	// wait.
	startupPollInterval = 5 * time.Millisecond
	// storeLostWaitDivisor sets the fraction of the caller's timeout for which a request waits for
	// the configuration while the store is unavailable: the first entry that reads the store
	// updates all others within 0.1 s. Most callers that reach a newly started entry come from one
	// that was lost, and rarely try a third time. A tenth leaves them time to come back after a
	// refusal.
	storeLostWaitDivisor = 10
)

// awaitConfig returns the current view or, if it has no configuration, the first that has one
// within maxConfigWait. A view without a configuration is returned if that time passes, the caller
// leaves or the entry is stopping.
func (f *Forwarder) awaitConfig(x *exchange) *View {
	v := f.view()
	for v.Table == nil && !v.Stopping && time.Since(x.arrivedAt) < maxConfigWait(x, v) && sleeper.Sleep(x.ctx, startupPollInterval) {
		v = f.view()
	}
	return v
}

// maxConfigWait returns how long after its arrival a request waits for the first configuration.
func maxConfigWait(x *exchange, v *View) time.Duration {
	if v.StoreUnavailable {
		return x.metadata.Timeout / storeLostWaitDivisor
	}
	return startupWait
}

// matchRoute returns a filter that finds the route, organisation, deadline and service of a
// request.
func (f *Forwarder) matchRoute(next handler) handler {
	return func(x *exchange) *failure {
		table := x.view.Table
		route, err := table.Route(x.request.Host, x.request.URL.EscapedPath())
		if err != nil {
			return x.denyByConfig(http.StatusNotFound, reasonNoRoute, err)
		}
		organisation, err := table.Organisation(route, x.metadata.APIKey)
		if err != nil {
			return x.denyByConfig(http.StatusUnauthorized, reasonUnknownKey, err)
		}
		x.route, x.priority = route, route.Priority
		if organisation != nil {
			x.organisation, x.priority = organisation.Name, organisation.Priority
		}
		x.deadline = x.arrivedAt.Add(requestTimeout(x))
		x.service = route.PickService(rand.Float64())
		if x.view.refusesWhileStopping(x) {
			return refuseStopping(x.view, nil)
		}
		return next(x)
	}
}

// denyByConfig returns the failure of a request that the configuration does not allow. An entry
// that may have missed a configuration change reports that instead of a missing route or key.
func (x *exchange) denyByConfig(status int, reason string, cause error) *failure {
	age := time.Since(x.view.ConfirmedAt)
	if age > x.view.ConfirmationTTL {
		return notRunFailure(reasonUnconfirmed, unconfirmedRetry, fmt.Errorf("%w, confirmed %s ago", cause, age.Round(time.Millisecond)))
	}
	return &failure{status: status, reason: reason, cause: cause}
}

// requestTimeout returns the time from arrival to the deadline of a request: the timeout of its
// route, or a shorter one set by the caller.
func requestTimeout(x *exchange) time.Duration {
	d := defaultTimeout
	if x.route.Timeout > 0 {
		d = x.route.Timeout
	}
	if x.metadata.Timeout > 0 {
		d = min(d, x.metadata.Timeout)
	}
	return d
}

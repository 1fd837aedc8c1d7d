// Package forwarder is the HTTP handler that passes the requests of callers on to upstreams: plain
// requests with buffered responses, and streams event by event. A request passes through a chain of
// filters. The handler behind the filters makes attempts until one is answered, no further attempt
// is allowed, or the deadline passes.
//
// An attempt that was sent counts as pending unless its upstream states that it did not run the
// request. Only a request without pending attempts is refused with a status that promises that the
// request has not run.
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
	// Reservations reserves memory at engines, for prompts longer than the memory of one engine.
	Reservations ReservationClient
	// ReservationTTL is the lease of memory reserved at engines. It must be shorter than the time
	// for which memory may stay reserved after the end of the request that used it.
	ReservationTTL time.Duration
	// MaxIdle is how long memory may stay reserved at engines before a request uses it.
	MaxIdle time.Duration
	// View returns the current control state. It must be cheap and safe for concurrent use, as it is
	// called several times per request.
	View func() *View
	// Dispatcher chooses the upstreams of a request.
	Dispatcher *dispatcher.Dispatcher
	// RetryBudget limits the retries of each service.
	RetryBudget *budgeter.Budgeter
	// Quarantine decides which requests are refused because they crash upstreams.
	Quarantine *quarantiner.Quarantiner
	// Dial opens connections to upstreams.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Log receives the events that package logger lists for attempts and requests.
	Log *zap.Logger
	// Scope receives the metrics of the forwarder.
	Scope tally.Scope
	// Asserter reports violated invariants.
	Asserter *asserter.Asserter
}

// Forwarder is an http.Handler that serves the requests of callers with responses of upstreams.
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

// InFlight returns the number of callers' requests being served.
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
	// view is the control state with which the request was accepted. Newer ones are only used for the
	// shutdown of the entry and the number of entries.
	view *View
	// route is the route that the request matches; nil until matchRoute has found it.
	route *matcher.Route
	// organisation is the name of the organisation that sent the request; empty on public routes.
	organisation string
	// priority is the priority of the organisation, or of the route if there is no organisation; 0
	// is the most urgent.
	priority int
	// service is the name of the service chosen among those of the route.
	service string
	// deadline is when the caller stops waiting for the complete response.
	deadline time.Time
	// body is the body of the caller's request, valid if bodyRead is true.
	body []byte
	// bodyRead is true once the whole request body has been read.
	bodyRead bool
	// fingerprint identifies requests with equal content; zero until the body has been read.
	fingerprint quarantiner.Fingerprint

	// sentCount is the number of attempts for which a connection was established, pendingCount the
	// number of those that may have run, since their upstream has not stated otherwise.
	sentCount, pendingCount int
	// failedUpstreams are the upstreams that get no further attempt of this request.
	failedUpstreams []dispatcher.Instance
	// lastDemand is the demand of the latest search for a placement.
	lastDemand dispatcher.Demand
	// avoidGroups is true once a group of engines has failed the request; further attempts use a
	// single engine.
	avoidGroups bool
	// responseBegun is true once the header of an upstream's response has been written to the caller,
	// with status responseStatus and at the time responseBegunAt.
	responseBegun   bool
	responseStatus  int
	responseBegunAt time.Time
	// lastEventAt is when the latest event of the response was written to the caller; equal to
	// responseBegunAt before the first event, and zero before that.
	lastEventAt time.Time
	// longestGap is the longest time between two consecutive events written to the caller.
	longestGap time.Duration
	// eventCount is the number of events written to the caller.
	eventCount int
}

// handler serves an exchange. It returns nil if the caller has got a complete response.
type handler func(*exchange) *failure

// filter wraps a handler with a step that runs before or after the handler, or instead of it.
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
	// startupWait is how long a request at an entry without a configuration waits for one. After the
	// start of an entry, one read from the store brings it within a few milliseconds.
	startupWait = 150 * time.Millisecond
	// startupPollInterval is the interval between two checks of a waiting request for the
	// configuration.
	startupPollInterval = 5 * time.Millisecond
	// storeLostWaitDivisor is the divisor of the caller's timeout that gives how long a request waits
	// for the configuration while the store is unavailable: the first entry that can read the store
	// updates all others within 0.1 s. Most callers of a newly started entry come from a lost one and
	// rarely try a third time; a wait of a tenth leaves time for one more try after a refusal.
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

// maxConfigWait returns how long after its arrival a request waits for the first configuration. It
// is 0 if the store is unavailable and the caller has stated no timeout.
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

// denyByConfig returns the failure of a request whose route or API key the configuration does not
// contain. If the entry may have missed a configuration change, the failure is a refusal that
// invites a retry, and not the given status.
func (x *exchange) denyByConfig(status int, reason string, cause error) *failure {
	age := time.Since(x.view.ConfirmedAt)
	if age > x.view.ConfirmationTTL {
		return notRunFailure(reasonUnconfirmed, unconfirmedRetry, fmt.Errorf("%w; configuration last confirmed %s ago", cause, age.Round(time.Millisecond)))
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

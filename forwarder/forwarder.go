// Package forwarder serves callers by passing their requests on to upstreams:
// plain requests with buffered answers, and streams event by event. A request
// passes a chain of filters; the last one makes attempts until one is
// answered, the budget of attempts is used up, or the caller's time is over.
//
// What was sent to an upstream counts as pending until the upstream states
// that it did not run; only a request with nothing pending is ever refused
// with a status that promises so.
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

// defaultTimeout stands in where neither caller nor route names a time.
const defaultTimeout = 30 * time.Second

// Config of a forwarder. Every field is needed.
type Config struct {
	Protocol     Protocol
	Reservations ReservationClient
	// ReservationTTL is the lease of memory reserved at engines: shorter than memory
	// may stay set aside after the end of its request.
	ReservationTTL time.Duration
	// MaxIdle is how long reserved memory may be unused by a request.
	MaxIdle     time.Duration
	View        func() *View
	Dispatcher  *dispatcher.Dispatcher
	RetryBudget *budgeter.Budgeter
	// Quarantine says which requests are refused, since they crash upstreams.
	Quarantine *quarantiner.Quarantiner
	Dial       func(ctx context.Context, network, address string) (net.Conn, error)
	Log        *zap.Logger
	Scope      tally.Scope
	Asserter   *asserter.Asserter
}

// Forwarder is the handler of callers' requests.
type Forwarder struct {
	protocol          Protocol
	reservationClient ReservationClient
	reservationTTL    time.Duration
	maxIdle           time.Duration
	view              func() *View
	dispatcher        *dispatcher.Dispatcher
	retryBudget       *budgeter.Budgeter
	quarantine        *quarantiner.Quarantiner
	upstreams         *http.Transport
	presence          *connector.Presence
	log               *zap.Logger
	metrics           metrics
	asserter          *asserter.Asserter
	handler           handler
	inFlight          atomic.Int64
}

// New returns a forwarder.
func New(c Config) *Forwarder {
	f := &Forwarder{
		protocol: c.Protocol, reservationClient: c.Reservations, reservationTTL: c.ReservationTTL, maxIdle: c.MaxIdle, view: c.View, dispatcher: c.Dispatcher, retryBudget: c.RetryBudget, quarantine: c.Quarantine, log: c.Log,
		metrics: newMetrics(c.Scope), asserter: c.Asserter, upstreams: newTransport(c.Dial), presence: connector.NewPresence(c.Dial),
	}
	f.handler = chain(f.forward, f.respond, f.recoverPanic, f.requireConfig, f.limitHeader, f.matchRoute, f.readBody)
	return f
}

// InFlight is how many requests are being served.
func (f *Forwarder) InFlight() int { return int(f.inFlight.Load()) }

// exchange is one request on its way through the filters.
type exchange struct {
	ctx context.Context
	// hasCallerLeft reports whether the caller closed its connection.
	hasCallerLeft func() bool
	writer        http.ResponseWriter
	request       *http.Request
	arrivedAt     time.Time
	metadata      RequestMetadata
	// view is the one in force when the request arrived; nothing newer is
	// used for it but to learn that an upstream leaves.
	view         *View
	route        *matcher.Route
	organisation string
	// priority is the organisation's, or the route's where none is known; 0 is the
	// most urgent.
	priority    int
	service     string
	deadline    time.Time
	body        []byte
	bodyRead    bool
	fingerprint quarantiner.Fingerprint

	// sentCount counts upstreams that the request was sent to, pending those of
	// them that have not stated that it did not run.
	sentCount, pendingCount int
	failedUpstreams         []dispatcher.Instance
	// lastDemand is that of the last placement.
	lastDemand dispatcher.Demand
	// groupFailed is set once a group of engines has failed the request.
	groupFailed bool
	// responseBegun is true once a part of the answer was written to the caller.
	responseBegun   bool
	responseStatus  int
	responseBegunAt time.Time
	lastEventAt     time.Time
	longestGap      time.Duration
	// eventCount counts those passed on.
	eventCount int
}

type handler func(*exchange) *failure

type filter func(handler) handler

// chain puts filters before a handler, the first outermost.
func chain(h handler, filters ...filter) handler {
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}

// ServeHTTP serves one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	x := &exchange{ctx: r.Context(), writer: w, request: r, arrivedAt: time.Now(), metadata: f.protocol.ReadRequest(r)}
	_ = f.handler(x)
}

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

// requireConfig refuses requests while the entry knows no configuration.
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
	// startupWait is how long a request that meets an entry just after its start
	// waits for the configuration, which one read brings in a few milliseconds.
	startupWait = 150 * time.Millisecond
	// startupPollInterval is how often it looks.
	startupPollInterval = 5 * time.Millisecond
	// storeLostWaitDivisor is the part of its caller's patience for which a request waits
	// while the store can't be read, as the first entry that reads it tells all
	// within 0.1 s. Most callers that meet an entry just started come from one
	// that was lost, and do not ask a third time. A tenth leaves them the time to
	// come back after a refusal.
	storeLostWaitDivisor = 10
)

// awaitConfig is the view in force, or the first one with a configuration
// where that comes soon.
func (f *Forwarder) awaitConfig(x *exchange) *View {
	v := f.view()
	for v.Table == nil && !v.Stopping && time.Since(x.arrivedAt) < maxConfigWait(x, v) && sleeper.Sleep(x.ctx, startupPollInterval) {
		v = f.view()
	}
	return v
}

// maxConfigWait is how long a request waits for the first configuration.
func maxConfigWait(x *exchange, v *View) time.Duration {
	if v.StoreUnavailable {
		return x.metadata.Timeout / storeLostWaitDivisor
	}
	return startupWait
}

// matchRoute finds the route and the organisation of a request.
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

// denyByConfig refuses a request that the configuration does not allow. An entry
// that may have missed a change says so, rather than that there is no such
// route or key.
func (x *exchange) denyByConfig(status int, reason string, cause error) *failure {
	age := time.Since(x.view.ConfirmedAt)
	if age > x.view.ConfirmationTTL {
		return notRunFailure(reasonUnconfirmed, unconfirmedRetry, fmt.Errorf("%w, confirmed %s ago", cause, age.Round(time.Millisecond)))
	}
	return &failure{status: status, reason: reason, cause: cause}
}

// requestTimeout is how long a request may be kept waiting.
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

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

// defaultPatience stands in where neither caller nor route names a time.
const defaultPatience = 30 * time.Second

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
	protocol   Protocol
	orders     ReservationClient
	holdTime   time.Duration
	maxIdle    time.Duration
	view       func() *View
	board      *dispatcher.Dispatcher
	budget     *budgeter.Budgeter
	quarantine *quarantiner.Quarantiner
	upstreams  *http.Transport
	presence   *connector.Presence
	log        *zap.Logger
	metrics    metrics
	asserter   *asserter.Asserter
	chain      handler
	inFlight   atomic.Int64
}

// New returns a forwarder.
func New(c Config) *Forwarder {
	f := &Forwarder{
		protocol: c.Protocol, orders: c.Reservations, holdTime: c.ReservationTTL, maxIdle: c.MaxIdle, view: c.View, board: c.Dispatcher, budget: c.RetryBudget, quarantine: c.Quarantine, log: c.Log,
		metrics: newMetrics(c.Scope), asserter: c.Asserter, upstreams: newTransport(c.Dial), presence: connector.NewPresence(c.Dial),
	}
	f.chain = chain(f.forward, f.respond, f.recoverPanic, f.open, f.limitHeader, f.match, f.readBody)
	return f
}

// InFlight is how many requests are being served.
func (f *Forwarder) InFlight() int { return int(f.inFlight.Load()) }

// exchange is one request on its way through the filters.
type exchange struct {
	ctx context.Context
	// callerLeft reports whether the caller closed its connection.
	callerLeft func() bool
	writer     http.ResponseWriter
	request    *http.Request
	arrived    time.Time
	call       RequestMetadata
	// view is the one in force when the request arrived; nothing newer is
	// used for it but to learn that an upstream leaves.
	view         *View
	route        *matcher.Route
	organisation string
	// rank is the organisation's, or the route's where none is known; 0 is the
	// most urgent.
	rank     int
	service  string
	deadline time.Time
	body     []byte
	bodyRead bool
	content  quarantiner.Fingerprint

	// sent counts upstreams that the request was sent to, pending those of
	// them that have not stated that it did not run.
	sent, pending int
	avoid         []dispatcher.Instance
	// demand is that of the last placement.
	demand dispatcher.Demand
	// alone is set once a group of engines has failed the request.
	alone bool
	// begun is true once a part of the answer was written to the caller.
	begun        bool
	answered     int
	firstAt      time.Time
	eventAt      time.Time
	longestPause time.Duration
	// events counts those passed on.
	events int
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
	x := &exchange{ctx: r.Context(), writer: w, request: r, arrived: time.Now(), call: f.protocol.ReadRequest(r)}
	_ = f.chain(x)
}

func (f *Forwarder) recoverPanic(next handler) handler {
	return func(x *exchange) (fail *failure) {
		defer func() {
			r := recover()
			if r == nil {
				return
			}
			f.log.Error("panic", zap.String("request", x.call.ID), zap.Any("value", r), zap.ByteString("stack", debug.Stack()))
			fail = unknown(reasonPanic, fmt.Errorf("panic: %v", r))
		}()
		return next(x)
	}
}

// open refuses requests while the entry knows no configuration.
func (f *Forwarder) open(next handler) handler {
	return func(x *exchange) *failure {
		x.view = f.awaitConfig(x)
		if x.view.Table == nil && x.view.Stopping {
			return refuseStopping(x.view, nil)
		}
		if x.view.Table == nil && x.view.StoreUnavailable {
			return notRun(reasonNoConfig, lostRetry, nil)
		}
		if x.view.Table == nil {
			return notRun(reasonNoConfig, configRetry, nil)
		}
		if x.view.Stopping {
			x.writer.Header().Set("Connection", "close")
		}
		return next(x)
	}
}

const (
	// startWait is how long a request that meets an entry just after its start
	// waits for the configuration, which one read brings in a few milliseconds.
	startWait = 150 * time.Millisecond
	// startPoll is how often it looks.
	startPoll = 5 * time.Millisecond
	// lostWaitPart is the part of its caller's patience for which a request waits
	// while the store can't be read, as the first entry that reads it tells all
	// within 0.1 s. Most callers that meet an entry just started come from one
	// that was lost, and do not ask a third time. A tenth leaves them the time to
	// come back after a refusal.
	lostWaitPart = 10
)

// awaitConfig is the view in force, or the first one with a configuration
// where that comes soon.
func (f *Forwarder) awaitConfig(x *exchange) *View {
	v := f.view()
	for v.Table == nil && !v.Stopping && time.Since(x.arrived) < configWait(x, v) && sleeper.Sleep(x.ctx, startPoll) {
		v = f.view()
	}
	return v
}

// configWait is how long a request waits for the first configuration.
func configWait(x *exchange, v *View) time.Duration {
	if v.StoreUnavailable {
		return x.call.Timeout / lostWaitPart
	}
	return startWait
}

// match finds the route and the organisation of a request.
func (f *Forwarder) match(next handler) handler {
	return func(x *exchange) *failure {
		table := x.view.Table
		route, err := table.Route(x.request.Host, x.request.URL.EscapedPath())
		if err != nil {
			return x.denied(http.StatusNotFound, reasonNoRoute, err)
		}
		organisation, err := table.Organisation(route, x.call.APIKey)
		if err != nil {
			return x.denied(http.StatusUnauthorized, reasonUnknownKey, err)
		}
		x.route, x.rank = route, route.Priority
		if organisation != nil {
			x.organisation, x.rank = organisation.Name, organisation.Priority
		}
		x.deadline = x.arrived.Add(patience(x))
		x.service = route.PickService(rand.Float64())
		if x.view.turnsAway(x) {
			return refuseStopping(x.view, nil)
		}
		return next(x)
	}
}

// denied refuses a request that the configuration does not allow. An entry
// that may have missed a change says so, rather than that there is no such
// route or key.
func (x *exchange) denied(status int, reason string, cause error) *failure {
	age := time.Since(x.view.ConfirmedAt)
	if age > x.view.ConfirmationTTL {
		return notRun(reasonUnconfirmed, unconfirmedRetry, fmt.Errorf("%w, confirmed %s ago", cause, age.Round(time.Millisecond)))
	}
	return &failure{status: status, reason: reason, cause: cause}
}

// patience is how long a request may be kept waiting.
func patience(x *exchange) time.Duration {
	d := defaultPatience
	if x.route.Timeout > 0 {
		d = x.route.Timeout
	}
	if x.call.Timeout > 0 {
		d = min(d, x.call.Timeout)
	}
	return d
}

// Package forwarder is the HTTP handler that passes the requests of callers on to upstreams: plain
// requests with buffered responses, and streams event by event. A request passes through a chain of
// filters. The handler behind the filters makes attempts until one is answered, no further attempt
// is allowed, or the deadline passes.
//
// An attempt for which a connection was established is pending unless its upstream states that it did
// not run the request. Only a request without pending attempts is refused with a status that promises
// that the request has not run.
package forwarder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/asserter"
	"github.com/sapphireramp/sapphireramp/budgeter"
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/isolator"
	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/quarantiner"
	"github.com/sapphireramp/sapphireramp/queuer"
	"github.com/sapphireramp/sapphireramp/scheduler"
	"github.com/sapphireramp/sapphireramp/sleeper"
	"github.com/sapphireramp/sapphireramp/tunneler"
)

// defaultTimeout is the timeout of routes that set none; the caller may set a shorter one.
const defaultTimeout = 30 * time.Second

// Config holds the settings of a Forwarder and the objects that it uses. Every field is
// required except Scheduler and Share.
type Config struct {
	// Protocol reads and writes the headers of requests and responses.
	Protocol Protocol
	// Reservations reserves memory at engines, for prompts that do not fit into the memory of one
	// engine.
	Reservations ReservationClient
	// ReservationTTL is the time for which memory is reserved at an engine unless the reservation is
	// renewed. It must be shorter than the time for which memory may stay reserved after the end of
	// the request that used it.
	ReservationTTL time.Duration
	// MaxIdle is how long memory may stay reserved at engines before a request uses it.
	MaxIdle time.Duration
	// View returns the current View, never nil. It must be cheap and safe for concurrent use, as it is
	// called several times per request.
	View func() *View
	// Dispatcher chooses the upstreams of a request.
	Dispatcher *dispatcher.Dispatcher
	// RetryBudget limits the retries of each service.
	RetryBudget *budgeter.Budgeter
	// Quarantine decides which requests are refused because they crash upstreams.
	Quarantine *quarantiner.Quarantiner
	// Isolator decides which requests are refused, or tried one at a time, because of parts of their prompts that
	// crash upstreams. OnCrash is called when such a crash was recorded; it must not block.
	Isolator *isolator.Isolator
	OnCrash  func()
	// Scheduler reserves times for the returns of refused callers. Share returns what is known of the share
	// of the organisation of a refused request at its service, and false if nothing is. If either is nil,
	// no times are reserved.
	Scheduler *scheduler.Scheduler
	Share     func(now time.Time, d dispatcher.Demand) (Share, bool)
	// Tunneler opens connections to upstreams.
	Tunneler *tunneler.Tunneler
	// Account grants memory for requests and responses.
	Account *accountant.Account
	// Log receives the log lines about requests and attempts, whose events logger.Events describes.
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
	isolator          *isolator.Isolator
	onCrash           func()
	scheduler         *scheduler.Scheduler
	share             func(now time.Time, d dispatcher.Demand) (Share, bool)
	tunneler          *tunneler.Tunneler
	transport         *connector.Transport
	exitDetector      *connector.ExitDetector
	log               *zap.Logger
	metrics           metrics
	asserter          *asserter.Asserter
	handler           handler
	inFlight          atomic.Int64
	queues            queues
	// account counts what is held of requests and responses.
	account *accountant.Account
}

// New returns a Forwarder with the configuration c.
func New(c Config) *Forwarder {
	f := &Forwarder{
		protocol: c.Protocol, reservationClient: c.Reservations, reservationTTL: c.ReservationTTL, maxIdle: c.MaxIdle, view: c.View, dispatcher: c.Dispatcher, retryBudget: c.RetryBudget, quarantine: c.Quarantine, isolator: c.Isolator, onCrash: c.OnCrash, scheduler: c.Scheduler, share: c.Share, account: c.Account, log: c.Log,
		metrics: newMetrics(c.Scope), asserter: c.Asserter, tunneler: c.Tunneler, transport: newTransport(dialPrepared(c.Tunneler.Dial), c.Account), exitDetector: connector.NewExitDetector(c.Tunneler.Dial),
	}
	f.handler = chain(f.forward, f.respond, f.recoverPanic, f.reserveMemory, f.requireConfig, f.limitHeader, f.matchRoute, f.readBody)
	return f
}

// InFlight returns the number of callers' requests being served.
func (f *Forwarder) InFlight() int { return int(f.inFlight.Load()) }

// exchange is the state of one request on its way through the filters.
type exchange struct {
	// ctx is cancelled when the caller disconnects, when a stopping entry cancels its remaining
	// requests and, once forward has been called, at the deadline of the request.
	ctx context.Context
	// hasCallerLeft reports whether the caller has disconnected or a stopping entry has cancelled the
	// request; nil until forward sets it.
	hasCallerLeft func() bool
	writer        http.ResponseWriter
	request       *http.Request
	arrivedAt     time.Time
	metadata      RequestMetadata
	// headerBytes is the size of the header; 0 until reserveMemory sets it.
	headerBytes int
	// view is the View with which the request was accepted. Newer Views are only used for the shutdown
	// of the entry and for RetryBudgetEntries.
	view *View
	// route is the route that the request matches; nil until matchRoute has found it.
	route *matcher.Route
	// organisation is the name of the organisation that sent the request; empty on public routes.
	organisation string
	// account is that organisation; nil on public routes.
	account *matcher.Organisation
	// priority is the priority of the organisation, or of the route if there is no organisation; 0
	// is the most urgent.
	priority int
	// rank is the urgency of the request by the priorities of its organisation and route, in that order.
	rank apportioner.Rank
	// service is the name of the service that was chosen, at random by weight, among those of the
	// route.
	service string
	// deadline is when the caller stops waiting for the complete response.
	deadline time.Time
	// body is the body of the caller's request, valid if bodyRead is true until it is released, which it is once it
	// can't be sent to another upstream.
	body *requestBody
	// bodyRead is true once the whole request body has been read.
	bodyRead bool
	// fingerprint identifies requests with equal content; zero until the body has been read.
	fingerprint quarantiner.Fingerprint
	// parts are the parts of the prompt that other prompts may share; nil until the body has been read.
	parts []isolator.Part
	// trial is not nil while the request is tried although it may crash its upstream.
	trial *isolator.Trial
	// isReturn is true if the caller returns at the time for which it was given a place, isReturnSettled
	// once the return was counted as kept or refused.
	isReturn, isReturnSettled bool
	// suspectedAt is when the request was first held back for a suspected part; zero if it was not.
	suspectedAt time.Time
	// lostCount is the number of attempts for which mayHaveCrashed returned true.
	lostCount int

	// sentCount is the number of attempts for which a connection was established. pendingCount is the
	// number of those whose upstream has not stated that it did not run the request.
	sentCount, pendingCount int
	// placement is that of the next attempt, or of openAttempt, the attempt that has not been ended; both are nil if
	// there is none.
	placement   *dispatcher.Placement
	openAttempt *attempt
	// retry is the reservation in the retry budget of an attempt that has reached no upstream yet; nil if there is
	// none, also for a request that no upstream has received.
	retry *budgeter.Reservation
	// prepared is a connection for the next attempt; nil if there is none.
	prepared *preparedConnection
	// failedUpstreams are the upstreams that failed this request and get no further attempt of it.
	failedUpstreams []dispatcher.Instance
	// lastDemand is the demand of the latest search for a placement.
	lastDemand dispatcher.Demand
	// waiter is the request's place in the queue of its service; nil unless it waits for its organisation's share.
	waiter *queuer.Waiter
	// avoidGroups is true if further attempts use a single engine without helpers; see
	// shouldAvoidGroups.
	avoidGroups bool
	// responseBegun is true once the header of an upstream's response has been written to the caller,
	// with status responseStatus and at the time responseBegunAt.
	responseBegun   bool
	responseStatus  int
	responseBegunAt time.Time
	// lastEventAt is when the latest event of the response was written to the caller. It is
	// responseBegunAt until the first event is written, and zero until the response begins.
	lastEventAt time.Time
	// longestGap is the longest time between two consecutive events written to the caller.
	longestGap time.Duration
	// outbox passes the events of a stream on to the caller; nil before the first event.
	outbox *outbox
	// eventCount is the number of events written to the caller.
	eventCount int
}

// handler serves a request. It returns nil if the caller has got a complete response, and otherwise
// the failure with which the request ended.
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

// ServeHTTP serves one request of a caller. It panics with http.ErrAbortHandler to close the connection
// if the response has begun and can't be completed, or if the caller has disconnected.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	x := &exchange{ctx: r.Context(), writer: w, request: r, arrivedAt: time.Now(), metadata: f.protocol.ReadRequest(r)}
	_ = f.handler(x)
}

// recoverPanic returns a filter that recovers a panic of the filters within it and of forward, logs
// it, and returns it as a failure.
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

// requireConfig returns a filter that sets the view of a request and refuses the request if the entry
// has no configuration. At a stopping entry it asks the caller to close the connection.
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
	// startupWait is the maximum time that a request waits for the first configuration of its entry
	// while the store is reachable. An entry that starts usually reads the configuration from the
	// store within a few milliseconds.
	startupWait = 150 * time.Millisecond
	// startupPollInterval is the interval at which a request that waits for the first configuration
	// checks whether the entry has it.
	startupPollInterval = 5 * time.Millisecond
	// storeLostWaitDivisor sets how long a request waits for the first configuration while the store
	// is unavailable: for the caller's timeout divided by storeLostWaitDivisor. The first entry that
	// can read the store updates all others within 0.1 s. Most callers of a newly started entry come
	// from an entry that crashed and rarely try a third time; a wait of a tenth of the timeout leaves
	// time for one more try after a refusal.
	storeLostWaitDivisor = 10
)

// awaitConfig returns the current View or, if that has no configuration, waits for a View that has one
// and returns it. It returns a View without a configuration once maxConfigWait has passed since the
// request arrived, the caller has left or the entry is stopping.
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

// matchRoute returns a filter that sets the route, organisation, priority, deadline and service of a
// request. It refuses a request without a route or with an unknown API key (see denyByConfig), and one
// for which refusesWhileStopping returns true.
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
		x.route, x.priority, x.rank = route, route.Priority, apportioner.NewRank(0, route.Priority)
		if organisation != nil {
			x.account, x.organisation, x.priority = organisation, organisation.Name, organisation.Priority
			x.rank = apportioner.NewRank(organisation.Priority, route.Priority)
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
// contain. It has the given status unless the entry may have missed a configuration change, because
// the configuration was not confirmed within ConfirmationTTL: then it has status 503 and a
// Retry-After.
func (x *exchange) denyByConfig(status int, reason string, cause error) *failure {
	age := time.Since(x.view.ConfirmedAt)
	if age > x.view.ConfirmationTTL {
		return notRunFailure(reasonUnconfirmed, unconfirmedRetry, fmt.Errorf("%w; configuration last confirmed %s ago", cause, age.Round(time.Millisecond)))
	}
	return &failure{status: status, reason: reason, cause: cause}
}

// requestTimeout returns the time from the arrival of a request to its deadline: the shorter of the
// timeouts that its route and its caller set. defaultTimeout stands for a route without a timeout.
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

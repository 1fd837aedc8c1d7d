// Package server implements the entry daemon: listeners, calls to other processes, logs and metrics. Other
// packages, such as router and keeper, make its decisions. One control goroutine owns all control state and
// publishes immutable views of it; each request is served on a goroutine of its own.
package server

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/acceptor"
	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/asserter"
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/isolator"
	"github.com/sapphireramp/sapphireramp/loader"
	"github.com/sapphireramp/sapphireramp/logger"
	"github.com/sapphireramp/sapphireramp/quarantiner"
	"github.com/sapphireramp/sapphireramp/sealer"
	"github.com/sapphireramp/sapphireramp/sequencer"
	"github.com/sapphireramp/sapphireramp/tunneler"
)

// Config configures a Server. All fields but Dial, Listen and OnViolation are required.
type Config struct {
	// Settings are the settings of this entry, read by package loader.
	Settings loader.Settings
	// Incarnation identifies this process. It is greater than that of every earlier process of the entry.
	Incarnation uint64
	// Logs provides a logger for each of the layers of package logger.
	Logs *logger.Loggers
	// MetricScope receives the metrics of this entry; MetricsHandler serves them to callers at
	// api.PathMetrics.
	MetricScope    tally.Scope
	MetricsHandler http.Handler
	// Dial, which connects to other processes, and Listen, which opens the entry's listeners, replace the
	// network in tests; nil means TCP.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Listen func(address netip.AddrPort) (net.Listener, error)
	// OnViolation, if not nil, is called with the invariant's name and a detail when an invariant is
	// violated, after the violation is logged and counted. Tests fail on such a call.
	OnViolation func(name, detail string)
}

// Server is one entry. It serves callers, exchanges heartbeats with its peers, and is the keeper of the engines
// assigned to it: it grants their memory and reconciles what they hold.
type Server struct {
	config   Config
	settings loader.Settings
	asserter *asserter.Asserter
	metrics  metrics
	logs     logs

	// control runs commands on the control goroutine, the only one that accesses the control state.
	control *sequencer.Sequencer[*control]
	// parseLock is a semaphore that is held while a document is parsed.
	parseLock chan struct{}
	// current is the view published last. A published view is replaced, never modified.
	current atomic.Pointer[view]

	// sealKeys are the public keys of the consoles whose signatures on configuration documents are accepted.
	// If there are none, documents need no signature.
	sealKeys []ed25519.PublicKey

	// callDispatcher places service calls on instances.
	callDispatcher *dispatcher.Dispatcher
	// quarantine decides which requests are refused because they crash upstreams. exitDetector detects
	// whether an upstream's process has exited.
	quarantine *quarantiner.Quarantiner
	// isolator decides which prompts are refused, or tried one at a time, because of what they share with prompts
	// that crashed engines.
	isolator     *isolator.Isolator
	exitDetector *connector.ExitDetector

	// account grants memory for requests, answers and messages of other entries, acceptor for connections.
	account  *accountant.Account
	acceptor *acceptor.Acceptor
	// peerPool holds the connections for RPCs to other entries.
	peerPool *connector.Pool
	// tunneler opens the connections to engines and services.
	tunneler *tunneler.Tunneler
	// engineClient makes short calls to engines; trafficClient sends attempts; singleUseClient sends the
	// attempts of requests that may run at most once, each on a new connection. entryClient forwards requests
	// to other entries, each on a new connection, and platformClient reads the platform.
	engineClient    *http.Client
	trafficClient   *http.Client
	singleUseClient *http.Client
	entryClient     *http.Client
	platformClient  *http.Client

	callerListener net.Listener
	peerListener   net.Listener
	// background counts the running goroutines started by runInBackground.
	background sync.WaitGroup
}

// logs holds one logger per layer, named as in package logger.
type logs struct {
	entry, route, keep, members, document *zap.Logger
}

// metrics holds the metrics that are updated by this package; newMetrics gives their names.
type metrics struct {
	requests        tally.Scope
	firstToken      tally.Histogram
	droppedChunks   tally.Counter
	resumedAttempts tally.Counter
	freedOrphans    tally.Counter
	sentOrders      tally.Counter
	inFlight        tally.Gauge
	revision        tally.Gauge
	violations      tally.Scope
	platformReads   tally.Counter
	askFailures     tally.Counter
	overShare       tally.Counter
}

const (
	dialTimeout = time.Second
	// engineCallTimeout bounds each call to an engine but the attempts: load reports, holds, orders and
	// cancellations.
	engineCallTimeout = time.Second
	// maxIdlePerUpstream is the maximum number of idle connections that an HTTP client of this entry keeps
	// to one address.
	maxIdlePerUpstream = 32
)

// New returns an entry whose listeners are open. It serves no requests before Run. New returns an error if a
// seal key is invalid or an address can't be listened on.
func New(c Config) (*Server, error) {
	dial := c.Dial
	if dial == nil {
		dial = newDialer(c.Settings.Listen.Addr()).DialContext
	}
	listen := c.Listen
	if listen == nil {
		listen = listenTCP
	}
	account := accountant.New(accountant.LimitFor(c.Settings.Memory))
	s := &Server{
		config:         c,
		account:        account,
		settings:       c.Settings,
		control:        sequencer.New[*control](),
		parseLock:      make(chan struct{}, 1),
		peerPool:       connector.NewPool(dial, account),
		callDispatcher: newCallDispatcher(c.Settings.DataCentre),
		quarantine:     quarantiner.New(),
		isolator:       isolator.New(c.Settings.Name),
		entryClient:    &http.Client{Transport: newTransport(dial, true, account)},
		platformClient: &http.Client{Transport: newTransport(dial, false, account)},
		logs: logs{
			entry: c.Logs.Layer(logger.LayerEntry), route: c.Logs.Layer(logger.LayerRouter), keep: c.Logs.Layer(logger.LayerKeeper),
			members: c.Logs.Layer(logger.LayerMembers), document: c.Logs.Layer(logger.LayerDocument),
		},
	}
	s.tunneler = tunneler.New(tunneler.Config{
		Name: c.Settings.Name, DataCentre: c.Settings.DataCentre, Dial: dial, Relays: s.relays, OnCutOff: s.onCutOff, CloseIdle: s.closeIdleConnections,
		Log: s.logs.route, Scope: c.MetricScope, Account: account,
	})
	s.exitDetector = connector.NewExitDetector(s.tunneler.Dial)
	s.engineClient = &http.Client{Transport: newTransport(s.tunneler.Dial, false, account), Timeout: engineCallTimeout}
	s.trafficClient = &http.Client{Transport: newTransport(s.tunneler.Dial, false, account)}
	s.singleUseClient = &http.Client{Transport: newTransport(s.tunneler.Dial, true, account)}
	for _, text := range c.Settings.SealKeys {
		key, err := sealer.ParsePublicKey(text)
		if err != nil {
			return nil, fmt.Errorf("parse seal key: %w", err)
		}
		s.sealKeys = append(s.sealKeys, key)
	}
	s.acceptor = acceptor.New(acceptor.Config{Account: account, Limits: s.clientLimits, Log: s.logs.entry, Scope: c.MetricScope})
	if descriptors := c.Settings.MaxDescriptors; descriptors > 0 {
		s.acceptor.SetMaxConnections(acceptor.MaxConnections(descriptors))
		s.tunneler.SetMaxServed(acceptor.MaxTunnels(descriptors))
	}
	s.metrics = newMetrics(c.MetricScope)
	s.asserter = asserter.New(s.reportViolation)
	s.current.Store(emptyView())
	callers, err := listen(c.Settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	peers, err := listen(c.Settings.PeerListen)
	if err != nil {
		_ = callers.Close()
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	s.callerListener, s.peerListener = s.acceptor.Listen(callers, acceptor.Callers), s.acceptor.Listen(peers, acceptor.Peers)
	return s, nil
}

// clientLimits returns what the settings allow callers.
func (s *Server) clientLimits() acceptor.Limits {
	return acceptor.Limits{HeadBytes: s.settings.Callers.MaxHeader, HeadTimeout: s.settings.Callers.HeaderTimeout, IdleTimeout: s.settings.Callers.IdleTimeout}
}

func listenTCP(address netip.AddrPort) (net.Listener, error) {
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		requests:        scope.SubScope("requests"),
		firstToken:      scope.Histogram("first_token_seconds", tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 14)),
		droppedChunks:   scope.Counter("chunks_dropped"),
		resumedAttempts: scope.Counter("attempts_resumed"),
		freedOrphans:    scope.Counter("orphans_freed"),
		sentOrders:      scope.Counter("orders_sent"),
		inFlight:        scope.Gauge("requests_in_flight"),
		revision:        scope.Gauge("document_revision"),
		violations:      scope.SubScope("violations"),
		platformReads:   scope.Counter("platform_calls"),
		askFailures:     scope.Counter("keeper_ask_failures"),
		overShare:       scope.Counter("over_share_refusals"),
	}
}

// newDialer returns a dialer whose connections originate from this entry's own address, so that the remote
// end can identify the entry by it.
func newDialer(own netip.Addr) *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeout}
	if !own.IsUnspecified() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(own, 0))
	}
	return d
}

// newTransport returns an HTTP transport. Its connections serve one request each if singleUse is true.
func newTransport(dial connector.DialFunc, singleUse bool, account *accountant.Account) *connector.Transport {
	if !singleUse {
		account = nil // the head of a response does not count for as long as its connection is kept
	}
	return connector.NewTransport(&http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		// The upstream may close an idle connection while a request is being sent on it. A request that may
		// run at most once therefore gets a new connection.
		DisableKeepAlives: singleUse,
	}, account)
}

func (s *Server) reportViolation(name, detail string) {
	s.logs.entry.Error("invariant_violated", zap.String("invariant", name), zap.String("detail", detail))
	s.metrics.violations.Counter(name).Inc(1)
	if s.config.OnViolation != nil {
		s.config.OnViolation(name, detail)
	}
}

// newID returns a random UUID (version 4) as text.
func newID() string { return uuid.NewString() }

// Run serves until stop is cancelled and then shuts down gracefully: it returns nil once no request is in
// progress and callers have had time to fetch the addresses of other entries. It returns an error at once if
// no ticket secret can be generated or the listener for callers fails.
func (s *Server) Run(stop context.Context) error {
	secret := make([]byte, 32)
	if _, err := rand.Read(secret); err != nil {
		return fmt.Errorf("generate ticket secret: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newControl(s, secret)
	go s.control.Run(ctx, c, tickInterval, c.tick, c.publishIfDirty)

	s.runInBackground(ctx, s.servePeers)
	s.runInBackground(ctx, s.runHeartbeats)
	s.runInBackground(ctx, s.watchConfig)
	s.runInBackground(ctx, s.watchInstances)
	s.runInBackground(ctx, s.pollKeptEngines)
	s.runInBackground(ctx, s.runRenewals)
	s.runInBackground(ctx, s.fetchFromPeers)

	connections := connector.NewActiveConns()
	httpServer := &http.Server{Handler: s.handler(), ConnState: connections.OnStateChange}
	s.acceptor.Attach(httpServer)
	serveErr := make(chan error, 1)
	go func() { serveErr <- httpServer.Serve(s.callerListener) }()
	s.logs.entry.Info("started", zap.String("name", s.settings.Name), zap.Stringer("address", s.settings.Address),
		zap.Stringer("peer_address", s.settings.PeerAddress), zap.Uint64("incarnation", s.config.Incarnation))
	if len(s.sealKeys) == 0 {
		s.logs.document.Warn("seals_not_required", zap.String("reason", "SealKeys is empty"))
	}
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve callers: %w", err)
	case <-stop.Done():
	}
	s.drain(httpServer, connections, serveErr)
	cancel()
	_ = s.peerListener.Close()
	s.peerPool.Close()
	s.tunneler.Close()
	s.background.Wait()
	<-s.control.Stopped()
	s.logs.entry.Info("stopped", zap.String("name", s.settings.Name))
	return nil
}

func (s *Server) runInBackground(ctx context.Context, f func(context.Context)) {
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		f(ctx)
	}()
}

// drain announces the shutdown to peers and callers, and returns once the entry addresses last given to
// callers have expired and no request is in progress, nor one of another entry that passes through this
// one. It calls http.Server.Shutdown last, as requests read after that call get no answer.
func (s *Server) drain(httpServer *http.Server, connections *connector.ActiveConns, serveErr <-chan error) {
	s.onControl(func(c *control) {
		c.stopping = true
		c.publishView()
	})
	s.tunneler.Stop()
	s.logs.entry.Info("stopping", zap.Int("in_flight", s.inFlight()))
	s.sendHeartbeats(context.Background())
	callers := s.settings.Callers
	time.Sleep(callers.AddressLife + callers.DrainSlack + s.settings.Timing.Heartbeat)
	for s.inFlight() > 0 {
		time.Sleep(drainPollInterval)
	}
	_ = s.callerListener.Close()
	<-serveErr // connections has counted every accepted connection by now
	connections.WaitIdle(time.Time{}, drainPollInterval)
	for s.tunneler.Served() > 0 {
		time.Sleep(drainPollInterval)
	}
	if err := httpServer.Shutdown(context.Background()); err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.logs.entry.Warn("shutdown", zap.Error(err))
	}
}

// drainPollInterval is the interval at which an entry that is shutting down checks for requests in progress.
const drainPollInterval = 20 * time.Millisecond

func (s *Server) inFlight() int {
	n := 0
	s.onControl(func(c *control) { n = c.admitter.InFlight() })
	return n
}

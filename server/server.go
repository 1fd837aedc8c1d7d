// Package server is the entry daemon: the shell round the decision cores. One
// control goroutine owns all control state and publishes immutable views;
// requests are served on goroutines of their own.
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

	"github.com/sapphireramp/sapphireramp/asserter"
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/loader"
	"github.com/sapphireramp/sapphireramp/logger"
	"github.com/sapphireramp/sapphireramp/quarantiner"
	"github.com/sapphireramp/sapphireramp/sealer"
	"github.com/sapphireramp/sapphireramp/sequencer"
)

// Config of an entry. Every field is needed but for Dial and Listen.
type Config struct {
	Settings loader.Settings
	// Incarnation is greater than that of any earlier run under this name.
	Incarnation    uint64
	Logs           *logger.Logs
	MetricScope    tally.Scope
	MetricsHandler http.Handler
	// Dial and Listen stand in for the network; nil means TCP.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Listen func(address netip.AddrPort) (net.Listener, error)
	// OnViolation is called when an invariant is broken; tests make it fatal.
	OnViolation func(name, detail string)
}

// Server is one entry.
type Server struct {
	config   Config
	settings loader.Settings
	asserter *asserter.Asserter
	metrics  metrics
	logs     logs

	// control runs commands on the control goroutine, the only one that
	// touches its state.
	control *sequencer.Sequencer[*control]
	// parseLock is held while a document is parsed.
	parseLock chan struct{}
	// current is the view in force; it is replaced, never changed.
	current atomic.Pointer[view]

	// sealKeys are of the consoles whose seals are accepted; none means that
	// documents need no seal.
	sealKeys []ed25519.PublicKey

	// callDispatcher places calls at instances of services.
	callDispatcher *dispatcher.Dispatcher
	// quarantine holds the requests that are refused as they crash upstreams, presence finds out
	// whether an upstream has ended.
	quarantine *quarantiner.Quarantiner
	presence   *connector.ExitDetector

	peerPool *connector.Pool
	// engineClient is the client for short calls to engines, traffic for streams,
	// and single for calls that may run at most once.
	engineClient    *http.Client
	trafficClient   *http.Client
	singleUseClient *http.Client

	callerListener net.Listener
	peerListener   net.Listener
	background     sync.WaitGroup
}

type logs struct {
	entry, route, keep, members, document *zap.Logger
}

type metrics struct {
	requests    tally.Scope
	firstToken  tally.Histogram
	dropped     tally.Counter
	resumed     tally.Counter
	orphans     tally.Counter
	orders      tally.Counter
	inFlight    tally.Gauge
	revision    tally.Gauge
	violations  tally.Scope
	platform    tally.Counter
	askFailures tally.Counter
}

const (
	dialTimeout = time.Second
	// engineCallTimeout bounds a short call to an engine.
	engineCallTimeout = time.Second
	// maxIdlePerUpstream are kept to each upstream.
	maxIdlePerUpstream = 32
)

// New returns an entry that listens but does not serve yet.
func New(c Config) (*Server, error) {
	dial := c.Dial
	if dial == nil {
		dial = newDialer(c.Settings.Listen.Addr()).DialContext
	}
	listen := c.Listen
	if listen == nil {
		listen = listenTCP
	}
	s := &Server{
		config:         c,
		settings:       c.Settings,
		control:        sequencer.New[*control](),
		parseLock:      make(chan struct{}, 1),
		peerPool:       connector.NewPool(dial),
		callDispatcher: newCallDispatcher(c.Settings.DataCentre),
		quarantine:     quarantiner.New(), presence: connector.NewExitDetector(dial),
		engineClient:    &http.Client{Transport: newTransport(dial, false), Timeout: engineCallTimeout},
		trafficClient:   &http.Client{Transport: newTransport(dial, false)},
		singleUseClient: &http.Client{Transport: newTransport(dial, true)},
		logs: logs{
			entry: c.Logs.Layer(logger.Entry), route: c.Logs.Layer(logger.Route), keep: c.Logs.Layer(logger.Keep),
			members: c.Logs.Layer(logger.Members), document: c.Logs.Layer(logger.Document),
		},
	}
	for _, text := range c.Settings.SealKeys {
		key, err := sealer.ParsePublic(text)
		if err != nil {
			return nil, fmt.Errorf("seal key: %w", err)
		}
		s.sealKeys = append(s.sealKeys, key)
	}
	s.metrics = newMetrics(c.MetricScope)
	s.asserter = asserter.New(s.reportViolation)
	s.current.Store(emptyView())
	var err error
	s.callerListener, err = listen(c.Settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	s.peerListener, err = listen(c.Settings.PeerListen)
	if err != nil {
		_ = s.callerListener.Close()
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return s, nil
}

func listenTCP(address netip.AddrPort) (net.Listener, error) {
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		requests:    scope.SubScope("requests"),
		firstToken:  scope.Histogram("first_token_seconds", tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 14)),
		dropped:     scope.Counter("chunks_dropped"),
		resumed:     scope.Counter("attempts_resumed"),
		orphans:     scope.Counter("orphans_freed"),
		orders:      scope.Counter("orders_sent"),
		inFlight:    scope.Gauge("requests_in_flight"),
		revision:    scope.Gauge("document_revision"),
		violations:  scope.SubScope("violations"),
		platform:    scope.Counter("platform_calls"),
		askFailures: scope.Counter("keeper_ask_failures"),
	}
}

// newDialer returns a dialer whose connections leave from this entry's own
// address, so that what it reaches can tell which entry it is.
func newDialer(own netip.Addr) *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeout}
	if !own.IsUnspecified() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(own, 0))
	}
	return d
}

func newTransport(dial connector.DialFunc, singleUse bool) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		// A kept connection may be closed under a request; one that may run
		// at most once gets a connection of its own.
		DisableKeepAlives: singleUse,
	}
}

func (s *Server) reportViolation(name, detail string) {
	s.logs.entry.Error("invariant_violated", zap.String("invariant", name), zap.String("detail", detail))
	s.metrics.violations.Counter(name).Inc(1)
	if s.config.OnViolation != nil {
		s.config.OnViolation(name, detail)
	}
}

// newID returns 128 random bits as text.
func newID() string { return uuid.NewString() }

// Run serves until stop ends, then stops gracefully: it returns when nothing
// is in progress and callers have had time to learn other addresses.
func (s *Server) Run(stop context.Context) error {
	secret := make([]byte, 32)
	if _, err := rand.Read(secret); err != nil {
		return fmt.Errorf("draw ticket secret: %w", err)
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
	web := &http.Server{Handler: s.handler(), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, ConnState: connections.OnStateChange}
	serveErr := make(chan error, 1)
	go func() { serveErr <- web.Serve(s.callerListener) }()
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
	s.drain(web, connections, serveErr)
	cancel()
	_ = s.peerListener.Close()
	s.peerPool.Close()
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

// drain tells peers and callers, serves what is in progress, and returns when
// addresses given out earlier have expired. Shutdown drops a request that it
// reads once it has begun, without an answer, so it comes after the last one.
func (s *Server) drain(web *http.Server, connections *connector.ActiveConns, serveErr <-chan error) {
	s.onControl(func(c *control) {
		c.stopping = true
		c.publishView()
	})
	s.logs.entry.Info("stopping", zap.Int("in_flight", s.inFlight()))
	s.sendHeartbeats(context.Background())
	callers := s.settings.Callers
	time.Sleep(callers.AddressLife + callers.DrainSlack + s.settings.Timing.Heartbeat)
	for s.inFlight() > 0 {
		time.Sleep(drainPollInterval)
	}
	_ = s.callerListener.Close()
	<-serveErr // every connection that was accepted is counted by now
	connections.WaitIdle(time.Time{}, drainPollInterval)
	if err := web.Shutdown(context.Background()); err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.logs.entry.Warn("shutdown", zap.Error(err))
	}
}

// drainPollInterval is how often a stopping entry looks for requests in progress.
const drainPollInterval = 20 * time.Millisecond

func (s *Server) inFlight() int {
	n := 0
	s.onControl(func(c *control) { n = c.admitter.InFlight() })
	return n
}

// Package launcher runs an entry on the users' platform: it assembles the
// controller, the forwarder and the HTTP servers into one process, applies
// changed settings without a restart, and shuts the entry down gracefully.
package launcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/asserter"
	"github.com/sapphireramp/sapphireramp/budgeter"
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/controller"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/forwarder"
	"github.com/sapphireramp/sapphireramp/quarantiner"
)

// Settings holds the settings that can change while the entry runs.
type Settings struct {
	// Seeds are the peer addresses of the entries to contact first.
	Seeds []netip.AddrPort
	// RetryBudget limits the retries of each service, by all entries together.
	RetryBudget budgeter.Config
	// ShutdownGrace is the time from SIGTERM until the process is killed.
	ShutdownGrace time.Duration
}

// Config configures a Launcher. All fields are required, except that
// MetricsAddress and Speed may be zero and SinceBoot, Dial, Listen and
// ListenPacket may be nil.
type Config struct {
	// Name identifies the entry among all entries.
	Name string
	// DataCentre is the name of the data centre that the entry runs in.
	DataCentre string
	// CallerAddress, ReadinessAddress, PeerAddress and DirectoryAddress are the TCP addresses on which the entry
	// listens for callers' requests, readiness checks, other entries, and queries of the directory, which lists
	// the entries that callers may connect to. LoadAddress is the UDP address for load updates of other
	// entries. MetricsAddress serves the metrics and the status page; if it is invalid, neither is served.
	CallerAddress, ReadinessAddress, PeerAddress, DirectoryAddress, LoadAddress, MetricsAddress netip.AddrPort
	// AddressTTL is how long callers may use the addresses in a response of the directory.
	AddressTTL time.Duration
	// Settings are the settings in force until the first reload.
	Settings Settings
	// ReadSettings reads the current settings. It is called at every reload.
	ReadSettings func() (Settings, error)
	// Store reads and watches the configuration and the list of upstreams.
	Store controller.Store
	// MaxPropagation is the longest allowed time from a change in the store until the change is in force
	// at all entries.
	MaxPropagation time.Duration
	// Speed is the speed of the entry's machine in processor cores; 0 if unknown.
	Speed float64
	// Protocol reads and writes the headers of requests and responses.
	Protocol forwarder.Protocol
	// Reservations reserves memory at engines, for prompts longer than the memory of one engine.
	Reservations forwarder.ReservationClient
	// ReservationTTL is the lease of memory reserved at engines.
	ReservationTTL time.Duration
	// MaxIdle is how long memory may stay reserved at engines before a request uses it.
	MaxIdle time.Duration
	// DirectoryHandler returns the handler that gives callers the addresses of entries in the platform's
	// format. A response may be used for ttl; addresses returns the addresses for a caller in a data centre.
	DirectoryHandler func(ttl time.Duration, addresses func(dataCentre string) []netip.AddrPort) http.Handler
	// ReadinessHandler returns the handler of the platform's readiness checks, which succeed while ready
	// returns true.
	ReadinessHandler func(ready func() bool) http.Handler
	Log              *zap.Logger
	// Scope receives the metrics of the entry, MetricsHandler serves them on MetricsAddress.
	Scope          tally.Scope
	MetricsHandler http.Handler
	// Asserter counts and reports violated invariants.
	Asserter *asserter.Asserter
	// SinceBoot returns the time since the machine booted, Dial opens connections, Listen and ListenPacket
	// open listeners and UDP sockets. The clock and the network of the machine are used in place of nil
	// functions; tests replace them.
	SinceBoot    func() time.Duration
	Dial         connector.DialFunc
	Listen       func(netip.AddrPort) (net.Listener, error)
	ListenPacket func(netip.AddrPort) (net.PacketConn, error)
}

const (
	// maxAddressTTLs is the time for which some callers keep using the addresses in a response of the
	// directory, as a multiple of AddressTTL.
	maxAddressTTLs = 3
	// exitMargin is how long before the end of ShutdownGrace the entry cancels the remaining requests:
	// finalResponseTime, and twice that for the process to exit on a slow machine.
	exitMargin = 300 * time.Millisecond
	// drainPollPeriod is the interval at which an entry that shuts down checks whether it has drained.
	drainPollPeriod = 20 * time.Millisecond
	// finalResponseTime bounds the time for sending the error responses of cancelled requests at exit.
	finalResponseTime = 100 * time.Millisecond
	// reloadPeriod is the interval at which the settings are read without a signal.
	reloadPeriod = 2 * time.Second
	// headerTimeout bounds the time in which a client must send the header of a request, and idle connections
	// of callers while the configuration sets no idle timeout. maxHeaderBytes bounds the size of callers'
	// request headers. Both apply before a request reaches the limits of the configuration.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 128 << 10
)

// Launcher runs one entry.
type Launcher struct {
	config      Config
	controller  *controller.Controller
	forwarder   *forwarder.Forwarder
	retryBudget *budgeter.Budgeter
	// settings points to the Settings in force. A reload stores a new pointer.
	settings atomic.Pointer[Settings]
	// servers are all HTTP servers of the entry, callerServer among them.
	servers      []*http.Server
	callerServer *http.Server
	// activeConns tracks the active connections accepted by callerListener. acceptDone is closed when
	// callerServer has stopped accepting.
	activeConns    *connector.ActiveConns
	callerListener net.Listener
	acceptDone     chan struct{}
	// cancelRequests cancels the contexts of all callers' requests with a cause.
	cancelRequests context.CancelCauseFunc
}

// New returns a Launcher for an entry, which does not listen until Run is called.
func New(c Config) *Launcher {
	c = c.withSystemDefaults()
	quarantine := quarantiner.New()
	sharedDispatcher := dispatcher.New(c.DataCentre, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	l := &Launcher{config: c, retryBudget: budgeter.New(c.Settings.RetryBudget), activeConns: connector.NewActiveConns(), acceptDone: make(chan struct{})}
	l.settings.Store(&c.Settings)
	l.controller = controller.New(controller.Config{
		Name: c.Name, DataCentre: c.DataCentre, Incarnation: uint64(time.Now().UnixNano()),
		CallerAddress: c.CallerAddress, PeerAddress: c.PeerAddress, LoadAddress: c.LoadAddress, Store: c.Store, MaxPropagation: c.MaxPropagation, Speed: c.Speed, SinceBoot: c.SinceBoot, Dispatcher: sharedDispatcher, Quarantine: quarantine, Dial: c.Dial,
		Log: c.Log, Scope: c.Scope, Asserter: c.Asserter,
	})
	l.forwarder = forwarder.New(forwarder.Config{
		Protocol: c.Protocol, Reservations: c.Reservations, ReservationTTL: c.ReservationTTL, MaxIdle: c.MaxIdle, View: l.controller.View, Dispatcher: sharedDispatcher, RetryBudget: l.retryBudget, Quarantine: quarantine, Dial: c.Dial,
		Log: c.Log, Scope: c.Scope, Asserter: c.Asserter,
	})
	return l
}

// withSystemDefaults returns c with those clock and network functions that are
// nil replaced by functions that use the machine's clock and network.
func (c Config) withSystemDefaults() Config {
	if c.SinceBoot == nil {
		c.SinceBoot = controller.SinceBoot
	}
	if c.Dial == nil {
		c.Dial = newDialer().DialContext
	}
	if c.Listen == nil {
		c.Listen = func(a netip.AddrPort) (net.Listener, error) { return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a)) }
	}
	if c.ListenPacket == nil {
		c.ListenPacket = func(a netip.AddrPort) (net.PacketConn, error) {
			return net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
		}
	}
	return c
}

// Run serves requests until the context shutdown is done, then shuts the entry
// down gracefully. Each value received from reloadSignals reloads the settings.
// The error is not nil if the entry could not listen or a server failed.
func (l *Launcher) Run(shutdown context.Context, reloadSignals <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	peerListener, err := l.config.Listen(l.config.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for other entries: %w", err)
	}
	loadSocket, err := l.config.ListenPacket(l.config.LoadAddress)
	if err != nil {
		return fmt.Errorf("listen for load updates: %w", err)
	}
	serveErrors := make(chan error, 4)
	if err := l.startServers(serveErrors); err != nil {
		return err
	}
	l.config.Log.Info("started", zap.String("name", l.config.Name), zap.String("data_centre", l.config.DataCentre),
		zap.Stringer("callers", l.config.CallerAddress), zap.Stringer("peers", l.config.PeerAddress))
	controllerDone := make(chan struct{})
	go func() {
		defer close(controllerDone)
		l.controller.Run(ctx, l.settings.Load().Seeds, peerListener, loadSocket)
	}()
	go l.reloadSettings(ctx, reloadSignals)
	select {
	case err = <-serveErrors:
	case <-shutdown.Done():
		l.shutDown()
	}
	cancel()
	<-controllerDone
	l.config.Log.Info("stopped", zap.String("name", l.config.Name))
	return err
}

// startServers listens on the addresses for callers, readiness checks, the
// directory and metrics, and starts to serve them. A server that fails later
// sends its error to serveErrors.
func (l *Launcher) startServers(serveErrors chan<- error) error {
	c := l.config
	l.callerServer = newCallerServer(l.forwarder, l.controller.View, l.activeConns.OnStateChange)
	l.callerServer.BaseContext = l.baseContext()
	servers := []struct {
		address netip.AddrPort
		server  *http.Server
	}{
		{c.CallerAddress, l.callerServer},
		{c.ReadinessAddress, &http.Server{Handler: c.ReadinessHandler(l.controller.IsReady), ReadHeaderTimeout: headerTimeout}},
		{c.DirectoryAddress, &http.Server{Handler: c.DirectoryHandler(c.AddressTTL, l.controller.CallerAddresses), ReadHeaderTimeout: headerTimeout}},
		{c.MetricsAddress, &http.Server{Handler: l.operatorHandler(), ReadHeaderTimeout: headerTimeout}},
	}
	for _, s := range servers {
		if !s.address.IsValid() {
			continue
		}
		listener, err := c.Listen(s.address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", s.address, err)
		}
		l.servers = append(l.servers, s.server)
		onServeEnd := func() {}
		if s.server == l.callerServer {
			l.callerListener, onServeEnd = listener, func() { close(l.acceptDone) }
		}
		go func() {
			defer onServeEnd()
			if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				serveErrors <- fmt.Errorf("serve %s: %w", s.address, err)
			}
		}()
	}
	return nil
}

// baseContext returns a BaseContext function that gives all callers' requests
// one parent context. It sets cancelRequests, which cancels that context.
func (l *Launcher) baseContext() func(net.Listener) context.Context {
	var ctx context.Context
	ctx, l.cancelRequests = context.WithCancelCause(context.Background())
	return func(net.Listener) context.Context { return ctx }
}

// operatorHandler returns the handler of the metrics and of the entry's status,
// which holds its view of upstreams and other entries.
func (l *Launcher) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+api.PathMetrics, l.config.MetricsHandler)
	mux.HandleFunc("GET "+api.PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		status := l.controller.Status()
		status.InFlight = l.forwarder.InFlight()
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(status); err != nil {
			l.config.Log.Debug("status_not_sent", zap.Error(err))
		}
	})
	return mux
}

// shutDown removes the entry from the directory, serves callers that still use
// its address, then stops listening and waits until all requests are complete.
// Requests that remain exitMargin before the end of ShutdownGrace are
// cancelled.
func (l *Launcher) shutDown() {
	start := time.Now()
	shutdownGrace := l.settings.Load().ShutdownGrace
	deadline := start.Add(shutdownGrace - exitMargin)
	l.config.Log.Info("stopping", zap.Int("in_flight", l.forwarder.InFlight()), zap.Duration("grace_ms", shutdownGrace))
	addressValidUntil := start.Add(maxAddressTTLs * l.config.AddressTTL)
	l.controller.AnnounceShutdown(addressValidUntil, deadline)
	listenUntil := addressValidUntil.Add(l.config.AddressTTL / 2)
	for time.Now().Before(earlier(listenUntil, deadline)) {
		time.Sleep(drainPollPeriod)
	}
	_ = l.callerListener.Close()
	<-l.acceptDone // from here on activeConns tracks every accepted connection
	l.activeConns.WaitIdle(deadline, drainPollPeriod)
	l.cancelCallerRequests()
	for _, s := range l.servers {
		_ = s.Close()
	}
}

// cancelCallerRequests cancels the requests still in progress, and waits up to
// finalResponseTime for their error responses to be sent.
func (l *Launcher) cancelCallerRequests() {
	if n := l.forwarder.InFlight(); n > 0 {
		l.config.Log.Warn("requests_cut_off", zap.Int("in_flight", n))
	}
	l.cancelRequests(forwarder.ErrShutdown)
	ctx, cancel := context.WithTimeout(context.Background(), finalResponseTime)
	defer cancel()
	if err := l.callerServer.Shutdown(ctx); err != nil {
		l.config.Log.Warn("callers_left_unanswered", zap.Int("in_flight", l.forwarder.InFlight()), zap.Error(err))
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// reloadSettings reads the settings on each signal and once per reloadPeriod,
// and applies them on a signal or if they changed. It returns when the context
// is done.
func (l *Launcher) reloadSettings(ctx context.Context, signals <-chan struct{}) {
	signalled := false
	for ctx.Err() == nil {
		s, err := l.config.ReadSettings()
		changed := err == nil && !s.equal(*l.settings.Load())
		switch {
		case err != nil:
			l.config.Log.Error("settings_unreadable", zap.Error(err))
		case signalled || changed:
			l.config.Log.Info("reload", zap.Bool("signalled", signalled), zap.Bool("changed", changed), zap.Int("seeds", len(s.Seeds)))
			l.settings.Store(&s)
			l.retryBudget.Configure(s.RetryBudget)
			l.controller.SetSeeds(s.Seeds)
		}
		select {
		case <-signals:
			signalled = true
		case <-time.After(reloadPeriod):
			signalled = false
		case <-ctx.Done():
		}
	}
}

func (s Settings) equal(o Settings) bool {
	if len(s.Seeds) != len(o.Seeds) || s.RetryBudget != o.RetryBudget || s.ShutdownGrace != o.ShutdownGrace {
		return false
	}
	for i := range s.Seeds {
		if s.Seeds[i] != o.Seeds[i] {
			return false
		}
	}
	return true
}

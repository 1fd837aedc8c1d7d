// Package launcher runs an entry on the platform: it joins the controller, the
// forwarder and the listeners into one process, takes over changed settings,
// and stops the entry without cutting off a request.
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

// Settings that may change while the entry runs.
type Settings struct {
	Seeds       []netip.AddrPort
	RetryBudget budgeter.Config
	// GracePeriod is the time between the order to stop and the end by force.
	GracePeriod time.Duration
}

// Config of a launcher. Every field is needed but Metrics and the
// network's.
type Config struct {
	Name       string
	DataCentre string
	// CallerAddress, ReadyAddress, PeerAddress, DirectoryAddress and LoadAddress are where the entry listens;
	// MetricsAddress too, where it is valid.
	CallerAddress, ReadyAddress, PeerAddress, DirectoryAddress, LoadAddress, MetricsAddress netip.AddrPort
	// AddressTTL is how long callers may keep an answer of the directory.
	AddressTTL time.Duration
	Settings   Settings
	// ReadSettings reads the settings again.
	ReadSettings func() (Settings, error)
	Store        controller.Store
	// MaxPropagation is how soon a change in the store has to be in force.
	MaxPropagation time.Duration
	// Speed is that of the instance in processor cores; 0 where it is not known.
	Speed        float64
	Protocol     forwarder.Protocol
	Reservations forwarder.ReservationClient
	// ReservationTTL is the lease of memory reserved at engines.
	ReservationTTL time.Duration
	// MaxIdle is how long that memory may be unused by a request.
	MaxIdle time.Duration
	// DirectoryHandler and ReadyHandler answer in the platform's words.
	DirectoryHandler func(life time.Duration, addresses func(dataCentre string) []netip.AddrPort) http.Handler
	ReadyHandler     func(ready func() bool) http.Handler
	Log              *zap.Logger
	Scope            tally.Scope
	MetricsHandler   http.Handler
	Asserter         *asserter.Asserter
	// SinceBoot stands in for the clock since the instance booted, Dial, Listen and
	// ListenPacket for the network; nil means that of the instance.
	SinceBoot    func() time.Duration
	Dial         connector.DialFunc
	Listen       func(netip.AddrPort) (net.Listener, error)
	ListenPacket func(netip.AddrPort) (net.PacketConn, error)
}

const (
	// maxAddressTTLs is how many times longer than its life some callers keep an
	// answer of the directory.
	maxAddressTTLs = 3
	// exitMargin is how long before the end by force the entry ends itself: the time for the last answers,
	// and twice that for a slow instance to exit.
	exitMargin = 300 * time.Millisecond
	// drainPollPeriod is how often a stopping entry looks for requests in progress.
	drainPollPeriod = 20 * time.Millisecond
	// finalResponseTime is the time for answers that say that a request could not be finished.
	finalResponseTime = 100 * time.Millisecond
	// reloadPeriod is how often the settings are read again without a signal.
	reloadPeriod = 2 * time.Second
	// headerTimeout and maxHeader bound a caller that the configuration does
	// not bound yet.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 128 << 10
)

// Launcher is one entry.
type Launcher struct {
	config      Config
	controller  *controller.Controller
	forwarder   *forwarder.Forwarder
	retryBudget *budgeter.Budgeter
	// settings are those in force; each reload stores others.
	settings     atomic.Pointer[Settings]
	servers      []*http.Server
	callerServer *http.Server
	// activeConns holds the connections of callers that are in use, listener is where they come
	// from, and served is closed when no more do.
	activeConns    *connector.ActiveConns
	callerListener net.Listener
	acceptDone     chan struct{}
	// cancelRequests ends all requests of callers with a cause.
	cancelRequests context.CancelCauseFunc
}

// New returns an entry that does not listen yet.
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

// withSystemDefaults fills in the clock and the network of the instance.
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

// Run serves until stop ends, then stops gracefully. Each value on reload has
// the settings read again.
func (l *Launcher) Run(shutdown context.Context, reloadSignals <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	peerListener, err := l.config.Listen(l.config.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	loadSocket, err := l.config.ListenPacket(l.config.LoadAddress)
	if err != nil {
		return fmt.Errorf("listen for shares: %w", err)
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

// startServers opens the listeners for callers, checks and metrics.
func (l *Launcher) startServers(serveErrors chan<- error) error {
	c := l.config
	l.callerServer = newCallerServer(l.forwarder, l.controller.View, l.activeConns.OnStateChange)
	l.callerServer.BaseContext = l.baseContext()
	servers := []struct {
		address netip.AddrPort
		server  *http.Server
	}{
		{c.CallerAddress, l.callerServer},
		{c.ReadyAddress, &http.Server{Handler: c.ReadyHandler(l.controller.IsReady), ReadHeaderTimeout: headerTimeout}},
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

// baseContext is that of all requests of callers.
func (l *Launcher) baseContext() func(net.Listener) context.Context {
	var ctx context.Context
	ctx, l.cancelRequests = context.WithCancelCause(context.Background())
	return func(net.Listener) context.Context { return ctx }
}

// operatorHandler are the metrics, and what the entry believes.
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

// shutDown takes the entry out of the directory, serves callers that still have
// its address, and returns when nothing is in progress or time is up.
func (l *Launcher) shutDown() {
	start := time.Now()
	gracePeriod := l.settings.Load().GracePeriod
	deadline := start.Add(gracePeriod - exitMargin)
	l.config.Log.Info("stopping", zap.Int("in_flight", l.forwarder.InFlight()), zap.Duration("grace_ms", gracePeriod))
	addressValidUntil := start.Add(maxAddressTTLs * l.config.AddressTTL)
	l.controller.AnnounceShutdown(addressValidUntil, deadline)
	listenUntil := addressValidUntil.Add(l.config.AddressTTL / 2)
	for time.Now().Before(earlier(listenUntil, deadline)) {
		time.Sleep(drainPollPeriod)
	}
	_ = l.callerListener.Close()
	<-l.acceptDone // every connection that was accepted is counted by now
	l.activeConns.WaitIdle(deadline, drainPollPeriod)
	l.cancelCallerRequests()
	for _, s := range l.servers {
		_ = s.Close()
	}
}

// cancelCallerRequests ends what is still in progress, and waits a moment for the answers that say so.
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

// reloadSettings reads the settings again on each signal, and from time to time.
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
	if len(s.Seeds) != len(o.Seeds) || s.RetryBudget != o.RetryBudget || s.GracePeriod != o.GracePeriod {
		return false
	}
	for i := range s.Seeds {
		if s.Seeds[i] != o.Seeds[i] {
			return false
		}
	}
	return true
}

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

	"github.com/sapphireramp/sapphireramp/acceptor"
	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/asserter"
	"github.com/sapphireramp/sapphireramp/budgeter"
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/controller"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/forwarder"
	"github.com/sapphireramp/sapphireramp/isolator"
	"github.com/sapphireramp/sapphireramp/lender"
	"github.com/sapphireramp/sapphireramp/quarantiner"
	"github.com/sapphireramp/sapphireramp/scheduler"
	"github.com/sapphireramp/sapphireramp/tunneler"
)

// Settings holds the settings that can change while the entry runs.
type Settings struct {
	// Seeds are the peer addresses, as in Config.PeerAddress, of the entries that
	// this entry contacts first, to discover all others.
	Seeds []netip.AddrPort
	// RetryBudget limits the retries that all entries together make for each service.
	RetryBudget budgeter.Config
	// ShutdownGrace is the time from SIGTERM until the platform kills the process.
	ShutdownGrace time.Duration
	// StoreAddress is the address of the store, which SetStoreAddress gets when it changes; invalid (zero) if it can't
	// change.
	StoreAddress netip.AddrPort
	// MemoryLimit is the memory in bytes that the process may use; 0 if it is not stated. The limits of the account
	// and of the heap follow from it.
	MemoryLimit int64
	// MaxDescriptors is the number of descriptors that the process may open; 0 for the limit of the operating system. The
	// number of connections and of tunnels for other entries follows from it.
	MaxDescriptors int
}

// Config configures a Launcher. All fields are required, except that
// Regions, MetricsAddress, IsFirstStart and Speed may be zero and SetStoreAddress, Account, SetHeapLimit,
// SinceBoot, Dial, Listen and ListenPacket may be nil.
type Config struct {
	// Name identifies the entry among all entries.
	Name string
	// DataCentre is the name of the data centre that the entry runs in.
	DataCentre string
	// Regions holds the region of each data centre by its name; nil if the deployment states none.
	Regions map[string]string
	// CallerAddress, ReadinessAddress, PeerAddress and DirectoryAddress are the TCP addresses on which the entry
	// listens for callers' requests, readiness checks, connections of other entries, and queries of the
	// directory, which lists the entries that callers may connect to. LoadAddress is the UDP address on which it
	// receives load updates of other entries. MetricsAddress is the TCP address on which it serves the metrics
	// and the status page; if it is the zero value, neither is served.
	CallerAddress, ReadinessAddress, PeerAddress, DirectoryAddress, LoadAddress, MetricsAddress netip.AddrPort
	// IsFirstStart is true if no entry of the fleet has run before those that start now.
	IsFirstStart bool
	// AddressTTL is how long callers may use the addresses in a response of the directory.
	AddressTTL time.Duration
	// Settings are the settings that apply until ReadSettings has returned others.
	Settings Settings
	// ReadSettings returns the current settings. While Run runs, it is called at the start, on each signal
	// to reload and every reloadPeriod.
	ReadSettings func() (Settings, error)
	// Store reads and watches the configuration and the list of upstreams.
	Store controller.Store
	// SetStoreAddress sets the address to which Store connects; nil if it can't change.
	SetStoreAddress func(netip.AddrPort)
	// MaxPropagation is the longest allowed time from a change in the store until all entries apply the
	// change.
	MaxPropagation time.Duration
	// RegistrationLease is how long the registration of an upstream lasts in the store after it was renewed,
	// RenewalInterval how often, approximately, upstreams renew it. Both are 0 if unknown.
	RegistrationLease, RenewalInterval time.Duration
	// Speed is the speed of the entry's machine, as a number of processor cores; 0 if unknown.
	Speed float64
	// Protocol reads and writes the headers of requests and responses.
	Protocol forwarder.Protocol
	// NewReservationClient returns the functions that reserve memory at engines, for prompts that do not fit into
	// the memory of one engine. They send their requests through the HTTP client.
	NewReservationClient func(*http.Client) forwarder.ReservationClient
	// ReservationTTL is the time for which memory is reserved at engines unless the reservation is renewed.
	ReservationTTL time.Duration
	// MaxIdle is how long memory may stay reserved at engines before a request uses it.
	MaxIdle time.Duration
	// DirectoryHandler returns the HTTP handler that gives callers the addresses of entries in the platform's
	// format. Callers may use a response for ttl. The function addresses returns the addresses for a caller
	// in a data centre.
	DirectoryHandler func(ttl time.Duration, addresses func(dataCentre string) []netip.AddrPort) http.Handler
	// ReadinessHandler returns the HTTP handler of the platform's readiness checks, which succeed if the
	// function ready returns true.
	ReadinessHandler func(ready func() bool) http.Handler
	Log              *zap.Logger
	// Scope receives the metrics of the entry, MetricsHandler serves them on MetricsAddress.
	Scope          tally.Scope
	MetricsHandler http.Handler
	// Account grants memory for requests, responses and connections; nil for one by Settings.MemoryLimit.
	// SetHeapLimit sets a soft limit in bytes for the heap of the process; nil sets none.
	Account      *accountant.Account
	SetHeapLimit func(bytes int64)
	// Asserter counts and reports violated invariants.
	Asserter *asserter.Asserter
	// SinceBoot returns the time since the machine booted, Dial opens connections, Listen opens TCP listeners
	// and ListenPacket UDP sockets. If one of them is nil, the clock or the network of the machine is used;
	// tests use simulated ones.
	SinceBoot    func() time.Duration
	Dial         connector.DialFunc
	Listen       func(netip.AddrPort) (net.Listener, error)
	ListenPacket func(netip.AddrPort) (net.PacketConn, error)
}

const (
	// maxAddressTTLs is the longest time for which callers use the addresses in a response of the directory,
	// as a multiple of AddressTTL: some exceed the TTL.
	maxAddressTTLs = 3
	// exitMargin is how long before the end of ShutdownGrace the entry cancels the remaining requests. It is
	// finalResponseTime, plus twice that time for the process to exit on a slow machine.
	exitMargin = 300 * time.Millisecond
	// drainPollPeriod is the interval at which an entry that shuts down checks whether it may stop listening
	// and whether all requests are complete.
	drainPollPeriod = 20 * time.Millisecond
	// finalResponseTime bounds the time for sending the error responses of cancelled requests at exit.
	finalResponseTime = 100 * time.Millisecond
	// reloadPeriod is the interval at which the settings are read when no signal asks for it.
	reloadPeriod = 2 * time.Second
)

// Launcher runs one entry.
type Launcher struct {
	config      Config
	controller  *controller.Controller
	forwarder   *forwarder.Forwarder
	retryBudget *budgeter.Budgeter
	tunneler    *tunneler.Tunneler
	acceptor    *acceptor.Acceptor
	// settings points to the settings that were applied last, at first Config.Settings. A reload stores a
	// new pointer.
	settings atomic.Pointer[Settings]
	// servers are all HTTP servers of the entry, callerServer among them.
	servers      []*http.Server
	callerServer *http.Server
	// activeConns tracks the callers' connections on which a request is being served or may be on its way.
	// acceptDone is closed when callerServer has stopped accepting connections from callerListener.
	activeConns    *connector.ActiveConns
	callerListener net.Listener
	acceptDone     chan struct{}
	// cancelRequests cancels the contexts of all callers' requests with a cause; nil before Run.
	cancelRequests context.CancelCauseFunc
}

// New returns a Launcher for the entry that c configures. The entry opens no listener until Run is called.
func New(c Config) *Launcher {
	c = c.withSystemDefaults()
	unclaimed := c.Scope.Counter("places_unclaimed")
	quarantine, partIsolator := quarantiner.New(), isolator.New(c.Name)
	sharedDispatcher := dispatcher.New(c.DataCentre, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	sharedDispatcher.SetRegions(c.Regions)
	newBudgeter := budgeter.NewAfterRestart
	if c.IsFirstStart {
		newBudgeter = budgeter.New
	}
	incarnation := uint64(time.Now().UnixNano())
	ledger := lender.New(time.Now(), lender.Config{Name: c.Name, Incarnation: incarnation, IsFirstStart: c.IsFirstStart, SinceBoot: c.SinceBoot})
	l := &Launcher{config: c, retryBudget: newBudgeter(time.Now(), c.Settings.RetryBudget), activeConns: connector.NewActiveConns(), acceptDone: make(chan struct{})}
	l.settings.Store(&c.Settings)
	l.acceptor = acceptor.New(acceptor.Config{Account: c.Account, Limits: l.clientLimits, Log: c.Log, Scope: c.Scope})
	sharedDispatcher.SetLedger(ledger)
	returns := scheduler.New(scheduler.Config{
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Part: promisePartFunc(sharedDispatcher, ledger), StartedAt: time.Now(), IsFirstStart: c.IsFirstStart,
		OnUnclaimed: func() { unclaimed.Inc(1) },
	})
	sharedDispatcher.ReservedUse = returns.ReservedUse
	l.retryBudget.SetLedger(ledger)
	l.tunneler = tunneler.New(tunneler.Config{
		Name: c.Name, DataCentre: c.DataCentre, Dial: c.Dial, Relays: func() []tunneler.Relay { return l.controller.Relays() },
		OnCutOff: func(lastContact time.Time) {
			sharedDispatcher.ForgetFailures()
			quarantine.ForgetInterruptions(lastContact)
			partIsolator.ForgetInterruptions(lastContact)
		},
		CloseIdle: func() {}, // no connection to an upstream is kept open
		Log:       c.Log, Scope: c.Scope, Account: c.Account,
	})
	// Each request uses a new connection: engines may close idle connections without notice, and a request sent
	// on a closed connection can't be distinguished from one that the engine refused.
	reservationHTTPClient := &http.Client{Transport: connector.NewTransport(&http.Transport{DialContext: l.tunneler.Dial, DisableKeepAlives: true, DisableCompression: true}, c.Account)}
	l.controller = controller.New(controller.Config{
		Name: c.Name, DataCentre: c.DataCentre, Regions: c.Regions, Incarnation: incarnation, IsFirstStart: c.IsFirstStart,
		CallerAddress: c.CallerAddress, PeerAddress: c.PeerAddress, LoadAddress: c.LoadAddress, Store: c.Store, MaxPropagation: c.MaxPropagation, RegistrationLease: c.RegistrationLease, RenewalInterval: c.RenewalInterval, Speed: c.Speed, SinceBoot: c.SinceBoot, Dispatcher: sharedDispatcher, Scheduler: returns, Quarantine: quarantine, Isolator: partIsolator, Tunneler: l.tunneler, Dial: c.Dial,
		Ledger: ledger, PartStates: map[string]controller.PartStateFunc{
			dispatcher.RateResource: sharedDispatcher.RatePart,
			budgeter.RetryResource: func(now time.Time, resource string) (lender.State, bool) {
				return l.retryBudget.PartState(now, resource, l.controller.View().RetryBudgetEntries)
			},
			lender.PlaceResource: func(now time.Time, resource string) (lender.State, bool) {
				entries, isPlacing := sharedDispatcher.SharingEntries(now)
				if !isPlacing {
					return lender.State{}, false
				}
				return ledger.PlaceState(now, resource, entries)
			},
		},
		Account: c.Account, Log: c.Log, Scope: c.Scope, Asserter: c.Asserter,
	})
	l.forwarder = forwarder.New(forwarder.Config{
		Protocol: c.Protocol, Reservations: c.NewReservationClient(reservationHTTPClient), ReservationTTL: c.ReservationTTL, MaxIdle: c.MaxIdle, View: l.controller.View, Dispatcher: sharedDispatcher, Scheduler: returns, Share: shareFunc(sharedDispatcher), RetryBudget: l.retryBudget, Quarantine: quarantine, Isolator: partIsolator, OnCrash: l.controller.SpreadCrash, Tunneler: l.tunneler, Account: c.Account,
		Log: c.Log, Scope: c.Scope, Asserter: c.Asserter,
	})
	l.applyLimits(c.Settings)
	return l
}

// promisePartFunc returns the function by which the scheduler learns this entry's part of all promises: its own, and
// what other entries lend it.
func promisePartFunc(b *dispatcher.Dispatcher, ledger *lender.Ledger) func(time.Time, string, float64, bool) scheduler.Part {
	return func(now time.Time, service string, used float64, isShort bool) scheduler.Part {
		entries, _ := b.SharingEntries(now)
		if entries == 0 {
			return scheduler.Part{}
		}
		return scheduler.Part{Fraction: ledger.Places(now, service, entries, used*float64(entries), isShort), Unit: 1 / float64(entries)}
	}
}

// shareFunc returns the function by which the forwarder learns of the share of an organisation.
func shareFunc(b *dispatcher.Dispatcher) func(time.Time, dispatcher.Demand) (forwarder.Share, bool) {
	return func(now time.Time, d dispatcher.Demand) (forwarder.Share, bool) {
		level, cost := b.Share(now, d)
		use := b.RequestUse(now, d)
		if level <= 0 || cost <= 0 || use <= 0 {
			return forwarder.Share{}, false
		}
		return forwarder.Share{Level: level, Use: use, WorkTime: time.Duration(cost / use * float64(time.Second))}, true
	}
}

// withSystemDefaults returns c with those clock and network functions that are
// nil replaced by functions that use the machine's clock and network, and with an
// account.
func (c Config) withSystemDefaults() Config {
	if c.Account == nil {
		c.Account = accountant.New(accountant.LimitFor(c.Settings.MemoryLimit))
	}
	if c.SinceBoot == nil {
		c.SinceBoot = controller.SinceBoot
	}
	if c.Dial == nil {
		c.Dial = newDialer().DialContext
	}
	if c.Listen == nil {
		c.Listen = func(a netip.AddrPort) (net.Listener, error) {
			if a == c.PeerAddress {
				return listenForPeers(a)
			}
			return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
		}
	}
	if c.ListenPacket == nil {
		c.ListenPacket = func(a netip.AddrPort) (net.PacketConn, error) {
			return net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
		}
	}
	return c
}

// Run serves requests until the context shutdown is done, then shuts the entry
// down gracefully and returns nil. Each value received from reloadSignals reloads
// the settings. Run returns an error if the entry can't listen on one of its
// addresses or one of its HTTP servers fails. It must be called only once.
func (l *Launcher) Run(shutdown context.Context, reloadSignals <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	peerListener, err := l.config.Listen(l.config.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for other entries: %w", err)
	}
	peerListener = l.acceptor.Listen(peerListener, acceptor.Peers)
	loadSocket, err := l.config.ListenPacket(l.config.LoadAddress)
	if err != nil {
		return fmt.Errorf("listen for load updates: %w", err)
	}
	serveErrors := make(chan error, 4)
	if err := l.startServers(serveErrors); err != nil {
		return err
	}
	l.config.Log.Info("started", zap.String("name", l.config.Name), zap.String("data_centre", l.config.DataCentre),
		zap.Stringer("callers", l.config.CallerAddress), zap.Stringer("peers", l.config.PeerAddress), zap.Bool("first_start", l.config.IsFirstStart))
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
	l.tunneler.Close()
	<-controllerDone
	l.config.Log.Info("stopped", zap.String("name", l.config.Name))
	return err
}

// startServers listens on the addresses for callers, readiness checks, the
// directory and, if it is set, metrics, and starts an HTTP server on each. It
// returns an error if it can't listen. The error of a server that fails later is
// sent to serveErrors.
func (l *Launcher) startServers(serveErrors chan<- error) error {
	c := l.config
	l.callerServer = &http.Server{Handler: l.forwarder, DisableGeneralOptionsHandler: true, BaseContext: l.baseContext(), ConnState: l.activeConns.OnStateChange}
	servers := []struct {
		address netip.AddrPort
		places  acceptor.ListenerConfig
		server  *http.Server
	}{
		{c.CallerAddress, acceptor.Callers, l.callerServer},
		{c.ReadinessAddress, acceptor.Readiness, &http.Server{Handler: c.ReadinessHandler(l.controller.IsReady)}},
		{c.DirectoryAddress, acceptor.Directory, &http.Server{Handler: c.DirectoryHandler(c.AddressTTL, l.controller.CallerAddresses)}},
		{c.MetricsAddress, acceptor.Metrics, &http.Server{Handler: l.operatorHandler()}},
	}
	for _, s := range servers {
		if !s.address.IsValid() {
			continue
		}
		listener, err := c.Listen(s.address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", s.address, err)
		}
		l.acceptor.Attach(s.server)
		listener = l.acceptor.Listen(listener, s.places)
		l.servers = append(l.servers, s.server)
		onServeEnd := func() {}
		if s.server == l.callerServer {
			listener = newUnreadListener(listener)
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

// baseContext returns a function for http.Server.BaseContext that gives all
// callers' requests one parent context. It sets cancelRequests to the function
// that cancels that context.
func (l *Launcher) baseContext() func(net.Listener) context.Context {
	var ctx context.Context
	ctx, l.cancelRequests = context.WithCancelCause(context.Background())
	return func(net.Listener) context.Context { return ctx }
}

// operatorHandler returns the HTTP handler on MetricsAddress, which serves the
// metrics and the status page. The page gives the states of upstreams and other
// entries as JSON, as this entry knows them.
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

// shutDown removes the entry from the directory, and goes on serving callers for
// maxAddressTTLs times AddressTTL plus half an AddressTTL. Then it stops listening and waits until all requests are complete, those of other entries
// that pass through this one too, and closes all servers.
// Requests still in progress exitMargin before the end of ShutdownGrace are
// cancelled.
func (l *Launcher) shutDown() {
	start := time.Now()
	shutdownGrace := l.settings.Load().ShutdownGrace
	deadline := start.Add(shutdownGrace - exitMargin)
	l.config.Log.Info("stopping", zap.Int("in_flight", l.forwarder.InFlight()), zap.Duration("grace_ms", shutdownGrace))
	addressValidUntil := start.Add(maxAddressTTLs * l.config.AddressTTL)
	l.controller.AnnounceShutdown(addressValidUntil, deadline)
	l.tunneler.Stop()
	listenUntil := addressValidUntil.Add(l.config.AddressTTL / 2)
	for time.Now().Before(earlier(listenUntil, deadline)) {
		time.Sleep(drainPollPeriod)
	}
	_ = l.callerListener.Close()
	<-l.acceptDone // from here on activeConns tracks every accepted connection
	l.activeConns.WaitIdle(deadline, drainPollPeriod)
	for l.tunneler.Served() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollPeriod)
	}
	l.cancelCallerRequests()
	for _, s := range l.servers {
		_ = s.Close()
	}
}

// cancelCallerRequests cancels the callers' requests still in progress, and waits
// at most finalResponseTime until their error responses are sent.
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

// reloadSettings reads the settings when it is called, on each value of signals
// and every reloadPeriod, and applies them on a signal or if they have changed. If
// they can't be read, the former ones still apply. It returns when ctx is done.
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
			l.moveStore(l.settings.Load().StoreAddress, s.StoreAddress)
			l.settings.Store(&s)
			l.retryBudget.Configure(time.Now(), s.RetryBudget)
			l.controller.SetSeeds(s.Seeds)
			l.applyLimits(s)
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

// moveStore makes calls to the store go to another address, if it has changed.
func (l *Launcher) moveStore(from, to netip.AddrPort) {
	if from == to || !to.IsValid() || l.config.SetStoreAddress == nil {
		return
	}
	l.config.Log.Info("store_moved", zap.Stringer("from", from), zap.Stringer("to", to))
	l.config.SetStoreAddress(to)
}

func (s Settings) equal(o Settings) bool {
	if len(s.Seeds) != len(o.Seeds) || s.RetryBudget != o.RetryBudget || s.ShutdownGrace != o.ShutdownGrace || s.StoreAddress != o.StoreAddress || s.MemoryLimit != o.MemoryLimit || s.MaxDescriptors != o.MaxDescriptors {
		return false
	}
	for i := range s.Seeds {
		if s.Seeds[i] != o.Seeds[i] {
			return false
		}
	}
	return true
}

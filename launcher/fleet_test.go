package launcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/asserter"
	"github.com/sapphireramp/sapphireramp/budgeter"
	"github.com/sapphireramp/sapphireramp/controller"
	"github.com/sapphireramp/sapphireramp/launcher"
	"github.com/sapphireramp/sapphireramp/platform"
	"github.com/sapphireramp/sapphireramp/standin/caller"
	"github.com/sapphireramp/sapphireramp/standin/network"
	"github.com/sapphireramp/sapphireramp/standin/store"
	"github.com/sapphireramp/sapphireramp/standin/worker"
)

var (
	storeHost  = netip.MustParseAddr("10.200.0.1")
	callerHost = netip.MustParseAddr("10.9.0.1")
)

const (
	entryPort, readyPort, directoryPort, peerPort, loadPort = 80, 81, 82, 83, 84
	// streamEvents is how many events an answer has, but in random runs.
	streamEvents = 8
	// eventGap is between events.
	eventGap = 60 * time.Millisecond
	// tokensPerEvent is the stride of the engines.
	tokensPerEvent = 51
	// shortTimeout is the time limit of calls whose upstreams answer within 20 ms.
	shortTimeout = 3 * time.Second
	// gracePeriod is the time between the order to stop and the end by force.
	gracePeriod = 8 * time.Second
)

// entry is one run of an entry.
type entry struct {
	host   netip.Addr
	stop   context.CancelFunc
	reload chan struct{}
	exited chan struct{}
	killed bool
}

// fleet is the whole system before stand-ins, in virtual time.
type fleet struct {
	t           *testing.T
	net         *network.Network
	store       *store.Store
	servers     []*http.Server
	entries     []*entry
	workers     map[string]*worker.Worker
	workerHosts map[string]netip.Addr
	// lock guards born and servers, which workers that crash change.
	lock sync.Mutex
	// startedAt is when workers started, in Unix milliseconds; missing for those that do not say.
	startedAt map[string]int64
	// downWorkers are the workers that are not back yet.
	downWorkers worker.Down
	// repeaters asked for what crashes upstreams.
	repeaters    []*caller.Traffic
	lastWorker   int
	trafficCount int
	// responsePlan is how long answers last; nil where all are short.
	responsePlan *worker.Plan
	// idSalt is a part of requests' ids, which lengths are drawn from.
	idSalt string
	// disruptionLog are what happens to entries and upstreams.
	disruptionLog caller.Troubles
	// bursts are callers that asked for a while; down are the entries that were
	// killed or stopped and not started again.
	bursts      []*traffic
	downEntries map[int]bool
}

func entryHost(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, byte(1 + i%3), 0, byte(10 + i)}) }

func newFleet(t *testing.T, entries int) *fleet { return newFleetWithPlan(t, entries, nil) }

func newFleetWithPlan(t *testing.T, entries int, plan *worker.Plan) *fleet {
	t.Helper()
	f := &fleet{t: t, responsePlan: plan, downEntries: map[int]bool{}, net: network.New(), store: store.New(), workers: map[string]*worker.Worker{}, workerHosts: map[string]netip.Addr{}, startedAt: map[string]int64{}}
	f.serve(netip.AddrPortFrom(storeHost, 80), f.store)
	f.putConfig(1, "key-1", "key-2")
	for range 3 {
		f.addWorker("app")
		f.addWorker("lm")
	}
	for i := range entries {
		f.entries = append(f.entries, f.startEntry(i))
	}
	time.Sleep(2 * time.Second)
	return f
}

func (f *fleet) serve(address netip.AddrPort, h http.Handler) {
	listener, err := f.net.Listen(address)
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	f.lock.Lock()
	f.servers = append(f.servers, server)
	f.lock.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// addWorker starts an upstream that answers as most do and lists it.
func (f *fleet) addWorker(service string) string {
	return f.addWorkerWith(service, 20*time.Millisecond, streamEvents, eventGap)
}

// addWorkerWith starts an upstream that answers after work, or with so many events and pauses
// between them, and lists it.
func (f *fleet) addWorkerWith(service string, workTime time.Duration, events int, eventGap time.Duration) string {
	f.lastWorker++
	id := fmt.Sprintf("i-%s-%d", service, f.lastWorker)
	host := netip.AddrFrom4([4]byte{10, 100, byte(f.lastWorker >> 8), byte(f.lastWorker)})
	w := worker.New(id, workTime, events, eventGap)
	w.Follow(f.responsePlan)
	f.workers[id], f.workerHosts[id] = w, host
	w.OnCrash(func() { f.crashWorker(id, service) })
	f.startWorker(id, service)
	return id
}

// startWorker serves a worker that starts, and lists it.
func (f *fleet) startWorker(id, service string) {
	f.lock.Lock()
	f.startedAt[id] = time.Now().UnixMilli()
	f.lock.Unlock()
	f.serve(netip.AddrPortFrom(f.workerHosts[id], 80), f.workers[id])
	f.putWorker(id, service, "ready")
}

// crashWorker ends a worker's process: its connections end, nobody listens, and after some seconds it is
// started again under its id.
func (f *fleet) crashWorker(id, service string) {
	if !f.downWorkers.Begin(id) {
		return
	}
	endOutage := f.disruptionLog.Cut(id)
	f.workers[id].Restart()
	f.net.Kill(f.workerHosts[id])
	go func() {
		defer f.downWorkers.End(id)
		time.Sleep(crashDowntime)
		f.disruptionLog.Renewed(id)
		f.startWorker(id, service)
		endOutage()
	}()
}

// crashDowntime is how long a worker that crashed is down.
const crashDowntime = 2500 * time.Millisecond

func (f *fleet) putWorker(id, service, state string) {
	u := store.NewUpstream(service, netip.AddrPortFrom(f.workerHosts[id], 80))
	f.lock.Lock()
	u.State, u.Born = state, f.startedAt[id]
	f.lock.Unlock()
	f.store.Put("servers/"+id, u)
}

// restartWorker starts a worker again under its id.
func (f *fleet) restartWorker(id, service string) {
	f.workers[id].Restart()
	f.disruptionLog.Renewed(id)
	f.lock.Lock()
	f.startedAt[id] = time.Now().UnixMilli()
	f.lock.Unlock()
	f.putWorker(id, service, "ready")
}

// routeTimeout is the time limit of a route: calls are short where no plan draws how long they last,
// so that one that is asked just after an order to stop ends before the entry.
func (f *fleet) routeTimeout(prefix, kind string) time.Duration {
	if f.responsePlan == nil && kind != "streaming" {
		return shortTimeout
	}
	return caller.RouteTime(prefix)
}

func (f *fleet) putConfig(version int, keys ...string) {
	route := func(name, prefix, kind, service string, extra map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": "h", "prefix": prefix, "kind": kind, "service": service, "timeout-ms": f.routeTimeout(prefix, kind).Milliseconds(), "target-latency-ms": 300, "max-attempts": 1}
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	f.store.Put("op/config", map[string]any{
		"version": version,
		"routes": []any{
			route("once", "/once/", "non_idempotent", "app", nil),
			route("safe", "/safe/", "idempotent", "app", map[string]any{"max-attempts": 2}),
			route("stream", "/stream/", "streaming", "lm", map[string]any{"max-attempts": 2, "stream-resume": true, "sticky": true, "gap-aim-ms": 250}),
			route("fixed", "/fixed/", "streaming", "lm", map[string]any{"sticky": true, "gap-aim-ms": 250}),
		},
		"services": []any{
			map[string]any{"name": "app"},
			map[string]any{"name": "lm", "engine": json.RawMessage(`{"slots":16,"kv-capacity-tokens":315000,"stride":51,"step_ms":0.85,"per_seq_ms":0.004,"context_per_k":0.003,"read_per_s":177000,"pairs_per_m":0.18,"chunk":2048}`)},
		},
		"limits":  map[string]any{"max-body-bytes": 100000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "crew", "api-keys": keys}},
	})
}

func (f *fleet) startEntry(i int) *entry {
	host := entryHost(i)
	onPort := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(host, port) }
	client := &http.Client{Transport: &http.Transport{DialContext: f.net.Dialer(host), DisableKeepAlives: true}}
	storeClient := platform.NewStore(client, netip.AddrPortFrom(storeHost, 80))
	settings := launcher.Settings{
		Seeds:       []netip.AddrPort{netip.AddrPortFrom(entryHost(0), peerPort), netip.AddrPortFrom(entryHost(1), peerPort)},
		RetryBudget: budgeter.Config{Ratio: 0.2, Window: 10 * time.Second, Slack: 100}, GracePeriod: gracePeriod,
	}
	e := &entry{host: host, reload: make(chan struct{}, 1), exited: make(chan struct{})}
	l := launcher.New(launcher.Config{
		SinceBoot: func() time.Duration { return time.Duration(time.Now().UnixNano()) }, // the paused clock
		Name:      fmt.Sprintf("entry-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%3), CallerAddress: onPort(entryPort), ReadyAddress: onPort(readyPort),
		PeerAddress: onPort(peerPort), DirectoryAddress: onPort(directoryPort), LoadAddress: onPort(loadPort), AddressTTL: time.Second, Settings: settings,
		ReadSettings: func() (launcher.Settings, error) { return settings, nil },
		Store:        controller.Store{Read: storeClient.Read, Watch: storeClient.Watch, DecodeConfig: platform.DecodeConfig}, MaxPropagation: 2 * time.Second,
		Protocol: platform.Protocol(), Reservations: platform.NewReservationClient(client), ReservationTTL: 3 * time.Second, MaxIdle: 9 * time.Second,
		DirectoryHandler: platform.DirectoryHandler, ReadyHandler: platform.ReadinessHandler,
		Log: zap.NewNop(), Scope: tally.NoopScope, MetricsHandler: http.NotFoundHandler(),
		Asserter: asserter.New(func(name, detail string) { f.t.Errorf("%s: %s", name, detail) }),
		Dial:     f.net.Dialer(host), Listen: f.net.Listen, ListenPacket: f.net.ListenPacket,
	})
	var ctx context.Context
	ctx, e.stop = context.WithCancel(context.Background())
	go func() {
		defer close(e.exited)
		if err := l.Run(ctx, e.reload); err != nil && !e.killed {
			f.t.Errorf("entry-%d: %v", i, err)
		}
	}()
	return e
}

// killEntry ends an entry as a loss of power does: all its connections break. Its
// goroutines end when they have waited out their own stop.
func (f *fleet) killEntry(e *entry) {
	e.killed = true
	f.disruptionLog.Killed(e.host)
	f.net.Kill(e.host)
	e.stop()
}

func (f *fleet) shutDown() {
	f.downWorkers.Await()
	for _, e := range f.entries {
		f.killEntry(e)
	}
	for _, e := range f.entries {
		<-e.exited
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	for _, h := range f.workerHosts {
		f.net.Kill(h)
	}
	f.net.Kill(storeHost)
	f.net.Kill(callerHost)
	time.Sleep(20 * time.Second)
}

// newCaller returns a caller that knows all directories.
func (f *fleet) newCaller(seed uint64) *caller.Caller {
	var directories []netip.AddrPort
	for i := range f.entries {
		directories = append(directories, netip.AddrPortFrom(entryHost(i), directoryPort))
	}
	c := caller.New(directories, seed, f.net.Dialer(callerHost))
	if f.responsePlan != nil {
		c.SetHabit(int(seed))
		c.BodyOf = caller.MixedBody
		c.UsageOf = func(id string) (most, hint int) { return f.responsePlan.Usage(id, tokensPerEvent) }
	}
	return c
}

// evidence is what answers are held against.
func (f *fleet) evidence() caller.Evidence {
	events := func(string) int { return streamEvents }
	if f.responsePlan != nil {
		events = f.responsePlan.Events
	}
	runs := func(id string) []worker.Run { return worker.RunsOf(maps.Values(f.workers), id) }
	refusals := func(id string) []worker.Run { return worker.RefusalsOf(maps.Values(f.workers), id) }
	return caller.Evidence{Runs: runs, Refusals: refusals, Events: events, Troubles: &f.disruptionLog}
}

// stopEntry sends an entry SIGTERM, and notes when it has ended.
func (f *fleet) stopEntry(e *entry) {
	s := f.disruptionLog.Stopping(e.host, gracePeriod)
	e.stop()
	go func() {
		<-e.exited
		s.Ended()
	}()
}

// runCount is how often a request ran, at all workers.
func (f *fleet) runCount(id string) int { return worker.TimesRun(maps.Values(f.workers), id) }

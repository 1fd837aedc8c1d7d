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
	entryPort, readyPort, directoryPort, peerPort, sharePort = 80, 81, 82, 83, 84
	// streamEvents is how many events an answer has, but in random runs.
	streamEvents = 8
	// eventPause is between events.
	eventPause = 60 * time.Millisecond
	// tokensOfEvent is the stride of the engines.
	tokensOfEvent = 51
	// shortCall is the time limit of calls whose upstreams answer within 20 ms.
	shortCall = 3 * time.Second
	// grace is the time between the order to stop and the end by force.
	grace = 8 * time.Second
)

// entry is one run of an entry.
type entry struct {
	host    netip.Addr
	stop    context.CancelFunc
	reload  chan struct{}
	ended   chan struct{}
	stopped bool
}

// fleet is the whole system before stand-ins, in virtual time.
type fleet struct {
	t       *testing.T
	net     *network.Network
	store   *store.Store
	servers []*http.Server
	entries []*entry
	workers map[string]*worker.Worker
	hosts   map[string]netip.Addr
	// lock guards born and servers, which workers that crash change.
	lock sync.Mutex
	// born is when workers started, in Unix milliseconds; missing for those that do not say.
	born map[string]int64
	// crashed are the workers that are not back yet.
	crashed worker.Down
	// repeaters asked for what crashes upstreams.
	repeaters []*caller.Traffic
	next      int
	rounds    int
	// plan is how long answers last; nil where all are short.
	plan *worker.Plan
	// salt is a part of requests' ids, which lengths are drawn from.
	salt string
	// troubles are what happens to entries and upstreams.
	troubles caller.Troubles
	// bursts are callers that asked for a while; down are the entries that were
	// killed or stopped and not started again.
	bursts []*traffic
	down   map[int]bool
}

func hostOf(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, byte(1 + i%3), 0, byte(10 + i)}) }

func newFleet(t *testing.T, entries int) *fleet { return newFleetWithPlan(t, entries, nil) }

func newFleetWithPlan(t *testing.T, entries int, plan *worker.Plan) *fleet {
	t.Helper()
	f := &fleet{t: t, plan: plan, down: map[int]bool{}, net: network.New(), store: store.New(), workers: map[string]*worker.Worker{}, hosts: map[string]netip.Addr{}, born: map[string]int64{}}
	f.serve(netip.AddrPortFrom(storeHost, 80), f.store)
	f.configure(1, "key-1", "key-2")
	for range 3 {
		f.addWorker("app")
		f.addWorker("lm")
	}
	for i := range entries {
		f.entries = append(f.entries, f.start(i))
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
	return f.addWorkerThat(service, 20*time.Millisecond, streamEvents, eventPause)
}

// addWorkerThat starts an upstream that answers after work, or with so many events and pauses
// between them, and lists it.
func (f *fleet) addWorkerThat(service string, work time.Duration, events int, pause time.Duration) string {
	f.next++
	id := fmt.Sprintf("i-%s-%d", service, f.next)
	host := netip.AddrFrom4([4]byte{10, 100, byte(f.next >> 8), byte(f.next)})
	w := worker.New(id, work, events, pause)
	w.Follow(f.plan)
	f.workers[id], f.hosts[id] = w, host
	w.OnCrash(func() { f.crash(id, service) })
	f.begin(id, service)
	return id
}

// begin serves a worker that starts, and lists it.
func (f *fleet) begin(id, service string) {
	f.lock.Lock()
	f.born[id] = time.Now().UnixMilli()
	f.lock.Unlock()
	f.serve(netip.AddrPortFrom(f.hosts[id], 80), f.workers[id])
	f.list(id, service, "ready")
}

// crash ends a worker's process: its connections end, nobody listens, and after some seconds it is
// started again under its id.
func (f *fleet) crash(id, service string) {
	if !f.crashed.Begin(id) {
		return
	}
	mended := f.troubles.Cut(id)
	f.workers[id].Restart()
	f.net.Kill(f.hosts[id])
	go func() {
		defer f.crashed.End(id)
		time.Sleep(crashTime)
		f.troubles.Renewed(id)
		f.begin(id, service)
		mended()
	}()
}

// crashTime is how long a worker that crashed is down.
const crashTime = 2500 * time.Millisecond

func (f *fleet) list(id, service, state string) {
	u := store.NewUpstream(service, netip.AddrPortFrom(f.hosts[id], 80))
	f.lock.Lock()
	u.State, u.Born = state, f.born[id]
	f.lock.Unlock()
	f.store.Put("servers/"+id, u)
}

// restartWorker starts a worker again under its id.
func (f *fleet) restartWorker(id, service string) {
	f.workers[id].Restart()
	f.troubles.Renewed(id)
	f.lock.Lock()
	f.born[id] = time.Now().UnixMilli()
	f.lock.Unlock()
	f.list(id, service, "ready")
}

// routeTime is the time limit of a route: calls are short where no plan draws how long they last,
// so that one that is asked just after an order to stop ends before the entry.
func (f *fleet) routeTime(prefix, kind string) time.Duration {
	if f.plan == nil && kind != "streaming" {
		return shortCall
	}
	return caller.RouteTime(prefix)
}

func (f *fleet) configure(version int, keys ...string) {
	route := func(name, prefix, kind, service string, extra map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": "h", "prefix": prefix, "kind": kind, "service": service, "timeout-ms": f.routeTime(prefix, kind).Milliseconds(), "target-latency-ms": 300, "max-attempts": 1}
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

func (f *fleet) start(i int) *entry {
	host := hostOf(i)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(host, port) }
	client := &http.Client{Transport: &http.Transport{DialContext: f.net.Dialer(host), DisableKeepAlives: true}}
	reader := platform.NewStore(client, netip.AddrPortFrom(storeHost, 80))
	settings := launcher.Settings{
		Seeds:       []netip.AddrPort{netip.AddrPortFrom(hostOf(0), peerPort), netip.AddrPortFrom(hostOf(1), peerPort)},
		RetryBudget: budgeter.Config{Ratio: 0.2, Window: 10 * time.Second, Slack: 100}, GracePeriod: grace,
	}
	e := &entry{host: host, reload: make(chan struct{}, 1), ended: make(chan struct{})}
	l := launcher.New(launcher.Config{
		SinceBoot: func() time.Duration { return time.Duration(time.Now().UnixNano()) }, // the paused clock
		Name:      fmt.Sprintf("entry-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%3), CallerAddress: at(entryPort), ReadyAddress: at(readyPort),
		PeerAddress: at(peerPort), DirectoryAddress: at(directoryPort), LoadAddress: at(sharePort), AddressTTL: time.Second, Settings: settings,
		ReadSettings: func() (launcher.Settings, error) { return settings, nil },
		Store:        controller.Store{Read: reader.Read, Watch: reader.Watch, DecodeConfig: platform.DecodeConfig}, MaxPropagation: 2 * time.Second,
		Protocol: platform.Protocol(), Reservations: platform.NewReservationClient(client), ReservationTTL: 3 * time.Second, MaxIdle: 9 * time.Second,
		DirectoryHandler: platform.DirectoryHandler, ReadyHandler: platform.ReadinessHandler,
		Log: zap.NewNop(), Scope: tally.NoopScope, MetricsHandler: http.NotFoundHandler(),
		Asserter: asserter.New(func(name, detail string) { f.t.Errorf("%s: %s", name, detail) }),
		Dial:     f.net.Dialer(host), Listen: f.net.Listen, ListenPacket: f.net.ListenPacket,
	})
	var ctx context.Context
	ctx, e.stop = context.WithCancel(context.Background())
	go func() {
		defer close(e.ended)
		if err := l.Run(ctx, e.reload); err != nil && !e.stopped {
			f.t.Errorf("entry-%d: %v", i, err)
		}
	}()
	return e
}

// kill ends an entry as a loss of power does: all its connections break. Its
// goroutines end when they have waited out their own stop.
func (f *fleet) kill(e *entry) {
	e.stopped = true
	f.troubles.Killed(e.host)
	f.net.Kill(e.host)
	e.stop()
}

func (f *fleet) end() {
	f.crashed.Await()
	for _, e := range f.entries {
		f.kill(e)
	}
	for _, e := range f.entries {
		<-e.ended
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	for _, h := range f.hosts {
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
		directories = append(directories, netip.AddrPortFrom(hostOf(i), directoryPort))
	}
	c := caller.New(directories, seed, f.net.Dialer(callerHost))
	if f.plan != nil {
		c.SetHabit(int(seed))
		c.BodyOf = caller.MixedBody
		c.UsageOf = func(id string) (most, hint int) { return f.plan.Usage(id, tokensOfEvent) }
	}
	return c
}

// evidence is what answers are held against.
func (f *fleet) evidence() caller.Evidence {
	events := func(string) int { return streamEvents }
	if f.plan != nil {
		events = f.plan.Events
	}
	runs := func(id string) []worker.Run { return worker.RunsOf(maps.Values(f.workers), id) }
	refusals := func(id string) []worker.Run { return worker.RefusalsOf(maps.Values(f.workers), id) }
	return caller.Evidence{Runs: runs, Refusals: refusals, Events: events, Troubles: &f.troubles}
}

// stopEntry sends an entry SIGTERM, and notes when it has ended.
func (f *fleet) stopEntry(e *entry) {
	s := f.troubles.Stopping(e.host, grace)
	e.stop()
	go func() {
		<-e.ended
		s.Ended()
	}()
}

// runs is how often a request ran, at all workers.
func (f *fleet) runs(id string) int { return worker.TimesRun(maps.Values(f.workers), id) }

package launcher_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/asserter"
	"github.com/sapphireramp/sapphireramp/budgeter"
	"github.com/sapphireramp/sapphireramp/connector"
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
	// streamEvents is the number of events of a streamed response if the fleet has no response plan.
	streamEvents = 8
	// eventGap is the time between two events of a stream.
	eventGap = 60 * time.Millisecond
	// tokensPerEvent is the number of tokens that the engines generate per event, as in the
	// configuration.
	tokensPerEvent = 51
	// shortTimeout is the timeout of plain routes whose upstreams respond within 20 ms.
	shortTimeout = 3 * time.Second
	// shutdownGrace is the time from SIGTERM until an entry is killed.
	shutdownGrace = 8 * time.Second
	// maxPropagation is the time in which all entries have to apply a change in the store.
	maxPropagation = 2 * time.Second
	// toleratedColdRate is the number of requests per second that a cold worker tolerates, and
	// maxColdRequests the number in any second that it must not exceed.
	toleratedColdRate = 15
	maxColdRequests   = 1.5*toleratedColdRate + 5
)

// retryBudget is the retry budget of each service.
var retryBudget = budgeter.Config{Ratio: 0.2, Window: 10 * time.Second, BaseRetries: 100}

// entry is one incarnation of an entry.
type entry struct {
	host netip.Addr
	// stop has the effect of SIGTERM.
	stop context.CancelFunc
	// reload has the effect of SIGHUP for each value sent.
	reload chan struct{}
	// exited is closed when Run has returned.
	exited chan struct{}
	// killed is true if the entry was killed; errors of Run are ignored then.
	killed atomic.Bool
}

// fleet holds entries and the stand-ins for what they use (network, store and
// upstreams), all in one process and in virtual time.
type fleet struct {
	t     *testing.T
	net   *network.Network
	store *store.Store
	// servers are the HTTP servers of the store and of all incarnations of workers.
	servers []*http.Server
	entries []*entry
	// workers holds the stand-in upstreams and workerHosts their hosts, both by instance ID.
	workers     map[string]*worker.Worker
	workerHosts map[string]netip.Addr
	// lock guards startedAt and servers, since goroutines that restart crashed workers change them too.
	lock sync.Mutex
	// startedAt holds the start of each worker's incarnation in Unix milliseconds, by instance ID.
	startedAt map[string]int64
	// coldUntil holds the time until which each worker is cold that has restarted so, by instance ID.
	coldUntil map[string]time.Time
	// downWorkers holds the workers that crashed and have not restarted yet.
	downWorkers worker.DownSet
	// repeaters holds the callers that repeat requests that crash upstreams, partSenders those whose prompts
	// have a part that does.
	repeaters, partSenders []*caller.Traffic
	// lastWorker is the number of the worker added last, trafficCount the number of groups of callers
	// started. They make instance and request IDs unique.
	lastWorker   int
	trafficCount int
	// regions holds the region of each data centre, homes the home regions of routes by name; both may be nil.
	regions map[string]string
	homes   map[string][]string
	// crashKind is what becomes of the address of a worker that crashes.
	crashKind crashKind
	// responsePlan sets how long responses take; if nil, all take the same short time.
	responsePlan *worker.AnswerPlan
	// idSalt is appended to the names in request IDs. The response plan derives lengths from request IDs, so
	// another salt gives other lengths.
	idSalt string
	// disruptionLog records what the test does to entries and upstreams, and when.
	disruptionLog caller.FaultLog
	// log is the logger of all entries started from now on.
	log *zap.Logger
	// hasStarted is true once the first incarnations of all entries have been started.
	hasStarted bool
	// bursts holds the traffic started in addition to the steady one. downEntries holds the indexes of entries
	// that were killed or stopped and not started again.
	bursts      []*traffic
	downEntries map[int]bool
	// settings are those of entries that read their settings from now on, by index; changed ones are applied by a
	// reload. An entry without an element keeps those of its start.
	settings map[int]launcher.Settings
	// memoryLimit is the memory in bytes that entries started from now on may use; 0 if it is not stated.
	memoryLimit int64
	// maxBody is the maximum size in bytes of request bodies in configurations from now on.
	maxBody int
}

// entryHost returns the host of the entry with index i. Entries are spread over
// three data centres.
func entryHost(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, byte(1 + i%3), 0, byte(10 + i)}) }

// newFleet starts a fleet with six workers and the given number of entries.
func newFleet(t *testing.T, entries int) *fleet { return newFleetWithPlan(t, entries, nil) }

// newFleetWithPlan starts a fleet whose responses follow a plan, if it is not nil.
func newFleetWithPlan(t *testing.T, entries int, plan *worker.AnswerPlan) *fleet {
	t.Helper()
	f := &fleet{t: t, log: zap.NewNop(), responsePlan: plan, maxBody: 100_000, downEntries: map[int]bool{}, net: network.New(), store: store.New(), workers: map[string]*worker.Worker{}, workerHosts: map[string]netip.Addr{}, startedAt: map[string]int64{}, coldUntil: map[string]time.Time{}}
	f.serve(netip.AddrPortFrom(storeHost, 80), f.store)
	f.putConfig(1, "key-1", "key-2")
	for range 3 {
		f.addWorker("app")
		f.addWorker("lm")
	}
	for i := range entries {
		f.entries = append(f.entries, f.startEntry(i))
	}
	f.hasStarted = true
	time.Sleep(2 * time.Second)
	return f
}

// serve starts an HTTP server at an address of the fleet's network.
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

// addWorker starts a worker for a service with the usual response times, and
// returns its instance ID.
func (f *fleet) addWorker(service string) string {
	return f.addWorkerWith(service, 20*time.Millisecond, streamEvents, eventGap)
}

// addWorkerWith starts a worker that responds to plain requests after workTime and to streaming
// requests with the given number of events, eventGap apart. It returns the worker's instance ID.
func (f *fleet) addWorkerWith(service string, workTime time.Duration, events int, eventGap time.Duration) string {
	f.lastWorker++
	id := fmt.Sprintf("i-%s-%d", service, f.lastWorker)
	host := netip.AddrFrom4([4]byte{10, 100, byte(f.lastWorker >> 8), byte(f.lastWorker)})
	w := worker.New(id, workTime, events, eventGap)
	w.SetPlan(f.responsePlan)
	if f.responsePlan != nil {
		w.SetWriteCrash(&worker.WriteCrash{IsDue: func(promptParts string) bool { return strings.Contains(promptParts, badPart) }})
	}
	f.workers[id], f.workerHosts[id] = w, host
	w.OnCrash(func() { f.crashWorker(id, service) })
	f.startWorker(id, service)
	return id
}

// startWorker starts a new incarnation of a worker and writes it to the store as ready.
func (f *fleet) startWorker(id, service string) {
	f.lock.Lock()
	f.startedAt[id] = time.Now().UnixMilli()
	f.lock.Unlock()
	f.serve(netip.AddrPortFrom(f.workerHosts[id], 80), f.workers[id])
	f.putWorker(id, service, "ready")
}

// crashKind is what becomes of the address of a worker that crashes.
type crashKind int

const (
	// refusesConnections: connections to the address are refused until the worker restarts.
	refusesConnections crashKind = iota
	// dropsConnections: something else accepts connections to the address, and closes them at once.
	dropsConnections
	// dropsRequests: something else accepts connections to the address, and closes each after it has read a
	// request; the worker returns without being registered as another incarnation.
	dropsRequests
	// restartsAtOnce: the next incarnation listens at the address before a connection can be refused.
	restartsAtOnce
)

// crashWorker simulates a crash of a worker: its connections break, and new ones fail as crashKind says. After
// a while the worker restarts under the same instance ID. A worker that is down is left alone.
func (f *fleet) crashWorker(id, service string) {
	if !f.downWorkers.MarkDown(id) {
		return
	}
	endOutage := f.disruptionLog.RecordCut(id)
	f.workers[id].Restart()
	f.net.KillHost(f.workerHosts[id])
	downtime, stopDropping := crashDowntime, func() {}
	switch f.crashKind {
	case refusesConnections:
	case dropsConnections:
		downtime, stopDropping = proxyDowntime, f.dropConnections(f.workerHosts[id], false)
	case dropsRequests:
		downtime, stopDropping = proxyDowntime, f.dropConnections(f.workerHosts[id], true)
	case restartsAtOnce:
		downtime = time.Millisecond
	}
	go func() {
		defer f.downWorkers.MarkUp(id)
		time.Sleep(downtime)
		stopDropping()
		f.disruptionLog.RecordRestart(id)
		if f.crashKind == dropsRequests {
			f.serve(netip.AddrPortFrom(f.workerHosts[id], 80), f.workers[id])
		} else {
			f.startWorker(id, service)
		}
		endOutage()
	}()
}

// dropConnections accepts connections to a host and closes them, until the returned function is called. If
// readsRequests is true, it reads from each before.
func (f *fleet) dropConnections(host netip.Addr, readsRequests bool) (stop func()) {
	listener, err := f.net.Listen(netip.AddrPortFrom(host, 80))
	if err != nil {
		f.t.Error(err)
		return func() {}
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if readsRequests {
					_, _ = connection.Read(make([]byte, 1024))
				}
				_ = connection.Close()
			}()
		}
	}()
	return func() { _ = listener.Close() }
}

// crashDowntime is the time until a crashed worker restarts, proxyDowntime that of one whose address goes on
// listening: longer than it takes to quarantine a request by refused connections.
const crashDowntime, proxyDowntime = 2500 * time.Millisecond, 8 * time.Second

// putWorker writes a worker to the store's list of upstreams with the given state.
func (f *fleet) putWorker(id, service, state string) {
	u := store.NewUpstreamRecord(service, netip.AddrPortFrom(f.workerHosts[id], 80))
	f.lock.Lock()
	u.State, u.StartedMillis, u.Zone = state, f.startedAt[id], dataCentreOf(id)
	u.WarmUpMillis = max(0, float64(time.Until(f.coldUntil[id]).Milliseconds()))
	f.lock.Unlock()
	f.store.Put("servers/"+id, u)
}

// restartWorker starts a new incarnation of a running worker under the same instance ID.
func (f *fleet) restartWorker(id, service string) {
	f.workers[id].Restart()
	f.disruptionLog.RecordRestart(id)
	f.lock.Lock()
	f.startedAt[id] = time.Now().UnixMilli()
	f.lock.Unlock()
	f.putWorker(id, service, "ready")
}

// routeTimeout returns the timeout of a route. Without a response plan, plain routes have a short
// timeout, so that an entry still accepts requests sent shortly after SIGTERM: they end before it
// exits.
func (f *fleet) routeTimeout(prefix, kind string) time.Duration {
	if f.responsePlan == nil && kind != "streaming" {
		return shortTimeout
	}
	return caller.RouteTimeout(prefix)
}

// putConfig writes a configuration with the given version and API keys to the store.
func (f *fleet) putConfig(version int, keys ...string) {
	f.store.Put("op/config", f.configWith(version, nil, keys...))
}

// configWith returns a configuration with the given version and API keys, and with routes besides the usual ones.
func (f *fleet) configWith(version int, added []any, keys ...string) map[string]any {
	route := func(name, prefix, kind, service string, extra map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": "h", "prefix": prefix, "kind": kind, "service": service, "timeout-ms": f.routeTimeout(prefix, kind).Milliseconds(), "target-latency-ms": 300, "max-attempts": 1}
		r["allowed-regions"] = f.homes[name]
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": append([]any{
			route("once", "/once/", "non_idempotent", "app", nil),
			route("safe", "/safe/", "idempotent", "app", map[string]any{"max-attempts": 2}),
			route("stream", "/stream/", "streaming", "lm", map[string]any{"max-attempts": 2, "stream-resume": true, "sticky": true, "gap-aim-ms": 250}),
			route("fixed", "/fixed/", "streaming", "lm", map[string]any{"sticky": true, "gap-aim-ms": 250}),
			route("long", "/long/", "streaming", "lm", map[string]any{"sticky": true, "target-latency-ms": 3000, "gap-aim-ms": 1000}),
		}, added...),
		"services": []any{
			map[string]any{"name": "app", "health-path": "/health", "cold-per-s": toleratedColdRate},
			map[string]any{"name": "lm", "health-path": "/health", "cold-per-s": toleratedColdRate, "engine": json.RawMessage(`{"slots":16,"kv-capacity-tokens":315000,"stride":51,"step_ms":0.85,"per_seq_ms":0.004,"context_per_k":0.003,"read_per_s":177000,"pairs_per_m":0.18,"chunk":2048}`)},
		},
		"limits":  map[string]any{"max-body-bytes": f.maxBody, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "crew", "api-keys": keys}},
	}
}

// startEntry starts an incarnation of the entry with index i.
func (f *fleet) startEntry(i int) *entry {
	host := entryHost(i)
	onPort := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(host, port) }
	client := &http.Client{Transport: &http.Transport{DialContext: f.net.Dialer(host), DisableKeepAlives: true}}
	storeClient := platform.NewStore(client, netip.AddrPortFrom(storeHost, 80), nil)
	settings := launcher.Settings{
		Seeds:       []netip.AddrPort{netip.AddrPortFrom(entryHost(0), peerPort), netip.AddrPortFrom(entryHost(1), peerPort)},
		RetryBudget: retryBudget, ShutdownGrace: shutdownGrace, MemoryLimit: f.memoryLimit, StoreAddress: netip.AddrPortFrom(storeHost, 80),
	}
	e := &entry{host: host, reload: make(chan struct{}, 1), exited: make(chan struct{})}
	l := launcher.New(launcher.Config{
		SinceBoot: func() time.Duration { return time.Duration(time.Now().UnixNano()) }, // virtual time
		Name:      fmt.Sprintf("entry-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%3), Regions: f.regions, CallerAddress: onPort(entryPort), ReadinessAddress: onPort(readyPort),
		PeerAddress: onPort(peerPort), DirectoryAddress: onPort(directoryPort), LoadAddress: onPort(loadPort), AddressTTL: time.Second, IsFirstStart: !f.hasStarted, Settings: settings,
		ReadSettings:    func() (launcher.Settings, error) { return f.settingsOf(i, settings), nil },
		SetStoreAddress: storeClient.SetAddress,
		Store:           controller.Store{Read: storeClient.Read, Watch: storeClient.Watch, DecodeConfig: platform.Settings{Regions: f.regions}.DecodeConfig}, MaxPropagation: maxPropagation,
		Protocol: platform.Protocol(), NewReservationClient: platform.NewReservationClient, ReservationTTL: 3 * time.Second, MaxIdle: 9 * time.Second,
		DirectoryHandler: platform.DirectoryHandler, ReadinessHandler: platform.ReadinessHandler,
		Log: f.log, Scope: tally.NoopScope, MetricsHandler: http.NotFoundHandler(),
		Asserter: asserter.New(func(name, detail string) { f.t.Errorf("%s: %s", name, detail) }),
		Dial:     e.dialer(f.net.Dialer(host)), Listen: f.net.Listen, ListenPacket: f.net.ListenPacket,
	})
	var ctx context.Context
	ctx, e.stop = context.WithCancel(context.Background())
	go func() {
		defer close(e.exited)
		if err := l.Run(ctx, e.reload); err != nil && !e.killed.Load() {
			f.t.Errorf("entry-%d: %v", i, err)
		}
	}()
	return e
}

// settingsOf returns the settings that an entry reads, which has started with others.
func (f *fleet) settingsOf(i int, atStart launcher.Settings) launcher.Settings {
	f.lock.Lock()
	defer f.lock.Unlock()
	if s, ok := f.settings[i]; ok {
		return s
	}
	return atStart
}

// dialer returns dial, which fails once the entry was killed: its goroutines then still run beside those of
// the entry that was started in its place.
func (e *entry) dialer(dial connector.DialFunc) connector.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if e.killed.Load() {
			return nil, errKilled
		}
		return dial(ctx, network, address)
	}
}

var errKilled = errors.New("the entry was killed")

// killEntry simulates a power loss of an entry: all its connections break. The
// entry's goroutines end later, after a normal shutdown without a network.
func (f *fleet) killEntry(e *entry) {
	e.killed.Store(true)
	f.disruptionLog.RecordKill(e.host)
	f.net.KillHost(e.host)
	e.stop()
}

// divideEntries cuts the entries for whose index isInPart returns true off from the others. The returned function ends
// the partition.
func (f *fleet) divideEntries(isInPart func(i int) bool) (reconnect func()) {
	var part, others []netip.Addr
	for i := range f.entries {
		if isInPart(i) {
			part = append(part, entryHost(i))
		} else {
			others = append(others, entryHost(i))
		}
	}
	f.net.DisconnectAll(part, others)
	return func() {
		for _, a := range part {
			for _, b := range others {
				f.net.Reconnect(a, b)
			}
		}
	}
}

// shutDown ends all entries, workers and the store, and waits until their
// goroutines have ended.
func (f *fleet) shutDown() {
	f.downWorkers.WaitAllUp()
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
		f.net.KillHost(h)
	}
	f.net.KillHost(storeHost)
	f.net.KillHost(callerHost)
	time.Sleep(20 * time.Second)
}

// newCaller returns a caller that queries the directories of all entries. The
// seed determines its random choices.
func (f *fleet) newCaller(seed uint64) *caller.Caller {
	var directories []netip.AddrPort
	for i := range f.entries {
		directories = append(directories, netip.AddrPortFrom(entryHost(i), directoryPort))
	}
	c := caller.New(directories, seed, f.net.Dialer(callerHost))
	if f.responsePlan != nil {
		c.SetAddressReuse(int(seed))
		c.BodyOf = caller.MixedBody
		c.PromptPartsOf = func(id string) string { return topicOf(id) + ":300," + ownPart(id) }
		c.TokenUsageOf = func(id string) (most, hint int) { return f.responsePlan.TokenUsage(id, tokensPerEvent) }
	}
	return c
}

// topicOf returns the common part of all prompts and, for two in three request ids, one of a few others.
func topicOf(id string) string {
	sum := sha256.Sum256([]byte(id))
	if sum[0]%3 == 0 {
		return commonPart
	}
	return fmt.Sprintf("%s:300,%x", commonPart, 64+sum[1]%8)
}

// ownPart returns the part of a prompt that belongs to a request id alone.
func ownPart(id string) string { return fmt.Sprintf("%x:200", sha256.Sum256([]byte(id))) }

// startPartSender starts the given number of callers, whose prompts share a part that crashes engines and are not alike
// otherwise. Each waits for the duration pause between two sends.
func (f *fleet) startPartSender(callers int, pause time.Duration) *caller.Traffic {
	f.trafficCount++
	return caller.NewRepeatingTraffic(fmt.Sprintf("p%d%s", f.trafficCount, f.idSalt), callers, "/stream/x", pause, func(n int) *caller.Caller {
		c := f.newCaller(uint64(200 + n))
		c.BodyOf = func(id string) string { return id }
		c.PromptPartsOf = func(id string) string { return commonPart + ":300," + badPart + ":300," + ownPart(id) }
		return c
	})
}

// evidence returns the facts that the results of callers are checked against.
func (f *fleet) evidence() caller.Observations {
	events := func(string) int { return streamEvents }
	if f.responsePlan != nil {
		events = f.responsePlan.EventCount
	}
	executions := func(id string) []worker.Execution { return worker.ExecutionsOf(maps.Values(f.workers), id) }
	refusals := func(id string) []worker.Execution { return worker.RefusalsOf(maps.Values(f.workers), id) }
	return caller.Observations{Executions: executions, Refusals: refusals, EventCount: events, Faults: &f.disruptionLog}
}

// stopEntry stops an entry as SIGTERM does, and records the stop and the exit in disruptionLog.
func (f *fleet) stopEntry(e *entry) {
	s := f.disruptionLog.RecordShutdown(e.host, shutdownGrace)
	e.stop()
	go func() {
		<-e.exited
		s.RecordExit()
	}()
}

// executionCount returns how many times a request ran, over all workers.
func (f *fleet) executionCount(id string) int {
	return worker.ExecutionCount(maps.Values(f.workers), id)
}

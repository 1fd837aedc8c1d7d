package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/client"
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/loader"
	"github.com/sapphireramp/sapphireramp/logger"
	"github.com/sapphireramp/sapphireramp/standin/engine"
	"github.com/sapphireramp/sapphireramp/standin/network"
	"github.com/sapphireramp/sapphireramp/standin/platform"
	"github.com/sapphireramp/sapphireramp/standin/service"
	"github.com/sapphireramp/sapphireramp/validator"
)

const testKey = "test-key"

// testFleet is a whole system of entries, engines, a service and the platform, which runs in one process and
// in virtual time.
type testFleet struct {
	// memory is the memory in bytes that entries may use that are started from now on; 0 for the default.
	memory          int64
	t               testing.TB
	net             *network.Network
	platform        *platform.Server
	entries         []*testEntry
	engines         []*testEngine
	service         *service.Server
	instanceList    api.InstanceList
	lastIncarnation uint64
	// log receives the log of entries that start once it is set, at level info.
	log *lockedBuffer
	// played holds, by address, a connection that the next dial of an entry returns instead of one of net.
	played sync.Map
}

// dialer returns the function by which an entry opens connections.
func (f *testFleet) dialer(from netip.Addr) connector.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if c, ok := f.played.LoadAndDelete(address); ok {
			return c.(net.Conn), nil
		}
		return f.net.Dialer(from)(ctx, network, address)
	}
}

type testEntry struct {
	name     string
	host     netip.Addr
	settings loader.Settings
	server   *Server
	stop     context.CancelFunc
	// done is closed when the entry's Run has returned.
	done chan struct{}
	// dead is true while the entry is killed and not yet restarted.
	dead bool
}

type testEngine struct {
	name       string
	host       netip.Addr
	server     *engine.Server
	stop       context.CancelFunc
	httpServer *http.Server
	// dead is true while the engine is killed and not yet restarted.
	dead bool
}

// lockedBuffer is a buffer that several goroutines may use at once.
type lockedBuffer struct {
	lock   sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.buffer.String()
}

func host(kind, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 0, byte(kind), byte(number)})
}

var callerHost = host(0, 1)

// withTestFleet runs f in virtual time on a fleet that has had 3 s to become ready.
func withTestFleet(t *testing.T, entries, engines int, f func(*testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, entries, engines)
		defer fleet.close()
		time.Sleep(3 * time.Second)
		f(fleet)
	})
}

func newTestFleet(t testing.TB, entries, engines int) *testFleet {
	f := &testFleet{t: t, net: network.New(), platform: platform.New(0)}
	f.serve(host(9, 1), f.platform.Handler())
	f.service = &service.Server{Name: "dispatch", Delay: 50 * time.Millisecond}
	f.serve(host(3, 1), f.service.Handler())
	f.addInstance("service-1", api.KindService, host(3, 1))
	for i := 1; i <= engines; i++ {
		e := &testEngine{name: fmt.Sprintf("engine-%d", i), host: host(2, i)}
		f.engines = append(f.engines, e)
		f.addInstance(e.name, api.KindEngine, e.host)
		f.startEngine(e)
	}
	for i := 1; i <= entries; i++ {
		e := &testEntry{name: fmt.Sprintf("entry-%d", i), host: host(1, i)}
		f.entries = append(f.entries, e)
		f.addInstance(e.name, api.KindEntry, e.host)
	}
	f.platform.Publish([]byte(testDocument(1, engines, "")), false)
	f.publishList()
	for _, e := range f.entries {
		e.settings = f.settingsOf(e)
	}
	for _, e := range f.entries {
		f.startEntry(e)
	}
	return f
}

func testDocument(revision, engines int, comment string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `# %s
Revision: %d
Models: [{Name: model, Versions: ["1"]}]
Organisations: [{Name: team, KeyDigest: %s, Models: [model], Services: [dispatch], MaxInFlight: 500}]
Services: [{Name: dispatch, Instances: [service-1], Calls: [{Name: lookup, Repeatable: true}, {Name: truck, Repeatable: false}]}]
Limits: {MaxPromptTokens: 50000, MaxNewTokens: 1000, MaxTimeout: 5m, DefaultTimeout: 30s, MaxGroup: %d, MaxInFlight: 500}
Policy: {ShortTokens: 4000, ShortWeight: 5}
Engines:
`, comment, revision, validator.Digest([]byte(testKey)), min(engines, 64))
	for i := 1; i <= engines; i++ {
		fmt.Fprintf(&b, "  - {Name: engine-%d, Model: model, Version: \"1\", Role: Mixed, MemoryTokens: 20000, PrefillRate: 20000, ChecksFences: true, ChecksOrders: false}\n", i)
	}
	return b.String()
}

func (f *testFleet) addInstance(name, kind string, h netip.Addr) {
	i := api.Instance{Name: name, Kind: kind, Address: netip.AddrPortFrom(h, 80).String(), DataCentre: "dc", State: api.InstanceLive}
	if kind == api.KindEntry {
		i.PeerAddress = netip.AddrPortFrom(h, 81).String()
	}
	f.instanceList.Instances = append(f.instanceList.Instances, i)
}

func (f *testFleet) publishList() {
	data, err := json.Marshal(f.instanceList)
	if err != nil {
		f.t.Fatal(err)
	}
	f.platform.Publish(data, true)
}

func (f *testFleet) serve(h netip.Addr, handler http.Handler) *http.Server {
	l, _ := f.net.Listen(netip.AddrPortFrom(h, 80))
	web := &http.Server{Handler: handler}
	go func() { _ = web.Serve(l) }()
	return web
}

func (f *testFleet) startEngine(e *testEngine) {
	f.lastIncarnation++
	ctx, stop := context.WithCancel(context.Background())
	e.server = engine.NewServer(engine.Config{
		Name: e.name, Incarnation: f.lastIncarnation, Model: "model", Version: "1", Role: "Mixed", MemoryTokens: 20_000,
		PrefillRate: 20_000, TokenTime: 20 * time.Millisecond, ChecksFences: true, ReportLag: 300 * time.Millisecond,
	}, false)
	e.stop, e.dead = stop, false
	go e.server.Run(ctx)
	e.httpServer = f.serve(e.host, e.server.Handler())
}

// replaceHandler makes a running engine serve requests with another handler.
func (f *testFleet) replaceHandler(e *testEngine, handler http.Handler) {
	_ = e.httpServer.Close()
	f.net.KillHost(e.host)
	e.httpServer = f.serve(e.host, handler)
}

func (f *testFleet) killEngine(e *testEngine) {
	e.dead = true
	e.stop()
	f.net.KillHost(e.host)
	_ = e.httpServer.Close()
}

// settingsOf returns the settings of an entry, the same for every incarnation.
func (f *testFleet) settingsOf(e *testEntry) loader.Settings {
	s := loader.Defaults()
	s.Name, s.DataCentre = e.name, "dc"
	s.Address, s.PeerAddress = netip.AddrPortFrom(e.host, 80), netip.AddrPortFrom(e.host, 81)
	s.Listen, s.PeerListen = s.Address, s.PeerAddress
	s.Platform = netip.AddrPortFrom(host(9, 1), 80)
	s.Timing.Silence = 2 * time.Second
	s.Callers.AddressLife, s.Callers.DrainSlack = time.Second, 0
	if f.memory > 0 {
		s.Memory = f.memory
	}
	for _, o := range f.entries {
		if o != e {
			s.Peers = append(s.Peers, netip.AddrPortFrom(o.host, 81))
		}
	}
	return s
}

func (f *testFleet) startEntry(e *testEntry) {
	f.lastIncarnation++
	logConfig := logger.Config{Level: "error", Output: io.Discard}
	if f.log != nil {
		logConfig = logger.Config{Level: "info", Output: f.log}
	}
	logs, err := logger.New(logConfig)
	if err != nil {
		f.t.Fatal(err)
	}
	e.server, err = New(Config{
		Settings: e.settings, Incarnation: f.lastIncarnation, Logs: logs, MetricScope: tally.NoopScope, MetricsHandler: http.NotFoundHandler(),
		Dial: f.dialer(e.host), Listen: f.net.Listen,
		OnViolation: func(name, detail string) { f.t.Errorf("invariant %s: %s", name, detail) },
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	e.stop, e.done, e.dead = stop, done, false
	go func(s *Server) {
		defer close(done)
		_ = s.Run(ctx)
	}(e.server)
}

// restartWithLog restarts the first entry, whose log is f.log from then on, and waits until keepers have received
// reports of their engines.
func (f *testFleet) restartWithLog() *testEntry {
	entry := f.entries[0]
	f.killEntry(entry)
	f.log = &lockedBuffer{}
	f.startEntry(entry)
	time.Sleep(8 * time.Second)
	return entry
}

// killEntry cuts all connections of an entry and then ends it, so that no other process receives anything
// from its shutdown.
func (f *testFleet) killEntry(e *testEntry) {
	e.dead = true
	f.net.KillHost(e.host)
	for _, o := range f.hosts() {
		f.net.Disconnect(e.host, o)
	}
	e.stop()
	<-e.done
	for _, o := range f.hosts() {
		f.net.Reconnect(e.host, o)
	}
}

func (f *testFleet) hosts() []netip.Addr {
	out := []netip.Addr{callerHost, host(9, 1), host(3, 1)}
	for _, e := range f.entries {
		out = append(out, e.host)
	}
	for _, e := range f.engines {
		out = append(out, e.host)
	}
	return out
}

// client returns a client that uses all entries and makes at most the given number of tries.
func (f *testFleet) client(tries int) *client.Client { return f.clientOf(testKey, tries) }

// clientOf returns a client like client with the API key of another organisation.
func (f *testFleet) clientOf(key string, tries int) *client.Client {
	c := client.Config{APIKey: key, MaxTries: tries, HTTPClient: f.httpClient()}
	for _, e := range f.entries {
		c.Seeds = append(c.Seeds, e.settings.Address)
	}
	return client.New(c)
}

func (f *testFleet) httpClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: f.net.Dialer(callerHost), DisableKeepAlives: true}}
}

// engineReport is what the stand-in engine reports to tests about the requests that it ran.
type engineReport struct {
	// Requests is the number of streams started, by request ID.
	Requests map[string]int
	// LateAfterLeaving is the number of streams started later after the announcement of leaving than is
	// expected of entries.
	LateAfterLeaving int
	UsedTokens       int
}

func (f *testFleet) engineReport(e *testEngine) engineReport {
	var out engineReport
	w := &memoryWriter{header: http.Header{}}
	r, _ := http.NewRequest(http.MethodGet, "/control/ran", nil)
	e.server.Handler().ServeHTTP(w, r)
	if err := json.Unmarshal(w.body.Bytes(), &out); err != nil {
		f.t.Fatal(err)
	}
	return out
}

type memoryWriter struct {
	header http.Header
	body   bytes.Buffer
}

func (w *memoryWriter) Header() http.Header         { return w.header }
func (w *memoryWriter) Write(p []byte) (int, error) { return w.body.Write(p) }
func (w *memoryWriter) WriteHeader(int)             {}

// close stops all processes, as the synctest bubble ends only when its goroutines have.
func (f *testFleet) close() {
	for _, e := range f.entries {
		e.stop()
	}
	for _, e := range f.entries {
		<-e.done
		f.net.KillHost(e.host)
	}
	for _, e := range f.engines {
		e.stop()
		_ = e.httpServer.Close()
		f.net.KillHost(e.host)
	}
	f.net.KillHost(host(9, 1))
	f.net.KillHost(host(3, 1))
	f.net.KillHost(callerHost)
}

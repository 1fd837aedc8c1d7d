// Package soak runs the real program as separate processes on one machine and
// injects faults from outside them: relays before the store and the upstreams
// delay, reset, cut and silence connections; signals stop, pause, kill and
// restart processes; upstreams and the store fail in their own ways. Callers
// hold every answer against the promises.
package soak

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/caller"
	"github.com/sapphireramp/sapphireramp/standin/relay"
	"github.com/sapphireramp/sapphireramp/standin/store"
	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// Ports of an entry; the addresses are the run's own.
const (
	callersPort, readyPort, directoryPort, peerPort, sharePort, metricsPort = 8227, 8220, 8224, 8229, 7340, 9464
	storePort, workerPort                                                   = 8223, 8080
	// tokensOfEvent is the stride of the engines.
	tokensOfEvent = 51
	grace         = 8 * time.Second
)

// plan is how long answers last.
var plan = worker.DrawnPlan(40 * time.Millisecond)

// binary is the program under test, built once.
var binary string

// TestMain builds the program.
func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "sapphireramp-soak")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(directory, "sapphireramp")
	build := exec.Command("go", "build", "-o", binary, "../cmd/sapphireramp")
	if output, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v: %s", err, output))
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// entry is one entry's process.
type entry struct {
	fleet    *fleet
	index    int
	host     netip.Addr
	settings string
	lock     sync.Mutex
	running  *exec.Cmd
	exited   chan struct{}
	// signalled is true while a fault has the process stopped, killed or paused.
	signalled atomic.Bool
}

// fleet is the whole system of one run, on loopback addresses of its own.
type fleet struct {
	t         *testing.T
	seed      int
	directory string
	store     *store.Store
	storeWay  *relay.Relay
	workers   map[string]*worker.Worker
	ways      map[string]*relay.Relay
	services  map[string]string
	// born is when workers started anew, in Unix milliseconds.
	born    map[string]int64
	entries []*entry
	servers []*http.Server
	version int
	// troubles are what happens to entries and upstreams.
	troubles caller.FaultLog
	// background is what goes on beside the faults: series of stops.
	background sync.WaitGroup
	// crashed are the upstreams that are not back yet; lock guards born.
	crashed worker.Down
	lock    sync.Mutex
	// repeaters asked for what crashes upstreams.
	repeaters []*caller.Traffic
	// callers are all that asked while there were faults.
	callers []*caller.Traffic
}

// address is a loopback address of this run.
func (f *fleet) address(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + f.seed%250), byte(kind), byte(1 + n)})
}

func newFleet(t *testing.T, seed, entries int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, seed: seed, directory: t.TempDir(), store: store.New(), workers: map[string]*worker.Worker{},
		ways: map[string]*relay.Relay{}, services: map[string]string{}, born: map[string]int64{},
	}
	f.serve(netip.AddrPortFrom(f.address(0, 0), storePort), f.store)
	f.storeWay = f.relay(netip.AddrPortFrom(f.address(0, 1), storePort), netip.AddrPortFrom(f.address(0, 0), storePort))
	f.configure("key-1")
	for n := range 6 {
		f.addWorker(n, []string{"app", "lm"}[n%2])
	}
	for n := range entries {
		e := &entry{fleet: f, index: n, host: f.address(3, n)}
		e.settings = filepath.Join(f.directory, fmt.Sprintf("entry-%d.conf", n))
		f.entries = append(f.entries, e)
		e.writeSettings(1)
		e.start()
	}
	t.Cleanup(f.end)
	return f
}

func (f *fleet) serve(address netip.AddrPort, h http.Handler) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
}

func (f *fleet) relay(front, back netip.AddrPort) *relay.Relay {
	r, err := relay.New(front, back)
	if err != nil {
		f.t.Fatal(err)
	}
	return r
}

func (f *fleet) addWorker(n int, service string) {
	id := fmt.Sprintf("i-%s-%d", service, n)
	w := worker.New(id, 15*time.Millisecond, 0, 40*time.Millisecond)
	w.Follow(calmly(plan))
	w.OnCrash(func() { f.crash(id) })
	back, front := netip.AddrPortFrom(f.address(1, n), workerPort), netip.AddrPortFrom(f.address(2, n), workerPort)
	f.serve(back, w)
	f.workers[id], f.ways[id], f.services[id], f.born[id] = w, f.relay(front, back), service, time.Now().UnixMilli()
	f.list(id, "ready")
}

func (f *fleet) list(id, state string) {
	n := id[strings.LastIndex(id, "-")+1:]
	u := store.NewUpstreamRecord(f.services[id], netip.AddrPortFrom(f.address(2, int(n[0]-'0')), workerPort))
	f.lock.Lock()
	u.State, u.StartedMillis = state, f.born[id]
	f.lock.Unlock()
	f.store.Put("servers/"+id, u)
}

// isCalm reports whether a traffic or a request is that after the faults.
func isCalm(name string) bool { return strings.HasPrefix(name, "calm") }

// calmly returns a plan whose answers to calm traffic are short, so that the end
// of a run is too.
func calmly(p *worker.Plan) *worker.Plan {
	return &worker.Plan{
		Events: func(id string) int {
			if isCalm(id) {
				return 8
			}
			return p.Events(id)
		},
		Work: func(id, path string) time.Duration {
			if isCalm(id) {
				return 15 * time.Millisecond
			}
			return p.Work(id, path)
		},
	}
}

// restartWorker starts a worker again under its id.
func (f *fleet) restartWorker(id string) {
	f.workers[id].Restart()
	f.troubles.RecordRestart(id)
	f.bear(id)
}

// bear lists a worker that starts.
func (f *fleet) bear(id string) {
	f.lock.Lock()
	f.born[id] = time.Now().UnixMilli()
	f.lock.Unlock()
	f.list(id, "ready")
}

// crashTime is how long a worker that crashed is down.
const crashTime = 2 * time.Second

// crash ends a worker's process: its connections end, nobody listens, and after a while it is started
// again under its id.
func (f *fleet) crash(id string) {
	if !f.crashed.Begin(id) {
		return
	}
	mended := f.troubles.RecordCut(id)
	f.workers[id].Restart()
	f.ways[id].Down()
	go func() {
		defer f.crashed.End(id)
		time.Sleep(crashTime)
		if err := f.ways[id].Up(); err != nil {
			f.t.Errorf("seed %d: %s: %v", f.seed, id, err)
		}
		f.troubles.RecordRestart(id)
		f.bear(id)
		mended()
	}()
}

func (f *fleet) configure(keys ...string) {
	f.version++
	route := func(name, kind, service string, attempts int, more string) json.RawMessage {
		timeout := caller.RouteTimeout("/" + name + "/").Milliseconds()
		return json.RawMessage(fmt.Sprintf(`{"name":%q,"host":"h","prefix":"/%s/","kind":%q,"service":%q,"timeout-ms":%d,"target-latency-ms":300,"max-attempts":%d%s}`, name, name, kind, service, timeout, attempts, more))
	}
	f.store.Put("op/config", map[string]any{
		"version": f.version,
		"routes": []any{
			route("once", "non_idempotent", "app", 1, ""), route("safe", "idempotent", "app", 2, ""),
			route("stream", "streaming", "lm", 2, `,"stream-resume":true,"sticky":true,"gap-aim-ms":250`),
			route("fixed", "streaming", "lm", 1, `,"sticky":true,"gap-aim-ms":250`),
		},
		"services": []any{
			json.RawMessage(`{"name":"app"}`),
			json.RawMessage(`{"name":"lm","engine":{"slots":16,"kv-capacity-tokens":315000,"stride":51,"step_ms":0.85,"per_seq_ms":0.004,"context_per_k":0.003,"read_per_s":177000,"pairs_per_m":0.18,"chunk":2048}}`),
		},
		"limits":  map[string]any{"max-body-bytes": 100000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "crew", "api-keys": keys}},
	})
}

// writeSettings writes the entry's settings file, whole at once.
func (e *entry) writeSettings(slack int) {
	at := func(port int) string { return fmt.Sprintf("%s:%d", e.host, port) }
	lines := []string{
		fmt.Sprintf("node-name=entry-%d", e.index), fmt.Sprintf("zone=dc-%d", e.index%3),
		"listen.front=" + at(callersPort), "listen.ready=" + at(readyPort), "listen.control=" + at(peerPort), "listen.directory=" + at(directoryPort),
		fmt.Sprintf("internal-ports=%d,%d", sharePort, sharePort+10),
		fmt.Sprintf("seeds=%s:%d,%s:%d", e.fleet.address(3, 0), peerPort, e.fleet.address(3, 1), peerPort),
		fmt.Sprintf("platform.address=%s:%d", e.fleet.address(0, 1), storePort),
		fmt.Sprintf("bounds.grace-s=%d", grace/time.Second), "bounds.config-deadline-ms=2000", "bounds.drain-ms=2000", "bounds.budget-ratio=0.2", "bounds.budget-window-s=10",
		fmt.Sprintf("bounds.budget-slack=%d", 100+slack), "bounds.ttl_max_s=5", "bounds.hold-max-ms=20000", "bounds.free-ms=4000", "bounds.idle-max-ms=9000", "bounds.stall_ms=1500",
	}
	draft := e.settings + ".new"
	if err := os.WriteFile(draft, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		e.fleet.t.Error(err)
	}
	if err := os.Rename(draft, e.settings); err != nil {
		e.fleet.t.Error(err)
	}
}

// start starts the entry's process.
func (e *entry) start() {
	e.lock.Lock()
	defer e.lock.Unlock()
	command := exec.Command(binary, "gateway", "--metrics-port", fmt.Sprint(metricsPort))
	command.Env = append(os.Environ(), "SAPPHIRERAMP_BOOT="+e.settings)
	log, err := os.OpenFile(filepath.Join(e.fleet.directory, fmt.Sprintf("entry-%d.log", e.index)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		e.fleet.t.Error(err)
		return
	}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		e.fleet.t.Error(err)
		return
	}
	e.running, e.exited = command, make(chan struct{})
	go func(exited chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}(e.exited)
}

// signal sends the entry's process a signal; it ends only processes that this
// run started, by their ids.
func (e *entry) signal(s syscall.Signal) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.running != nil {
		_ = e.running.Process.Signal(s)
	}
}

// wait waits until the entry's process has ended.
func (e *entry) wait(limit time.Duration) bool {
	e.lock.Lock()
	exited := e.exited
	e.lock.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (f *fleet) end() {
	for _, e := range f.entries {
		e.signal(syscall.SIGKILL)
	}
	for _, e := range f.entries {
		e.wait(5 * time.Second)
	}
	f.storeWay.Close()
	for _, w := range f.ways {
		w.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	if !f.t.Failed() {
		return
	}
	kept := filepath.Join(os.TempDir(), fmt.Sprintf("sapphireramp-soak-%d", f.seed))
	_ = os.RemoveAll(kept)
	if err := os.CopyFS(kept, os.DirFS(f.directory)); err == nil {
		f.t.Logf("seed %d: logs are kept in %s", f.seed, kept)
	}
}

// awaitReady waits until every entry is ready.
func (f *fleet) awaitReady(limit time.Duration) {
	f.t.Helper()
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	until := time.Now().Add(limit)
	for _, e := range f.entries {
		for {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", e.host, readyPort))
			if err == nil {
				_ = response.Body.Close()
			}
			if err == nil && response.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				f.t.Errorf("seed %d: entry-%d is not ready after %s: %v", f.seed, e.index, limit, err)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// newCaller returns a caller that knows all directories.
func (f *fleet) newCaller(n int) *caller.Caller {
	var directories []netip.AddrPort
	for _, e := range f.entries {
		directories = append(directories, netip.AddrPortFrom(e.host, directoryPort))
	}
	dialer := net.Dialer{Timeout: time.Second}
	return caller.New(directories, uint64(f.seed*100+n), dialer.DialContext)
}

// traffic starts callers that ask steadily until they are told to stop.
func (f *fleet) traffic(name string, callers int) *caller.Traffic {
	return caller.NewTraffic(name, callers, func(n int) *caller.Caller {
		c := f.newCaller(n)
		if !isCalm(name) { // calm callers are to reach every entry
			c.SetAddressReuse(n)
		}
		c.BodyOf = caller.MixedBody
		c.TokenUsageOf = func(id string) (most, hint int) { return calmly(plan).Usage(id, tokensOfEvent) }
		return c
	})
}

// repeater starts callers that ask for what crashes upstreams.
func (f *fleet) repeater(callers int, pause time.Duration) *caller.Traffic {
	name := fmt.Sprintf("repeat%d-%d", f.seed, len(f.repeaters))
	return caller.NewRepeatingTraffic(name, callers, caller.CrashPath, pause, func(n int) *caller.Caller { return f.newCaller(50 + n) })
}

// evidence is what answers are held against.
func (f *fleet) evidence() caller.Observations {
	return caller.Observations{
		Runs:       func(id string) []worker.Run { return worker.RunsOf(maps.Values(f.workers), id) },
		Refusals:   func(id string) []worker.Run { return worker.RefusalsOf(maps.Values(f.workers), id) },
		EventCount: calmly(plan).Events, Faults: &f.troubles,
	}
}

// judge fails the test for every broken promise to callers that were stopped.
func (f *fleet) judge(x *caller.Traffic) (served, asked int) {
	served, asked, broken := x.Evaluate(f.evidence())
	for _, b := range broken {
		f.t.Errorf("seed %d: %s", f.seed, b)
	}
	return served, asked
}

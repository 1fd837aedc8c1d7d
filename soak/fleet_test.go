// Package soak runs several entries as separate processes on one machine and injects
// random faults from outside them. Relays in front of the store and the upstreams
// delay, reset, cut and stall connections; signals shut down, pause and kill
// entries; the stand-ins for upstreams and the store return faulty responses.
// The tests check every response against the guarantees that the product gives.
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

const (
	// Ports of an entry. Every entry listens on the same ports, each at an IP
	// address of its own.
	callerPort, readyPort, directoryPort, peerPort, loadUpdatePort, metricsPort = 8227, 8220, 8224, 8229, 7340, 9464
	storePort, upstreamPort                                                     = 8223, 8080
	// tokensPerEvent is the number of tokens in one event of a stream: the stride
	// of the engines in the configuration.
	tokensPerEvent = 51
	// gracePeriod is the time from SIGTERM within which an entry must exit, as in the
	// setting bounds.grace-s.
	gracePeriod = 8 * time.Second
)

// answerPlan determines the duration of each answer by the request's ID, with 40 ms
// between the events of a stream.
var answerPlan = worker.RandomPlan(40 * time.Millisecond)

// binary is the path of the program under test, which TestMain builds.
var binary string

// TestMain builds the program under test and runs the tests.
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

// entry is one entry of the fleet, which runs as a separate process.
type entry struct {
	fleet *fleet
	// index is the number in the entry's name, from 0.
	index int
	// host is the IP address on which the entry listens.
	host         netip.Addr
	settingsPath string
	// mutex guards cmd and exited.
	mutex sync.Mutex
	// cmd is the process that was started last.
	cmd *exec.Cmd
	// exited is closed once cmd has exited.
	exited chan struct{}
	// disrupted is true while the process is shut down, killed or paused by a fault.
	disrupted atomic.Bool
}

// fleet is the system under test for one seed: entries, upstreams and the store, on
// loopback addresses that the seed determines.
type fleet struct {
	t    *testing.T
	seed int
	// directory holds settings and log files.
	directory string
	store     *store.Store
	// storeRelay carries the entries' connections to the store.
	storeRelay *relay.Relay
	// upstreams has instance IDs as keys, as have the next three maps.
	upstreams map[string]*worker.Worker
	// upstreamRelays carry the entries' connections to each upstream.
	upstreamRelays map[string]*relay.Relay
	// serviceOf is the service to which each upstream belongs.
	serviceOf map[string]string
	// startedAt is the time of each upstream's last start, in Unix milliseconds.
	startedAt map[string]int64
	entries   []*entry
	// servers serve the store and the upstreams.
	servers []*http.Server
	// configVersion is the version of the configuration written last.
	configVersion int
	// faultLog records the faults injected into entries, upstreams and the store,
	// with their times. checkGuarantees uses it to decide which requests may
	// fail.
	faultLog caller.FaultLog
	// background tracks the goroutines that restart entries after a fault and
	// those that stop traffics.
	background sync.WaitGroup
	// down holds the upstreams that have crashed and are not restarted yet.
	down worker.DownSet
	// mutex guards startedAt.
	mutex sync.Mutex
	// crashTraffics are the traffics whose requests crash upstreams.
	crashTraffics []*caller.Traffic
	// traffics are the other traffics started before the end of the faults.
	traffics []*caller.Traffic
	limits   limits
}

// limits are the limits of a fleet's entries and of its configuration; 0 leaves one out.
type limits struct {
	// memoryMB and maxFDs are the settings limits.memory-mb and limits.max-fds of entries.
	memoryMB, maxFDs int
	// maxBody and maxHeader are the maximum sizes in bytes of request bodies and headers in the configurations that are
	// written from now on, headerTimeout the time in which a header must arrive.
	maxBody, maxHeader int
	headerTimeout      time.Duration
}

// address returns the loopback address of a component, given its kind and its number n
// from 0. Kinds are 0 for the store and its relay, 1 for upstreams, 2 for their relays
// and 3 for entries. Seeds less than 250 apart get different addresses.
func (f *fleet) address(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + f.seed%250), byte(kind), byte(1 + n)})
}

// newFleet starts the store, six upstreams of two services and the entries. The
// test's cleanup stops them.
func newFleet(t *testing.T, seed, entryCount int) *fleet {
	return newFleetWithLimits(t, seed, entryCount, limits{maxBody: 100_000})
}

// newFleetWithLimits starts a fleet like newFleet that has limits.
func newFleetWithLimits(t *testing.T, seed, entryCount int, l limits) *fleet {
	t.Helper()
	f := &fleet{
		limits: l,
		t:      t, seed: seed, directory: t.TempDir(), store: store.New(), upstreams: map[string]*worker.Worker{},
		upstreamRelays: map[string]*relay.Relay{}, serviceOf: map[string]string{}, startedAt: map[string]int64{},
	}
	f.serve(netip.AddrPortFrom(f.address(0, 0), storePort), f.store)
	f.storeRelay = f.newRelay(netip.AddrPortFrom(f.address(0, 1), storePort), netip.AddrPortFrom(f.address(0, 0), storePort))
	f.putConfiguration("key-1")
	for n := range 6 {
		f.addUpstream(n, []string{"app", "lm"}[n%2])
	}
	for n := range entryCount {
		e := &entry{fleet: f, index: n, host: f.address(3, n)}
		e.settingsPath = filepath.Join(f.directory, fmt.Sprintf("entry-%d.conf", n))
		f.entries = append(f.entries, e)
		e.writeSettings(1)
		e.start()
	}
	t.Cleanup(f.cleanUp)
	return f
}

// serve starts an HTTP server at an address.
func (f *fleet) serve(address netip.AddrPort, h http.Handler) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
}

// newRelay starts a relay that listens at front and connects to back.
func (f *fleet) newRelay(front, back netip.AddrPort) *relay.Relay {
	r, err := relay.New(front, back)
	if err != nil {
		f.t.Fatal(err)
	}
	return r
}

// addUpstream starts the nth upstream behind a relay and registers it in the store.
func (f *fleet) addUpstream(n int, service string) {
	id := fmt.Sprintf("i-%s-%d", service, n)
	w := worker.New(id, 15*time.Millisecond, 0, 40*time.Millisecond)
	w.SetPlan(withShortCalmAnswers(answerPlan))
	w.OnCrash(func() { f.crashUpstream(id) })
	back, front := netip.AddrPortFrom(f.address(1, n), upstreamPort), netip.AddrPortFrom(f.address(2, n), upstreamPort)
	f.serve(back, w)
	f.upstreams[id], f.upstreamRelays[id], f.serviceOf[id], f.startedAt[id] = w, f.newRelay(front, back), service, time.Now().UnixMilli()
	f.putUpstream(id, "ready")
}

// putUpstream writes an upstream's state, ready or draining, to the store.
func (f *fleet) putUpstream(id, state string) {
	n := id[strings.LastIndex(id, "-")+1:]
	u := store.NewUpstreamRecord(f.serviceOf[id], netip.AddrPortFrom(f.address(2, int(n[0]-'0')), upstreamPort))
	f.mutex.Lock()
	u.State, u.StartedMillis = state, f.startedAt[id]
	f.mutex.Unlock()
	f.store.Put("servers/"+id, u)
}

// isCalmName reports whether a traffic's name or a request's ID belongs to the calm
// traffic, which is started after all faults have ended.
func isCalmName(name string) bool { return strings.HasPrefix(name, "calm") }

// withShortCalmAnswers returns a copy of a plan with short answers to calm traffic, so
// that the test does not wait for long answers at its end.
func withShortCalmAnswers(base *worker.AnswerPlan) *worker.AnswerPlan {
	return &worker.AnswerPlan{
		EventCount: func(id string) int {
			if isCalmName(id) {
				return 8
			}
			return base.EventCount(id)
		},
		CallDuration: func(id, path string) time.Duration {
			if isCalmName(id) {
				return 15 * time.Millisecond
			}
			return base.CallDuration(id, path)
		},
	}
}

// restartUpstream restarts an upstream under its ID. The requests in flight at the
// upstream are never answered.
func (f *fleet) restartUpstream(id string) {
	f.upstreams[id].Restart()
	f.faultLog.RecordRestart(id)
	f.registerStart(id)
}

// registerStart registers a started upstream as ready in the store, with the
// current time as that of its start.
func (f *fleet) registerStart(id string) {
	f.mutex.Lock()
	f.startedAt[id] = time.Now().UnixMilli()
	f.mutex.Unlock()
	f.putUpstream(id, "ready")
}

// crashDowntime is the time from an upstream's crash to its restart.
const crashDowntime = 2 * time.Second

// crashUpstream crashes an upstream: its connections are closed and new ones are
// refused until it restarts under its ID after crashDowntime. It does nothing if
// the upstream is down.
func (f *fleet) crashUpstream(id string) {
	if !f.down.MarkDown(id) {
		return
	}
	endCut := f.faultLog.RecordCut(id)
	f.upstreams[id].Restart()
	f.upstreamRelays[id].Stop()
	go func() {
		defer f.down.MarkUp(id)
		time.Sleep(crashDowntime)
		if err := f.upstreamRelays[id].Resume(); err != nil {
			f.t.Errorf("seed %d: %s: %v", f.seed, id, err)
		}
		f.faultLog.RecordRestart(id)
		f.registerStart(id)
		endCut()
	}()
}

// putConfiguration writes the configuration to the store with a new version.
func (f *fleet) putConfiguration(apiKeys ...string) {
	f.configVersion++
	route := func(name, kind, service string, attempts int, settings string) json.RawMessage {
		timeout := caller.RouteTimeout("/" + name + "/").Milliseconds()
		return json.RawMessage(fmt.Sprintf(`{"name":%q,"host":"h","prefix":"/%s/","kind":%q,"service":%q,"timeout-ms":%d,"target-latency-ms":300,"max-attempts":%d%s}`, name, name, kind, service, timeout, attempts, settings))
	}
	f.store.Put("op/config", map[string]any{
		"version": f.configVersion,
		"routes": []any{
			route("once", "non_idempotent", "app", 1, ""), route("safe", "idempotent", "app", 2, ""),
			route("stream", "streaming", "lm", 2, `,"stream-resume":true,"sticky":true,"gap-aim-ms":250`),
			route("fixed", "streaming", "lm", 1, `,"sticky":true,"gap-aim-ms":250`),
		},
		"services": []any{
			json.RawMessage(`{"name":"app"}`),
			json.RawMessage(`{"name":"lm","engine":{"slots":16,"kv-capacity-tokens":315000,"stride":51,"step_ms":0.85,"per_seq_ms":0.004,"context_per_k":0.003,"read_per_s":177000,"pairs_per_m":0.18,"chunk":2048}}`),
		},
		"limits":  f.limits.configured(),
		"tenants": []any{map[string]any{"name": "crew", "api-keys": apiKeys}},
	})
}

// configured returns the limits of the configuration.
func (l limits) configured() map[string]any {
	out := map[string]any{"max-body-bytes": l.maxBody, "idle-timeout-ms": 15000}
	if l.maxHeader > 0 {
		out["max-header-bytes"] = l.maxHeader
	}
	if l.headerTimeout > 0 {
		out["header-timeout-ms"] = l.headerTimeout.Milliseconds()
	}
	return out
}

// writeSettings replaces the entry's settings file atomically. The settings allow, at any
// load, 100 plus retrySlack retries for each service in addition to a ratio of its requests.
func (e *entry) writeSettings(retrySlack int) {
	addressAt := func(port int) string { return fmt.Sprintf("%s:%d", e.host, port) }
	lines := []string{
		fmt.Sprintf("node-name=entry-%d", e.index), fmt.Sprintf("zone=dc-%d", e.index%3),
		"listen.front=" + addressAt(callerPort), "listen.ready=" + addressAt(readyPort), "listen.control=" + addressAt(peerPort), "listen.directory=" + addressAt(directoryPort),
		fmt.Sprintf("internal-ports=%d,%d", loadUpdatePort, loadUpdatePort+10),
		fmt.Sprintf("seeds=%s:%d,%s:%d", e.fleet.address(3, 0), peerPort, e.fleet.address(3, 1), peerPort),
		fmt.Sprintf("platform.address=%s:%d", e.fleet.address(0, 1), storePort),
		fmt.Sprintf("bounds.grace-s=%d", gracePeriod/time.Second), "bounds.config-deadline-ms=2000", "bounds.drain-ms=2000", "bounds.budget-ratio=0.2", "bounds.budget-window-s=10",
		fmt.Sprintf("bounds.budget-slack=%d", 100+retrySlack), "bounds.ttl_max_s=5", "bounds.hold-max-ms=20000", "bounds.free-ms=4000", "bounds.idle-max-ms=9000", "bounds.stall_ms=1500",
	}
	if l := e.fleet.limits; l.memoryMB > 0 {
		lines = append(lines, fmt.Sprintf("limits.memory-mb=%d", l.memoryMB))
	}
	if l := e.fleet.limits; l.maxFDs > 0 {
		lines = append(lines, fmt.Sprintf("limits.max-fds=%d", l.maxFDs))
	}
	temporaryPath := e.settingsPath + ".new"
	if err := os.WriteFile(temporaryPath, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		e.fleet.t.Error(err)
	}
	if err := os.Rename(temporaryPath, e.settingsPath); err != nil {
		e.fleet.t.Error(err)
	}
}

// start starts the entry's process. Its output is appended to the entry's log file.
func (e *entry) start() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	command := exec.Command(binary, "gateway", "--metrics-port", fmt.Sprint(metricsPort))
	command.Env = append(os.Environ(), "SAPPHIRERAMP_BOOT="+e.settingsPath)
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
	e.cmd, e.exited = command, make(chan struct{})
	go func(exited chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}(e.exited)
}

// signal sends a signal to the entry's process, if one was started. It uses the
// process handle, so that it reaches only processes that this test started.
func (e *entry) signal(s syscall.Signal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.cmd != nil {
		_ = e.cmd.Process.Signal(s)
	}
}

// awaitExitWithin waits for the entry's process to exit and reports whether it did
// within the limit.
func (e *entry) awaitExitWithin(limit time.Duration) bool {
	e.mutex.Lock()
	exited := e.exited
	e.mutex.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// cleanUp kills the entries, closes the stand-ins, and copies the logs of a failed
// run to a directory that outlives the test.
func (f *fleet) cleanUp() {
	for _, e := range f.entries {
		e.signal(syscall.SIGKILL)
	}
	for _, e := range f.entries {
		e.awaitExitWithin(5 * time.Second)
	}
	f.storeRelay.Close()
	for _, r := range f.upstreamRelays {
		r.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	if !f.t.Failed() {
		return
	}
	logsPath := filepath.Join(os.TempDir(), fmt.Sprintf("sapphireramp-soak-%d", f.seed))
	_ = os.RemoveAll(logsPath)
	if err := os.CopyFS(logsPath, os.DirFS(f.directory)); err == nil {
		f.t.Logf("seed %d: logs of the failed run are kept in %s", f.seed, logsPath)
	}
}

// awaitReady waits until every entry reports that it is ready, and fails the test
// if one does not within the limit.
func (f *fleet) awaitReady(limit time.Duration) {
	f.t.Helper()
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(limit)
	for _, e := range f.entries {
		for {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", e.host, readyPort))
			if err == nil {
				_ = response.Body.Close()
			}
			if err == nil && response.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				f.t.Errorf("seed %d: entry-%d is not ready after %s: %v", f.seed, e.index, limit, err)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// newCaller returns a caller that queries any entry's directory for addresses. n and the
// fleet's seed determine the caller's random choices.
func (f *fleet) newCaller(n int) *caller.Caller {
	var directories []netip.AddrPort
	for _, e := range f.entries {
		directories = append(directories, netip.AddrPortFrom(e.host, directoryPort))
	}
	dialer := net.Dialer{Timeout: time.Second}
	return caller.New(directories, uint64(f.seed*100+n), dialer.DialContext)
}

// startTraffic starts callers that send requests until the traffic is stopped.
func (f *fleet) startTraffic(name string, callerCount int) *caller.Traffic {
	return caller.NewTraffic(name, callerCount, func(n int) *caller.Caller {
		c := f.newCaller(n)
		if !isCalmName(name) { // reusing addresses keeps callers at one entry, but calm traffic has to reach every entry
			c.SetAddressReuse(n)
		}
		c.BodyOf = caller.MixedBody
		c.TokenUsageOf = func(id string) (maxTokens, hint int) {
			return withShortCalmAnswers(answerPlan).TokenUsage(id, tokensPerEvent)
		}
		return c
	})
}

// startCrashTraffic starts callers that repeat a request that crashes upstreams,
// each waiting for interval before every repetition.
func (f *fleet) startCrashTraffic(callerCount int, interval time.Duration) *caller.Traffic {
	name := fmt.Sprintf("repeat%d-%d", f.seed, len(f.crashTraffics))
	return caller.NewRepeatingTraffic(name, callerCount, caller.CrashPath, interval, func(n int) *caller.Caller { return f.newCaller(50 + n) })
}

// observations returns what the upstreams and the fault log have recorded. The
// results of requests are checked against it.
func (f *fleet) observations() caller.Observations {
	return caller.Observations{
		Executions: func(id string) []worker.Execution { return worker.ExecutionsOf(maps.Values(f.upstreams), id) },
		Refusals:   func(id string) []worker.Execution { return worker.RefusalsOf(maps.Values(f.upstreams), id) },
		EventCount: withShortCalmAnswers(answerPlan).EventCount, Faults: &f.faultLog,
	}
}

// checkGuarantees checks the results of a stopped traffic and fails the test for
// every violated guarantee. It returns how many requests were served and how many
// were sent.
func (f *fleet) checkGuarantees(traffic *caller.Traffic) (served, sent int) {
	served, sent, violations := traffic.Evaluate(f.observations())
	for _, violation := range violations {
		f.t.Errorf("seed %d: %s", f.seed, violation)
	}
	return served, sent
}

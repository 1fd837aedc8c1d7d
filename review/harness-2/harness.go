//go:build review

// Command harness-2 plays the cases of the second review against processes of the program under test, on loopback
// addresses and the real clock. It holds the stand-ins for the store, the engines, the clients and the platform.
//
// Usage: harness-2 CASE FOLDER. It writes record.txt to FOLDER and exits with 1 if the rule was broken, 0 if it held,
// and 2 if the case could not run.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	apiKey   = "key-of-crew"
	hostName = "review.example"
)

// record is the file record.txt of a case. It is safe for concurrent use.
type record struct {
	lock    sync.Mutex
	file    *os.File
	startAt time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{file: file, startAt: time.Now()}, nil
}

// add writes a line with the time since the start of the case.
func (r *record) add(format string, args ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.startAt).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is a small deployment: entries, a store and engines, each at a loopback address of its own.
type deployment struct {
	record  *record
	folder  string
	program string
	// network is the second number of all addresses.
	network byte
	ports   ports
	store   *platformStore
	// storeAt is the address of the store in the settings files.
	storeAt netip.AddrPort
	bounds  bounds
	entries []*entry
	servers []*http.Server
	version int
}

// ports are the ports of every entry, of the store and of the engines.
type ports struct{ front, ready, directory, control, internal, metrics, store, engine int }

// newDeployment returns a deployment whose store runs and that has no entries yet.
func newDeployment(r *record, b bounds) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	program, err := filepath.Abs("target/sapphireramp")
	if err != nil {
		return nil, fmt.Errorf("find program: %w", err)
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("find program: %w", err)
	}
	free, err := freePorts(8)
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, bounds: b, folder: folder, program: program, network: byte(1 + os.Getpid()%250), store: newPlatformStore(),
		ports: ports{free[0], free[1], free[2], free[3], free[4], free[5], free[6], free[7]}}
	d.storeAt = d.address(0, 1, d.ports.store)
	if err := d.serve(d.storeAt, d.store); err != nil {
		return nil, err
	}
	go d.closeOnSignal()
	return d, nil
}

// freePorts returns n ports at which nothing listens.
func freePorts(n int) ([]int, error) {
	var out []int
	for len(out) < n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find free port: %w", err)
		}
		defer func() { _ = listener.Close() }()
		out = append(out, listener.Addr().(*net.TCPAddr).Port)
	}
	return out, nil
}

// address returns the address of a machine: of kind 0 for the store, 1 for engines and 2 for entries.
func (d *deployment) address(kind, n byte, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.network, kind, n}), uint16(port))
}

// serve starts an HTTP server.
func (d *deployment) serve(at netip.AddrPort, h http.Handler) error {
	listener, err := net.Listen("tcp", at.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// register writes an engine to the store.
func (d *deployment) register(id, service string, at netip.AddrPort, slots int, born time.Time) {
	d.store.put("servers/"+id, map[string]any{
		"service": service, "address": at, "zone": "zone-a", "version": "v1", "slots": slots, "state": "ready", "cold-left-ms": 0, "seq-no": 0, "born": born.UnixMilli(),
	})
}

// configure writes a configuration to the store.
func (d *deployment) configure(routes, services []any, limits map[string]any, keys ...string) {
	d.version++
	d.store.put("op/config", map[string]any{
		"version": d.version, "routes": routes, "services": services, "limits": limits,
		"tenants": []any{map[string]any{"name": "crew", "api-keys": keys, "priority": 1}},
	})
}

// entry is one process of the program under test.
type entry struct {
	deployment *deployment
	name       string
	host       netip.Addr
	lock       sync.Mutex
	command    *exec.Cmd
	exited     chan struct{}
}

// addEntries adds entries, whose settings are those of the smallest deployment on the pages, and starts them.
func (d *deployment) addEntries(n int) error {
	for i := range n {
		d.entries = append(d.entries, &entry{deployment: d, name: fmt.Sprintf("front-zone-a-%d", i+1), host: d.address(2, byte(i+1), 1).Addr()})
	}
	for _, e := range d.entries {
		if err := e.start(true); err != nil {
			return err
		}
	}
	return nil
}

func (e *entry) at(port int) string { return fmt.Sprintf("%s:%d", e.host, port) }

// memoryMB is the setting limits.memory-mb: the memory of a machine of the deployment "zeekant-ams".
const memoryMB = 284

// bounds are settings of a deployment that the cases refer to.
type bounds struct{ contact, ack, catchUp, drain, configDeadline, outer, recover time.Duration }

// zeekantBounds are those of "zeekant-ams".
var zeekantBounds = bounds{3 * time.Second, 4 * time.Second, 4 * time.Second, 2 * time.Second, 2 * time.Second, 5 * time.Second, 12 * time.Second}

// lines returns the bounds as lines of a settings file.
func (b bounds) lines() string {
	return strings.Join([]string{
		fmt.Sprintf("bounds.contact-ms=%d", b.contact.Milliseconds()), fmt.Sprintf("bounds.ack-ms=%d", b.ack.Milliseconds()), fmt.Sprintf("bounds.catch-up-s=%g", b.catchUp.Seconds()),
		fmt.Sprintf("bounds.drain-ms=%d", b.drain.Milliseconds()), fmt.Sprintf("bounds.config-deadline-ms=%d", b.configDeadline.Milliseconds()),
		fmt.Sprintf("bounds.outer-ms=%d", b.outer.Milliseconds()), fmt.Sprintf("bounds.recover-s=%g", b.recover.Seconds()),
	}, "\n")
}

// settings returns the content of the settings file.
func (e *entry) settings(isFirstStart bool) string {
	d := e.deployment
	var seeds []string
	for _, other := range d.entries[:min(3, len(d.entries))] {
		seeds = append(seeds, other.at(d.ports.control))
	}
	return strings.Join([]string{
		"node-name=" + e.name, "role=entry", "machine-class=front", "serves=front,control,directory", "ip=" + e.host.String(),
		"zone=zone-a", "region=region-a", "zones.zone-a=region-a",
		"listen.front=" + e.at(d.ports.front), "listen.ready=" + e.at(d.ports.ready), "listen.control=" + e.at(d.ports.control), "listen.directory=" + e.at(d.ports.directory),
		fmt.Sprintf("internal-ports=%d,%d", d.ports.internal, d.ports.internal), "seeds=" + strings.Join(seeds, ","),
		"first-start=" + strconv.FormatBool(isFirstStart), "counts-as-loss=false",
		"limits.cpu-share=0.4", "limits.cores=1", fmt.Sprintf("limits.memory-mb=%d", memoryMB), "limits.max-fds=4200", "limits.link-mbps=1000.0", "limits.disk-mb=0",
		"discovery=platform", "entry=directory", "heartbeat-ms=1200", "fault-tolerance.machines=1", "fault-tolerance.zones=0", "fault-tolerance.regions=0",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,spans",
		d.bounds.lines(), "bounds.seed-lag-s=3", "bounds.reuse-after-s=2", "bounds.grace-s=8",
		"bounds.loss-slack-ms=200", "bounds.rollback-slack-ms=250", "bounds.revoke-strict=false", "bounds.revoke-ms=5000",
		"bounds.budget-ratio=0.2", "bounds.budget-window-s=10", "bounds.budget-slack=100", "bounds.pass-ms=120", "bounds.again-s=0", "bounds.stall_ms=1500",
		"bounds.hold-max-ms=20000", "bounds.free-ms=4000", "bounds.idle-max-ms=9000", "bounds.ttl_max_s=5",
		fmt.Sprintf("platform.address=%s", d.storeAt), "platform.form=read", "platform.writes-per-s=400", "platform.reads-per-s=2000", "platform.history-s=20",
		"platform.value-bytes=1048576", "platform.ttl-min-ms=1000", "",
	}, "\n")
}

// writeSettings replaces the settings file at once, and returns its path.
func (e *entry) writeSettings(isFirstStart bool) (string, error) {
	path := filepath.Join(e.deployment.folder, e.name+".conf")
	if err := os.WriteFile(path+".new", []byte(e.settings(isFirstStart)), 0o600); err != nil {
		return "", fmt.Errorf("write settings: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return "", fmt.Errorf("write settings: %w", err)
	}
	return path, nil
}

// start writes the settings file and starts the process with the command of the deploy file.
func (e *entry) start(isFirstStart bool) error {
	d := e.deployment
	path, err := e.writeSettings(isFirstStart)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, e.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	command := exec.Command(d.program, "gateway", "--metrics-port", strconv.Itoa(d.ports.metrics))
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAPPHIRERAMP_BOOT=" + path}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", e.name, err)
	}
	exited := make(chan struct{})
	e.lock.Lock()
	e.command, e.exited = command, exited
	e.lock.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	d.record.add("%s started as process %d", e.name, command.Process.Pid)
	return nil
}

// process returns the process ID, and a channel that is closed at its end.
func (e *entry) process() (pid int, exited chan struct{}) {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.command.Process.Pid, e.exited
}

// signal sends a signal to the process that was started last.
func (e *entry) signal(s syscall.Signal) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.command != nil {
		_ = e.command.Process.Signal(s)
	}
}

// awaitReady waits until all entries are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range d.entries {
			response, err := client.Get("http://" + e.at(d.ports.ready) + "/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.entries) {
			d.record.add("all %d entries are ready", ready)
			return nil
		}
		if time.Since(began) > limit {
			return fmt.Errorf("%d of %d entries are ready after %s", ready, len(d.entries), limit)
		}
	}
}

// resolve asks an entry's directory for the addresses that a client may use.
func (d *deployment) resolve(ctx context.Context, e *entry) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.at(d.ports.directory)+"/resolve?name="+hostName+"&region=region-a&zone=zone-a", nil)
	if err != nil {
		return nil, fmt.Errorf("resolve: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("resolve: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var reply struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return nil, fmt.Errorf("resolve: %w", err)
	}
	return reply.Addresses, nil
}

// awaitAddresses waits until the directory of an entry names all entries, and returns their addresses.
func (d *deployment) awaitAddresses(limit time.Duration) ([]string, error) {
	for began := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		addresses, err := d.resolve(context.Background(), d.entries[0])
		if err == nil && len(addresses) == len(d.entries) {
			return addresses, nil
		}
		if time.Since(began) > limit {
			return nil, fmt.Errorf("the directory names %v after %s, error: %v", addresses, limit, err)
		}
	}
}

// closeOnSignal ends all processes and this one when it is to end.
func (d *deployment) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	<-signals
	for _, e := range d.entries {
		e.signal(syscall.SIGKILL)
	}
	_ = os.RemoveAll(d.folder)
	os.Exit(notRun)
}

// close ends all processes and servers.
func (d *deployment) close() {
	for _, e := range d.entries {
		e.signal(syscall.SIGKILL)
	}
	for _, e := range d.entries {
		if e.command != nil {
			<-e.exited
		}
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

func main() {
	cases := map[string]func(*record) int{"memory": playMemory, "move": playMove, "garble": playGarble}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE FOLDER")
		os.Exit(notRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	code := cases[os.Args[1]](r)
	r.add("exit code %d", code)
	os.Exit(code)
}

// isTroubled reports whether the case is played with its disruption.
func isTroubled() bool { return os.Getenv("TROUBLE") != "0" }

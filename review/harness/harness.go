//go:build review

// Package harness holds what the scripts of the review share: small stand-ins for the platform's
// store, engines of a plain service and callers, a TCP proxy, and the start of entries as processes.
package harness

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Record collects the lines of record.txt. It is safe for concurrent use.
type Record struct {
	lock  sync.Mutex
	start time.Time
	lines []string
}

// NewRecord returns an empty record whose times count from now.
func NewRecord() *Record { return &Record{start: time.Now()} }

// Add adds a line with the present time.
func (r *Record) Add(format string, args ...any) { r.AddAt(time.Now(), format, args...) }

// AddAt adds a line with a time.
func (r *Record) AddAt(at time.Time, format string, args ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.3f  %s", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...)))
}

// Save writes the lines, sorted by time, to a file.
func (r *Record) Save(path string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	slices.Sort(r.lines)
	if err := os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
	}
}

// storeItem is an item or a change of one, as the store sends it.
type storeItem struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	CreateRev int64  `json:"create-rev,omitempty"`
	Lease     int64  `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// Store is the platform's store: kv-key, kv-range and kv-watch over items in memory.
type Store struct {
	lock    sync.Mutex
	rev     int64
	items   map[string]storeItem
	history []storeItem
	// changedAt has the time of each element of history. Those older than historyTime are dropped; droppedRev is
	// the revision of the last one.
	changedAt  []time.Time
	droppedRev int64
	changed    chan struct{}
	// WatchBytes limits the values in the response to a watch, of which it has one at least; 0 sets no limit.
	WatchBytes int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]storeItem{}, changed: make(chan struct{})}
}

// historyTime is the time for which the store keeps its history, platform.history-s.
const historyTime = 20 * time.Second

// dropHistory drops the changes that are older than historyTime. The lock must be held.
func (s *Store) dropHistory() {
	for len(s.history) > 0 && time.Since(s.changedAt[0]) > historyTime {
		s.droppedRev, s.history, s.changedAt = s.history[0].Rev, s.history[1:], s.changedAt[1:]
	}
}

func (s *Store) change(i storeItem) {
	s.history, s.changedAt = append(s.history, i), append(s.changedAt, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a value as JSON to a key. The return is the store's acknowledgement.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutText(key, base64.StdEncoding.EncodeToString(data))
}

// PutText writes a value, already in base64, to a key. The return is the store's acknowledgement.
func (s *Store) PutText(key, text string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.rev++
	i := storeItem{Key: key, Value: text, Rev: s.rev, CreateRev: s.rev}
	if before, ok := s.items[key]; ok {
		i.CreateRev = before.CreateRev
	}
	s.items[key] = i
	s.change(i)
}

// Delete removes a key. The return is the store's acknowledgement.
func (s *Store) Delete(key string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.rev++
	delete(s.items, key)
	s.change(storeItem{Key: key, Rev: s.rev, Deleted: true})
}

// ServeHTTP serves one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	reply := func(body any) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	}
	switch r.URL.Path {
	case "/kv-key":
		s.lock.Lock()
		i, ok := s.items[q.Get("key")]
		s.lock.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(i)
	case "/kv-range":
		s.lock.Lock()
		found := []storeItem{}
		for key, i := range s.items {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				found = append(found, i)
			}
		}
		asOf := s.rev
		s.lock.Unlock()
		slices.SortFunc(found, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
		reply(map[string]any{"items": found, "more-pages": false, "as-of": asOf})
	case "/kv-watch":
		s.serveWatch(w, r, reply)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, reply func(any)) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for isOver := false; ; {
		s.lock.Lock()
		s.dropHistory()
		if after < s.droppedRev {
			s.lock.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events, size := []storeItem{}, 0
		asOf, changed := s.rev, s.changed
		for _, i := range s.history {
			if i.Rev <= after || !strings.HasPrefix(i.Key, q.Get("prefix")) {
				continue
			}
			if size += len(i.Value); s.WatchBytes > 0 && size > s.WatchBytes && len(events) > 0 {
				asOf = events[len(events)-1].Rev
				break
			}
			events = append(events, i)
		}
		s.lock.Unlock()
		if len(events) > 0 || isOver {
			reply(map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

// Proxy forwards TCP connections from an address to another.
type Proxy struct {
	lock  sync.Mutex
	conns []*proxied
}

type proxied struct {
	lock     sync.Mutex
	isSilent bool
}

func (p *proxied) silent() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.isSilent
}

// NewProxy listens at an address and forwards to another.
func NewProxy(listen, to string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c, to)
		}
	}()
	return p, nil
}

func (p *Proxy) serve(near net.Conn, to string) {
	far, err := net.Dial("tcp", to)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &proxied{}
	p.lock.Lock()
	p.conns = append(p.conns, c)
	p.lock.Unlock()
	copyBytes := func(dst, src net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			if c.silent() {
				if err != nil {
					return // nothing passes any more, not even the end
				}
				continue
			}
			if n > 0 {
				_, _ = dst.Write(buffer[:n])
			}
			if err != nil {
				_ = dst.Close()
				return
			}
		}
	}
	go copyBytes(far, near)
	copyBytes(near, far)
}

// SilenceOpen makes the open connections pass nothing on any more, without closing them. New ones work.
// It returns how many there were.
func (p *Proxy) SilenceOpen() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, c := range p.conns {
		c.lock.Lock()
		c.isSilent = true
		c.lock.Unlock()
	}
	return len(p.conns)
}

// Arrival is a request that reached an engine.
type Arrival struct {
	At       time.Time
	ID       string
	Instance string
	// Ran is false for one that the engine rejected with 421.
	Ran bool
}

// Engine is an engine of a plain service.
type Engine struct {
	ID, Service string
	Work        time.Duration
	lock        sync.Mutex
	arrivals    []Arrival
	isLeaving   bool
}

// SetLeaving makes the responses say that the engine leaves, as those of a leaving engine do.
func (e *Engine) SetLeaving() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.isLeaving = true
}

// Arrivals returns the requests that reached the engine.
func (e *Engine) Arrivals() []Arrival {
	e.lock.Lock()
	defer e.lock.Unlock()
	return slices.Clone(e.arrivals)
}

// ServeHTTP serves one request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	body, _ := io.ReadAll(r.Body)
	e.lock.Lock()
	isLeaving := e.isLeaving
	e.lock.Unlock()
	w.Header().Set("X-Instance-Id", e.ID)
	if r.URL.Path == "/health" {
		if isLeaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	expected := r.Header.Get("X-Expect-Instance")
	ran := expected == "" || expected == e.ID
	e.lock.Lock()
	e.arrivals = append(e.arrivals, Arrival{At: at, ID: id, Instance: e.ID, Ran: ran})
	e.lock.Unlock()
	if isLeaving {
		w.Header().Set("Connection", "close")
	}
	if !ran {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(e.Work)
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Engine-Stamp", "stamp."+e.ID)
	_, _ = fmt.Fprintf(w, "answer of %s to %s: %d bytes read", e.ID, id, len(body))
}

// Registration returns the engine's entry in the store.
func (e *Engine) Registration(address, zone string) map[string]any {
	return map[string]any{"service": e.Service, "address": address, "zone": zone, "version": "v1", "slots": 6, "state": "ready", "cold-left-ms": 0, "seq-no": 0}
}

// Serve serves a handler at an address.
func Serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return nil
}

// Entry is an entry that runs as a process with the command of the deploy file.
type Entry struct {
	Name, Host, Zone string
	Dir, Program     string
	// Settings replace those of the example in DEPLOY.md, by their names.
	Settings map[string]string
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// Ports of an entry at its own address.
const (
	FrontPort, ReadyPort, ControlPort, DirectoryPort, InternalPort = 8227, 8220, 8229, 8224, 7340
)

// At returns an address of the entry.
func (e *Entry) At(port int) string { return fmt.Sprintf("%s:%d", e.Host, port) }

// WriteSettings writes the settings file: the example of DEPLOY.md with the entry's addresses.
func (e *Entry) WriteSettings(store string, seeds []string, isFirst bool, zones []string) error {
	lines := []string{
		"node-name=" + e.Name, "role=entry", "machine-class=front", "serves=front,control,directory", "ip=" + e.Host, "zone=" + e.Zone, "region=sierra-norte",
		"listen.front=" + e.At(FrontPort), "listen.ready=" + e.At(ReadyPort), "listen.control=" + e.At(ControlPort), "listen.directory=" + e.At(DirectoryPort),
		"internal-ports=7340,7355", "seeds=" + strings.Join(seeds, ","), fmt.Sprintf("first-start=%t", isFirst), "counts-as-loss=false",
		"limits.cpu-share=0.4", "limits.cores=1", "limits.memory-mb=284", "limits.max-fds=4200", "limits.link-mbps=1000.0", "limits.disk-mb=0",
		"discovery=platform", "entry=directory", "heartbeat-ms=1200", "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,spans",
		"fault-tolerance.machines=1", "fault-tolerance.zones=0", "fault-tolerance.regions=0",
		"bounds.seed-lag-s=3", "bounds.reuse-after-s=2", "bounds.contact-ms=3000", "bounds.ack-ms=4000", "bounds.catch-up-s=4", "bounds.drain-ms=2000", "bounds.grace-s=8",
		"bounds.loss-slack-ms=200", "bounds.config-deadline-ms=2000", "bounds.rollback-slack-ms=250", "bounds.outer-ms=5000", "bounds.revoke-strict=false", "bounds.revoke-ms=5000",
		"bounds.budget-ratio=0.2", "bounds.budget-window-s=10", "bounds.budget-slack=102", "bounds.recover-s=12", "bounds.pass-ms=120", "bounds.again-s=0", "bounds.stall_ms=1500",
		"bounds.hold-max-ms=20000", "bounds.free-ms=4000", "bounds.idle-max-ms=9000", "bounds.ttl_max_s=5",
		"platform.address=" + store, "platform.form=read", "platform.writes-per-s=400", "platform.reads-per-s=2000", "platform.history-s=20", "platform.value-bytes=1048576", "platform.ttl-min-ms=1000",
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z+"=sierra-norte")
	}
	for n, line := range lines {
		name, _, _ := strings.Cut(line, "=")
		if value, ok := e.Settings[name]; ok {
			lines[n] = name + "=" + value
		}
	}
	e.settings = filepath.Join(e.Dir, e.Name+".conf")
	return os.WriteFile(e.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// Start starts the process. Its output is appended to a file in Dir.
func (e *Entry) Start() error {
	log, err := os.OpenFile(filepath.Join(e.Dir, e.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.cmd = exec.Command(e.Program, "gateway", "--metrics-port", "9464")
	e.cmd.Env = append(os.Environ(), "SAPPHIRERAMP_BOOT="+e.settings)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}(e.cmd, e.exited)
	return nil
}

// Signal sends a signal to the process.
func (e *Entry) Signal(s os.Signal) {
	if e.cmd != nil {
		_ = e.cmd.Process.Signal(s)
	}
}

// Kill ends the process and waits for its end.
func (e *Entry) Kill() {
	if e.cmd == nil {
		return
	}
	_ = e.cmd.Process.Kill()
	<-e.exited
}

// HasExited reports whether the process has ended.
func (e *Entry) HasExited() bool {
	select {
	case <-e.exited:
		return true
	default:
		return false
	}
}

// AwaitReady waits until the entry answers the platform's check with 200.
func (e *Entry) AwaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + e.At(ReadyPort) + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %s", e.Name, limit)
}

// Hosts returns n loopback addresses that differ between runs.
func Hosts(n int) []string {
	var out []string
	second, third := 1+os.Getpid()%250, 1+os.Getpid()/250%250
	for i := range n {
		out = append(out, fmt.Sprintf("127.%d.%d.%d", second, third, i+1))
	}
	return out
}

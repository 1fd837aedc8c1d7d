// Package scenario proves the system under failure: scripts in _fixtures
// run the product and its stand-ins as separate processes, and kill, freeze
// and cut off what they please.
package scenario

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/sealer"
	"github.com/sapphireramp/sapphireramp/standin/relay"
	"github.com/sapphireramp/sapphireramp/validator"
)

// fleet is the processes of one scenario.
type fleet struct {
	dir       string
	binaries  string
	processes map[string]*process
	// startOrder is the names in order of start.
	startOrder  []string
	instances   []api.Instance
	options     map[string]string
	dataCentres int
	jobs        map[string]*job
	// posts holds the answers to posts in the background.
	posts map[string]chan string
	// forms holds what operators are editing in the console.
	forms map[string]url.Values
}

// job is a command in the background.
type job struct {
	output  *strings.Builder
	done    chan error
	started time.Time
	cmd     *exec.Cmd
}

type process struct {
	name          string
	argv          []string
	address       netip.AddrPort
	listenAddress netip.AddrPort
	// peerAddress and peerBack are of entries only.
	peerAddress, peerListenAddress netip.AddrPort
	relays                         []*relay.Relay
	cmd                            *exec.Cmd
	exited                         chan error
	starts                         int
}

// portsUsed hands out ports outside the range that the system draws from. They
// are not tried first: a listener closed here may live on for a moment in a
// process that is just being started.
var portsUsed atomic.Uint32

func newAddress(ip netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(ip, portFor(os.Getpid(), portsUsed.Add(1)))
}

// portFor is the nth port that a test process hands out.
func portFor(processID int, n uint32) uint16 {
	const firstPort, portCount = 10_000, 20_000
	return uint16(firstPort + (uint32(processID)*37+n)%portCount)
}

// loopbackHost is an address of the loopback network that test processes of near IDs don't share.
func loopbackHost(processID int, kind, index byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + processID%250), kind, index})
}

const organisationKey = "scenario-key"

// options are the settings of a fleet that a scenario may name.
func defaultOptions() map[string]string {
	return map[string]string{
		"entries": "3", "engines": "3", "services": "1", "centres": "1",
		"memory": "100000", "prefill": "200000", "token": "5ms", "lag": "100ms", "list-lag": "0s", "delay": "10ms",
		"fences": "true", "crossed": "false", "platform": "true", "strict": "true",
		"lease": "2s", "life": "1s", "ticket-life": "10m", "silence": "1s", "in-flight": "100", "watch": "1s", "timing": "fast", "seal": "false",
	}
}

// startAll brings up a fleet and waits until its entries know each other.
func (f *fleet) startAll() error {
	if err := f.prepare(); err != nil {
		return err
	}
	if err := f.publishDocument(f.configDocument(1, ""), "/control/config"); err != nil {
		return err
	}
	for _, name := range f.startOrder {
		if name == "platform" {
			continue
		}
		if err := f.startProcess(name); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

func (f *fleet) intOption(option string) int {
	n, _ := strconv.Atoi(f.options[option])
	return n
}

// prepare lays out addresses, starts the platform and publishes the list.
func (f *fleet) prepare() error {
	f.dataCentres = max(1, f.intOption("centres"))
	f.addProcess("platform", 9, 1, nil)
	p := f.processes["platform"]
	p.argv = []string{"standin", "platform", "--address", p.listenAddress.String(), "--list-lag", f.options["list-lag"]}
	for i := 1; i <= f.intOption("engines"); i++ {
		name := fmt.Sprintf("engine-%d", i)
		f.addProcess(name, 2, i, f.engineCommand)
	}
	for i := 1; i <= f.intOption("services"); i++ {
		f.addProcess(fmt.Sprintf("service-%d", i), 3, i, func(p *process) []string {
			return []string{"standin", "service", "--address", p.listenAddress.String(), "--name", "dispatch", "--delay", f.options["delay"]}
		})
	}
	for i := 1; i <= f.intOption("entries"); i++ {
		f.addEntry(fmt.Sprintf("entry-%d", i), i)
	}
	if err := f.startProcess("platform"); err != nil {
		return err
	}
	return f.publishInstances()
}

func (f *fleet) engineCommand(p *process) []string {
	o := f.options
	args := []string{"standin", "engine", "--address", p.listenAddress.String(), "--name", p.name, "--memory", o["memory"],
		"--prefill-rate", o["prefill"], "--token-time", o["token"], "--report-lag", o["lag"], "--load-time", "200ms"}
	if o["fences"] == "true" {
		args = append(args, "--checks-fences")
	}
	if o["crossed"] == "true" {
		args = append(args, "--crossed")
	}
	return args
}

// addProcess lays out one process. Its address tells it apart from all others.
func (f *fleet) addProcess(name string, kind, index int, argv func(*process) []string) *process {
	ip := loopbackHost(os.Getpid(), byte(kind), byte(index))
	p := &process{name: name, address: newAddress(ip), listenAddress: newAddress(ip)}
	if argv != nil {
		p.argv = argv(p)
	}
	f.processes[name] = p
	f.startOrder = append(f.startOrder, name)
	if name != "platform" {
		kindText, _, _ := strings.Cut(name, "-")
		f.instances = append(f.instances, api.Instance{
			Name: name, Kind: kindText, Address: p.address.String(), State: api.InstanceLive,
			DataCentre: fmt.Sprintf("dc-%d", 1+(index-1)%f.dataCentres),
		})
	}
	return p
}

func (f *fleet) addEntry(name string, index int) {
	p := f.addProcess(name, 1, index, nil)
	p.peerAddress, p.peerListenAddress = newAddress(p.address.Addr()), newAddress(p.address.Addr())
	f.instances[len(f.instances)-1].PeerAddress = p.peerAddress.String()
	path := filepath.Join(f.dir, name+".yaml")
	p.argv = []string{"sapphireramp", "entry", "--settings", path}
	if f.options["strict"] == "true" {
		p.argv = append(p.argv, "--strict")
	}
}

// timingProfiles are the periods that a scenario may choose: fast ones, so that it
// need not wait, and those that docs/CAPACITY.md takes into account.
var timingProfiles = map[string]struct{ level, periods string }{
	"fast":   {"debug", "Heartbeat: 100ms, Suspect: 800ms, Poll: 100ms, List: 200ms"},
	"target": {"info", "Heartbeat: 2s, Neighbours: 3, Suspect: 6s, Poll: 1s, List: 10s"},
}

// writeSettings writes the settings of an entry; peers are all the others.
func (f *fleet) writeSettings(p *process) error {
	var peers []string
	for _, name := range f.startOrder {
		if q := f.processes[name]; q.peerAddress.IsValid() && q != p {
			peers = append(peers, q.peerAddress.String())
		}
	}
	dataCentre := ""
	for _, i := range f.instances {
		if i.Name == p.name {
			dataCentre = i.DataCentre
		}
	}
	o := f.options
	text := fmt.Sprintf(`Name: %s
DataCentre: %s
Address: %s
PeerAddress: %s
Listen: %s
PeerListen: %s
Platform: %s
Peers: [%s]
SealKeys: %s
Log: {Level: %s}
Timing: {%s, Lease: %s, Watch: %s, Silence: %s}
Callers: {AddressLife: %s, DrainSlack: 100ms, TicketLife: %s}
`, p.name, dataCentre, p.address, p.peerAddress, p.listenAddress, p.peerListenAddress, f.processes["platform"].address,
		strings.Join(peers, ", "), f.sealKeysSetting(), timingProfiles[o["timing"]].level, timingProfiles[o["timing"]].periods, o["lease"], o["watch"], o["silence"], o["life"], o["ticket-life"])
	return os.WriteFile(filepath.Join(f.dir, p.name+".yaml"), []byte(text), 0o644)
}

// startProcess starts a process, and its relays if it has none yet.
func (f *fleet) startProcess(name string) error {
	p := f.processes[name]
	if p.peerAddress.IsValid() {
		if err := f.writeSettings(p); err != nil {
			return err
		}
	}
	if len(p.relays) == 0 {
		if err := p.addRelays(); err != nil {
			return err
		}
	}
	log, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("%s.%d.log", name, p.starts)))
	if err != nil {
		return err
	}
	p.starts++
	p.cmd = exec.Command(filepath.Join(f.binaries, p.argv[0]), p.argv[1:]...)
	p.cmd.Stderr, p.cmd.Stdout = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan error, 1)
	p.exited = exited
	go func(c *exec.Cmd) { exited <- c.Wait(); _ = log.Close() }(p.cmd)
	return p.awaitListening()
}

func (p *process) addRelays() error {
	pairs := [][2]netip.AddrPort{{p.address, p.listenAddress}}
	if p.peerAddress.IsValid() {
		pairs = append(pairs, [2]netip.AddrPort{p.peerAddress, p.peerListenAddress})
	}
	for _, pair := range pairs {
		r, err := relay.New(pair[0], pair[1])
		if err != nil {
			return err
		}
		r.Count = countRelayedBytes
		p.relays = append(p.relays, r)
	}
	return nil
}

func (p *process) awaitListening() error {
	for range 200 {
		c, err := net.Dial("tcp", p.listenAddress.String())
		if err == nil {
			return c.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s does not listen", p.name)
}

// invariantViolation names the entries that ended because an invariant was broken.
func (f *fleet) invariantViolation() string {
	const exitViolated = 70
	for _, name := range f.startOrder {
		p := f.processes[name]
		if p.cmd != nil && p.cmd.ProcessState.ExitCode() == exitViolated {
			log := f.readLog(name)
			return name + " broke an invariant: " + log[max(0, len(log)-2000):]
		}
	}
	return ""
}

// readLog is what the running process of that name has logged.
func (f *fleet) readLog(name string) string {
	data, _ := os.ReadFile(filepath.Join(f.dir, fmt.Sprintf("%s.%d.log", name, f.processes[name].starts-1)))
	return string(data)
}

// stopAll ends everything that the fleet started, by process.
func (f *fleet) stopAll() {
	for _, j := range f.jobs {
		_ = j.cmd.Process.Kill()
	}
	for _, p := range f.processes {
		if p.cmd != nil && p.cmd.ProcessState == nil {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
		for _, r := range p.relays {
			r.Close()
		}
	}
}

func (f *fleet) putToPlatform(path string, body string) error {
	url := "http://" + f.processes["platform"].listenAddress.String() + path
	r, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= 300 {
		return fmt.Errorf("platform: status %d", response.StatusCode)
	}
	return nil
}

// publishDocument puts a document, sealed where the fleet wants seals.
func (f *fleet) publishDocument(document, path string) error {
	if f.options["seal"] == "true" {
		document = string(sealer.Seal([]byte(document), sealKey))
	}
	return f.putToPlatform(path, document)
}

// sealKey is the key of the scenarios' console.
var sealKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

// sealKeysSetting is the line of settings that accepts sealKey.
func (f *fleet) sealKeysSetting() string {
	if f.options["seal"] != "true" {
		return "[]"
	}
	return "[" + sealer.FormatPublicKey(sealKey) + "]"
}

func (f *fleet) publishInstances() error {
	data, err := json.Marshal(api.InstanceList{Instances: f.instances})
	if err != nil {
		return err
	}
	return f.putToPlatform("/control/instances", string(data))
}

// configDocument is the configuration of the fleet; comment makes documents of one
// revision differ.
func (f *fleet) configDocument(revision int, comment string) string {
	var b strings.Builder
	o := f.options
	fmt.Fprintf(&b, `# %s
Revision: %d
Models: [{Name: model, Versions: ["1"]}]
Organisations:
  - {Name: team, KeyDigest: %s, Models: [model], Services: [dispatch], MaxInFlight: %s}
Limits: {MaxPromptTokens: %d, MaxNewTokens: 10000, MaxTimeout: 5m, DefaultTimeout: 30s, MaxGroup: %s, MaxInFlight: %s}
Policy: {ShortTokens: 4000, ShortWeight: 5}
`, comment, revision, validator.Digest([]byte(organisationKey)), o["in-flight"], f.intOption("memory")*f.intOption("engines"), o["engines"], o["in-flight"])
	b.WriteString("Engines:\n")
	for i := 1; i <= f.intOption("engines"); i++ {
		fmt.Fprintf(&b, "  - {Name: engine-%d, Model: model, Version: \"1\", Role: Mixed, MemoryTokens: %s, PrefillRate: %s, ChecksFences: %s, ChecksOrders: false}\n",
			i, o["memory"], o["prefill"], o["fences"])
	}
	var instances []string
	for i := 1; i <= f.intOption("services"); i++ {
		instances = append(instances, fmt.Sprintf("service-%d", i))
	}
	fmt.Fprintf(&b, "Services: [{Name: dispatch, Instances: [%s], Calls: [{Name: lookup, Repeatable: true}, {Name: truck, Repeatable: false}]}]\n", strings.Join(instances, ", "))
	return b.String()
}

// defaultNeighbours is how many others an entry hears of by itself.
const defaultNeighbours = 6

// awaitReady waits until every entry gives its neighbours as addresses and
// every engine was heard by its keeper.
func (f *fleet) awaitReady() error {
	const readyTimeout = 30 * time.Second
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if f.isReady() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("fleet is not ready after %s", readyTimeout)
}

func (f *fleet) isReady() bool {
	reachedEngines := map[string]bool{}
	for _, name := range f.startOrder {
		if !strings.HasPrefix(name, "entry-") {
			continue
		}
		var addresses api.Addresses
		var status api.Status
		base := "http://" + f.processes[name].listenAddress.String()
		if getJSON(base+api.PathAddresses, &addresses) != nil || len(addresses.Entries) < min(f.intOption("entries"), defaultNeighbours+1) {
			return false
		}
		if getJSON(base+api.PathStatus, &status) != nil {
			return false
		}
		for _, e := range status.Engines {
			if e.Keeper == name && e.Heard {
				reachedEngines[e.Name] = true
			}
		}
	}
	return len(reachedEngines) == f.intOption("engines")
}

func getJSON(url string, target any) error {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(target)
}

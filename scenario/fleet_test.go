// Package scenario tests the system under failure. Scripts in
// _fixtures/scenarios run the product and its stand-ins as separate processes,
// and kill them, freeze them and cut the network links between them.
//
// The first word of a script's name says which guarantee the script tests:
//
//   - finish: a request ends within its time limit and leaves nothing in flight.
//   - memory: engine memory that nobody uses any more is freed.
//   - answer: a caller gets the answer to its own request, each token once.
//   - notrun: an outcome of not_run is reported only for a request that did not run.
//   - once: a call that may run at most once never runs twice.
//   - leaving: an instance that is leaving gets no new requests.
//   - stop: a process that is shutting down completes the requests it has.
//   - config: all entries converge on the newest configuration document.
//
// Scripts with another first word test several guarantees or one feature.
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

// fleet holds the processes of one script, and the commands and requests that the
// script runs in the background.
type fleet struct {
	// dir holds settings and log files.
	dir string
	// binaries is the directory of the programs under test.
	binaries string
	// processes are keyed by name, such as entry-1.
	processes map[string]*process
	// startOrder lists the names of the processes in the order in which startAll starts
	// them.
	startOrder []string
	// instances is the instance list that the platform publishes.
	instances []api.Instance
	// options are the fleet's options by name; see defaultOptions.
	options map[string]string
	// dataCentres is the number of data centres, at least 1 once processes are added.
	dataCentres int
	// jobs holds the commands that run in the background, by the names that the
	// script gave them.
	jobs map[string]*job
	// posts holds, for each POST request in the background, a channel that delivers
	// the status and body of the response. Its keys are the names that the script
	// gave the requests.
	posts map[string]chan string
	// forms holds the console form that each operator is editing, by operator name.
	forms map[string]url.Values
}

// newFleet returns a fleet with default options and no processes, whose settings and log files are in a directory.
func newFleet(dir string) *fleet {
	return &fleet{dir: dir, binaries: binaries, processes: map[string]*process{}, options: defaultOptions(), jobs: map[string]*job{}, posts: map[string]chan string{}, forms: map[string]url.Values{}}
}

// job is a command that runs in the background.
type job struct {
	// output collects standard output and standard error.
	output *strings.Builder
	// done receives the result of the command once it has exited.
	done    chan error
	started time.Time
	cmd     *exec.Cmd
}

// process is one process of a fleet, behind relays that can break its connections.
type process struct {
	name string
	// argv is the program, a file in the fleet's binaries, and its arguments.
	argv []string
	// address is where a relay accepts the connections of other processes.
	address netip.AddrPort
	// listenAddress is where the process itself listens; the relay connects to it.
	listenAddress netip.AddrPort
	// peerAddress and peerListenAddress are the corresponding addresses for
	// connections between entries. They are invalid unless the process is an entry.
	peerAddress, peerListenAddress netip.AddrPort
	// relays forward connections to the process, for callers and, at an entry, for
	// peers. They are empty before the first start and after cmdUnplug.
	relays []*relay.Relay
	// cmd is the process that was started last; nil before the first start.
	cmd *exec.Cmd
	// exited delivers the result of cmd once the process has ended. A receiver
	// sends it back if the result may be needed again.
	exited chan error
	// starts counts the starts of the process.
	starts int
}

// portsUsed is the number of ports that newAddress has handed out.
var portsUsed atomic.Uint32

// newAddress returns an address with a port that was not handed out before. It
// does not test whether the port is free by listening on it: a process that is
// being started may inherit the listener and keep it open for a moment.
func newAddress(ip netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(ip, portFor(os.Getpid(), portsUsed.Add(1)))
}

// portFor returns the nth port of the test process with the given ID. All ports are
// below the system's ephemeral range, so that outgoing connections do not occupy them.
func portFor(processID int, n uint32) uint16 {
	const firstPort, portCount = 10_000, 20_000
	return uint16(firstPort + (uint32(processID)*37+n)%portCount)
}

// loopbackHost returns the loopback address of a process, given its kind and its index
// among those of the kind. Test processes with neighbouring process IDs get different
// addresses.
func loopbackHost(processID int, kind, index byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + processID%250), kind, index})
}

// organisationKey is the API key of the only organisation.
const organisationKey = "scenario-key"

// defaultOptions returns the options that a script may set with the fleet
// command, with their defaults.
func defaultOptions() map[string]string {
	return map[string]string{
		"entries": "3", "engines": "3", "services": "1", "centres": "1",
		"memory": "100000", "prefill": "200000", "token": "5ms", "lag": "100ms", "list-lag": "0s", "delay": "10ms",
		"fences": "true", "crossed": "false", "platform": "true", "strict": "true",
		"process-memory": "", "max-descriptors": "", "lease": "2s", "life": "1s", "ticket-life": "10m", "silence": "1s", "in-flight": "100", "watch": "1s", "timing": "fast", "seal": "false",
	}
}

// startAll starts all processes and waits until the fleet is ready to serve.
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

// intOption returns the value of an option as a number; 0 if it is not a number.
func (f *fleet) intOption(option string) int {
	n, _ := strconv.Atoi(f.options[option])
	return n
}

// prepare assigns the addresses of all processes, starts the platform and
// publishes the instance list.
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

// engineCommand returns the command line of a stand-in engine.
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

// addProcess adds a process, not started yet, and lists it as an instance unless
// it is the platform. Each process gets an IP address of its own, by which relays
// recognise whose connection they carry.
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

// addEntry adds an entry, which also has a peer address and a settings file.
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

// timingProfiles holds, for each value of the option "timing", the log level and the
// periods of entries. Scripts use "fast" to wait less; "target" has the periods on which
// docs/CAPACITY.md is based.
var timingProfiles = map[string]struct{ level, periods string }{
	"fast":   {"debug", "Heartbeat: 100ms, Suspect: 800ms, Poll: 100ms, List: 200ms"},
	"target": {"info", "Heartbeat: 2s, Neighbours: 3, Suspect: 6s, Poll: 1s, List: 10s"},
}

// writeSettings writes the settings file of an entry. Its peers are all other
// entries of the fleet.
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
	for name, option := range map[string]string{"Memory": "process-memory", "MaxDescriptors": "max-descriptors"} {
		if o[option] != "" {
			text += name + ": " + o[option] + "\n"
		}
	}
	return os.WriteFile(filepath.Join(f.dir, p.name+".yaml"), []byte(text), 0o644)
}

// startProcess starts a process, and its relays if it has none, and waits until
// it listens. Each start writes a log file of its own.
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
	go stopAtRandom(name, p.cmd.Process)
	exited := make(chan error, 1)
	p.exited = exited
	go func(c *exec.Cmd) { exited <- c.Wait(); _ = log.Close() }(p.cmd)
	return p.awaitListening()
}

// addRelays starts the relays that accept connections to the process.
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
		r.OnBytes = countRelayedBytes
		p.relays = append(p.relays, r)
	}
	return nil
}

// awaitListening waits up to 4 s until the process accepts connections.
func (p *process) awaitListening() error {
	for range 200 {
		c, err := net.Dial("tcp", p.listenAddress.String())
		if err == nil {
			return c.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s does not accept connections within 4 s", p.name)
}

// invariantViolation returns a message about the first process that exited because
// it violated an invariant, with the end of its log. It returns "" if none did.
func (f *fleet) invariantViolation() string {
	const exitViolated = 70 // exit status of an entry run with --strict
	for _, name := range f.startOrder {
		p := f.processes[name]
		if p.cmd != nil && p.cmd.ProcessState.ExitCode() == exitViolated {
			log := f.readLog(name)
			return name + " exited because it violated an invariant: " + log[max(0, len(log)-2000):]
		}
	}
	return ""
}

// readLog returns the log of the last start of the named process.
func (f *fleet) readLog(name string) string {
	data, _ := os.ReadFile(filepath.Join(f.dir, fmt.Sprintf("%s.%d.log", name, f.processes[name].starts-1)))
	return string(data)
}

// stopAll kills the processes and background commands that the fleet started, each
// by its own process handle, and closes the relays.
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

// putToPlatform sends a PUT request to the stand-in platform, past its relay.
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
		return fmt.Errorf("PUT to the platform: status %d", response.StatusCode)
	}
	return nil
}

// publishDocument publishes a configuration document through the platform,
// sealed if the option "seal" is set.
func (f *fleet) publishDocument(document, path string) error {
	if f.options["seal"] == "true" {
		document = string(sealer.Seal([]byte(document), sealKey))
	}
	return f.putToPlatform(path, document)
}

// sealKey is the key with which the console seals documents.
var sealKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

// sealKeysSetting returns the value of the setting SealKeys: the public key of sealKey
// if the option "seal" is set, otherwise an empty list, which turns off the check of seals.
func (f *fleet) sealKeysSetting() string {
	if f.options["seal"] != "true" {
		return "[]"
	}
	return "[" + sealer.PublicKeyHex(sealKey) + "]"
}

// publishInstances publishes the instance list through the platform.
func (f *fleet) publishInstances() error {
	data, err := json.Marshal(api.InstanceList{Instances: f.instances})
	if err != nil {
		return err
	}
	return f.putToPlatform("/control/instances", string(data))
}

// configDocument returns a configuration document for the fleet with the given revision.
// The comment makes documents of the same revision differ.
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

// defaultNeighbours is the default of Timing.Neighbours: the number of entries
// to which an entry sends heartbeats.
const defaultNeighbours = 6

// awaitReady waits up to 30 s until the fleet is ready to serve.
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

// isReady reports whether every entry returns its own address and those of its
// neighbours to callers, and every engine's keeper has listed the engine's holds.
func (f *fleet) isReady() bool {
	listedEngines := map[string]bool{}
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
				listedEngines[e.Name] = true
			}
		}
	}
	return len(listedEngines) == f.intOption("engines")
}

// getJSON decodes the body of a GET request's response into target. Any status
// but 200 is an error.
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

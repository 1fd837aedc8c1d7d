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
	// order is the names in order of start.
	order    []string
	instance []api.Instance
	options  map[string]string
	centres  int
	jobs     map[string]*job
	// posts holds the answers to posts in the background.
	posts map[string]chan string
	// forms holds what operators are editing in the console.
	forms map[string]url.Values
}

// job is a command in the background.
type job struct {
	out     *strings.Builder
	done    chan error
	started time.Time
	command *exec.Cmd
}

type process struct {
	name    string
	command []string
	front   netip.AddrPort
	back    netip.AddrPort
	// peerFront and peerBack are of entries only.
	peerFront, peerBack netip.AddrPort
	relays              []*relay.Relay
	running             *exec.Cmd
	exited              chan error
	runs                int
}

// nextPort hands out ports outside the range that the system draws from. They
// are not tried first: a listener closed here may live on for a moment in a
// process that is just being started.
var nextPort atomic.Uint32

func newAddress(ip netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(ip, portOf(os.Getpid(), nextPort.Add(1)))
}

// portOf is the nth port that a test process hands out.
func portOf(pid int, n uint32) uint16 {
	const low, span = 10_000, 20_000
	return uint16(low + (uint32(pid)*37+n)%span)
}

// hostOf is an address of the loopback network that test processes of near IDs don't share.
func hostOf(pid int, kind, number byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + pid%250), kind, number})
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

// start brings up a fleet and waits until its entries know each other.
func (f *fleet) start() error {
	if err := f.plan(); err != nil {
		return err
	}
	if err := f.publish(f.document(1, ""), "/control/config"); err != nil {
		return err
	}
	for _, name := range f.order {
		if name == "platform" {
			continue
		}
		if err := f.run(name); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

func (f *fleet) number(option string) int {
	n, _ := strconv.Atoi(f.options[option])
	return n
}

// plan lays out addresses, starts the platform and publishes the list.
func (f *fleet) plan() error {
	f.centres = max(1, f.number("centres"))
	f.add("platform", 9, 1, nil)
	p := f.processes["platform"]
	p.command = []string{"standin", "platform", "--address", p.back.String(), "--list-lag", f.options["list-lag"]}
	for i := 1; i <= f.number("engines"); i++ {
		name := fmt.Sprintf("engine-%d", i)
		f.add(name, 2, i, f.engineCommand)
	}
	for i := 1; i <= f.number("services"); i++ {
		f.add(fmt.Sprintf("service-%d", i), 3, i, func(p *process) []string {
			return []string{"standin", "service", "--address", p.back.String(), "--name", "dispatch", "--delay", f.options["delay"]}
		})
	}
	for i := 1; i <= f.number("entries"); i++ {
		f.addEntry(fmt.Sprintf("entry-%d", i), i)
	}
	if err := f.run("platform"); err != nil {
		return err
	}
	return f.publishList()
}

func (f *fleet) engineCommand(p *process) []string {
	o := f.options
	args := []string{"standin", "engine", "--address", p.back.String(), "--name", p.name, "--memory", o["memory"],
		"--prefill-rate", o["prefill"], "--token-time", o["token"], "--report-lag", o["lag"], "--load-time", "200ms"}
	if o["fences"] == "true" {
		args = append(args, "--checks-fences")
	}
	if o["crossed"] == "true" {
		args = append(args, "--crossed")
	}
	return args
}

// add lays out one process. Its address tells it apart from all others.
func (f *fleet) add(name string, kind, number int, command func(*process) []string) *process {
	ip := hostOf(os.Getpid(), byte(kind), byte(number))
	p := &process{name: name, front: newAddress(ip), back: newAddress(ip)}
	if command != nil {
		p.command = command(p)
	}
	f.processes[name] = p
	f.order = append(f.order, name)
	if name != "platform" {
		kindName, _, _ := strings.Cut(name, "-")
		f.instance = append(f.instance, api.Instance{
			Name: name, Kind: kindName, Address: p.front.String(), State: api.InstanceLive,
			DataCentre: fmt.Sprintf("dc-%d", 1+(number-1)%f.centres),
		})
	}
	return p
}

func (f *fleet) addEntry(name string, number int) {
	p := f.add(name, 1, number, nil)
	p.peerFront, p.peerBack = newAddress(p.front.Addr()), newAddress(p.front.Addr())
	f.instance[len(f.instance)-1].PeerAddress = p.peerFront.String()
	path := filepath.Join(f.dir, name+".yaml")
	p.command = []string{"sapphireramp", "entry", "--settings", path}
	if f.options["strict"] == "true" {
		p.command = append(p.command, "--strict")
	}
}

// timings are the periods that a scenario may choose: fast ones, so that it
// need not wait, and those that docs/CAPACITY.md takes into account.
var timings = map[string]struct{ level, periods string }{
	"fast":   {"debug", "Heartbeat: 100ms, Suspect: 800ms, Poll: 100ms, List: 200ms"},
	"target": {"info", "Heartbeat: 2s, Neighbours: 3, Suspect: 6s, Poll: 1s, List: 10s"},
}

// writeSettings writes the settings of an entry; peers are all the others.
func (f *fleet) writeSettings(p *process) error {
	var peers []string
	for _, name := range f.order {
		if q := f.processes[name]; q.peerFront.IsValid() && q != p {
			peers = append(peers, q.peerFront.String())
		}
	}
	centre := ""
	for _, i := range f.instance {
		if i.Name == p.name {
			centre = i.DataCentre
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
`, p.name, centre, p.front, p.peerFront, p.back, p.peerBack, f.processes["platform"].front,
		strings.Join(peers, ", "), f.sealKeys(), timings[o["timing"]].level, timings[o["timing"]].periods, o["lease"], o["watch"], o["silence"], o["life"], o["ticket-life"])
	return os.WriteFile(filepath.Join(f.dir, p.name+".yaml"), []byte(text), 0o644)
}

// run starts a process, and its relays if it has none yet.
func (f *fleet) run(name string) error {
	p := f.processes[name]
	if p.peerFront.IsValid() {
		if err := f.writeSettings(p); err != nil {
			return err
		}
	}
	if len(p.relays) == 0 {
		if err := p.addRelays(); err != nil {
			return err
		}
	}
	log, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("%s.%d.log", name, p.runs)))
	if err != nil {
		return err
	}
	p.runs++
	p.running = exec.Command(filepath.Join(f.binaries, p.command[0]), p.command[1:]...)
	p.running.Stderr, p.running.Stdout = log, log
	if err := p.running.Start(); err != nil {
		return err
	}
	exited := make(chan error, 1)
	p.exited = exited
	go func(c *exec.Cmd) { exited <- c.Wait(); _ = log.Close() }(p.running)
	return p.awaitListening()
}

func (p *process) addRelays() error {
	pairs := [][2]netip.AddrPort{{p.front, p.back}}
	if p.peerFront.IsValid() {
		pairs = append(pairs, [2]netip.AddrPort{p.peerFront, p.peerBack})
	}
	for _, pair := range pairs {
		r, err := relay.New(pair[0], pair[1])
		if err != nil {
			return err
		}
		r.Count = countBytes
		p.relays = append(p.relays, r)
	}
	return nil
}

func (p *process) awaitListening() error {
	for range 200 {
		c, err := net.Dial("tcp", p.back.String())
		if err == nil {
			return c.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s does not listen", p.name)
}

// violations names the entries that ended because an invariant was broken.
func (f *fleet) violations() string {
	const exitViolated = 70
	for _, name := range f.order {
		p := f.processes[name]
		if p.running != nil && p.running.ProcessState.ExitCode() == exitViolated {
			log := f.logOf(name)
			return name + " broke an invariant: " + log[max(0, len(log)-2000):]
		}
	}
	return ""
}

// logOf is what the running process of that name has logged.
func (f *fleet) logOf(name string) string {
	data, _ := os.ReadFile(filepath.Join(f.dir, fmt.Sprintf("%s.%d.log", name, f.processes[name].runs-1)))
	return string(data)
}

// stop ends everything that the fleet started, by process.
func (f *fleet) stop() {
	for _, j := range f.jobs {
		_ = j.command.Process.Kill()
	}
	for _, p := range f.processes {
		if p.running != nil && p.running.ProcessState == nil {
			_ = p.running.Process.Kill()
			<-p.exited
		}
		for _, r := range p.relays {
			r.Close()
		}
	}
}

func (f *fleet) put(path string, body string) error {
	url := "http://" + f.processes["platform"].back.String() + path
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

// publish puts a document, sealed where the fleet wants seals.
func (f *fleet) publish(document, path string) error {
	if f.options["seal"] == "true" {
		document = string(sealer.Seal([]byte(document), sealKey))
	}
	return f.put(path, document)
}

// sealKey is the key of the scenarios' console.
var sealKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

// sealKeys is the line of settings that accepts sealKey.
func (f *fleet) sealKeys() string {
	if f.options["seal"] != "true" {
		return "[]"
	}
	return "[" + sealer.FormatPublicKey(sealKey) + "]"
}

func (f *fleet) publishList() error {
	data, err := json.Marshal(api.InstanceList{Instances: f.instance})
	if err != nil {
		return err
	}
	return f.put("/control/instances", string(data))
}

// document is the configuration of the fleet; comment makes documents of one
// revision differ.
func (f *fleet) document(revision int, comment string) string {
	var b strings.Builder
	o := f.options
	fmt.Fprintf(&b, `# %s
Revision: %d
Models: [{Name: model, Versions: ["1"]}]
Organisations:
  - {Name: team, KeyDigest: %s, Models: [model], Services: [dispatch], MaxInFlight: %s}
Limits: {MaxPromptTokens: %d, MaxNewTokens: 10000, MaxTimeout: 5m, DefaultTimeout: 30s, MaxGroup: %s, MaxInFlight: %s}
Policy: {ShortTokens: 4000, ShortWeight: 5}
`, comment, revision, validator.Digest([]byte(organisationKey)), o["in-flight"], f.number("memory")*f.number("engines"), o["engines"], o["in-flight"])
	b.WriteString("Engines:\n")
	for i := 1; i <= f.number("engines"); i++ {
		fmt.Fprintf(&b, "  - {Name: engine-%d, Model: model, Version: \"1\", Role: Mixed, MemoryTokens: %s, PrefillRate: %s, ChecksFences: %s, ChecksOrders: false}\n",
			i, o["memory"], o["prefill"], o["fences"])
	}
	var instances []string
	for i := 1; i <= f.number("services"); i++ {
		instances = append(instances, fmt.Sprintf("service-%d", i))
	}
	fmt.Fprintf(&b, "Services: [{Name: dispatch, Instances: [%s], Calls: [{Name: lookup, Repeatable: true}, {Name: truck, Repeatable: false}]}]\n", strings.Join(instances, ", "))
	return b.String()
}

// neighbours is how many others an entry hears of by itself.
const neighbours = 6

// awaitReady waits until every entry gives its neighbours as addresses and
// every engine was heard by its keeper.
func (f *fleet) awaitReady() error {
	const patience = 30 * time.Second
	deadline := time.Now().Add(patience)
	for time.Now().Before(deadline) {
		if f.ready() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("fleet is not ready after %s", patience)
}

func (f *fleet) ready() bool {
	heard := map[string]bool{}
	for _, name := range f.order {
		if !strings.HasPrefix(name, "entry-") {
			continue
		}
		var addresses api.Addresses
		var status api.Status
		base := "http://" + f.processes[name].back.String()
		if getJSON(base+api.PathAddresses, &addresses) != nil || len(addresses.Entries) < min(f.number("entries"), neighbours+1) {
			return false
		}
		if getJSON(base+api.PathStatus, &status) != nil {
			return false
		}
		for _, e := range status.Engines {
			if e.Keeper == name && e.Heard {
				heard[e.Name] = true
			}
		}
	}
	return len(heard) == f.number("engines")
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

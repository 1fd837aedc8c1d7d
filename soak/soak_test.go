package soak

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/relay"
	"github.com/sapphireramp/sapphireramp/standin/store"
	"github.com/sapphireramp/sapphireramp/standin/worker"
)

var (
	firstSeed = flag.Int("soak.seed", 1, "the first seed")
	seeds     = flag.Int("soak.seeds", 2, "how many seeds to run, four at a time")
	seconds   = flag.Int("soak.seconds", 6, "seconds of faults in each run")
)

// loopback is where the connections of entries come from, as relays see them.
var loopback = netip.MustParseAddr("127.0.0.1")

// regressions are seeds that failed once, with their causes.
var regressions = map[int]string{}

// fault begins one fault and returns what ends it.
type fault func(f *fleet, r *rand.Rand) func()

func draw[T any](r *rand.Rand, from ...T) T { return from[r.IntN(len(from))] }

var faults = map[string]fault{
	"entry killed": func(f *fleet, r *rand.Rand) func() {
		return f.signalOne(r, syscall.SIGKILL, func(e *entry) { e.restart() })
	},
	"entry stopped": func(f *fleet, r *rand.Rand) func() {
		return f.signalOne(r, syscall.SIGTERM, func(e *entry) { e.restart() })
	},
	"entry paused": func(f *fleet, r *rand.Rand) func() {
		return f.signalOne(r, syscall.SIGSTOP, func(e *entry) { e.signal(syscall.SIGCONT) })
	},
	"settings changed": func(f *fleet, r *rand.Rand) func() {
		e := draw(r, f.entries...)
		e.writeSettings(r.IntN(50))
		e.signal(syscall.SIGHUP)
		return func() {}
	},
	"way to the store": func(f *fleet, r *rand.Rand) func() {
		f.storeWay.Set(loopback, draw(r, relay.Refuse, relay.Stall, relay.Answers, relay.Late))
		return func() { f.storeWay.Set(loopback, "") }
	},
	"way to an upstream": func(f *fleet, r *rand.Rand) func() {
		way := f.ways[draw(r, "i-app-0", "i-lm-1", "i-app-2", "i-lm-3")]
		way.Set(loopback, draw(r, relay.Refuse, relay.Stall, relay.Answers, relay.Late))
		return func() { way.Set(loopback, "") }
	},
	"connections reset": func(f *fleet, r *rand.Rand) func() {
		way := f.ways[draw(r, "i-app-0", "i-lm-1", "i-app-2", "i-lm-3")]
		way.Reset(func(netip.Addr) bool { return true })
		return func() {}
	},
	"upstream fails": func(f *fleet, r *rand.Rand) func() {
		w := f.workers[draw(r, "i-app-0", "i-lm-1", "i-app-2", "i-lm-3")]
		w.SetFault(draw(r, worker.Faults...))
		return func() { w.SetFault(worker.Sound) }
	},
	"store fails": func(f *fleet, r *rand.Rand) func() {
		f.store.SetMode(draw(r, store.Busy, store.Many, store.Silent, store.Reset, store.Late))
		return func() { f.store.SetMode(store.Up) }
	},
	"history dropped": func(f *fleet, _ *rand.Rand) func() {
		f.store.Compact()
		return func() {}
	},
	"configuration": func(f *fleet, _ *rand.Rand) func() {
		f.configure("key-1")
		return func() {}
	},
	"upstream starts anew": func(f *fleet, r *rand.Rand) func() {
		f.restartWorker(draw(r, "i-app-0", "i-lm-1", "i-app-2", "i-lm-3"))
		return func() {}
	},
	"upstream leaves": func(f *fleet, _ *rand.Rand) func() {
		f.list("i-lm-5", "draining")
		return func() { f.list("i-lm-5", "ready") }
	},
}

// signalOne sends a signal to an entry that is not being signalled, and
// returns what ends that; of four entries two are left alone at any time.
func (f *fleet) signalOne(r *rand.Rand, s syscall.Signal, end func(*entry)) func() {
	var free []*entry
	for _, e := range f.entries {
		if !e.signalled {
			free = append(free, e)
		}
	}
	if len(free) <= len(f.entries)/2 {
		return func() {}
	}
	e := draw(r, free...)
	e.signalled = true
	e.signal(s)
	return func() {
		end(e)
		e.signalled = false
	}
}

// restart starts the entry again once its process has ended.
func (e *entry) restart() {
	e.signal(syscall.SIGCONT)
	if !e.wait(10 * time.Second) {
		e.fleet.t.Errorf("seed %d: entry-%d did not end within 10 s", e.fleet.seed, e.index)
		e.signal(syscall.SIGKILL)
		e.wait(time.Second)
	}
	e.start()
}

// TestSoak runs drawn faults, in series and overlapping, against processes.
// Afterwards everything is served again, and nothing is left at upstreams.
func TestSoak(t *testing.T) {
	limit := make(chan struct{}, 4)
	for n := range *seeds {
		seed := *firstSeed + n
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			limit <- struct{}{}
			defer func() { <-limit }()
			run(t, seed)
		})
	}
	for seed, cause := range regressions {
		t.Run(fmt.Sprintf("regression-%d", seed), func(t *testing.T) {
			t.Log(cause)
			run(t, seed)
		})
	}
}

// order is the names of the faults; a map has none that a seed could draw from.
var order = []string{
	"entry killed", "entry stopped", "entry paused", "settings changed", "way to the store", "way to an upstream",
	"connections reset", "upstream fails", "store fails", "history dropped", "configuration", "upstream leaves", "upstream starts anew",
}

func run(t *testing.T, seed int) {
	r := rand.New(rand.NewPCG(uint64(seed), 7))
	f := newFleet(t, seed, 4)
	f.awaitReady(10 * time.Second)
	x := f.traffic("busy", 6)
	var ends []func()
	for until := time.Now().Add(time.Duration(*seconds) * time.Second); time.Now().Before(until); {
		name := draw(r, order...)
		t.Logf("seed %d: %s", seed, name)
		ends = append(ends, faults[name](f, r))
		if len(ends) > 2 {
			ends[0]()
			ends = ends[1:]
		}
		time.Sleep(time.Duration(100+r.IntN(900)) * time.Millisecond)
	}
	for _, end := range ends {
		end()
	}
	served, asked := f.endTraffic(x)
	t.Logf("seed %d: %d of %d served under faults", seed, served, asked)
	f.awaitReady(5 * time.Second)
	time.Sleep(5 * time.Second) // what was avoided for its failures is tried again
	calm := f.traffic("calm", 4)
	time.Sleep(2 * time.Second)
	served, asked = f.endTraffic(calm)
	if served < asked || asked == 0 {
		t.Errorf("seed %d: after the faults %d of %d are served", seed, served, asked)
	}
	f.atRest()
	f.operatorPages()
}

// operatorPages checks that metrics and status are served by every process.
func (f *fleet) operatorPages() {
	for _, e := range f.entries {
		status, err := exec.Command(binary, "status", "--entry", fmt.Sprintf("%s:%d", e.host, metricsPort)).CombinedOutput()
		if err != nil || !strings.Contains(string(status), `"Ready": true`) {
			f.t.Errorf("seed %d: status of entry-%d: %v: %s", f.seed, e.index, err, status)
		}
		response, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", e.host, metricsPort))
		if err != nil {
			f.t.Errorf("seed %d: metrics of entry-%d: %v", f.seed, e.index, err)
			continue
		}
		page, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		for _, name := range []string{"sapphireramp_requests", "sapphireramp_first_byte_seconds", "sapphireramp_store_calls", "sapphireramp_members_live"} {
			if !strings.Contains(string(page), name) {
				f.t.Errorf("seed %d: entry-%d has no metric %s", f.seed, e.index, name)
			}
		}
	}
}

// atRest checks that nothing is left at the upstreams.
func (f *fleet) atRest() {
	f.t.Helper()
	until := time.Now().Add(5 * time.Second)
	for id, w := range f.workers {
		for w.Working() > 0 || len(w.Held()) > 0 {
			if time.Now().After(until) {
				f.t.Errorf("seed %d: %s is left with %d requests and %d reservations", f.seed, id, w.Working(), len(w.Held()))
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

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

	"github.com/sapphireramp/sapphireramp/standin/caller"
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
		e := f.free(r)
		if e == nil {
			return func() {}
		}
		f.troubles.RecordKill(e.host)
		e.signal(syscall.SIGKILL)
		return func() { e.restart(); e.signalled.Store(false) }
	},
	"entry stopped": func(f *fleet, r *rand.Rand) func() {
		e := f.free(r)
		if e == nil {
			return func() {}
		}
		down := make(chan struct{})
		f.background.Go(func() {
			e.stop()
			<-down
			e.start()
			e.signalled.Store(false)
		})
		return func() { close(down) }
	},
	"entries stopped in series": func(f *fleet, r *rand.Rand) func() {
		f.stopInSeries(r)
		return func() {}
	},
	"entry paused": func(f *fleet, r *rand.Rand) func() {
		e := f.free(r)
		if e == nil {
			return func() {}
		}
		joined := f.troubles.RecordPartition()
		e.signal(syscall.SIGSTOP)
		return func() { e.signal(syscall.SIGCONT); e.signalled.Store(false); joined() }
	},
	"burst": func(f *fleet, r *rand.Rand) func() {
		x := f.traffic(fmt.Sprintf("burst%d-%d", f.seed, len(f.callers)), 15+r.IntN(25))
		f.callers = append(f.callers, x)
		stop := make(chan struct{})
		f.background.Go(func() {
			<-stop
			x.Stop()
		})
		return func() { close(stop) }
	},
	"settings changed": func(f *fleet, r *rand.Rand) func() {
		e := draw(r, f.entries...)
		e.writeSettings(r.IntN(50))
		e.signal(syscall.SIGHUP)
		return func() {}
	},
	"way to the store": func(f *fleet, r *rand.Rand) func() {
		back := f.troubles.RecordStoreOutage()
		f.storeWay.Set(loopback, draw(r, relay.Refuse, relay.Stall, relay.Answers, relay.Late))
		return func() { f.storeWay.Set(loopback, ""); back() }
	},
	"way to an upstream": func(f *fleet, r *rand.Rand) func() {
		id := draw(r, "i-app-0", "i-lm-1", "i-app-2", "i-lm-3")
		how, mended := draw(r, relay.Refuse, relay.Stall, relay.Answers, relay.Late), func() {}
		if how != relay.Late { // which cuts nothing before it is mended
			mended = f.troubles.RecordCut(id)
		}
		f.ways[id].Set(loopback, how)
		return func() {
			defer f.troubles.RecordCut(id)() // what hung is reset
			f.ways[id].Set(loopback, "")
			mended()
		}
	},
	"connections reset": func(f *fleet, r *rand.Rand) func() {
		id := draw(r, "i-app-0", "i-lm-1", "i-app-2", "i-lm-3")
		defer f.troubles.RecordCut(id)()
		f.ways[id].Reset(func(netip.Addr) bool { return true })
		return func() {}
	},
	"upstream fails": func(f *fleet, r *rand.Rand) func() {
		w := f.workers[draw(r, "i-app-0", "i-lm-1", "i-app-2", "i-lm-3")]
		w.SetFault(draw(r, worker.Faults...))
		return func() { w.SetFault(worker.Sound) }
	},
	"store fails": func(f *fleet, r *rand.Rand) func() {
		back := f.troubles.RecordStoreOutage()
		f.store.SetMode(draw(r, store.Unavailable, store.RateLimited, store.Unresponsive, store.ResetsConnections, store.Slow))
		return func() { f.store.SetMode(store.Available); back() }
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
	"request that crashes upstreams": func(f *fleet, r *rand.Rand) func() {
		x := f.repeater(1+r.IntN(3), time.Duration(50+r.IntN(750))*time.Millisecond)
		f.repeaters = append(f.repeaters, x)
		stop := make(chan struct{})
		f.background.Go(func() {
			<-stop
			x.Stop()
		})
		return func() { close(stop) }
	},
	"upstream says that it leaves": func(f *fleet, r *rand.Rand) func() {
		id := draw(r, "i-app-0", "i-lm-1", "i-app-2", "i-lm-3")
		f.workers[id].Leave()
		return func() { f.restartWorker(id) }
	},
	"upstream pauses": func(f *fleet, r *rand.Rand) func() {
		w := f.workers[draw(r, "i-app-0", "i-lm-1", "i-app-2", "i-lm-3")]
		w.SetFault(worker.Pausing)
		time.Sleep(time.Duration(50+r.IntN(450)) * time.Millisecond)
		w.SetFault(worker.Sound) // and is as good as any, but for those that it told
		return func() {}
	},
	"outage of upstreams": func(f *fleet, r *rand.Rand) func() {
		for range 2 + r.IntN(4) {
			f.crash(draw(r, "i-app-0", "i-lm-1", "i-app-2", "i-lm-3", "i-lm-5"))
			time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
		}
		return func() {}
	},
	"upstream leaves": func(f *fleet, _ *rand.Rand) func() {
		f.list("i-lm-5", "draining")
		return func() { f.list("i-lm-5", "ready") }
	},
}

// free draws an entry that no fault signals, and marks it as signalled; nil where
// that would leave less than half of the entries alone.
func (f *fleet) free(r *rand.Rand) *entry {
	var free []*entry
	for _, e := range f.entries {
		if !e.signalled.Load() {
			free = append(free, e)
		}
	}
	if len(free) <= len(f.entries)/2 {
		return nil
	}
	e := draw(r, free...)
	e.signalled.Store(true)
	return e
}

// stopInSeries sends entries SIGTERM one after the other, so that their stops
// overlap, and starts each again when it has ended.
func (f *fleet) stopInSeries(r *rand.Rand) {
	after := time.Duration(0)
	for range 2 + r.IntN(2) {
		e, gap := f.free(r), after
		after += time.Duration(100+r.IntN(1500)) * time.Millisecond
		if e == nil {
			return
		}
		f.background.Go(func() {
			time.Sleep(gap)
			e.stop()
			e.start()
			e.signalled.Store(false)
		})
	}
}

// stop sends the entry SIGTERM and waits until its process has ended.
func (e *entry) stop() {
	s := e.fleet.troubles.RecordShutdown(e.host, grace)
	e.signal(syscall.SIGTERM)
	e.awaitEnd()
	s.RecordExit()
}

// awaitEnd waits until the entry's process has ended by itself.
func (e *entry) awaitEnd() {
	if !e.wait(10 * time.Second) {
		e.fleet.t.Errorf("seed %d: entry-%d did not end within 10 s", e.fleet.seed, e.index)
		e.signal(syscall.SIGKILL)
		e.wait(time.Second)
	}
}

// restart starts the entry again once its process has ended.
func (e *entry) restart() {
	e.awaitEnd()
	e.start()
}

// TestSoak runs drawn faults, in series and overlapping, against processes.
// Afterwards everything is served again, and nothing is left at upstreams.
//
// Callers saw answers cut in the middle by entries that stopped, and these runs
// did not: every answer took under 0.4 s, callers left an entry within a second of
// its SIGTERM, which came to few entries at a time, and no answer that broke off was held against the
// stop. So answers take up to as long as callers wait, some callers stay, every run
// has a series of stops, and [caller.Traffic.Judge] knows what a stop may cut off.
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
	"entries stopped in series", "burst", "request that crashes upstreams", "outage of upstreams",
	"upstream says that it leaves", "upstream pauses",
}

// recoverTime is how long after the faults what was avoided is tried again.
const recoverTime = 5 * time.Second

func run(t *testing.T, seed int) {
	r := rand.New(rand.NewPCG(uint64(seed), 7))
	f := newFleet(t, seed, 6)
	f.awaitReady(10 * time.Second)
	busy := f.traffic(fmt.Sprintf("busy%d", seed), 32)
	f.callers = append(f.callers, busy)
	var ends []func()
	began := time.Now()
	series := began.Add(time.Duration(r.IntN(*seconds*1000/2)) * time.Millisecond)
	for time.Since(began) < time.Duration(*seconds)*time.Second {
		name := draw(r, order...)
		if !series.IsZero() && !time.Now().Before(series) { // every run has one
			name, series = "entries stopped in series", time.Time{}
		}
		t.Logf("seed %d: %s: %s", seed, time.Since(began).Round(time.Millisecond), name)
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
	over := time.Now()
	busy.Stop()
	f.background.Wait()
	f.crashed.Await()
	for _, x := range f.callers {
		served, asked := f.judge(x)
		t.Logf("seed %d: %d of %d served under faults", seed, served, asked)
	}
	for _, b := range caller.BackpressureViolations(f.evidence(), append(f.callers, f.repeaters...)...) {
		t.Errorf("seed %d: %s", seed, b)
	}
	for _, x := range f.repeaters {
		for _, b := range x.RepeatViolations(f.evidence()) {
			t.Errorf("seed %d: %s", seed, b)
		}
	}
	f.awaitReady(5 * time.Second)
	time.Sleep(max(time.Second, time.Until(over.Add(recoverTime))))
	calm := f.traffic("calm", 8)
	time.Sleep(2 * time.Second)
	calm.Stop()
	served, asked := f.judge(calm)
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

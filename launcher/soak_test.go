package launcher_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/sapphireramp/sapphireramp/standin/store"
	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// TestMain fixes what rapid draws, so that every run gives one verdict, unless
// the command line says otherwise.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "12", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// trouble is one drawn disruption. It returns what ends it.
type trouble struct {
	name  string
	begin func(f *fleet, t *rapid.T) func()
}

var troubles = []trouble{
	{"upstream fault", func(f *fleet, t *rapid.T) func() {
		w := f.workers[rapid.SampledFrom([]string{"i-app-1", "i-app-3", "i-lm-2", "i-lm-4"}).Draw(t, "worker")]
		w.SetFault(rapid.SampledFrom(worker.Faults).Draw(t, "fault"))
		return func() { w.SetFault(worker.Sound) }
	}},
	{"store", func(f *fleet, t *rapid.T) func() {
		f.store.SetMode(rapid.SampledFrom([]store.Mode{store.Busy, store.Many, store.Silent, store.Reset, store.Late}).Draw(t, "mode"))
		return func() { f.store.SetMode(store.Up) }
	}},
	{"history dropped", func(f *fleet, _ *rapid.T) func() {
		f.store.Compact()
		return func() {}
	}},
	{"entry cut off from store", func(f *fleet, t *rapid.T) func() {
		host := hostOf(rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry"))
		f.net.Cut(host, storeHost)
		return func() { f.net.Mend(host, storeHost) }
	}},
	{"entries parted", func(f *fleet, t *rapid.T) func() {
		a := hostOf(rapid.IntRange(0, len(f.entries)-1).Draw(t, "one"))
		b := hostOf(rapid.IntRange(0, len(f.entries)-1).Draw(t, "other"))
		f.net.Cut(a, b)
		return func() { f.net.Mend(a, b) }
	}},
	{"entry killed", func(f *fleet, t *rapid.T) func() {
		i := rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry")
		f.kill(f.entries[i])
		return func() {
			<-f.entries[i].ended
			f.entries[i] = f.start(i)
		}
	}},
	{"configuration", func(f *fleet, t *rapid.T) func() {
		f.configure(rapid.IntRange(10, 1000).Draw(t, "version"), "key-1")
		return func() {}
	}},
	{"upstream starts anew", func(f *fleet, t *rapid.T) func() {
		id := rapid.SampledFrom([]string{"i-app-1", "i-app-3", "i-lm-2", "i-lm-4"}).Draw(t, "worker")
		f.restartWorker(id, strings.Split(id, "-")[1])
		return func() {}
	}},
	{"upstream leaves and another comes", func(f *fleet, _ *rapid.T) func() {
		f.list("i-lm-6", "lm", "draining")
		return func() { f.list("i-lm-6", "lm", "ready") }
	}},
}

// TestSoak lets callers ask while drawn troubles come one after the other and
// overlap. Every answer is held against the promises; when the troubles are
// over, everything is served again and nothing is left at the upstreams.
func TestSoak(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var plan []int
		for range rapid.IntRange(2, 5).Draw(r, "troubles") {
			plan = append(plan, rapid.IntRange(0, len(troubles)-1).Draw(r, "kind"))
		}
		runSoak(t, r, plan)
	})
}

func runSoak(t *testing.T, r *rapid.T, plan []int) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.end()
		x := f.traffic(6)
		killed := false
		var ends []func()
		for _, kind := range plan {
			if troubles[kind].name == "entry killed" {
				if killed {
					continue // one at a time, so that the same is not killed twice
				}
				killed = true
			}
			ends = append(ends, troubles[kind].begin(f, r))
			time.Sleep(time.Duration(rapid.IntRange(100, 1500).Draw(r, "gap")) * time.Millisecond)
		}
		for _, end := range ends {
			end()
		}
		x.end()
		time.Sleep(5 * time.Second)
		calm := f.traffic(4)
		time.Sleep(2 * time.Second)
		served, asked := calm.end()
		if served < asked {
			t.Errorf("after the troubles %d of %d are served", served, asked)
		}
		time.Sleep(5 * time.Second)
		for id, w := range f.workers {
			if w.Working() > 0 || len(w.Held()) > 0 {
				t.Errorf("%s is left with %d requests and %d reservations", id, w.Working(), len(w.Held()))
			}
		}
	})
	if t.Failed() {
		r.Fatal(fmt.Sprintf("plan %v", plan))
	}
}

package measurer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/assigner"
	"github.com/sapphireramp/sapphireramp/keeper"
	"github.com/sapphireramp/sapphireramp/router"
	"github.com/sapphireramp/sapphireramp/standin/engine"
)

const (
	// stepTime is how often engines work.
	stepTime = 5 * time.Millisecond
	// pollTime, listTime and beatTime are an entry's default periods.
	pollTime = 250 * time.Millisecond
	listTime = time.Second
	beatTime = 500 * time.Millisecond
	lease    = 6 * time.Second
	// grantLife is as in the product.
	grantLife = 2 * time.Second
)

// Options of a run: the policy and what fails.
type Options struct {
	Policy router.Policy
	// AskKeepers has keepers grant attempts.
	AskKeepers bool
	// SchedulesByPriority has engines schedule shorter prompts first.
	SchedulesByPriority bool
	// QueuesByClass has queues estimated by class.
	QueuesByClass bool
	// MeasuresPace has entries go by how fast engines were.
	MeasuresPace bool
	// MaxRetries is how often callers send again what was refused or late, and
	// Budget bounds that to a tenth of the requests.
	MaxRetries     int
	HasRetryBudget bool
	// PriorityLevels is how many levels of priority there are, the longest classes
	// sharing the last; 0 means one for each class.
	PriorityLevels int
	// RefusesLate has keepers refuse what would be too late.
	RefusesLate bool
	Fault       Fault
}

// Fault is what fails during a run.
type Fault string

// The faults.
const (
	NoFault       Fault = ""
	DeadEngine    Fault = "dead-engine"
	SlowEngine    Fault = "slow-engine"
	LaggedLoad    Fault = "lagged-load"
	CutDataCentre Fault = "cut-centre"
)

// slowFactor is how much slower an engine works under SlowEngine, and
// laggedLoad the age of load reports under LaggedLoad.
const (
	slowFactor = 4
	laggedLoad = 5 * time.Second
)

// event is something to be done at a time.
type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// fleet is a deployment in virtual time.
type fleet struct {
	deployment Deployment
	options    Options
	random     *rand.Rand
	now        time.Time
	queue      events
	order      int
	engines    []*simEngine
	entries    []*simEntry
	byName     map[string]*simEngine
	requests   []*request
	// filler is cut into prompts, so that none is copied.
	filler string
	ids    int
	// spent is the retries taken from the callers' budget, all together.
	spent float64
}

type simEngine struct {
	name    string
	centre  string
	batcher *engine.Batcher
	keeper  *keeper.Keeper
	// keptBy is the entry that keeps the engine.
	keptBy  int
	running map[*request]*engine.Running
	dead    bool
	listed  time.Time
}

type simEntry struct {
	number int
	centre string
	board  *router.EngineIndex
	loads  map[string]*router.Load
}

func newFleet(d Deployment, o Options, seed uint64) *fleet {
	f := &fleet{
		deployment: d, options: o, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_000_000, 0),
		byName: map[string]*simEngine{}, filler: strings.Repeat("abc ", 1_000_001),
	}
	var members []assigner.Member
	for i := range d.Entries {
		members = append(members, assigner.Member{Name: fmt.Sprintf("entry-%d", i), DataCentre: f.centre(i)})
	}
	for i := range d.Engines {
		f.addEngine(i, members)
	}
	for i := range d.Entries {
		f.addEntry(i)
	}
	return f
}

func (f *fleet) centre(i int) string { return fmt.Sprintf("dc-%d", i%f.deployment.DataCentres) }

func (f *fleet) addEngine(i int, members []assigner.Member) {
	d := f.deployment
	e := &simEngine{name: fmt.Sprintf("engine-%d", i), centre: f.centre(i), running: map[*request]*engine.Running{}}
	lag := pollTime
	if f.options.Fault == LaggedLoad {
		lag = laggedLoad
	}
	e.batcher = engine.NewBatcher(f.now, engine.Config{
		Name: e.name, Model: "model", Version: "1", MemoryTokens: d.MemoryTokens, PrefillRate: d.PrefillRate,
		TokenTime: d.TokenTime, ReportLag: lag,
	})
	e.keeper = keeper.New(keeper.Config{
		Engine: e.name, Lease: lease, GrantTTL: grantLife, MemoryTokens: d.MemoryTokens, PrefillRate: d.PrefillRate,
	})
	owner := assigner.Owner(members, e.name, e.centre)
	for n, m := range members {
		if m.Name == owner {
			e.keptBy = n
		}
	}
	if i == 0 {
		f.breakLater(e)
	}
	f.engines = append(f.engines, e)
	f.byName[e.name] = e
}

// breakLater breaks the one engine that the fault is about, after warming up.
func (f *fleet) breakLater(e *simEngine) {
	switch f.options.Fault {
	case DeadEngine:
		f.after(warmUp, func() { e.dead = true })
	case SlowEngine:
		f.after(warmUp, func() { e.batcher.Slow(slowFactor) })
	}
}

func (f *fleet) addEntry(number int) {
	d := f.deployment
	e := &simEntry{number: number, centre: f.centre(number), loads: map[string]*router.Load{}}
	var engines []*router.Engine
	for _, s := range f.engines {
		e.loads[s.name] = &router.Load{}
		engines = append(engines, &router.Engine{
			Name: s.name, DataCentre: s.centre, Model: "model", Version: "1", MemoryTokens: d.MemoryTokens,
			PrefillRate: d.PrefillRate, OneWayDelay: d.Latency, Load: e.loads[s.name],
		})
	}
	e.board = router.NewEngineIndex(engines)
	f.entries = append(f.entries, e)
}

// after has something done later.
func (f *fleet) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.queue, event{at: f.now.Add(d), order: f.order, do: do})
}

// every has something done again and again until the fleet ends.
func (f *fleet) every(period time.Duration, do func()) {
	f.after(period, func() {
		do()
		f.every(period, do)
	})
}

// run lets time pass.
func (f *fleet) run(length time.Duration) {
	end := f.now.Add(length)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.do()
	}
	f.now = end
}

func (f *fleet) start() {
	f.every(stepTime, f.step)
	f.every(pollTime, f.poll)
	f.every(beatTime, f.beat)
}

// reach reports whether an entry can reach an engine.
func (f *fleet) reach(e *simEntry, s *simEngine) bool {
	cut := f.options.Fault == CutDataCentre && f.now.After(time.Unix(1_000_000, 0).Add(warmUp))
	return !s.dead && (!cut || s.centre == e.centre || (s.centre != "dc-0" && e.centre != "dc-0"))
}

func (f *fleet) step() {
	for _, s := range f.engines {
		if s.dead {
			continue
		}
		s.batcher.Step(f.now)
		for r, running := range s.running {
			made, ended := running.Tokens()
			r.made += made
			if made > 0 && r.first.IsZero() {
				f.firstToken(r)
			}
			if ended {
				delete(s.running, r)
				f.finish(r)
			}
		}
	}
}

// poll is what keepers ask of their engines.
func (f *fleet) poll() {
	for _, s := range f.engines {
		if !f.reach(f.entries[s.keptBy], s) {
			continue
		}
		if f.now.Sub(s.listed) < listTime {
			s.keeper.RecordLoad(f.now, s.batcher.Report())
			continue
		}
		s.listed = f.now
		s.keeper.RecordReport(f.now, s.batcher.Report(), s.batcher.Holds(f.now))
	}
}

// beat tells all entries what keepers know.
func (f *fleet) beat() {
	for _, s := range f.engines {
		if s.keeper.LastReportAt().IsZero() {
			continue
		}
		d := s.keeper.EstimateLoad(f.now)
		for _, e := range f.entries {
			if f.reach(e, s) {
				e.loads[s.name].RecordReport(f.now, d.QueuedTokens, d.FreeTokens)
			}
		}
	}
}

func (f *fleet) newID() string {
	f.ids++
	return fmt.Sprint(f.ids)
}

func (f *fleet) prompt(r *request) api.CompletionRequest {
	return api.CompletionRequest{Model: "model", Prompt: f.filler[:api.BytesPerToken*r.tokens], MaxTokens: r.answer}
}

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
	// engineStepPeriod is how often engines work.
	engineStepPeriod = 5 * time.Millisecond
	// pollPeriod, listTime and beatTime are an entry's default periods.
	pollPeriod      = 250 * time.Millisecond
	listPeriod      = time.Second
	heartbeatPeriod = 500 * time.Millisecond
	holdLease       = 6 * time.Second
	// grantTTL is as in the product.
	grantTTL = 2 * time.Second
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

// slowdownFactor is how much slower an engine works under SlowEngine, and
// laggedLoadAge the age of load reports under LaggedLoad.
const (
	slowdownFactor = 4
	laggedLoadAge  = 5 * time.Second
)

// event is something to be done at a time.
type event struct {
	at       time.Time
	sequence int
	action   func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// fleet is a deployment in virtual time.
type fleet struct {
	deployment   Deployment
	options      Options
	random       *rand.Rand
	now          time.Time
	queue        eventQueue
	lastSequence int
	engines      []*simEngine
	entries      []*simEntry
	engineByName map[string]*simEngine
	requests     []*request
	// promptFiller is cut into prompts, so that none is copied.
	promptFiller string
	lastID       int
	// retryBudgetUsed is the retries taken from the callers' budget, all together.
	retryBudgetUsed float64
}

type simEngine struct {
	name       string
	dataCentre string
	batcher    *engine.Batcher
	keeper     *keeper.Keeper
	// keeperEntry is the entry that keeps the engine.
	keeperEntry int
	running     map[*request]*engine.Running
	isDead      bool
	listedAt    time.Time
}

type simEntry struct {
	index      int
	dataCentre string
	board      *router.EngineIndex
	loads      map[string]*router.Load
}

func newFleet(d Deployment, o Options, seed uint64) *fleet {
	f := &fleet{
		deployment: d, options: o, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_000_000, 0),
		engineByName: map[string]*simEngine{}, promptFiller: strings.Repeat("abc ", 1_000_001),
	}
	var members []assigner.Member
	for i := range d.Entries {
		members = append(members, assigner.Member{Name: fmt.Sprintf("entry-%d", i), DataCentre: f.dataCentreOf(i)})
	}
	for i := range d.Engines {
		f.addEngine(i, members)
	}
	for i := range d.Entries {
		f.addEntry(i)
	}
	return f
}

func (f *fleet) dataCentreOf(i int) string { return fmt.Sprintf("dc-%d", i%f.deployment.DataCentres) }

func (f *fleet) addEngine(i int, members []assigner.Member) {
	d := f.deployment
	e := &simEngine{name: fmt.Sprintf("engine-%d", i), dataCentre: f.dataCentreOf(i), running: map[*request]*engine.Running{}}
	lag := pollPeriod
	if f.options.Fault == LaggedLoad {
		lag = laggedLoadAge
	}
	e.batcher = engine.NewBatcher(f.now, engine.Config{
		Name: e.name, Model: "model", Version: "1", MemoryTokens: d.MemoryTokens, PrefillRate: d.PrefillRate,
		TokenTime: d.TokenTime, ReportLag: lag,
	})
	e.keeper = keeper.New(keeper.Config{
		Engine: e.name, Lease: holdLease, GrantTTL: grantTTL, MemoryTokens: d.MemoryTokens, PrefillRate: d.PrefillRate,
	})
	owner := assigner.Owner(members, e.name, e.dataCentre)
	for n, m := range members {
		if m.Name == owner {
			e.keeperEntry = n
		}
	}
	if i == 0 {
		f.scheduleFault(e)
	}
	f.engines = append(f.engines, e)
	f.engineByName[e.name] = e
}

// scheduleFault breaks the one engine that the fault is about, after warming up.
func (f *fleet) scheduleFault(e *simEngine) {
	switch f.options.Fault {
	case DeadEngine:
		f.schedule(warmUp, func() { e.isDead = true })
	case SlowEngine:
		f.schedule(warmUp, func() { e.batcher.Slow(slowdownFactor) })
	}
}

func (f *fleet) addEntry(number int) {
	d := f.deployment
	e := &simEntry{index: number, dataCentre: f.dataCentreOf(number), loads: map[string]*router.Load{}}
	var engines []*router.Engine
	for _, s := range f.engines {
		e.loads[s.name] = &router.Load{}
		engines = append(engines, &router.Engine{
			Name: s.name, DataCentre: s.dataCentre, Model: "model", Version: "1", MemoryTokens: d.MemoryTokens,
			PrefillRate: d.PrefillRate, OneWayDelay: d.Latency, Load: e.loads[s.name],
		})
	}
	e.board = router.NewEngineIndex(engines)
	f.entries = append(f.entries, e)
}

// schedule has something done later.
func (f *fleet) schedule(delay time.Duration, action func()) {
	f.lastSequence++
	heap.Push(&f.queue, event{at: f.now.Add(delay), sequence: f.lastSequence, action: action})
}

// repeatEvery has something done again and again until the fleet ends.
func (f *fleet) repeatEvery(period time.Duration, action func()) {
	f.schedule(period, func() {
		action()
		f.repeatEvery(period, action)
	})
}

// advance lets time pass.
func (f *fleet) advance(length time.Duration) {
	end := f.now.Add(length)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.action()
	}
	f.now = end
}

func (f *fleet) start() {
	f.repeatEvery(engineStepPeriod, f.stepEngines)
	f.repeatEvery(pollPeriod, f.pollEngines)
	f.repeatEvery(heartbeatPeriod, f.broadcastLoads)
}

// canReach reports whether an entry can reach an engine.
func (f *fleet) canReach(e *simEntry, s *simEngine) bool {
	cut := f.options.Fault == CutDataCentre && f.now.After(time.Unix(1_000_000, 0).Add(warmUp))
	return !s.isDead && (!cut || s.dataCentre == e.dataCentre || (s.dataCentre != "dc-0" && e.dataCentre != "dc-0"))
}

func (f *fleet) stepEngines() {
	for _, s := range f.engines {
		if s.isDead {
			continue
		}
		s.batcher.Step(f.now)
		for r, running := range s.running {
			made, ended := running.Tokens()
			r.generatedTokens += made
			if made > 0 && r.firstTokenAt.IsZero() {
				f.recordFirstToken(r)
			}
			if ended {
				delete(s.running, r)
				f.finish(r)
			}
		}
	}
}

// pollEngines is what keepers ask of their engines.
func (f *fleet) pollEngines() {
	for _, s := range f.engines {
		if !f.canReach(f.entries[s.keeperEntry], s) {
			continue
		}
		if f.now.Sub(s.listedAt) < listPeriod {
			s.keeper.RecordLoad(f.now, s.batcher.Report())
			continue
		}
		s.listedAt = f.now
		s.keeper.RecordReport(f.now, s.batcher.Report(), s.batcher.Holds(f.now))
	}
}

// broadcastLoads tells all entries what keepers know.
func (f *fleet) broadcastLoads() {
	for _, s := range f.engines {
		if s.keeper.LastReportAt().IsZero() {
			continue
		}
		d := s.keeper.EstimateLoad(f.now)
		for _, e := range f.entries {
			if f.canReach(e, s) {
				e.loads[s.name].RecordReport(f.now, d.QueuedTokens, d.FreeTokens)
			}
		}
	}
}

func (f *fleet) newID() string {
	f.lastID++
	return fmt.Sprint(f.lastID)
}

func (f *fleet) completionRequest(r *request) api.CompletionRequest {
	return api.CompletionRequest{Model: "model", Prompt: f.promptFiller[:api.BytesPerToken*r.promptTokens], MaxTokens: r.answerTokens}
}

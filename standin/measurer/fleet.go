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
	// engineStepPeriod is the time between two steps of the emulated engines.
	engineStepPeriod = 5 * time.Millisecond
	// pollPeriod is the time between two polls of an engine's load, listPeriod that between
	// two listings of its holds and heartbeatPeriod that between two heartbeats. holdLease is
	// the age at which an unrenewed hold expires. All are the defaults of an entry.
	pollPeriod      = 250 * time.Millisecond
	listPeriod      = time.Second
	heartbeatPeriod = 500 * time.Millisecond
	holdLease       = 6 * time.Second
	// grantTTL is the time for which a keeper treats the memory of a grant as used
	// although the engine doesn't list a hold for it, the same as in the product.
	grantTTL = 2 * time.Second
)

// Options select the policy that a simulation measures and the fault injected into it.
type Options struct {
	// Policy is the way in which entries choose engines.
	Policy router.Policy
	// AskKeepers makes entries ask an engine's keeper for a grant before each attempt.
	AskKeepers bool
	// SchedulesByPriority makes engines schedule shorter prompts first.
	SchedulesByPriority bool
	// QueuesByClass makes entries and keepers estimate an engine's queue for each class of
	// prompts, instead of as one queue in the order of arrival.
	QueuesByClass bool
	// MeasuresTokenTime makes entries measure the time per answer token of each engine
	// and use it in predictions.
	MeasuresTokenTime bool
	// MaxRetries is the maximum number of times that a caller sends a request again that
	// was refused or late.
	MaxRetries int
	// HasRetryBudget limits retries to a tenth of the requests plus ten for each entry.
	HasRetryBudget bool
	// PriorityLevels is the number of priority levels. If there are fewer than classes, the
	// longest classes share the last level. 0 means one level for each class.
	PriorityLevels int
	// RefusesLate makes keepers refuse attempts that would miss the deadline.
	RefusesLate bool
	// Fault is the fault injected into the simulation; empty for none.
	Fault Fault
}

// Fault names a fault that is injected into a simulation.
type Fault string

// The faults that a simulation can have.
const (
	// NoFault injects nothing.
	NoFault Fault = ""
	// DeadEngine stops the first engine after the warm-up. It then answers nothing.
	DeadEngine Fault = "dead-engine"
	// SlowEngine slows the first engine down after the warm-up, by slowdownFactor.
	SlowEngine Fault = "slow-engine"
	// LaggedLoad delays the load reports of all engines by laggedLoadAge for the whole
	// simulation.
	LaggedLoad Fault = "lagged-load"
	// CutDataCentre disconnects the first data centre from the others after the warm-up.
	CutDataCentre Fault = "cut-centre"
)

// slowdownFactor divides the speed of the engine slowed down by SlowEngine.
// laggedLoadAge is the age of load reports with LaggedLoad.
const (
	slowdownFactor = 4
	laggedLoadAge  = 5 * time.Second
)

// event is an action scheduled for a moment of virtual time.
type event struct {
	at time.Time
	// sequence increases with each event scheduled; it orders events of the same time.
	sequence int
	action   func()
}

// eventQueue is a heap of events, with the earliest first. It implements
// [heap.Interface].
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

// fleet simulates the entries and engines of a deployment and its callers in virtual
// time.
type fleet struct {
	deployment Deployment
	options    Options
	random     *rand.Rand
	// now is the virtual time.
	now   time.Time
	queue eventQueue
	// lastSequence is the sequence number of the event scheduled last.
	lastSequence int
	engines      []*simEngine
	entries      []*simEntry
	engineByName map[string]*simEngine
	// requests has every request sent, including each retry.
	requests []*request
	// promptFiller is the text of which each prompt is a prefix, to avoid copies.
	promptFiller string
	// lastID is the number of ids issued by newID.
	lastID int
	// retryBudgetUsed is the number of retries made, less a tenth for each request sent
	// for the first time; at least 0. All callers share one retry budget.
	retryBudgetUsed float64
}

// simEngine is a simulated engine with its keeper.
type simEngine struct {
	name       string
	dataCentre string
	batcher    *engine.Batcher
	keeper     *keeper.Keeper
	// keeperEntry is the index of the entry that runs the keeper.
	keeperEntry int
	// running has the requests that the engine prefills or answers.
	running map[*request]*engine.RunningAttempt
	// isDead is true if the engine neither advances its requests nor can be reached.
	isDead bool
	// listedAt is the time of the last listing of holds.
	listedAt time.Time
}

// simEntry is a simulated entry.
type simEntry struct {
	index      int
	dataCentre string
	// engineIndex orders the engines for a request by the policy of the simulation.
	engineIndex *router.EngineIndex
	// loads are the entry's estimates of the engines' loads, by engine name.
	loads map[string]*router.Load
}

// newFleet returns a fleet at the start of virtual time, with nothing scheduled but the
// fault. The random choices of entries and callers depend only on the seed.
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

// dataCentreOf returns the data centre of the i-th entry or engine.
func (f *fleet) dataCentreOf(i int) string { return fmt.Sprintf("dc-%d", i%f.deployment.DataCentres) }

// addEngine adds the i-th engine, whose keeper runs on the member that owns it.
func (f *fleet) addEngine(i int, members []assigner.Member) {
	d := f.deployment
	e := &simEngine{name: fmt.Sprintf("engine-%d", i), dataCentre: f.dataCentreOf(i), running: map[*request]*engine.RunningAttempt{}}
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

// scheduleFault schedules the fault of a single engine for the end of the warm-up.
func (f *fleet) scheduleFault(e *simEngine) {
	switch f.options.Fault {
	case DeadEngine:
		f.schedule(warmUp, func() { e.isDead = true })
	case SlowEngine:
		f.schedule(warmUp, func() { e.batcher.SlowDown(slowdownFactor) })
	}
}

// addEntry adds the i-th entry, which may choose among all engines.
func (f *fleet) addEntry(i int) {
	d := f.deployment
	e := &simEntry{index: i, dataCentre: f.dataCentreOf(i), loads: map[string]*router.Load{}}
	var engines []*router.Engine
	for _, s := range f.engines {
		e.loads[s.name] = &router.Load{}
		engines = append(engines, &router.Engine{
			Name: s.name, DataCentre: s.dataCentre, Model: "model", Version: "1", MemoryTokens: d.MemoryTokens,
			PrefillRate: d.PrefillRate, OneWayDelay: d.Latency, Load: e.loads[s.name],
		})
	}
	e.engineIndex = router.NewEngineIndex(engines)
	f.entries = append(f.entries, e)
}

// schedule runs an action after a delay of virtual time.
func (f *fleet) schedule(delay time.Duration, action func()) {
	f.lastSequence++
	heap.Push(&f.queue, event{at: f.now.Add(delay), sequence: f.lastSequence, action: action})
}

// repeatEvery runs an action after each period until the simulation ends.
func (f *fleet) repeatEvery(period time.Duration, action func()) {
	f.schedule(period, func() {
		action()
		f.repeatEvery(period, action)
	})
}

// advance advances the virtual time by a length and runs the events that fall due.
func (f *fleet) advance(length time.Duration) {
	end := f.now.Add(length)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.action()
	}
	f.now = end
}

// start schedules the periodic work of engines, keepers and entries.
func (f *fleet) start() {
	f.repeatEvery(engineStepPeriod, f.stepEngines)
	f.repeatEvery(pollPeriod, f.pollEngines)
	f.repeatEvery(heartbeatPeriod, f.broadcastLoads)
}

// canReach reports whether an entry can exchange messages with an engine.
func (f *fleet) canReach(e *simEntry, s *simEngine) bool {
	cut := f.options.Fault == CutDataCentre && f.now.After(time.Unix(1_000_000, 0).Add(warmUp))
	return !s.isDead && (!cut || s.dataCentre == e.dataCentre || (s.dataCentre != "dc-0" && e.dataCentre != "dc-0"))
}

// stepEngines advances all engines that are not dead to the current time and records the
// tokens that they generated and the requests that they finished.
func (f *fleet) stepEngines() {
	for _, s := range f.engines {
		if s.isDead {
			continue
		}
		s.batcher.Advance(f.now)
		for r, running := range s.running {
			generated, ended := running.ReceiveTokens()
			r.generatedTokens += generated
			if generated > 0 && r.firstTokenAt.IsZero() {
				f.recordFirstToken(r)
			}
			if ended {
				delete(s.running, r)
				f.finish(r)
			}
		}
	}
}

// pollEngines passes to each keeper the load of its engine and, once per listPeriod, the
// list of the engine's holds, unless the keeper can't reach the engine.
func (f *fleet) pollEngines() {
	for _, s := range f.engines {
		if !f.canReach(f.entries[s.keeperEntry], s) {
			continue
		}
		if f.now.Sub(s.listedAt) < listPeriod {
			s.keeper.RecordLoad(f.now, s.batcher.LoadReport())
			continue
		}
		s.listedAt = f.now
		s.keeper.RecordLoadAndHolds(f.now, s.batcher.LoadReport(), s.batcher.Holds(f.now))
	}
}

// broadcastLoads gives the keeper's estimate of each engine's load to all entries that can
// reach the engine.
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

// newID returns an id that is unique in the fleet.
func (f *fleet) newID() string {
	f.lastID++
	return fmt.Sprint(f.lastID)
}

// completionRequest returns the message that asks an engine for the answer to a request.
func (f *fleet) completionRequest(r *request) api.CompletionRequest {
	return api.CompletionRequest{Model: "model", Prompt: f.promptFiller[:api.BytesPerToken*r.promptTokens], MaxTokens: r.answerTokens}
}

package measurer

import (
	"time"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/keeper"
	"github.com/sapphireramp/sapphireramp/placer"
	"github.com/sapphireramp/sapphireramp/reserver"
	"github.com/sapphireramp/sapphireramp/router"
	"github.com/sapphireramp/sapphireramp/standin/engine"
)

const (
	// maxAsked is as in the product.
	maxAsked = 3
	// groupPause is between tries for a group.
	groupPause = 120 * time.Millisecond
	// shortWeight is the document's default.
	shortWeight = 6
	// silence is how long a dead engine is waited for.
	silence = 5 * time.Second
)

type outcome int

const (
	pending outcome = iota
	answered
	refused
	late
	failed
)

// request is one demand on its way.
type request struct {
	demand
	entry    *simEntry
	arrived  time.Time
	deadline time.Time
	first    time.Time
	outcome  outcome
	placer   *placer.Placer
	engine   *simEngine
	attempt  string
	group    []reserver.Shard
	tried    []string
	// sends is how often its caller sent it before.
	sends int
	// made is how many tokens of the answer were made.
	made int
	// counted says that the engine's first token is still owed.
	counted bool
}

// arrive begins a request at its entry.
func (f *fleet) arrive(d demand) {
	f.spent = max(0, f.spent-0.1)
	f.send(d, 0)
}

func (f *fleet) send(d demand, sends int) {
	r := &request{demand: d, entry: f.entries[d.entry], arrived: f.now, sends: sends}
	r.deadline = f.now.Add(lengths[d.class].limit)
	f.requests = append(f.requests, r)
	f.after(lengths[d.class].limit, func() { f.expire(r) })
	f.after(f.deployment.CallerLatency, func() { f.begin(r) })
}

func (f *fleet) begin(r *request) {
	if r.tokens+r.answer > f.deployment.MemoryTokens {
		f.reserveGroup(r, f.now.Add(r.deadline.Sub(f.now)/4))
		return
	}
	r.placer = placer.New(f.now, r.deadline.Sub(f.now), f.random)
	f.place(r)
}

// place carries out the placer's next step.
func (f *fleet) place(r *request) {
	if r.outcome != pending {
		return
	}
	step := r.placer.Next(f.now)
	switch step.Kind {
	case placer.Choose:
		w := router.Requirements{Model: "model", Class: f.class(r), PrefillTokens: r.tokens, MemoryTokens: r.tokens + r.answer, MaxAnswerTokens: r.answer, Exclude: r.tried}
		r.placer.SetChoices(r.entry.board.Choose(f.now, f.options.Policy, w, maxAsked, f.random))
		f.place(r)
	case placer.Ask:
		f.ask(r, f.byName[step.Choice.Engine.Name])
	case placer.Pause:
		f.after(step.Pause, func() { f.place(r) })
	case placer.Placed:
		f.dispatch(r, f.byName[step.Choice.Engine.Name])
	default:
		f.refuse(r)
	}
}

// refuse gives a request up; its caller may come back.
func (f *fleet) refuse(r *request) {
	r.outcome = refused
	f.comeBack(r)
}

// comeBack has a caller send a request again, as a new one, after a while.
func (f *fleet) comeBack(r *request) {
	const leastWait, mostWait, budget = 500, 3000, 10.0
	if r.sends >= f.options.MaxRetries {
		return
	}
	if f.options.HasRetryBudget && f.spent > budget*float64(f.deployment.Entries)-1 {
		return
	}
	f.spent++
	wait := time.Duration(leastWait+f.random.IntN(mostWait-leastWait)) * time.Millisecond
	f.after(wait, func() { f.send(r.demand, r.sends+1) })
}

// ask asks the engine's keeper, where the policy does, or takes the engine.
func (f *fleet) ask(r *request, s *simEngine) {
	r.attempt = f.newID()
	if !f.options.AskKeepers {
		r.placer.RecordReply(keeper.GrantReply{Granted: true})
		f.place(r)
		return
	}
	delay := 2 * f.deployment.Latency
	if s.keptBy == r.entry.number {
		delay = 0
	}
	f.after(delay, func() {
		left := r.deadline.Sub(f.now)
		if !f.options.RefusesLate {
			left = time.Hour
		}
		answer := s.keeper.RequestGrant(f.now, keeper.GrantRequest{
			AttemptID: r.attempt, Model: "model", Class: f.class(r), PrefillTokens: r.tokens, MemoryTokens: r.tokens + r.answer, Remaining: left,
		})
		if !f.reach(r.entry, s) {
			answer = keeper.GrantReply{Reason: keeper.NoReport}
		}
		d := s.keeper.EstimateLoad(f.now)
		r.entry.loads[s.name].RecordReport(f.now, d.QueuedTokens, d.FreeTokens)
		r.placer.RecordReply(answer)
		f.place(r)
	})
}

func (f *fleet) priority(r *request) int {
	if !f.options.SchedulesByPriority {
		return 0
	}
	return router.Priority(f.level(r), shortWeight)
}

// class is what the queue is estimated by: all one where engines go by order
// of arrival.
func (f *fleet) class(r *request) router.LengthClass {
	if !f.options.QueuesByClass {
		return router.Longest
	}
	return f.level(r)
}

func (f *fleet) level(r *request) router.LengthClass {
	if f.options.PriorityLevels > 0 && int(r.class) >= f.options.PriorityLevels-1 {
		return router.Longest
	}
	return r.class
}

func (f *fleet) dispatch(r *request, s *simEngine) {
	load := r.entry.loads[s.name]
	load.OwnInFlight.Add(1)
	load.OwnPrefillTokens[f.class(r)].Add(int64(r.tokens))
	r.counted, r.engine = true, s
	f.after(f.deployment.Latency, func() { f.give(r, s) })
}

func (f *fleet) give(r *request, s *simEngine) {
	if r.outcome != pending {
		f.settle(r)
		return
	}
	if !f.reach(r.entry, s) {
		f.after(silence, func() { f.again(r, s) })
		return
	}
	var ids []string
	for _, share := range r.group {
		ids = append(ids, share.HoldID)
	}
	running, err := s.batcher.Give(f.now, engine.Prompt{AttemptID: r.attempt, Request: f.prompt(r), Priority: f.priority(r), Group: ids})
	if err != nil {
		f.after(f.deployment.Latency, func() { f.again(r, s) })
		return
	}
	s.running[r] = running
}

// again places a request anew after an engine refused or was silent.
func (f *fleet) again(r *request, s *simEngine) {
	f.settle(r)
	if r.outcome != pending {
		return
	}
	r.tried = append(r.tried, s.name)
	if len(r.tried) > maxAsked {
		r.tried = nil
	}
	r.placer = placer.New(f.now, r.deadline.Sub(f.now), f.random)
	f.after(groupPause/4, func() { f.place(r) })
}

// settle takes a request out of its entry's own counts.
func (f *fleet) settle(r *request) {
	if r.engine == nil {
		return
	}
	f.pace(r)
	load := r.entry.loads[r.engine.name]
	load.OwnInFlight.Add(-1)
	if r.counted {
		load.OwnPrefillTokens[f.class(r)].Add(-int64(r.tokens))
		r.counted = false
	}
	r.engine = nil
}

// pace notes how fast the engine was.
func (f *fleet) pace(r *request) {
	const leastPaced = 8
	if f.options.MeasuresPace && r.made >= leastPaced {
		r.entry.loads[r.engine.name].RecordTimePerToken(f.now, f.now.Sub(r.first)/time.Duration(r.made))
	}
}

func (f *fleet) firstToken(r *request) {
	r.first = f.now.Add(f.deployment.Latency + f.deployment.CallerLatency)
	if r.counted {
		r.entry.loads[r.engine.name].OwnPrefillTokens[f.class(r)].Add(-int64(r.tokens))
		r.counted = false
	}
}

func (f *fleet) finish(r *request) {
	f.settle(r)
	f.freeGroup(r)
	if r.outcome == pending {
		r.outcome = answered
	}
}

// expire ends a request at its limit.
func (f *fleet) expire(r *request) {
	if r.outcome != pending {
		return
	}
	r.outcome = late
	if s := r.engine; s != nil {
		delete(s.running, r)
		s.batcher.Free(f.now, r.attempt, 0)
	}
	f.settle(r)
	f.freeGroup(r)
	f.comeBack(r)
}

// reserveGroup reserves a group, or tries again until patience ends.
func (f *fleet) reserveGroup(r *request, patience time.Time) {
	if r.outcome != pending {
		return
	}
	if f.now.After(patience) {
		f.refuse(r)
		return
	}
	var candidates []reserver.Candidate
	for _, e := range r.entry.board.EnginesFor("model") {
		s := f.byName[e.Name]
		if f.reach(r.entry, s) {
			free := f.deployment.MemoryTokens
			if e.Load.ReportedAt.Load() != 0 {
				free = int(e.Load.FreeTokens.Load())
			}
			candidates = append(candidates, reserver.Candidate{Name: e.Name, DataCentre: e.DataCentre, FreeTokens: free, MemoryTokens: e.MemoryTokens})
		}
	}
	shares, err := reserver.Plan(candidates, r.tokens+r.answer, f.deployment.MaxGroupEngines, f.newID)
	if err != nil || !f.hold(shares) {
		f.after(groupPause, func() { f.reserveGroup(r, patience) })
		return
	}
	r.group = shares
	r.attempt = f.newID()
	delay := 2 * f.deployment.Latency * time.Duration(len(shares))
	f.after(delay, func() { f.dispatch(r, f.byName[shares[0].Engine]) })
}

// hold takes all shares or none.
func (f *fleet) hold(shares []reserver.Shard) bool {
	for i, share := range shares {
		err := f.byName[share.Engine].batcher.Hold(f.now, api.EngineHold{ID: share.HoldID, Kind: api.HoldGroup, Tokens: share.Tokens})
		if err == nil {
			continue
		}
		for _, held := range shares[:i] {
			f.byName[held.Engine].batcher.Free(f.now, held.HoldID, 0)
		}
		return false
	}
	return true
}

func (f *fleet) freeGroup(r *request) {
	for _, share := range r.group {
		f.byName[share.Engine].batcher.Free(f.now, share.HoldID, 0)
	}
	r.group = nil
}

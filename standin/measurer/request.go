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
	// maxAskedKeepers is as in the product.
	maxAskedKeepers = 3
	// groupRetryDelay is between tries for a group.
	groupRetryDelay = 120 * time.Millisecond
	// shortWeight is the document's default.
	shortWeight = 6
	// engineTimeout is how long a dead engine is waited for.
	engineTimeout = 5 * time.Second
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
	requestSpec
	entry        *simEntry
	sentAt       time.Time
	deadline     time.Time
	firstTokenAt time.Time
	outcome      outcome
	placer       *placer.Placer
	engine       *simEngine
	attemptID    string
	groupShards  []reserver.Shard
	triedEngines []string
	// priorSends is how often its caller sent it before.
	priorSends int
	// generatedTokens is how many tokens of the answer were made.
	generatedTokens int
	// isCounted says that the engine's first token is still owed.
	isCounted bool
}

// sendFirst begins a request at its entry.
func (f *fleet) sendFirst(d requestSpec) {
	f.retryBudgetUsed = max(0, f.retryBudgetUsed-0.1)
	f.send(d, 0)
}

func (f *fleet) send(d requestSpec, priorSends int) {
	r := &request{requestSpec: d, entry: f.entries[d.entryIndex], sentAt: f.now, priorSends: priorSends}
	r.deadline = f.now.Add(classProfiles[d.class].timeLimit)
	f.requests = append(f.requests, r)
	f.schedule(classProfiles[d.class].timeLimit, func() { f.expire(r) })
	f.schedule(f.deployment.CallerLatency, func() { f.admit(r) })
}

func (f *fleet) admit(r *request) {
	if r.promptTokens+r.answerTokens > f.deployment.MemoryTokens {
		f.reserveGroup(r, f.now.Add(r.deadline.Sub(f.now)/4))
		return
	}
	r.placer = placer.New(f.now, r.deadline.Sub(f.now), f.random)
	f.advancePlacement(r)
}

// advancePlacement carries out the placer's next step.
func (f *fleet) advancePlacement(r *request) {
	if r.outcome != pending {
		return
	}
	step := r.placer.Next(f.now)
	switch step.Kind {
	case placer.Choose:
		w := router.Requirements{Model: "model", Class: f.queueClass(r), PrefillTokens: r.promptTokens, MemoryTokens: r.promptTokens + r.answerTokens, MaxAnswerTokens: r.answerTokens, Exclude: r.triedEngines}
		r.placer.SetChoices(r.entry.board.Choose(f.now, f.options.Policy, w, maxAskedKeepers, f.random))
		f.advancePlacement(r)
	case placer.Ask:
		f.askKeeper(r, f.engineByName[step.Choice.Engine.Name])
	case placer.Pause:
		f.schedule(step.Pause, func() { f.advancePlacement(r) })
	case placer.Placed:
		f.dispatch(r, f.engineByName[step.Choice.Engine.Name])
	default:
		f.refuse(r)
	}
}

// refuse gives a request up; its caller may come back.
func (f *fleet) refuse(r *request) {
	r.outcome = refused
	f.scheduleRetry(r)
}

// scheduleRetry has a caller send a request again, as a new one, after a while.
func (f *fleet) scheduleRetry(r *request) {
	const minWaitMillis, maxWaitMillis, retriesPerEntry = 500, 3000, 10.0
	if r.priorSends >= f.options.MaxRetries {
		return
	}
	if f.options.HasRetryBudget && f.retryBudgetUsed > retriesPerEntry*float64(f.deployment.Entries)-1 {
		return
	}
	f.retryBudgetUsed++
	wait := time.Duration(minWaitMillis+f.random.IntN(maxWaitMillis-minWaitMillis)) * time.Millisecond
	f.schedule(wait, func() { f.send(r.requestSpec, r.priorSends+1) })
}

// askKeeper asks the engine's keeper, where the policy does, or takes the engine.
func (f *fleet) askKeeper(r *request, s *simEngine) {
	r.attemptID = f.newID()
	if !f.options.AskKeepers {
		r.placer.RecordReply(keeper.GrantReply{Granted: true})
		f.advancePlacement(r)
		return
	}
	delay := 2 * f.deployment.Latency
	if s.keeperEntry == r.entry.index {
		delay = 0
	}
	f.schedule(delay, func() {
		remaining := r.deadline.Sub(f.now)
		if !f.options.RefusesLate {
			remaining = time.Hour
		}
		answer := s.keeper.RequestGrant(f.now, keeper.GrantRequest{
			AttemptID: r.attemptID, Model: "model", Class: f.queueClass(r), PrefillTokens: r.promptTokens, MemoryTokens: r.promptTokens + r.answerTokens, Remaining: remaining,
		})
		if !f.canReach(r.entry, s) {
			answer = keeper.GrantReply{Reason: keeper.NoReport}
		}
		d := s.keeper.EstimateLoad(f.now)
		r.entry.loads[s.name].RecordReport(f.now, d.QueuedTokens, d.FreeTokens)
		r.placer.RecordReply(answer)
		f.advancePlacement(r)
	})
}

func (f *fleet) priority(r *request) int {
	if !f.options.SchedulesByPriority {
		return 0
	}
	return router.Priority(f.priorityClass(r), shortWeight)
}

// queueClass is what the queue is estimated by: all one where engines go by order
// of arrival.
func (f *fleet) queueClass(r *request) router.LengthClass {
	if !f.options.QueuesByClass {
		return router.Longest
	}
	return f.priorityClass(r)
}

func (f *fleet) priorityClass(r *request) router.LengthClass {
	if f.options.PriorityLevels > 0 && int(r.class) >= f.options.PriorityLevels-1 {
		return router.Longest
	}
	return r.class
}

func (f *fleet) dispatch(r *request, s *simEngine) {
	load := r.entry.loads[s.name]
	load.OwnInFlight.Add(1)
	load.OwnPrefillTokens[f.queueClass(r)].Add(int64(r.promptTokens))
	r.isCounted, r.engine = true, s
	f.schedule(f.deployment.Latency, func() { f.submit(r, s) })
}

func (f *fleet) submit(r *request, s *simEngine) {
	if r.outcome != pending {
		f.releaseLoad(r)
		return
	}
	if !f.canReach(r.entry, s) {
		f.schedule(engineTimeout, func() { f.retryPlacement(r, s) })
		return
	}
	var ids []string
	for _, shard := range r.groupShards {
		ids = append(ids, shard.HoldID)
	}
	running, err := s.batcher.Give(f.now, engine.Prompt{AttemptID: r.attemptID, Request: f.completionRequest(r), Priority: f.priority(r), Group: ids})
	if err != nil {
		f.schedule(f.deployment.Latency, func() { f.retryPlacement(r, s) })
		return
	}
	s.running[r] = running
}

// retryPlacement places a request anew after an engine refused or was silent.
func (f *fleet) retryPlacement(r *request, s *simEngine) {
	f.releaseLoad(r)
	if r.outcome != pending {
		return
	}
	r.triedEngines = append(r.triedEngines, s.name)
	if len(r.triedEngines) > maxAskedKeepers {
		r.triedEngines = nil
	}
	r.placer = placer.New(f.now, r.deadline.Sub(f.now), f.random)
	f.schedule(groupRetryDelay/4, func() { f.advancePlacement(r) })
}

// releaseLoad takes a request out of its entry's own counts.
func (f *fleet) releaseLoad(r *request) {
	if r.engine == nil {
		return
	}
	f.recordPace(r)
	load := r.entry.loads[r.engine.name]
	load.OwnInFlight.Add(-1)
	if r.isCounted {
		load.OwnPrefillTokens[f.queueClass(r)].Add(-int64(r.promptTokens))
		r.isCounted = false
	}
	r.engine = nil
}

// recordPace notes how fast the engine was.
func (f *fleet) recordPace(r *request) {
	const minPacedTokens = 8
	if f.options.MeasuresPace && r.generatedTokens >= minPacedTokens {
		r.entry.loads[r.engine.name].RecordTimePerToken(f.now, f.now.Sub(r.firstTokenAt)/time.Duration(r.generatedTokens))
	}
}

func (f *fleet) recordFirstToken(r *request) {
	r.firstTokenAt = f.now.Add(f.deployment.Latency + f.deployment.CallerLatency)
	if r.isCounted {
		r.entry.loads[r.engine.name].OwnPrefillTokens[f.queueClass(r)].Add(-int64(r.promptTokens))
		r.isCounted = false
	}
}

func (f *fleet) finish(r *request) {
	f.releaseLoad(r)
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
		s.batcher.Free(f.now, r.attemptID, 0)
	}
	f.releaseLoad(r)
	f.freeGroup(r)
	f.scheduleRetry(r)
}

// reserveGroup reserves a group, or tries again until patience ends.
func (f *fleet) reserveGroup(r *request, deadline time.Time) {
	if r.outcome != pending {
		return
	}
	if f.now.After(deadline) {
		f.refuse(r)
		return
	}
	var candidates []reserver.Candidate
	for _, e := range r.entry.board.EnginesFor("model") {
		s := f.engineByName[e.Name]
		if f.canReach(r.entry, s) {
			free := f.deployment.MemoryTokens
			if e.Load.ReportedAt.Load() != 0 {
				free = int(e.Load.FreeTokens.Load())
			}
			candidates = append(candidates, reserver.Candidate{Name: e.Name, DataCentre: e.DataCentre, FreeTokens: free, MemoryTokens: e.MemoryTokens})
		}
	}
	shards, err := reserver.Plan(candidates, r.promptTokens+r.answerTokens, f.deployment.MaxGroupEngines, f.newID)
	if err != nil || !f.holdShards(shards) {
		f.schedule(groupRetryDelay, func() { f.reserveGroup(r, deadline) })
		return
	}
	r.groupShards = shards
	r.attemptID = f.newID()
	delay := 2 * f.deployment.Latency * time.Duration(len(shards))
	f.schedule(delay, func() { f.dispatch(r, f.engineByName[shards[0].Engine]) })
}

// holdShards takes all shares or none.
func (f *fleet) holdShards(shards []reserver.Shard) bool {
	for i, shard := range shards {
		err := f.engineByName[shard.Engine].batcher.Hold(f.now, api.EngineHold{ID: shard.HoldID, Kind: api.HoldGroup, Tokens: shard.Tokens})
		if err == nil {
			continue
		}
		for _, held := range shards[:i] {
			f.engineByName[held.Engine].batcher.Free(f.now, held.HoldID, 0)
		}
		return false
	}
	return true
}

func (f *fleet) freeGroup(r *request) {
	for _, shard := range r.groupShards {
		f.engineByName[shard.Engine].batcher.Free(f.now, shard.HoldID, 0)
	}
	r.groupShards = nil
}

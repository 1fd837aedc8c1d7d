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
	// maxAskedKeepers is the maximum number of engines whose keepers are asked per round
	// of a placement, the same as in the product.
	maxAskedKeepers = 3
	// groupRetryDelay is the time between two attempts to reserve a group of engines. A
	// request that an engine refused is placed again after a quarter of it.
	groupRetryDelay = 120 * time.Millisecond
	// shortWeight is the priority of the short class, the default of the configuration.
	shortWeight = 6
	// engineTimeout is the time after which an entry abandons an attempt at an engine that
	// can't be reached.
	engineTimeout = 5 * time.Second
)

// outcome is what became of a request.
type outcome int

const (
	pending  outcome = iota // in progress
	answered                // answered completely within the time limit
	refused                 // refused, as no engine or group was available
	late                    // ended at the time limit
	failed                  // not used
)

// request is the state of one request that a caller sent to an entry.
type request struct {
	requestSpec
	entry    *simEntry
	sentAt   time.Time
	deadline time.Time
	// firstTokenAt is the time at which the caller receives the first token; zero before
	// the engine generates it.
	firstTokenAt time.Time
	outcome      outcome
	// placer selects the engine; nil if a group of engines holds the prompt.
	placer *placer.Placer
	// engine is the engine that the current attempt was sent to; nil for none.
	engine    *simEngine
	attemptID string
	// groupShards are the reserved shards of a prompt that no single engine can hold;
	// nil for other prompts.
	groupShards []reserver.Shard
	// triedEngines are the names of engines that refused an attempt or didn't answer.
	triedEngines []string
	// priorSends is the number of times that the caller sent the same request before.
	priorSends int
	// generatedTokens is the number of answer tokens that the engine has generated.
	generatedTokens int
	// isCounted is true while the prompt is counted in OwnPrefillTokens of the entry's load
	// of the engine: from the dispatch to the first token.
	isCounted bool
}

// sendFirst sends a request for the first time and replenishes the retry budget by a
// tenth of a retry.
func (f *fleet) sendFirst(d requestSpec) {
	f.retryBudgetUsed = max(0, f.retryBudgetUsed-0.1)
	f.send(d, 0)
}

// send sends a request to its entry and schedules its timeout.
func (f *fleet) send(d requestSpec, priorSends int) {
	r := &request{requestSpec: d, entry: f.entries[d.entryIndex], sentAt: f.now, priorSends: priorSends}
	r.deadline = f.now.Add(classProfiles[d.class].timeLimit)
	f.requests = append(f.requests, r)
	f.schedule(classProfiles[d.class].timeLimit, func() { f.expire(r) })
	f.schedule(f.deployment.CallerLatency, func() { f.admit(r) })
}

// admit starts the placement of a request, or the reservation of a group if no single
// engine can hold the request. The search for a group ends after a quarter of the time
// limit.
func (f *fleet) admit(r *request) {
	if r.promptTokens+r.answerTokens > f.deployment.MemoryTokens {
		f.reserveGroup(r, f.now.Add(r.deadline.Sub(f.now)/4))
		return
	}
	r.placer = placer.New(f.now, r.deadline.Sub(f.now), f.random)
	f.advancePlacement(r)
}

// advancePlacement executes the next step of the request's placer.
func (f *fleet) advancePlacement(r *request) {
	if r.outcome != pending {
		return
	}
	step := r.placer.Next(f.now)
	switch step.Kind {
	case placer.Choose:
		requirements := router.Requirements{Model: "model", Class: f.queueClass(r), PrefillTokens: r.promptTokens, MemoryTokens: r.promptTokens + r.answerTokens, MaxAnswerTokens: r.answerTokens, Exclude: r.triedEngines}
		r.placer.SetCandidates(r.entry.engineIndex.Choose(f.now, f.options.Policy, requirements, maxAskedKeepers, f.random))
		f.advancePlacement(r)
	case placer.Ask:
		f.askKeeper(r, f.engineByName[step.Candidate.Engine.Name])
	case placer.Pause:
		f.schedule(step.Pause, func() { f.advancePlacement(r) })
	case placer.Placed:
		f.dispatch(r, f.engineByName[step.Candidate.Engine.Name])
	default:
		f.refuse(r)
	}
}

// refuse refuses a request; its caller may retry.
func (f *fleet) refuse(r *request) {
	r.outcome = refused
	f.scheduleRetry(r)
}

// scheduleRetry makes the caller send a request again, as a new one, after a random
// delay, unless it has reached MaxRetries or the retry budget is used up.
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

// askKeeper asks the keeper of an engine for a grant and passes the reply to the placer.
// If the policy doesn't ask keepers, it passes a grant at once.
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

// priority returns the priority by which engines schedule a request; 0 if they don't
// schedule by priority.
func (f *fleet) priority(r *request) int {
	if !f.options.SchedulesByPriority {
		return 0
	}
	return router.EnginePriority(f.priorityClass(r), shortWeight)
}

// queueClass returns the class by which queues are estimated for a request. It is the
// longest class for all requests if queues don't distinguish classes, as engines then
// serve prompts in the order of arrival.
func (f *fleet) queueClass(r *request) router.LengthClass {
	if !f.options.QueuesByClass {
		return router.Longest
	}
	return f.priorityClass(r)
}

// priorityClass returns the class that determines a request's priority. Classes that
// share the last priority level are treated as the longest one.
func (f *fleet) priorityClass(r *request) router.LengthClass {
	if f.options.PriorityLevels > 0 && int(r.class) >= f.options.PriorityLevels-1 {
		return router.Longest
	}
	return r.class
}

// dispatch sends a request to an engine and counts it in the entry's own load.
func (f *fleet) dispatch(r *request, s *simEngine) {
	load := r.entry.loads[s.name]
	load.OwnInFlight.Add(1)
	load.OwnPrefillTokens[f.queueClass(r)].Add(int64(r.promptTokens))
	r.isCounted, r.engine = true, s
	f.schedule(f.deployment.Latency, func() { f.submit(r, s) })
}

// submit starts a request on an engine when the request arrives there. If the engine can't
// be reached or refuses the request, the entry places the request again.
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
	running, err := s.batcher.StartDirect(f.now, engine.DirectAttempt{AttemptID: r.attemptID, Request: f.completionRequest(r), Priority: f.priority(r), GroupHoldIDs: ids})
	if err != nil {
		f.schedule(f.deployment.Latency, func() { f.retryPlacement(r, s) })
		return
	}
	s.running[r] = running
}

// retryPlacement places a request again after an engine refused it or didn't answer.
// Engines already tried are avoided; once there are more than maxAskedKeepers of them, all
// engines are candidates again.
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

// releaseLoad removes a request from the load that its entry records for the engine of
// the current attempt. It does nothing if there is none.
func (f *fleet) releaseLoad(r *request) {
	if r.engine == nil {
		return
	}
	f.recordTokenTime(r)
	load := r.entry.loads[r.engine.name]
	load.OwnInFlight.Add(-1)
	if r.isCounted {
		load.OwnPrefillTokens[f.queueClass(r)].Add(-int64(r.promptTokens))
		r.isCounted = false
	}
	r.engine = nil
}

// recordTokenTime records the measured time per answer token in the entry's load of the
// engine, if the policy measures it and the answer has at least minMeasuredTokens.
func (f *fleet) recordTokenTime(r *request) {
	const minMeasuredTokens = 8
	if f.options.MeasuresTokenTime && r.generatedTokens >= minMeasuredTokens {
		r.entry.loads[r.engine.name].RecordTimePerToken(f.now, f.now.Sub(r.firstTokenAt)/time.Duration(r.generatedTokens))
	}
}

// recordFirstToken records when the first token reaches the caller. From then on the
// prompt is no longer part of the entry's own load.
func (f *fleet) recordFirstToken(r *request) {
	r.firstTokenAt = f.now.Add(f.deployment.Latency + f.deployment.CallerLatency)
	if r.isCounted {
		r.entry.loads[r.engine.name].OwnPrefillTokens[f.queueClass(r)].Add(-int64(r.promptTokens))
		r.isCounted = false
	}
}

// finish ends a request whose answer is complete.
func (f *fleet) finish(r *request) {
	f.releaseLoad(r)
	f.freeGroup(r)
	if r.outcome == pending {
		r.outcome = answered
	}
}

// expire ends a request that is still in progress at its time limit; its caller may
// retry.
func (f *fleet) expire(r *request) {
	if r.outcome != pending {
		return
	}
	r.outcome = late
	if s := r.engine; s != nil {
		delete(s.running, r)
		s.batcher.FreeHold(f.now, r.attemptID, 0)
	}
	f.releaseLoad(r)
	f.freeGroup(r)
	f.scheduleRetry(r)
}

// reserveGroup reserves a group of engines for a request and dispatches the request. If
// no group is available, it retries until the deadline of the search and then refuses the
// request.
func (f *fleet) reserveGroup(r *request, deadline time.Time) {
	if r.outcome != pending {
		return
	}
	if f.now.After(deadline) {
		f.refuse(r)
		return
	}
	var candidates []reserver.Candidate
	for _, e := range r.entry.engineIndex.EnginesFor("model") {
		s := f.engineByName[e.Name]
		if f.canReach(r.entry, s) {
			free := f.deployment.MemoryTokens
			if e.Load.ReportedAt.Load() != nil {
				free = int(e.Load.FreeTokens.Load())
			}
			candidates = append(candidates, reserver.Candidate{Name: e.Name, DataCentre: e.DataCentre, FreeTokens: free, MemoryTokens: e.MemoryTokens})
		}
	}
	shards, err := reserver.PlanShards(candidates, r.promptTokens+r.answerTokens, f.deployment.MaxGroupEngines, f.newID)
	if err != nil || !f.holdShards(shards) {
		f.schedule(groupRetryDelay, func() { f.reserveGroup(r, deadline) })
		return
	}
	r.groupShards = shards
	r.attemptID = f.newID()
	delay := 2 * f.deployment.Latency * time.Duration(len(shards))
	f.schedule(delay, func() { f.dispatch(r, f.engineByName[shards[0].Engine]) })
}

// holdShards reserves all shards and returns true, or else reserves none.
func (f *fleet) holdShards(shards []reserver.Shard) bool {
	for i, shard := range shards {
		err := f.engineByName[shard.Engine].batcher.AddHold(f.now, api.EngineHold{ID: shard.HoldID, Kind: api.HoldGroup, Tokens: shard.Tokens})
		if err == nil {
			continue
		}
		for _, held := range shards[:i] {
			f.engineByName[held.Engine].batcher.FreeHold(f.now, held.HoldID, 0)
		}
		return false
	}
	return true
}

// freeGroup releases the shards of a request, if it has any.
func (f *fleet) freeGroup(r *request) {
	for _, shard := range r.groupShards {
		f.engineByName[shard.Engine].batcher.FreeHold(f.now, shard.HoldID, 0)
	}
	r.groupShards = nil
}

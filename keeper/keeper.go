// Package keeper decides for one engine: which attempts may start on it, how
// long a prompt would queue there, and which of its holds are orphans.
//
// The engine is the truth. The ledger is the memory that the engine says is
// held plus the grants that it can't have counted yet, so a new keeper is right
// after one listing.
// Two keepers in a partition may grant the same memory twice; the engine
// then refuses one attempt before it starts, and nothing else happens.
package keeper

import (
	"time"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/router"
)

// Config of a keeper.
type Config struct {
	Engine string
	// Lease is the age at which an unrenewed hold is an orphan.
	Lease time.Duration
	// GrantTTL is how long a grant counts while the engine does not list
	// it; longer than the load report lags, which counts it afterwards.
	GrantTTL time.Duration
	// MemoryTokens and PrefillRate are as the document states them.
	MemoryTokens int
	PrefillRate  int
}

// GrantRequest is a request to start an attempt.
type GrantRequest struct {
	AttemptID string
	// Model is the one that the attempt needs loaded.
	Model string
	// Class is what the engine schedules the prompt by.
	Class         router.LengthClass
	PrefillTokens int
	MemoryTokens  int
	// Remaining is the time left to the request.
	Remaining time.Duration
}

// GrantReply to an Ask.
type GrantReply struct {
	Granted bool
	// QueueWait is how long the prompt would queue before its prefill starts.
	QueueWait time.Duration
	Reason    Reason
}

// Reason for an answer.
type Reason string

// The reasons.
const (
	MemoryFree Reason = "free"
	MemoryFull Reason = "memory"
	TooLate    Reason = "too_late"
	NoReport   Reason = "not_heard"
	Leaving    Reason = "leaving"
	WrongModel Reason = "wrong_model"
	Changing   Reason = "changing"
)

type grant struct {
	memoryTokens  int
	prefillTokens int
	class         router.LengthClass
	expiresAt     time.Time
}

// Keeper is the ledger of one engine. It is not safe for concurrent use.
type Keeper struct {
	config   Config
	lastLoad api.EngineLoad
	// lastReportAt is when the engine last answered; zero when it never did.
	lastReportAt time.Time
	// holds is the engine's last listing.
	holds map[string]api.EngineHold
	// usedTokens is the engine's memory held, as the last listing or report says.
	usedTokens int
	// grants are given and not yet listed. No id is in both grants and holds.
	grants map[string]grant
	// backlog is the estimated prompt tokens not yet prefilled, by class, at
	// backlogAt. None is negative.
	backlog   [router.ClassCount]float64
	backlogAt time.Time
	// lastGrant is when a grant was last given.
	lastGrant time.Time
	// listed says that the engine's holds are known for this incarnation.
	listed bool
	// changing stops grants while an order waits for streams to end.
	changing bool
}

// New returns a keeper that has yet to hear from its engine.
func New(config Config) *Keeper {
	return &Keeper{config: config, holds: map[string]api.EngineHold{}, grants: map[string]grant{}}
}

// Configure takes over what a new document states about the engine.
func (k *Keeper) Configure(config Config) { k.config = config }

// SetChanging stops or resumes grants around an order to the engine.
func (k *Keeper) SetChanging(changing bool) { k.changing = changing }

// Orphan is a hold to free if it is still at least OlderThan old; the engine
// checks the age, so a renewal in between wins.
type Orphan struct {
	Hold   api.EngineHold
	MinAge time.Duration
}

// RecordReport takes in the engine's load and its listing of holds, and returns
// the orphans to free.
func (k *Keeper) RecordReport(now time.Time, load api.EngineLoad, holds []api.EngineHold) []Orphan {
	if load.Incarnation != k.lastLoad.Incarnation {
		k.reset()
		k.lastLoad.Incarnation = load.Incarnation
	}
	clear(k.holds)
	var orphans []Orphan
	used := 0
	for _, h := range holds {
		k.holds[h.ID] = h
		used += h.Tokens
		delete(k.grants, h.ID)
		if h.AgeSeconds > k.config.Lease.Seconds() {
			orphans = append(orphans, Orphan{Hold: h, MinAge: k.config.Lease})
		}
	}
	k.listed = true
	k.RecordLoad(now, load)
	k.usedTokens = used // a listing does not lag
	return orphans
}

// RecordLoad takes in the engine's load without a listing of holds. Until the
// first listing the keeper knows nothing of the engine's memory, and it
// grants nothing.
func (k *Keeper) RecordLoad(now time.Time, load api.EngineLoad) {
	if load.Incarnation != k.lastLoad.Incarnation {
		k.reset()
	}
	k.advanceBacklog(now)
	k.lastLoad = load
	if !k.listed {
		return
	}
	k.lastReportAt = now
	k.usedTokens = load.UsedTokens
	k.removeExpiredGrants(now)
	if now.Sub(k.lastGrant) > k.config.GrantTTL {
		k.scaleBacklog(load.QueuedTokens)
	}
}

// reset drops what was known of an engine that has started anew.
func (k *Keeper) reset() {
	clear(k.grants)
	clear(k.holds)
	k.listed, k.lastReportAt = false, time.Time{}
	k.backlog = [router.ClassCount]float64{}
}

// scaleBacklog takes the engine's word for how much is queued; of which classes
// it does not say, so they keep their parts.
func (k *Keeper) scaleBacklog(queued int) {
	sum := 0.0
	for _, tokens := range k.backlog {
		sum += tokens
	}
	if sum == 0 {
		k.backlog[router.Longest] = float64(queued)
		return
	}
	for c := range k.backlog {
		k.backlog[c] *= float64(queued) / sum
	}
}

// advanceBacklog estimates how far the engine has come with its backlog, the shorter
// classes first.
func (k *Keeper) advanceBacklog(now time.Time) {
	prefilled := max(0, now.Sub(k.backlogAt).Seconds()*float64(k.config.PrefillRate))
	for c := range k.backlog {
		classTokens := min(prefilled, k.backlog[c])
		k.backlog[c] -= classTokens
		prefilled -= classTokens
	}
	k.backlogAt = now
}

func (k *Keeper) removeExpiredGrants(now time.Time) {
	for id, g := range k.grants {
		if now.After(g.expiresAt) {
			delete(k.grants, id)
		}
	}
}

// RequestGrant decides on an attempt.
func (k *Keeper) RequestGrant(now time.Time, r GrantRequest) GrantReply {
	k.advanceBacklog(now)
	k.removeExpiredGrants(now)
	wait := k.QueueWait(now, r.Class)
	if reason := k.refusalReason(now, r); reason != "" {
		return GrantReply{QueueWait: wait, Reason: reason}
	}
	if r.MemoryTokens > k.FreeTokens() {
		return GrantReply{QueueWait: wait, Reason: MemoryFull}
	}
	prefill := prefillTime(float64(r.PrefillTokens), k.config.PrefillRate)
	if wait+prefill > r.Remaining {
		return GrantReply{QueueWait: wait, Reason: TooLate}
	}
	k.grants[r.AttemptID] = grant{memoryTokens: r.MemoryTokens, prefillTokens: r.PrefillTokens, class: r.Class, expiresAt: now.Add(k.config.GrantTTL)}
	k.backlog[r.Class] += float64(r.PrefillTokens)
	k.lastGrant = now
	return GrantReply{Granted: true, QueueWait: wait, Reason: MemoryFree}
}

func prefillTime(tokens float64, rate int) time.Duration {
	return time.Duration(tokens / float64(max(1, rate)) * float64(time.Second))
}

func (k *Keeper) refusalReason(now time.Time, r GrantRequest) Reason {
	switch {
	case k.lastReportAt.IsZero() || now.Sub(k.lastReportAt) > k.config.Lease:
		return NoReport
	case k.lastLoad.Leaving:
		return Leaving
	case k.lastLoad.Model != r.Model:
		return WrongModel
	case k.changing:
		return Changing
	}
	return ""
}

// QueueWait estimates how long a prompt of the class would queue.
func (k *Keeper) QueueWait(now time.Time, class router.LengthClass) time.Duration {
	k.advanceBacklog(now)
	return prefillTime(float64(k.queuedTokens().AheadOf(class)), k.config.PrefillRate)
}

func (k *Keeper) queuedTokens() router.TokensByClass {
	var queued router.TokensByClass
	for c, tokens := range k.backlog {
		queued[c] = int(tokens)
	}
	return queued
}

// EndAttempt takes in word that an attempt has ended, or never began.
func (k *Keeper) EndAttempt(attemptID string) {
	if g, ok := k.grants[attemptID]; ok {
		k.backlog[g.class] = max(0, k.backlog[g.class]-float64(g.prefillTokens))
	}
	delete(k.grants, attemptID)
	if h, ok := k.holds[attemptID]; ok {
		k.usedTokens -= h.Tokens
	}
	delete(k.holds, attemptID)
}

// FreeTokens is the engine's memory that is neither held nor granted.
func (k *Keeper) FreeTokens() int {
	free := k.config.MemoryTokens
	if k.lastLoad.MemoryTokens > 0 {
		free = min(free, k.lastLoad.MemoryTokens)
	}
	free -= k.usedTokens
	for _, g := range k.grants {
		free -= g.memoryTokens
	}
	return max(0, free)
}

// LastLoad returns the engine's last report.
func (k *Keeper) LastLoad() api.EngineLoad { return k.lastLoad }

// LastReportAt returns when the engine last answered.
func (k *Keeper) LastReportAt() time.Time { return k.lastReportAt }

// HoldCount is how many holds the engine listed last.
func (k *Keeper) HoldCount() int { return len(k.holds) }

// GrantCount is how many grants the engine does not list yet.
func (k *Keeper) GrantCount() int { return len(k.grants) }

// LoadEstimate is an engine's load as its keeper estimates it.
type LoadEstimate struct {
	Engine       string
	Incarnation  uint64
	Leaving      bool
	QueuedTokens router.TokensByClass
	FreeTokens   int
}

// EstimateLoad is the engine's load as estimated now.
func (k *Keeper) EstimateLoad(now time.Time) LoadEstimate {
	k.advanceBacklog(now)
	return LoadEstimate{
		Engine:       k.config.Engine,
		Incarnation:  k.lastLoad.Incarnation,
		Leaving:      k.lastLoad.Leaving,
		QueuedTokens: k.queuedTokens(),
		FreeTokens:   k.FreeTokens(),
	}
}

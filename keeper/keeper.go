// Package keeper grants the memory of one engine. It decides which attempts may start on the
// engine, estimates how long a prompt would queue there, and finds orphaned holds: reservations of
// the engine's memory that their owner, an entry, no longer renews.
//
// The engine's own reports are authoritative. A keeper computes the free memory from the memory that
// the engine reports as used and from the grants that the report can't include yet, so a new keeper
// can compute it after one listing of holds. Two keepers on the two sides of a network partition may
// grant the same memory twice; the engine then refuses one of the attempts before it starts, and
// nothing else goes wrong.
package keeper

import (
	"time"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/router"
)

// Config is the configuration of a Keeper.
type Config struct {
	// Engine is the name of the engine.
	Engine string
	// Lease is the time since its last renewal after which a hold is orphaned. If the engine's last
	// report is older than Lease, the keeper grants nothing.
	Lease time.Duration
	// GrantTTL is the time for which a grant is subtracted from the free memory while the engine lists
	// no hold for it. It must exceed the lag of the engine's load reports, which include the attempt's
	// memory afterwards.
	GrantTTL time.Duration
	// MemoryTokens is the engine's total memory in tokens and PrefillRate its prefill rate in tokens a
	// second, both as the configuration document states them.
	MemoryTokens int
	PrefillRate  int
}

// GrantRequest asks whether an attempt may start on the engine.
type GrantRequest struct {
	// AttemptID is the ID of the attempt, under which the engine will list its hold.
	AttemptID string
	// Model is the model that the engine must have loaded.
	Model string
	// Class is the length class of the prompt. Engines prefill shorter classes first.
	Class router.LengthClass
	// PrefillTokens is the number of tokens to prefill.
	PrefillTokens int
	// MemoryTokens is the memory, in tokens, that the attempt needs.
	MemoryTokens int
	// Remaining is the time from the grant request until the deadline of the caller's request.
	Remaining time.Duration
	// Organisation is the name of the organisation that sent the prompt, empty if the asking entry does not state it.
	// Rank is the organisation's urgency.
	Organisation string
	Rank         apportioner.Rank
	// SentBefore is true for a prompt that an engine may have begun to run. It is not refused as OverShare.
	SentBefore bool
}

// GrantReply is the reply to a GrantRequest.
type GrantReply struct {
	Granted bool
	// QueueWait is the estimated time for which the prompt would queue before its prefill starts.
	QueueWait time.Duration
	// Reason says why the grant was given or refused.
	Reason Reason
}

// Reason says why a grant was given or refused.
type Reason string

// The reasons of a GrantReply.
const (
	// MemoryFree means that the grant was given.
	MemoryFree Reason = "free"
	// MemoryFull means that the engine has too little free memory.
	MemoryFull Reason = "memory"
	// TooLate means that the prefill would end after the deadline of the request.
	TooLate Reason = "too_late"
	// OverShare means that the room is left to a waiting prompt of another organisation, which is more urgent or uses
	// less of the engine.
	OverShare Reason = "over_share"
	// NoReport means that the engine has not listed its holds yet, or that its last report is older
	// than Config.Lease.
	NoReport Reason = "not_heard"
	// Leaving means that the engine is shutting down.
	Leaving Reason = "leaving"
	// WrongModel means that the engine has another model loaded.
	WrongModel Reason = "wrong_model"
	// OrderPending means that the engine must change the model, version, adapters or role that it
	// serves, and has not reported the change yet.
	OrderPending Reason = "changing"
)

// grant is memory granted to an attempt whose hold the engine does not list yet.
type grant struct {
	memoryTokens  int
	prefillTokens int
	class         router.LengthClass
	expiresAt     time.Time
}

// Keeper tracks the memory and the prefill backlog of one engine. It is not safe for concurrent
// use.
type Keeper struct {
	config   Config
	lastLoad api.EngineLoad
	// lastReportAt is the time of the engine's last report, zero until its current incarnation has
	// listed its holds.
	lastReportAt time.Time
	// holds are the holds of the engine's last listing, by ID, without those of attempts that ended
	// since.
	holds map[string]api.EngineHold
	// usedTokens is the engine's used memory in tokens, from its last load report or listing of holds,
	// whichever is later, less the holds of attempts that ended since.
	usedTokens int
	// grants are the grants by attempt ID. No ID is in both grants and holds.
	grants map[string]grant
	// prompts holds what is known of the attempts in grants and holds, by attempt ID. Holds that an earlier keeper
	// granted, and those of groups, are in it once their owner has described them.
	prompts map[string]prompt
	// waiting holds the asks that were refused lately for lack of room, by attempt ID. None of them is in grants.
	waiting map[string]waitingAsk
	// lastShare describes the last decision with the reason OverShare; zero before the first.
	lastShare Share
	// backlog is the estimated number of prompt tokens, by length class, that the engine had not
	// prefilled at the time backlogAt. No element is negative.
	backlog   [router.ClassCount]float64
	backlogAt time.Time
	// lastGrantAt is the time of the last grant, zero before the first.
	lastGrantAt time.Time
	// listed is true once the engine's current incarnation has listed its holds.
	listed bool
	// orderPending is true while the engine does not serve the model, version, adapters and role that the
	// configuration document states: the order to change them still has to be sent or to take effect. No
	// grants are given then.
	orderPending bool
}

// New returns a keeper that has no report of its engine. It grants nothing until the engine's first
// listing of holds is recorded.
func New(config Config) *Keeper {
	return &Keeper{config: config, holds: map[string]api.EngineHold{}, grants: map[string]grant{}, prompts: map[string]prompt{}, waiting: map[string]waitingAsk{}}
}

// Configure replaces the configuration, as a new configuration document may change the engine's
// memory and prefill rate. Existing grants keep their expiry.
func (k *Keeper) Configure(config Config) { k.config = config }

// SetOrderPending sets whether an order to change the model, version, adapters or role that the engine
// serves has to be sent or to take effect. While it is set, the keeper gives no grants.
func (k *Keeper) SetOrderPending(changing bool) { k.orderPending = changing }

// OrphanedHold is a hold to free because its owner has not renewed it for Config.Lease.
type OrphanedHold struct {
	Hold api.EngineHold
	// MinAge is the time since the hold's last renewal below which the engine must not free it, so
	// that a hold that was renewed in the meantime is kept.
	MinAge time.Duration
}

// RecordLoadAndHolds records the engine's load report and the listing of its holds, which replaces the
// last one. Grants for which a hold is listed end. It returns the orphaned holds, which must be freed.
func (k *Keeper) RecordLoadAndHolds(now time.Time, load api.EngineLoad, holds []api.EngineHold) []OrphanedHold {
	if load.Incarnation != k.lastLoad.Incarnation {
		k.reset()
		k.lastLoad.Incarnation = load.Incarnation
	}
	clear(k.holds)
	var orphans []OrphanedHold
	used := 0
	for _, h := range holds {
		k.holds[h.ID] = h
		used += h.Tokens
		delete(k.grants, h.ID)
		if h.AgeSeconds > k.config.Lease.Seconds() {
			orphans = append(orphans, OrphanedHold{Hold: h, MinAge: k.config.Lease})
		}
	}
	k.removeEndedPrompts()
	k.listed = true
	k.RecordLoad(now, load)
	k.usedTokens = used // load.UsedTokens lags behind the listing of holds
	return orphans
}

// RecordLoad records the engine's load report without a listing of its holds. Until the engine's
// current incarnation has listed its holds, the memory in use is unknown and the keeper grants nothing.
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
	if now.Sub(k.lastGrantAt) > k.config.GrantTTL {
		k.scaleBacklog(load.QueuedTokens)
	}
}

// reset discards the state of the engine's previous incarnation.
func (k *Keeper) reset() {
	clear(k.grants)
	clear(k.holds)
	clear(k.waiting)
	k.listed, k.lastReportAt = false, time.Time{}
	k.backlog = [router.ClassCount]float64{}
}

// scaleBacklog scales the backlog so that its sum is the number of queued tokens that the engine
// reports. The report does not distinguish length classes, so they keep their proportions; if the
// backlog was empty, all tokens are assigned to router.Longest.
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

// advanceBacklog subtracts from the backlog what the engine has prefilled since backlogAt,
// estimated from its prefill rate. Shorter classes are prefilled first.
func (k *Keeper) advanceBacklog(now time.Time) {
	prefilled := max(0, now.Sub(k.backlogAt).Seconds()*float64(k.config.PrefillRate))
	for c := range k.backlog {
		classTokens := min(prefilled, k.backlog[c])
		k.backlog[c] -= classTokens
		prefilled -= classTokens
	}
	k.backlogAt = now
}

// removeExpiredGrants removes the grants that were given more than Config.GrantTTL ago.
func (k *Keeper) removeExpiredGrants(now time.Time) {
	for id, g := range k.grants {
		if now.After(g.expiresAt) {
			delete(k.grants, id)
			delete(k.prompts, id)
		}
	}
}

// RequestGrant decides whether an attempt may start on the engine, and records the grant if so. It
// grants only if the engine can start attempts for the model now (see refusalReason), has enough free
// memory, and would end the prefill before the deadline. It refuses if the room must be left to a waiting prompt of
// another organisation (see checkShare).
func (k *Keeper) RequestGrant(now time.Time, r GrantRequest) GrantReply {
	k.advanceBacklog(now)
	k.removeExpiredGrants(now)
	k.removeExpiredWaiting(now)
	wait := k.QueueWait(now, r.Class)
	if reason := k.refusalReason(now, r); reason != "" {
		return GrantReply{QueueWait: wait, Reason: reason}
	}
	if r.MemoryTokens > k.FreeTokens() {
		k.recordWaiting(now, r, MemoryFull)
		return GrantReply{QueueWait: wait, Reason: MemoryFull}
	}
	prefill := prefillTime(float64(r.PrefillTokens), k.config.PrefillRate)
	if wait+prefill > r.Remaining {
		k.recordWaiting(now, r, TooLate)
		return GrantReply{QueueWait: wait, Reason: TooLate}
	}
	if share, over := k.checkShare(now, r); over {
		k.recordWaiting(now, r, OverShare)
		k.lastShare = share
		return GrantReply{QueueWait: wait, Reason: OverShare}
	}
	k.recordGranted(now, r)
	k.grants[r.AttemptID] = grant{memoryTokens: r.MemoryTokens, prefillTokens: r.PrefillTokens, class: r.Class, expiresAt: now.Add(k.config.GrantTTL)}
	k.backlog[r.Class] += float64(r.PrefillTokens)
	k.lastGrantAt = now
	return GrantReply{Granted: true, QueueWait: wait, Reason: MemoryFree}
}

// prefillTime returns the time in which an engine prefills the tokens at the given rate in tokens a
// second.
func prefillTime(tokens float64, rate int) time.Duration {
	return time.Duration(tokens / float64(max(1, rate)) * float64(time.Second))
}

// refusalReason returns why the engine can't start any attempt for the request's model, whatever its
// size; empty if it can.
func (k *Keeper) refusalReason(now time.Time, r GrantRequest) Reason {
	switch {
	case k.lastReportAt.IsZero() || now.Sub(k.lastReportAt) > k.config.Lease:
		return NoReport
	case k.lastLoad.Leaving:
		return Leaving
	case k.lastLoad.Model != r.Model:
		return WrongModel
	case k.orderPending:
		return OrderPending
	}
	return ""
}

// QueueWait estimates how long a prompt of the length class would queue before its prefill starts.
func (k *Keeper) QueueWait(now time.Time, class router.LengthClass) time.Duration {
	k.advanceBacklog(now)
	return prefillTime(float64(k.queuedTokens().QueuedAheadOf(class)), k.config.PrefillRate)
}

// queuedTokens returns the backlog in whole tokens.
func (k *Keeper) queuedTokens() router.TokensByClass {
	var queued router.TokensByClass
	for c, tokens := range k.backlog {
		queued[c] = int(tokens)
	}
	return queued
}

// EndAttempt removes the grant or hold of an attempt that has ended or will not start. If it had a
// grant, its prompt is removed from the backlog too.
func (k *Keeper) EndAttempt(attemptID string) {
	if g, ok := k.grants[attemptID]; ok {
		k.backlog[g.class] = max(0, k.backlog[g.class]-float64(g.prefillTokens))
	}
	delete(k.grants, attemptID)
	if h, ok := k.holds[attemptID]; ok {
		k.usedTokens -= h.Tokens
	}
	delete(k.holds, attemptID)
	delete(k.prompts, attemptID)
}

// FreeTokens returns the engine's memory, in tokens, that is neither in use nor granted.
func (k *Keeper) FreeTokens() int {
	free := k.memoryTokens() - k.usedTokens
	for _, g := range k.grants {
		free -= g.memoryTokens
	}
	return max(0, free)
}

// memoryTokens returns the engine's total memory in tokens.
func (k *Keeper) memoryTokens() int {
	if k.lastLoad.MemoryTokens > 0 {
		return min(k.config.MemoryTokens, k.lastLoad.MemoryTokens)
	}
	return k.config.MemoryTokens
}

// LastLoad returns the engine's last load report, the zero value if there is none.
func (k *Keeper) LastLoad() api.EngineLoad { return k.lastLoad }

// LastShare returns the decision on the last ask that was refused as OverShare, zero if there was none.
func (k *Keeper) LastShare() Share { return k.lastShare }

// LastReportAt returns the time of the engine's last report, zero until the engine's current
// incarnation has listed its holds.
func (k *Keeper) LastReportAt() time.Time { return k.lastReportAt }

// HoldCount returns the number of holds of the engine's last listing, without those of attempts that
// ended since.
func (k *Keeper) HoldCount() int { return len(k.holds) }

// GrantCount returns the number of grants for which the engine does not list a hold yet.
func (k *Keeper) GrantCount() int { return len(k.grants) }

// LoadEstimate is the load of an engine as its keeper estimates it.
type LoadEstimate struct {
	// Engine is the name of the engine, Incarnation the number of its current incarnation.
	Engine      string
	Incarnation uint64
	// Leaving is set while the engine is shutting down.
	Leaving bool
	// QueuedTokens is the estimated number of prompt tokens, by length class, that the engine has not
	// prefilled.
	QueuedTokens router.TokensByClass
	// FreeTokens is the engine's memory, in tokens, that is neither in use nor granted.
	FreeTokens int
}

// EstimateLoad returns the engine's load as estimated at the time now.
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

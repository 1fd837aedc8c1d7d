package keeper

import (
	"time"

	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/router"
)

const (
	// waitTTL is the time for which an ask that was refused for lack of room counts as waiting. A prompt that
	// still waits asks again after a pause of up to 80 ms and the asks of two other keepers, each of which may
	// take that long.
	waitTTL = 250 * time.Millisecond
	// lateTTL is the time for which an ask that was refused as too late counts as waiting, from the refusal or the
	// organisation's last grant. Its caller comes back after the Retry-After of 0.5 to 3 s. Prefill capacity is not
	// lost meanwhile: what is kept for the caller is a place in the queue.
	lateTTL = 3 * time.Second
	// maxLate is the maximum number of asks of one organisation and rank that count as waiting after they were
	// refused as too late. They keep at most half of the queue in any case.
	maxLate = 8
	// minQueueWait is the length of the prefill queue below which no ask is refused to keep a place for late ones. An
	// engine must not run out of prompts before those that wait ask again, however short the deadlines of others are.
	minQueueWait = waitTTL
)

// prompt is what a keeper knows about an attempt to which it granted memory.
type prompt struct {
	organisation string
	rank         apportioner.Rank
	// prefillUse is the fraction of the engine's prefill rate that the prompt needs to be prefilled by its deadline.
	// It counts until prefilledAt, when its prefill is expected to end.
	prefillUse  float64
	prefilledAt time.Time
}

// waitingAsk is an ask that was refused for lack of room.
type waitingAsk struct {
	request   GrantRequest
	expiresAt time.Time
	// isLate is true if it was refused because its prefill would end too late, and false if memory was missing.
	isLate bool
}

// rankUse is the use of one organisation by prompts of one rank.
type rankUse struct {
	rank   apportioner.Rank
	amount float64
}

// useTable holds the uses of an engine by organisation, in any order of ranks.
type useTable map[string][]rankUse

func (u useTable) add(organisation string, rank apportioner.Rank, amount float64) {
	for i, x := range u[organisation] {
		if x.rank == rank {
			u[organisation][i].amount += amount
			return
		}
	}
	u[organisation] = append(u[organisation], rankUse{rank, amount})
}

// sum returns the use of an organisation by prompts of all ranks.
func (u useTable) sum(organisation string) float64 {
	sum := 0.0
	for _, x := range u[organisation] {
		sum += x.amount
	}
	return sum
}

// Share describes the decision on an ask that was refused as OverShare.
type Share struct {
	// Ahead is the organisation whose waiting ask goes first.
	Ahead string
	// Use and AheadUse are the uses of the engine by the organisation that asked and by Ahead, where 1 is the
	// whole engine.
	Use, AheadUse float64
	// Waiting is the number of asks of all organisations that wait.
	Waiting int
}

// prefillUse returns the fraction of the engine's prefill rate that a prompt needs to be prefilled by its deadline.
func (k *Keeper) prefillUse(r GrantRequest) float64 {
	prefill := prefillTime(float64(r.PrefillTokens), k.config.PrefillRate)
	if r.Remaining <= prefill {
		return 1
	}
	return prefill.Seconds() / r.Remaining.Seconds()
}

// cost returns the use that a prompt would add.
func (k *Keeper) cost(r GrantRequest) float64 {
	return float64(r.MemoryTokens)/float64(max(1, k.memoryTokens())) + k.prefillUse(r)
}

// uses returns the uses of the engine by its grants and holds, where 1 is the whole engine: the fraction of the
// memory of each, and of the prefill rate until it is prefilled. Holds that this keeper did not grant count for the
// organisation without a name until RecordOwner.
func (k *Keeper) uses(now time.Time) useTable {
	uses := useTable{}
	total := float64(max(1, k.memoryTokens()))
	add := func(id string, tokens float64) {
		p := k.prompts[id]
		use := tokens / total
		if now.Before(p.prefilledAt) {
			use += p.prefillUse
		}
		uses.add(p.organisation, p.rank, use)
	}
	for id, g := range k.grants {
		add(id, float64(g.memoryTokens))
	}
	listed := 0
	for _, h := range k.holds {
		listed += h.Tokens
	}
	// Some of the listed holds have ended if a later load report says that less memory is used.
	scale := 1.0
	if listed > k.usedTokens {
		scale = float64(k.usedTokens) / float64(listed)
	}
	for id, h := range k.holds {
		add(id, float64(h.Tokens)*scale)
	}
	return uses
}

// recordWaiting records an ask that was refused for lack of room, unless an empty engine had none either.
func (k *Keeper) recordWaiting(now time.Time, r GrantRequest, reason Reason) {
	ttl := waitTTL
	if reason == TooLate {
		ttl = lateTTL
	}
	if r.MemoryTokens > k.memoryTokens() || prefillTime(float64(r.PrefillTokens), k.config.PrefillRate) > r.Remaining {
		return
	}
	if reason == TooLate {
		k.removeSurplusLate(r)
	}
	k.waiting[r.AttemptID] = waitingAsk{request: r, expiresAt: now.Add(ttl), isLate: reason == TooLate}
}

// removeSurplusLate removes the ask that expires first of those like r that were refused as too late, if there are
// maxLate.
func (k *Keeper) removeSurplusLate(r GrantRequest) {
	count, oldest := 0, ""
	for id, w := range k.waiting {
		if !w.isLate || w.request.Organisation != r.Organisation || w.request.Rank != r.Rank {
			continue
		}
		count++
		if oldest == "" || w.expiresAt.Before(k.waiting[oldest].expiresAt) {
			oldest = id
		}
	}
	if count >= maxLate {
		delete(k.waiting, oldest)
	}
}

// recordGranted removes an ask from those that wait. It keeps those of its organisation that were refused as too late
// for another lateTTL, as an organisation whose prompts are granted goes on to send some.
func (k *Keeper) recordGranted(now time.Time, r GrantRequest) {
	delete(k.waiting, r.AttemptID)
	for id, w := range k.waiting {
		if w.isLate && w.request.Organisation == r.Organisation && w.request.Rank == r.Rank {
			w.expiresAt = now.Add(lateTTL)
			k.waiting[id] = w
		}
	}
	k.prompts[r.AttemptID] = prompt{organisation: r.Organisation, rank: r.Rank, prefillUse: k.prefillUse(r), prefilledAt: k.prefillEnd(now, r.Class, r.PrefillTokens)}
}

// removeExpiredWaiting removes the asks that were refused too long ago to be still waiting.
func (k *Keeper) removeExpiredWaiting(now time.Time) {
	for id, w := range k.waiting {
		if now.After(w.expiresAt) {
			delete(k.waiting, id)
		}
	}
}

// queueKey selects the asks of one organisation and rank.
type queueKey struct {
	organisation string
	rank         apportioner.Rank
}

// queue is the asks of one organisation and rank that wait.
type queue struct {
	key queueKey
	// first is the ask that needs the most memory.
	first GrantRequest
	// memoryTokens is the memory that the asks need which were refused for lack of it, in tokens.
	memoryTokens int
	// late holds the asks that were refused as too late, and lateTokens is the sum of what they would prefill.
	late       []GrantRequest
	lateTokens int
}

// checkShare reports whether an ask for which there is room must leave it to waiting asks of another organisation,
// which goes first and for which there would be no room any more. While there is room for all, or no other organisation
// waits, it never does.
func (k *Keeper) checkShare(now time.Time, r GrantRequest) (Share, bool) {
	if r.SentBefore {
		return Share{}, false
	}
	queues := k.queuesBeside(r)
	if len(queues) == 0 {
		return Share{}, false
	}
	uses := k.uses(now)
	free, reserved := k.FreeTokens(), 0
	var ahead *queue
	for _, q := range k.liveQueues(uses, queues) {
		if !k.goesFirst(uses, q.first, r) {
			continue
		}
		reserved += q.memoryTokens
		if r.MemoryTokens+reserved > free || k.delaysLate(now, r, q) {
			ahead = q
			break
		}
	}
	if ahead == nil {
		return Share{}, false
	}
	return Share{
		Ahead: ahead.key.organisation, Use: uses.sum(r.Organisation),
		AheadUse: uses.sum(ahead.key.organisation), Waiting: len(k.waiting),
	}, true
}

// queuesBeside returns the waiting asks of other organisations; none if all of them wait for memory and there is enough
// for all besides r.
func (k *Keeper) queuesBeside(r GrantRequest) map[queueKey]*queue {
	queues := map[queueKey]*queue{}
	tokens, late := r.MemoryTokens, false
	for _, w := range k.waiting {
		key := queueKey{w.request.Organisation, w.request.Rank}
		if key.organisation == r.Organisation {
			continue
		}
		q := queues[key]
		if q == nil {
			q = &queue{key: key, first: w.request}
			queues[key] = q
		}
		if w.request.MemoryTokens > q.first.MemoryTokens {
			q.first = w.request
		}
		if w.isLate {
			q.late = append(q.late, w.request)
			q.lateTokens += w.request.PrefillTokens
			late = true
			continue
		}
		q.memoryTokens += w.request.MemoryTokens
		tokens += w.request.MemoryTokens
	}
	if tokens <= k.FreeTokens() && !late {
		return nil
	}
	return queues
}

// liveQueues returns the queues of the ranks that may go before others. Of each rank, the organisation that uses least
// is compared with those of the other ranks; where one of them goes first, the rank waits for that one. With three
// ranks, each may go before the next and the last before the first; then none is returned, as all would be refused.
func (k *Keeper) liveQueues(uses useTable, queues map[queueKey]*queue) []*queue {
	heads := map[apportioner.Rank]*queue{}
	for _, q := range queues {
		head := heads[q.key.rank]
		if head == nil || uses.sum(q.key.organisation) < uses.sum(head.key.organisation) {
			heads[q.key.rank] = q
		}
	}
	waits := map[apportioner.Rank]bool{}
	for rank, head := range heads {
		for _, other := range heads {
			if other.key.organisation != head.key.organisation && k.goesFirst(uses, other.first, head.first) {
				waits[rank] = true
			}
		}
	}
	var live []*queue
	for _, q := range queues {
		if !waits[q.key.rank] {
			live = append(live, q)
		}
	}
	return live
}

// delaysLate reports whether prompts like those of the queue that were refused as too late would be too late again after
// r. As several may come back at once, all of them together are kept a place, but no more than half of the time for which
// each may wait, so that the engine doesn't run out of prompts to prefill.
func (k *Keeper) delaysLate(now time.Time, r GrantRequest, q *queue) bool {
	if k.QueueWait(now, router.Longest) < minQueueWait {
		return false
	}
	for _, w := range q.late {
		half := int(w.Remaining.Seconds() / 2 * float64(k.config.PrefillRate))
		tokens := max(w.PrefillTokens, min(q.lateTokens, half))
		if r.Class <= w.Class {
			tokens += r.PrefillTokens
		}
		if k.QueueWait(now, w.Class)+prefillTime(float64(tokens), k.config.PrefillRate) > w.Remaining {
			return true
		}
	}
	return false
}

// minUse is the smallest difference of uses at which one organisation goes first.
const minUse = 1e-6

// goesFirst reports whether the ask w of one organisation goes before the ask r of another: if the capacity that both
// use now grew a little, w's organisation would be entitled to the growth by the rule of package apportioner. Of
// organisations of equal rank, the one that uses less goes first, whatever the size of its prompt, as a long prompt
// would otherwise never find room beside short ones. A less urgent one goes first only while it would not use more
// than a quarter with its prompt.
func (k *Keeper) goesFirst(uses useTable, w, r GrantRequest) bool {
	step := minUse
	if w.Rank > r.Rank {
		step = k.cost(w)
	}
	var pair apportioner.Uses
	waiter, asker := apportioner.Organisation(1), apportioner.Organisation(2)
	for _, x := range uses[w.Organisation] {
		pair.Add(waiter, x.rank, x.amount)
	}
	for _, x := range uses[r.Organisation] {
		pair.Add(asker, x.rank, x.amount)
	}
	capacity := pair.Total() + step
	pair.Add(asker, r.Rank, k.cost(r))
	return pair.IsEntitled(capacity, waiter, w.Rank, step)
}

// Use returns the use of the engine by an organisation, where 1 is the whole engine.
func (k *Keeper) Use(now time.Time, organisation string) float64 {
	return k.uses(now).sum(organisation)
}

// RecordOwner records the organisation and rank of a hold that this keeper did not grant. The engine may not have listed
// the hold yet.
func (k *Keeper) RecordOwner(id, organisation string, rank apportioner.Rank) {
	if _, ok := k.prompts[id]; !ok {
		k.prompts[id] = prompt{organisation: organisation, rank: rank}
	}
}

// removeEndedPrompts forgets the attempts that have neither a grant nor a listed hold.
func (k *Keeper) removeEndedPrompts() {
	for id := range k.prompts {
		_, granted := k.grants[id]
		_, held := k.holds[id]
		if !granted && !held {
			delete(k.prompts, id)
		}
	}
}

// prefillEnd returns the time at which the prefill of a prompt that is granted now is expected to end.
func (k *Keeper) prefillEnd(now time.Time, class router.LengthClass, tokens int) time.Time {
	return now.Add(k.QueueWait(now, class) + prefillTime(float64(tokens), k.config.PrefillRate))
}

package dispatcher

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

// CompactID identifies a request, or an incarnation of an entry or an upstream, in load updates. It
// is random for requests, and a hash of the name for incarnations: the names themselves would make
// up most of a message.
type CompactID uint32

// CompactIDOf returns the compact ID of a name, which is a hash.
func CompactIDOf(name string) CompactID { return CompactID(xxhash.Sum64String(name)) }

// RequestLoad is the load of one request of an entry, as the entry reports it to its peers.
type RequestLoad struct {
	// ID identifies the request among those of its entry. It is random, and new for each placement.
	ID CompactID
	// Ended is true where the request has ended. Then only ID, Outcome and, for OutcomeFailed,
	// Assignments are set.
	Ended bool
	// Outcome is the outcome of an ended request; OutcomeUnknown unless Ended is true.
	Outcome ReportedOutcome
	// FirstByteSeen is true once the first byte of the answer has arrived.
	FirstByteSeen bool
	// Organisation sent the request, and Rank is its urgency.
	Organisation apportioner.Organisation
	Rank         apportioner.Rank
	// Age is the time since the placement.
	Age time.Duration
	// Waited is the time for which the caller had waited, at the placement, for its first byte or
	// next event.
	Waited time.Duration
	// Remaining is the time from the placement to the caller's deadline for the whole answer; 0 if
	// unknown.
	Remaining time.Duration
	// PromptTokens is the length of the prompt, AnswerTokens the expected length of the answer.
	PromptTokens, AnswerTokens int
	// FirstByteTarget and GapTarget are the latency targets of the route; GapTarget is 0 for plain
	// requests.
	FirstByteTarget, GapTarget time.Duration
	// LongPrefill is true where the prompt is long and the first byte has not arrived. It is not
	// encoded, and so always false in a load received from a peer.
	LongPrefill bool
	// Assignments has an element for each upstream; the first upstream answers.
	Assignments []AssignmentLoad
}

// ReportedOutcome is what an entry reports to its peers about how the upstream that was to answer a
// request served it, once the request has ended.
type ReportedOutcome byte

// Outcomes of a request.
const (
	// OutcomeUnknown means that the end of the request shows nothing about the upstream: an answer
	// that an entry did not receive may have been lost on its own links.
	OutcomeUnknown ReportedOutcome = iota
	// OutcomeAnswered means that the upstream sent a complete answer.
	OutcomeAnswered
	// OutcomeFailed means that the upstream answered with a failure. The first assignment names the
	// upstream, as a request that fails at once is reported only by its end.
	OutcomeFailed
)

// AssignmentLoad is the load of a request at one upstream.
type AssignmentLoad struct {
	// Upstream identifies the incarnation of the upstream.
	Upstream CompactID
	// MemoryTokens is the memory that the request uses at the upstream, in tokens; on the wire
	// rounded up to a multiple of memoryUnit.
	MemoryTokens int
	// Decodes is true for the first assignment, whose upstream answers. It is not encoded, as it
	// follows from the order.
	Decodes bool
}

// peerRequestKey identifies a request of a peer. IDs are unique within one peer only.
type peerRequestKey struct{ peer, id CompactID }

// requestLoadTTL is the time for which a peer's report of a request is valid. Peers repeat reports
// several times within it.
const requestLoadTTL = 3 * time.Second

// maxPeerRequests is the maximum number of requests of peers that are known at a time. Reports of further ones are
// ignored: anybody may send reports, also of requests that do not exist.
const maxPeerRequests = 65536

// queueUpdate marks a request to be returned by the next call of TakeLoadChanges.
func (b *Dispatcher) queueUpdate(r *request) {
	if b.isUnreported {
		return
	}
	b.changed[r] = true
	b.signalChange()
}

// queueEnd adds the end of a request to what the next call of TakeLoadChanges returns.
func (b *Dispatcher) queueEnd(r *request, outcome ReportedOutcome) {
	if b.isUnreported {
		return
	}
	delete(b.changed, r)
	load := RequestLoad{ID: r.compactID, Ended: true, Outcome: outcome}
	if outcome == OutcomeFailed {
		load.Assignments = []AssignmentLoad{{Upstream: r.assignments[0].upstream.compactID, Decodes: true}}
	}
	b.endedLoads = append(b.endedLoads, load)
	b.signalChange()
}

// signalChange puts an element into LoadChanged unless there is one.
func (b *Dispatcher) signalChange() {
	select {
	case b.LoadChanged <- struct{}{}:
	default:
	}
}

// TakeLoadChanges returns the load of the requests of this entry that changed or ended since the
// last call, for a load update to peers. With all set, it returns the load of all its requests,
// removes the expired requests of peers, and repeats the ends returned since the last call with all
// set, in case a message was lost. The repeated ends have no outcome, as a failure would otherwise
// count twice.
func (b *Dispatcher) TakeLoadChanges(now time.Time, all bool) []RequestLoad {
	b.lock.Lock()
	defer b.lock.Unlock()
	out := slices.Clone(b.endedLoads)
	if all {
		for _, id := range b.previouslyEnded {
			out = append(out, RequestLoad{ID: id, Ended: true})
		}
		b.previouslyEnded = b.previouslyEnded[:0]
		b.expirePeerRequests(now)
	}
	for _, load := range b.endedLoads {
		b.previouslyEnded = append(b.previouslyEnded, load.ID)
	}
	b.endedLoads = b.endedLoads[:0]
	for _, r := range b.ownRequests {
		if all || b.changed[r] {
			out = append(out, r.load(now))
		}
	}
	clear(b.changed)
	return out
}

// OwnRequestLoads returns the load of all requests of this entry, for a peer that has just joined.
// Unlike TakeLoadChanges, it leaves the changes to report as they are.
func (b *Dispatcher) OwnRequestLoads(now time.Time) []RequestLoad {
	b.lock.Lock()
	defer b.lock.Unlock()
	out := make([]RequestLoad, 0, len(b.ownRequests))
	for _, r := range b.ownRequests {
		out = append(out, r.load(now))
	}
	return out
}

// load returns the load of the request as it is reported to peers.
func (r *request) load(now time.Time) RequestLoad {
	load := RequestLoad{
		ID: r.compactID, FirstByteSeen: r.firstByteSeen, Organisation: r.organisation, Rank: r.rank, Age: now.Sub(r.placedAt), Waited: r.placedAt.Sub(r.waitingSince), Remaining: r.remaining, PromptTokens: r.promptTokens, AnswerTokens: r.answerTokens, FirstByteTarget: r.firstByteTarget, GapTarget: r.gapTarget,
		LongPrefill: !r.firstByteSeen && r.hasLongPrefill(), Assignments: make([]AssignmentLoad, len(r.assignments)),
	}
	for i, a := range r.assignments {
		load.Assignments[i] = AssignmentLoad{Upstream: a.upstream.compactID, MemoryTokens: a.memoryTokens, Decodes: i == 0}
	}
	return load
}

// expirePeerRequests removes the requests of peers whose last report is older than requestLoadTTL.
func (b *Dispatcher) expirePeerRequests(now time.Time) {
	for key, r := range b.peerRequests {
		if now.After(r.expiresAt) {
			delete(b.peerRequests, key)
			b.unassign(now, r)
		}
	}
}

// ForgetPeer removes all requests of a peer that has restarted, as they ended with its incarnation.
func (b *Dispatcher) ForgetPeer(now time.Time, peer CompactID) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for key, r := range b.peerRequests {
		if key.peer == peer {
			delete(b.peerRequests, key)
			b.unassign(now, r)
		}
	}
}

// ApplyPeerLoads applies a load update of a peer: it adds requests that are new, extends the
// validity of those known, records first bytes and outcomes, and removes requests that have ended.
// It ignores new requests while maxPeerRequests are known.
func (b *Dispatcher) ApplyPeerLoads(now time.Time, peer CompactID, loads []RequestLoad) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, load := range loads {
		key := peerRequestKey{peer: peer, id: load.ID}
		r, known := b.peerRequests[key]
		if load.Ended {
			b.recordOutcome(now, r, load)
			if known {
				delete(b.peerRequests, key)
				b.unassign(now, r)
			}
			continue
		}
		if !known && len(b.peerRequests) >= maxPeerRequests {
			continue
		}
		if !known {
			r = newPeerRequest(now, load)
			b.peerRequests[key] = r
			b.resolveUpstreams(now, r)
		}
		r.expiresAt = now.Add(requestLoadTTL)
		if load.FirstByteSeen && !r.firstByteSeen {
			r.recordFirstByte(now)
			b.reduceUse(r)
		}
		if !load.FirstByteSeen {
			r.lastPendingAt = now
		}
	}
}

// recordOutcome updates the health of the answering upstream by the outcome of a peer's request.
// Without these reports, an upstream that fails a fraction of its requests would have to fail one
// of each entry before all avoid it. r is nil where the peer has not reported the request before
// its end.
func (b *Dispatcher) recordOutcome(now time.Time, r *request, load RequestLoad) {
	switch {
	case load.Outcome == OutcomeFailed && len(load.Assignments) > 0:
		if u, ok := b.byCompactID[load.Assignments[0].Upstream]; ok {
			u.health.recordFailure(now)
		}
	case load.Outcome == OutcomeAnswered && r != nil:
		r.recordAnswer(now)
	}
}

// recordAnswer records that a peer's request was answered, in the health of the upstream that
// decodes. That need not be the first, because the order of a peer's assignments is that in which
// their upstreams were listed at this entry.
func (r *request) recordAnswer(now time.Time) {
	for _, a := range r.assignments {
		if a.job.Decodes {
			a.upstream.health.recordAnswer(now)
		}
	}
}

// newPeerRequest returns a peer's request without assignments; resolveUpstreams adds them.
func newPeerRequest(now time.Time, load RequestLoad) *request {
	return &request{
		compactID: load.ID, organisation: load.Organisation, rank: load.Rank, firstReportedAt: now, promptTokens: load.PromptTokens, answerTokens: load.AnswerTokens, firstByteTarget: load.FirstByteTarget, gapTarget: load.GapTarget, value: promptValue(load.PromptTokens), remaining: load.Remaining, placedAt: now.Add(-load.Age), waitingSince: now.Add(-load.Age - load.Waited),
		unknownUpstreams: load.Assignments, upstreamCount: len(load.Assignments),
	}
}

// resolveUpstreams adds the assignments of a peer's request at the upstreams that are now listed.
// An entry that has just started receives load updates before it has a list of upstreams.
func (b *Dispatcher) resolveUpstreams(now time.Time, r *request) {
	d := Demand{PromptTokens: r.promptTokens, AnswerTokens: r.answerTokens}
	var unknown []AssignmentLoad
	for _, load := range r.unknownUpstreams {
		u, ok := b.byCompactID[load.Upstream]
		if !ok {
			unknown = append(unknown, load)
			continue
		}
		r.assign(u, newPeerJob(r.placedAt, d, u.engine, r.upstreamCount, load.Decodes), load.MemoryTokens)
		u.add(now, r.assignments[len(r.assignments)-1])
	}
	r.unknownUpstreams = unknown
	if r.firstByteSeen {
		r.recordFirstByte(now)
	}
	b.countUse(r)
}

// newPeerJob returns the job of a peer's request at an upstream. The engine profile is nil for
// plain services.
func newPeerJob(placedAt time.Time, d Demand, e *matcher.EngineProfile, shards int, decodes bool) predictor.Job {
	if e == nil {
		return predictor.Job{Decodes: decodes, Arrived: placedAt}
	}
	return newJob(placedAt, d, e, shards, decodes)
}

package dispatcher

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

// WireID names an entry, an upstream or a request in messages of shares: a hash
// of its name, since names would make up most of a message.
type WireID uint32

// WireIDOf is the token of a name.
func WireIDOf(name string) WireID { return WireID(xxhash.Sum64String(name)) }

// RequestLoad is what one entry says of one of its requests.
type RequestLoad struct {
	// ID is drawn for each placement.
	ID WireID
	// Ended requests are off the board; beside that only Outcome is said of them.
	Ended bool
	// Outcome is what the end of a request shows of its first upstream.
	Outcome Outcome
	// FirstByteSeen is true once the first event was seen.
	FirstByteSeen bool
	// Age is how long ago the request was placed.
	Age time.Duration
	// Waited is how long its caller had waited by then.
	Waited time.Duration
	// Remaining is how long after its placement the caller waits for the whole answer; 0 if unknown.
	Remaining time.Duration
	// PromptTokens and AnswerTokens are token counts.
	PromptTokens, AnswerTokens int
	// FirstByteTarget and GapTarget are those of the route; GapTarget is 0 for plain requests.
	FirstByteTarget, GapTarget time.Duration
	// LongPrefill is true of a prompt that takes an engine long and has no answer yet; it is not on the wire.
	LongPrefill bool
	// Assignments has an element for each upstream, the one that answers first.
	Assignments []AssignmentLoad
}

// Outcome is what the end of a request shows of the upstream that was to answer it.
type Outcome byte

// The outcomes.
const (
	// OutcomeUnknown: nothing, as what an entry did not hear may have been lost on its own links.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered: the upstream answered.
	OutcomeAnswered
	// OutcomeFailed: the upstream answered that it failed. Parts names it, since a request that
	// fails at once is told of by its end alone.
	OutcomeFailed
)

// AssignmentLoad is what a request has at one upstream.
type AssignmentLoad struct {
	Upstream WireID
	// MemoryTokens is its memory there, in tokens.
	MemoryTokens int
	// Decodes is true of the first part, whose upstream answers; it is not on the wire.
	Decodes bool
}

// peerRequestKey names a request of a peer.
type peerRequestKey struct{ peer, id WireID }

// requestLoadTTL is how long what a peer said of a request counts. Peers repeat it
// several times in that time.
const requestLoadTTL = 3 * time.Second

// queueUpdate notes that peers are to hear of a request.
func (b *Dispatcher) queueUpdate(r *request) {
	if b.isLocal {
		return
	}
	b.changed[r] = true
	b.signalChange()
}

// queueEnd notes that peers are to hear of a request's end.
func (b *Dispatcher) queueEnd(r *request, outcome Outcome) {
	if b.isLocal {
		return
	}
	delete(b.changed, r)
	load := RequestLoad{ID: r.wireID, Ended: true, Outcome: outcome}
	if outcome == OutcomeFailed {
		load.Assignments = []AssignmentLoad{{Upstream: r.assignments[0].upstream.wireID, Decodes: true}}
	}
	b.endedLoads = append(b.endedLoads, load)
	b.signalChange()
}

func (b *Dispatcher) signalChange() {
	select {
	case b.Changed <- struct{}{}:
	default:
	}
}

// Export returns what changed since the last call, or all that this entry has
// where all is true. Ends are told once more with the next of all, without their outcome: a
// failure that is told twice would count twice.
func (b *Dispatcher) Export(now time.Time, all bool) []RequestLoad {
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

// RequestLoads returns all that this entry has, for an entry that is new here.
func (b *Dispatcher) RequestLoads(now time.Time) []RequestLoad {
	b.lock.Lock()
	defer b.lock.Unlock()
	out := make([]RequestLoad, 0, len(b.ownRequests))
	for _, r := range b.ownRequests {
		out = append(out, r.load(now))
	}
	return out
}

func (r *request) load(now time.Time) RequestLoad {
	load := RequestLoad{
		ID: r.wireID, FirstByteSeen: r.firstByteSeen, Age: now.Sub(r.placedAt), Waited: r.placedAt.Sub(r.waitingSince), Remaining: r.remaining, PromptTokens: r.promptTokens, AnswerTokens: r.answerTokens, FirstByteTarget: r.firstByteTarget, GapTarget: r.gapTarget,
		LongPrefill: !r.firstByteSeen && r.hasLongPrefill(), Assignments: make([]AssignmentLoad, len(r.assignments)),
	}
	for i, a := range r.assignments {
		load.Assignments[i] = AssignmentLoad{Upstream: a.upstream.wireID, MemoryTokens: a.memoryTokens, Decodes: i == 0}
	}
	return load
}

// expirePeerRequests drops what peers have not repeated for long.
func (b *Dispatcher) expirePeerRequests(now time.Time) {
	for key, r := range b.peerRequests {
		if now.After(r.expiresAt) {
			delete(b.peerRequests, key)
			b.unassign(now, r)
		}
	}
}

// ForgetPeer drops what a peer told that has started anew: its requests ended with it.
func (b *Dispatcher) ForgetPeer(now time.Time, peer WireID) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for key, r := range b.peerRequests {
		if key.peer == peer {
			delete(b.peerRequests, key)
			b.unassign(now, r)
		}
	}
}

// Import takes in a peer's shares.
func (b *Dispatcher) Import(now time.Time, peer WireID, loads []RequestLoad) {
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
		if !known {
			r = newPeerRequest(now, load)
			b.peerRequests[key] = r
			b.resolveUpstreams(now, r)
		}
		r.expiresAt = now.Add(requestLoadTTL)
		if load.FirstByteSeen && !r.firstByteSeen {
			r.recordFirstByte(now)
		}
		if !load.FirstByteSeen {
			r.lastPendingAt = now
		}
	}
}

// recordOutcome takes in what the end of a peer's request, nil if it is not known here, shows of an upstream:
// one that fails a part of its requests would otherwise fail one for each entry.
func (b *Dispatcher) recordOutcome(now time.Time, r *request, load RequestLoad) {
	switch {
	case load.Outcome == OutcomeFailed && len(load.Assignments) > 0:
		if u, ok := b.byWireID[load.Assignments[0].Upstream]; ok {
			u.health.recordFailure(now)
		}
	case load.Outcome == OutcomeAnswered && r != nil:
		r.recordAnswer(now)
	}
}

// recordAnswer notes that a peer's request was answered. Its parts are in the order in which their upstreams
// became known here.
func (r *request) recordAnswer(now time.Time) {
	for _, a := range r.assignments {
		if a.job.Decodes {
			a.upstream.health.recordAnswer(now)
		}
	}
}

// newPeerRequest returns a peer's request that has no parts yet.
func newPeerRequest(now time.Time, load RequestLoad) *request {
	return &request{
		wireID: load.ID, firstReportedAt: now, promptTokens: load.PromptTokens, answerTokens: load.AnswerTokens, firstByteTarget: load.FirstByteTarget, gapTarget: load.GapTarget, value: promptValue(load.PromptTokens), remaining: load.Remaining, placedAt: now.Add(-load.Age), waitingSince: now.Add(-load.Age - load.Waited),
		unknownUpstreams: load.Assignments, upstreamCount: len(load.Assignments),
	}
}

// resolveUpstreams gives a peer's request its parts at the upstreams that are known here. An entry
// that has just started is told of requests before it knows any.
func (b *Dispatcher) resolveUpstreams(now time.Time, r *request) {
	d := Demand{PromptTokens: r.promptTokens, AnswerTokens: r.answerTokens}
	var unknown []AssignmentLoad
	for _, load := range r.unknownUpstreams {
		u, ok := b.byWireID[load.Upstream]
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
}

// newPeerJob is what a peer's request does at an upstream.
func newPeerJob(placed time.Time, d Demand, e *matcher.Engine, shards int, decodes bool) predictor.Job {
	if e == nil {
		return predictor.Job{Decodes: decodes, Arrived: placed}
	}
	return newJob(placed, d, e, shards, decodes)
}

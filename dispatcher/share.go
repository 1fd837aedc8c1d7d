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

// peerRequest names a request of a peer.
type peerRequest struct{ peer, request WireID }

// shareLife is how long what a peer said of a request counts. Peers repeat it
// several times in that time.
const shareLife = 3 * time.Second

// tell notes that peers are to hear of a request.
func (b *Dispatcher) tell(r *request) {
	if b.local {
		return
	}
	b.changed[r] = true
	b.wake()
}

// tellEnd notes that peers are to hear of a request's end.
func (b *Dispatcher) tellEnd(r *request, o Outcome) {
	if b.local {
		return
	}
	delete(b.changed, r)
	s := RequestLoad{ID: r.token, Ended: true, Outcome: o}
	if o == OutcomeFailed {
		s.Assignments = []AssignmentLoad{{Upstream: r.parts[0].worker.token, Decodes: true}}
	}
	b.ended = append(b.ended, s)
	b.wake()
}

func (b *Dispatcher) wake() {
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
	out := slices.Clone(b.ended)
	if all {
		for _, t := range b.endedBefore {
			out = append(out, RequestLoad{ID: t, Ended: true})
		}
		b.endedBefore = b.endedBefore[:0]
		b.expire(now)
	}
	for _, s := range b.ended {
		b.endedBefore = append(b.endedBefore, s.ID)
	}
	b.ended = b.ended[:0]
	for _, r := range b.own {
		if all || b.changed[r] {
			out = append(out, r.share(now))
		}
	}
	clear(b.changed)
	return out
}

// RequestLoads returns all that this entry has, for an entry that is new here.
func (b *Dispatcher) RequestLoads(now time.Time) []RequestLoad {
	b.lock.Lock()
	defer b.lock.Unlock()
	out := make([]RequestLoad, 0, len(b.own))
	for _, r := range b.own {
		out = append(out, r.share(now))
	}
	return out
}

func (r *request) share(now time.Time) RequestLoad {
	s := RequestLoad{
		ID: r.token, FirstByteSeen: r.begun, Age: now.Sub(r.placed), Waited: r.placed.Sub(r.since), Remaining: r.left, PromptTokens: r.prompt, AnswerTokens: r.answer, FirstByteTarget: r.target, GapTarget: r.pause,
		LongPrefill: !r.begun && r.heavy(), Assignments: make([]AssignmentLoad, len(r.parts)),
	}
	for i, p := range r.parts {
		s.Assignments[i] = AssignmentLoad{Upstream: p.worker.token, MemoryTokens: p.held, Decodes: i == 0}
	}
	return s
}

// expire drops what peers have not repeated for long.
func (b *Dispatcher) expire(now time.Time) {
	for key, r := range b.told {
		if now.After(r.expires) {
			delete(b.told, key)
			b.drop(now, r)
		}
	}
}

// ForgetPeer drops what a peer told that has started anew: its requests ended with it.
func (b *Dispatcher) ForgetPeer(now time.Time, peer WireID) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for key, r := range b.told {
		if key.peer == peer {
			delete(b.told, key)
			b.drop(now, r)
		}
	}
}

// Import takes in a peer's shares.
func (b *Dispatcher) Import(now time.Time, peer WireID, shares []RequestLoad) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, s := range shares {
		key := peerRequest{peer: peer, request: s.ID}
		r, known := b.told[key]
		if s.Ended {
			b.learn(now, r, s)
			if known {
				delete(b.told, key)
				b.drop(now, r)
			}
			continue
		}
		if !known {
			r = newTold(now, s)
			b.told[key] = r
			b.join(now, r)
		}
		r.expires = now.Add(shareLife)
		if s.FirstByteSeen && !r.begun {
			r.begin(now)
		}
		if !s.FirstByteSeen {
			r.heard = now
		}
	}
}

// learn takes in what the end of a peer's request, nil if it is not known here, shows of an upstream:
// one that fails a part of its requests would otherwise fail one for each entry.
func (b *Dispatcher) learn(now time.Time, r *request, s RequestLoad) {
	switch {
	case s.Outcome == OutcomeFailed && len(s.Assignments) > 0:
		if w, ok := b.tokens[s.Assignments[0].Upstream]; ok {
			w.health.failed(now)
		}
	case s.Outcome == OutcomeAnswered && r != nil:
		r.noteAnswered(now)
	}
}

// noteAnswered notes that a peer's request was answered. Its parts are in the order in which their upstreams
// became known here.
func (r *request) noteAnswered(now time.Time) {
	for _, p := range r.parts {
		if p.job.Decodes {
			p.worker.health.answered(now)
		}
	}
}

// newTold returns a peer's request that has no parts yet.
func newTold(now time.Time, s RequestLoad) *request {
	return &request{
		token: s.ID, toldAt: now, prompt: s.PromptTokens, answer: s.AnswerTokens, target: s.FirstByteTarget, pause: s.GapTarget, value: valueOf(s.PromptTokens), left: s.Remaining, placed: now.Add(-s.Age), since: now.Add(-s.Age - s.Waited),
		unknown: s.Assignments, engines: len(s.Assignments),
	}
}

// join gives a peer's request its parts at the upstreams that are known here. An entry
// that has just started is told of requests before it knows any.
func (b *Dispatcher) join(now time.Time, r *request) {
	d := Demand{PromptTokens: r.prompt, AnswerTokens: r.answer}
	var unknown []AssignmentLoad
	for _, p := range r.unknown {
		w, ok := b.tokens[p.Upstream]
		if !ok {
			unknown = append(unknown, p)
			continue
		}
		r.add(w, toldJob(r.placed, d, w.engine, r.engines, p.Decodes), p.MemoryTokens)
		w.add(now, r.parts[len(r.parts)-1])
	}
	r.unknown = unknown
	if r.begun {
		r.begin(now)
	}
}

// toldJob is what a peer's request does at an upstream.
func toldJob(placed time.Time, d Demand, e *matcher.Engine, k int, answers bool) predictor.Job {
	if e == nil {
		return predictor.Job{Decodes: answers, Arrived: placed}
	}
	return job(placed, d, e, k, answers)
}

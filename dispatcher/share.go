package dispatcher

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

// Token names an entry, an upstream or a request in messages of shares: a hash
// of its name, since names would make up most of a message.
type Token uint32

// TokenOf is the token of a name.
func TokenOf(name string) Token { return Token(xxhash.Sum64String(name)) }

// Share is what one entry says of one of its requests.
type Share struct {
	// Request is drawn for each placement.
	Request Token
	// Ended requests are off the board; beside that only Outcome is said of them.
	Ended bool
	// Outcome is what the end of a request shows of its first upstream.
	Outcome Outcome
	// Begun is true once the first event was seen.
	Begun bool
	// Age is how long ago the request was placed.
	Age time.Duration
	// Waited is how long its caller had waited by then.
	Waited time.Duration
	// Left is how long after its placement the caller waits for the whole answer; 0 if unknown.
	Left time.Duration
	// Prompt and Answer are token counts.
	Prompt, Answer int
	// Target and Pause are those of the route; Pause is 0 for plain requests.
	Target, Pause time.Duration
	// Heavy is true of a prompt that takes an engine long and has no answer yet; it is not on the wire.
	Heavy bool
	// Parts has an element for each upstream, the one that answers first.
	Parts []SharePart
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

// SharePart is what a request has at one upstream.
type SharePart struct {
	Upstream Token
	// Held is its memory there, in tokens.
	Held int
	// Answers is true of the first part, whose upstream answers; it is not on the wire.
	Answers bool
}

// peerRequest names a request of a peer.
type peerRequest struct{ peer, request Token }

// shareLife is how long what a peer said of a request counts. Peers repeat it
// several times in that time.
const shareLife = 3 * time.Second

// tell notes that peers are to hear of a request.
func (b *Board) tell(r *request) {
	if b.local {
		return
	}
	b.changed[r] = true
	b.wake()
}

// tellEnd notes that peers are to hear of a request's end.
func (b *Board) tellEnd(r *request, o Outcome) {
	if b.local {
		return
	}
	delete(b.changed, r)
	s := Share{Request: r.token, Ended: true, Outcome: o}
	if o == OutcomeFailed {
		s.Parts = []SharePart{{Upstream: r.parts[0].worker.token, Answers: true}}
	}
	b.ended = append(b.ended, s)
	b.wake()
}

func (b *Board) wake() {
	select {
	case b.Changed <- struct{}{}:
	default:
	}
}

// Export returns what changed since the last call, or all that this entry has
// where all is true. Ends are told once more with the next of all, without their outcome: a
// failure that is told twice would count twice.
func (b *Board) Export(now time.Time, all bool) []Share {
	b.lock.Lock()
	defer b.lock.Unlock()
	out := slices.Clone(b.ended)
	if all {
		for _, t := range b.endedBefore {
			out = append(out, Share{Request: t, Ended: true})
		}
		b.endedBefore = b.endedBefore[:0]
		b.expire(now)
	}
	for _, s := range b.ended {
		b.endedBefore = append(b.endedBefore, s.Request)
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

// Shares returns all that this entry has, for an entry that is new here.
func (b *Board) Shares(now time.Time) []Share {
	b.lock.Lock()
	defer b.lock.Unlock()
	out := make([]Share, 0, len(b.own))
	for _, r := range b.own {
		out = append(out, r.share(now))
	}
	return out
}

func (r *request) share(now time.Time) Share {
	s := Share{
		Request: r.token, Begun: r.begun, Age: now.Sub(r.placed), Waited: r.placed.Sub(r.since), Left: r.left, Prompt: r.prompt, Answer: r.answer, Target: r.target, Pause: r.pause,
		Heavy: !r.begun && r.heavy(), Parts: make([]SharePart, len(r.parts)),
	}
	for i, p := range r.parts {
		s.Parts[i] = SharePart{Upstream: p.worker.token, Held: p.held, Answers: i == 0}
	}
	return s
}

// expire drops what peers have not repeated for long.
func (b *Board) expire(now time.Time) {
	for key, r := range b.told {
		if now.After(r.expires) {
			delete(b.told, key)
			b.drop(now, r)
		}
	}
}

// Forget drops what a peer told that has started anew: its requests ended with it.
func (b *Board) Forget(now time.Time, peer Token) {
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
func (b *Board) Import(now time.Time, peer Token, shares []Share) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, s := range shares {
		key := peerRequest{peer: peer, request: s.Request}
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
		if s.Begun && !r.begun {
			r.begin(now)
		}
		if !s.Begun {
			r.heard = now
		}
	}
}

// learn takes in what the end of a peer's request, nil if it is not known here, shows of an upstream:
// one that fails a part of its requests would otherwise fail one for each entry.
func (b *Board) learn(now time.Time, r *request, s Share) {
	switch {
	case s.Outcome == OutcomeFailed && len(s.Parts) > 0:
		if w, ok := b.tokens[s.Parts[0].Upstream]; ok {
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
func newTold(now time.Time, s Share) *request {
	return &request{
		token: s.Request, toldAt: now, prompt: s.Prompt, answer: s.Answer, target: s.Target, pause: s.Pause, value: valueOf(s.Prompt), left: s.Left, placed: now.Add(-s.Age), since: now.Add(-s.Age - s.Waited),
		unknown: s.Parts, engines: len(s.Parts),
	}
}

// join gives a peer's request its parts at the upstreams that are known here. An entry
// that has just started is told of requests before it knows any.
func (b *Board) join(now time.Time, r *request) {
	d := Demand{Prompt: r.prompt, Answer: r.answer}
	var unknown []SharePart
	for _, p := range r.unknown {
		w, ok := b.tokens[p.Upstream]
		if !ok {
			unknown = append(unknown, p)
			continue
		}
		r.add(w, toldJob(r.placed, d, w.engine, r.engines, p.Answers), p.Held)
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

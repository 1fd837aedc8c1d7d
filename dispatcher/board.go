// Package dispatcher decides which upstream takes a request, and which engines
// help to prefill a long prompt. Its board holds what this entry has sent where
// and has not seen the end of, beside what other entries say of theirs. It
// does no I/O.
package dispatcher

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
)

// loadLife is how long what a peer said of its load counts. Peers repeat it
// several times in that time while they have any.
const loadLife = 3 * time.Second

// Board holds the load of all upstreams. It is safe for concurrent use.
type Board struct {
	dataCentre string
	random     *rand.Rand

	lock    sync.Mutex
	workers map[string]*worker
	// tokens holds the workers by the token of their ID.
	tokens   map[Token]*worker
	services map[string][]*worker
	// peers is how many other entries place, as far as known.
	peers int
	// blind is true while this entry does not hear what others place.
	blind bool
	// rankSalt orders engines alike at all entries, but for blind ones.
	rankSalt string
	// changed names the workers whose own load changed since the last Export.
	changed map[string]bool
	// Changed has an element while changed has any.
	Changed chan struct{}
}

// New returns a board without upstreams, for an entry in a data centre.
func New(dataCentre string, random *rand.Rand) *Board {
	return &Board{
		dataCentre: dataCentre, random: random, workers: map[string]*worker{}, tokens: map[Token]*worker{}, services: map[string][]*worker{},
		rankSalt: sharedRank, changed: map[string]bool{}, Changed: make(chan struct{}, 1),
	}
}

// worker is one upstream on the board.
type worker struct {
	instance Instance
	engine   *matcher.Engine
	parts    map[*part]bool
	peers    map[Token]peerLoad
	health   health
}

type peerLoad struct {
	load Load
	at   time.Time
}

// part is what one request does at one upstream.
type part struct {
	worker *worker
	// prefill is how long the upstream prefills for it, finish when it is
	// expected to be done with that.
	prefill time.Duration
	finish  time.Time
	// decodes is true where the upstream decodes the answer, false at helpers.
	decodes bool
	tokens  int
	// placement is that of the request.
	placement *Placement
	placed    time.Time
	// target and pause are those of the route; pause is 0 for plain requests.
	target, pause time.Duration
	value         float64
}

// Streams are answers being decoded that bear the same pauses.
type Streams struct {
	// Pause is the longest pause at which they are on time.
	Pause time.Duration
	Count int
	// Value is that of all of them together.
	Value float64
}

// Load is the work at one upstream, of one entry or of all.
type Load struct {
	// Running is how many requests the upstream answers.
	Running int
	// Prefill is how long the upstream has yet to prefill.
	Prefill time.Duration
	// Late is how long the most overdue request waits beyond what was expected.
	// An engine that is that late has at least as much to do that nobody told.
	Late time.Duration
	// Tokens is the memory used.
	Tokens  int
	Streams []Streams
	// Waits are requests that wait for their first event and have something to
	// be prefilled here.
	Waits []Wait
}

// Wait is a request that waits for its first event.
type Wait struct {
	// Expected is the whole of its wait, Here what this upstream makes of it.
	Expected, Here time.Duration
	// Target is the longest wait that is on time.
	Target time.Duration
	Value  float64
}

func (l *Load) add(o Load) {
	l.Running += o.Running
	l.Prefill += o.Prefill
	l.Late = max(l.Late, o.Late)
	l.Tokens += o.Tokens
	l.Waits = append(l.Waits, o.Waits...)
	for _, w := range o.Streams {
		l.addStreams(w)
	}
}

func (l *Load) addStreams(w Streams) {
	for i := range l.Streams {
		if l.Streams[i].Pause == w.Pause {
			l.Streams[i].Count += w.Count
			l.Streams[i].Value += w.Value
			return
		}
	}
	l.Streams = append(l.Streams, w)
}

// overduePart is what is left of a prefill that should be done by now and is
// not known to be.
const overduePart = 0.1

// left is how long the upstream has yet to prefill for a part.
func (p *part) left(now time.Time) time.Duration {
	if p.placement.begun {
		return 0
	}
	return min(p.prefill, max(time.Duration(overduePart*float64(p.prefill)), p.finish.Sub(now)))
}

// own is the load that this entry's requests make.
func (w *worker) own(now time.Time) Load {
	var l Load
	for p := range w.parts {
		l.Prefill += p.left(now)
		l.Tokens += p.tokens
		if !p.placement.begun && p.pause > 0 {
			l.Waits = append(l.Waits, p.wait(now))
		}
		if !p.decodes {
			continue
		}
		l.Running++
		if !p.placement.begun && p.pause > 0 {
			l.Late = max(l.Late, now.Sub(p.placement.finish())-paceSlack)
		}
		if p.pause > 0 {
			l.addStreams(Streams{Pause: p.pause, Count: 1, Value: p.value})
		}
	}
	return l
}

// wait is what a part means for the wait of its request.
func (p *part) wait(now time.Time) Wait {
	here := p.finish
	if here.Before(now) {
		here = now
	}
	expected := p.placement.finish()
	if expected.Before(now) {
		expected = now
	}
	return Wait{Expected: expected.Sub(p.placed), Here: here.Sub(p.placed), Target: p.target, Value: p.value}
}

// all is the load that the requests of all entries make, as far as known.
func (w *worker) all(now time.Time) Load {
	l := w.own(now)
	w.addPeers(now, &l)
	l.Prefill += max(0, l.Late)
	return l
}

// delay notes that something new is prefilled before all that waits here.
func (w *worker) delay(now time.Time, prefill time.Duration) {
	for p := range w.parts {
		if !p.placement.begun && p.finish.After(now) {
			p.finish = p.finish.Add(prefill)
		}
	}
}

// addPeers adds what peers said of their load lately.
func (w *worker) addPeers(now time.Time, l *Load) {
	for peer, p := range w.peers {
		age := now.Sub(p.at)
		if age > loadLife {
			delete(w.peers, peer)
			continue
		}
		load := p.load
		load.Prefill = max(0, load.Prefill-age)
		l.add(load)
	}
}

// Update takes in the services of a configuration and the upstreams that may
// be sent work.
func (b *Board) Update(table *matcher.Table, instances []Instance) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.services = map[string][]*worker{}
	listed := map[string]bool{}
	for _, i := range instances {
		w, ok := b.workers[i.ID]
		if !ok {
			w = &worker{parts: map[*part]bool{}, peers: map[Token]peerLoad{}}
			b.workers[i.ID] = w
			b.tokens[TokenOf(i.ID)] = w
		}
		w.instance = i
		w.engine = nil
		if s, known := table.Service(i.Service); known {
			w.engine = s.Engine
		}
		listed[i.ID] = true
		b.services[i.Service] = append(b.services[i.Service], w)
	}
	for id, w := range b.workers {
		if !listed[id] && len(w.parts) == 0 {
			delete(b.workers, id)
			delete(b.tokens, TokenOf(id))
		}
	}
}

// sharedRank is the order in which entries that hear each other fill engines.
const sharedRank = "placement"

// SetPeers tells the board how many other entries place, and whether this entry
// hears what they do. While it is blind to that, it keeps to an order of its own
// and packs nothing: all entries would fill the same engines.
func (b *Board) SetPeers(peers int, blind bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.peers = peers
	if blind && !b.blind {
		b.rankSalt = strconv.FormatUint(b.random.Uint64(), 16)
	}
	if !blind {
		b.rankSalt = sharedRank
	}
	b.blind = blind
}

// touch notes that this entry's load at a worker changed.
func (b *Board) touch(w *worker) {
	b.changed[w.instance.ID] = true
	select {
	case b.Changed <- struct{}{}:
	default:
	}
}

// Count is how many upstreams of a service may be sent work.
func (b *Board) Count(service string) int {
	b.lock.Lock()
	defer b.lock.Unlock()
	return len(b.services[service])
}

// usable lists the workers of a service without those to avoid; where that
// leaves none, the best that is left is better than nothing.
func (b *Board) usable(now time.Time, d Demand) []*worker {
	var fit, blocked []*worker
	for _, w := range b.services[d.Service] {
		switch {
		case slices.Contains(d.Avoid, w.instance.ID):
		case w.health.blocked(now):
			blocked = append(blocked, w)
		default:
			fit = append(fit, w)
		}
	}
	if len(fit) == 0 {
		return blocked
	}
	return fit
}

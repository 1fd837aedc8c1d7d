// Package dispatcher decides which upstream takes a request, and which engines
// help to prefill a long prompt. Its board holds the requests of all entries, as
// far as they are known here, and each engine's work, kept as the engine does
// it. It does no I/O.
package dispatcher

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

// Dispatcher holds what all upstreams have to do. It is safe for concurrent use.
type Dispatcher struct {
	dataCentre string
	random     *rand.Rand

	lock    sync.Mutex
	workers map[string]*worker
	// tokens holds the workers by the token of their ID.
	tokens   map[WireID]*worker
	services map[string][]*worker
	// own are this entry's requests; told are those of peers.
	own  map[WireID]*request
	told map[peerRequest]*request
	// peers is how many other entries place, as far as known.
	peers int
	// blind is true while this entry does not hear what others place.
	blind bool
	// rankSalt orders engines alike at all entries, but for blind ones.
	rankSalt string
	// local boards tell nobody.
	local bool
	// changed are own requests to tell peers of, ended those that are over since
	// the last Export, endedBefore those of the one before it that told all.
	changed     map[*request]bool
	ended       []RequestLoad
	endedBefore []WireID
	// Changed has an element while there is something to tell.
	Changed  chan struct{}
	forecast predictor.Forecast
}

// New returns a board without upstreams, for an entry in a data centre.
func New(dataCentre string, random *rand.Rand) *Dispatcher {
	return &Dispatcher{
		dataCentre: dataCentre, random: random, workers: map[string]*worker{}, tokens: map[WireID]*worker{}, services: map[string][]*worker{},
		own: map[WireID]*request{}, told: map[peerRequest]*request{}, rankSalt: sharedRank, changed: map[*request]bool{}, Changed: make(chan struct{}, 1),
	}
}

// NewLocal returns a board of what this entry alone sends to upstreams: nothing of it is kept for
// peers, and Export has nothing to tell.
func NewLocal(dataCentre string, random *rand.Rand) *Dispatcher {
	b := New(dataCentre, random)
	b.local = true
	return b
}

// Update takes in the services of a configuration and the upstreams that may
// be sent work.
func (b *Dispatcher) Update(table *matcher.Table, instances []Instance) {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	b.services = map[string][]*worker{}
	listed := map[string]bool{}
	for _, i := range instances {
		w := b.worker(i)
		w.wish.listedAt = now
		s, _ := table.Service(i.Service)
		w.setEngine(s)
		listed[i.ID] = true
		b.services[i.Service] = append(b.services[i.Service], w)
	}
	for _, r := range b.told {
		if len(r.unknown) > 0 {
			b.join(now, r)
		}
	}
	for id, w := range b.workers {
		if !listed[id] && len(w.parts) == 0 && !w.wish.kept(now) {
			delete(b.workers, id)
			delete(b.tokens, w.token)
		}
	}
}

// worker returns the one of an instance, a new one where its run is not known yet: a
// run holds nothing of what an earlier one under the same ID had.
func (b *Dispatcher) worker(i Instance) *worker {
	w, ok := b.workers[i.ID]
	if ok && !w.instance.SameIncarnation(i) {
		delete(b.tokens, w.token)
		lose(w, i.Started)
		ok = false
	}
	if !ok {
		said := wish{}
		if w != nil {
			said = w.wish.after(i.Started)
		}
		w = &worker{wish: said, parts: map[*part]bool{}, jobs: map[*predictor.Job]*part{}}
		b.workers[i.ID] = w
	}
	if w.instance.Started.IsZero() {
		delete(b.tokens, w.token)
		w.token = i.IncarnationID()
		b.tokens[w.token] = w
	}
	if i.Started.IsZero() {
		i.Started = w.instance.Started
	}
	w.instance = i
	return w
}

// clockError is by how much the clocks of an upstream and of this entry may differ.
const clockError = 3 * time.Second

// lose ends what all requests have at a worker whose run is over, as another began at a time: those
// of this entry hear of it at once, and nobody waits for an answer that can't come. What was placed
// long after the new run began has reached that one: this entry heard of it late.
// What comes late for them finds a worker without a queue, off the board.
func lose(w *worker, began time.Time) {
	for p := range w.parts {
		if began.IsZero() || !p.request.placed.After(began.Add(clockError)) {
			p.request.lose()
		}
	}
	clear(w.parts)
	clear(w.jobs)
	w.queue = nil
}

// sharedRank is the order in which entries that hear each other fill engines.
const sharedRank = "placement"

// SetPeers tells the board how many other entries place, and whether this entry
// hears what they do. While it is blind to that, it keeps to an order of its own
// and packs nothing: all entries would fill the same engines.
func (b *Dispatcher) SetPeers(peers int, blind bool) {
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

// UpstreamCount is how many upstreams of a service may be sent work.
func (b *Dispatcher) UpstreamCount(service string) int {
	b.lock.Lock()
	defer b.lock.Unlock()
	return len(b.services[service])
}

// usable lists the workers of a service that take requests, without those to avoid; where
// that leaves none, one that accepted no connections is better than nothing.
func (b *Dispatcher) usable(now time.Time, d Demand) []*worker {
	var fit, blocked []*worker
	for _, w := range b.services[d.Service] {
		switch {
		case w.wish.refuses(now):
		case slices.ContainsFunc(d.Avoid, w.instance.SameIncarnation):
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

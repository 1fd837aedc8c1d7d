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

	lock      sync.Mutex
	upstreams map[string]*upstream
	// byWireID holds the workers by the token of their ID.
	byWireID map[WireID]*upstream
	services map[string][]*upstream
	// ownRequests are this entry's requests; told are those of peers.
	ownRequests  map[WireID]*request
	peerRequests map[peerRequestKey]*request
	// peerCount is how many other entries place, as far as known.
	peerCount int
	// isolated is true while this entry does not hear what others place.
	isolated bool
	// rankSalt orders engines alike at all entries, but for blind ones.
	rankSalt string
	// isLocal boards tell nobody.
	isLocal bool
	// changed are own requests to tell peers of, ended those that are over since
	// the last Export, endedBefore those of the one before it that told all.
	changed         map[*request]bool
	endedLoads      []RequestLoad
	previouslyEnded []WireID
	// Changed has an element while there is something to tell.
	Changed  chan struct{}
	forecast predictor.Forecast
}

// New returns a board without upstreams, for an entry in a data centre.
func New(dataCentre string, random *rand.Rand) *Dispatcher {
	return &Dispatcher{
		dataCentre: dataCentre, random: random, upstreams: map[string]*upstream{}, byWireID: map[WireID]*upstream{}, services: map[string][]*upstream{},
		ownRequests: map[WireID]*request{}, peerRequests: map[peerRequestKey]*request{}, rankSalt: sharedRankSalt, changed: map[*request]bool{}, Changed: make(chan struct{}, 1),
	}
}

// NewLocal returns a board of what this entry alone sends to upstreams: nothing of it is kept for
// peers, and Export has nothing to tell.
func NewLocal(dataCentre string, random *rand.Rand) *Dispatcher {
	b := New(dataCentre, random)
	b.isLocal = true
	return b
}

// Update takes in the services of a configuration and the upstreams that may
// be sent work.
func (b *Dispatcher) Update(table *matcher.Table, instances []Instance) {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	b.services = map[string][]*upstream{}
	listed := map[string]bool{}
	for _, i := range instances {
		u := b.upstreamFor(i)
		u.backpressure.listedAt = now
		s, _ := table.Service(i.Service)
		u.setEngine(s)
		listed[i.ID] = true
		b.services[i.Service] = append(b.services[i.Service], u)
	}
	for _, r := range b.peerRequests {
		if len(r.unknownUpstreams) > 0 {
			b.resolveUpstreams(now, r)
		}
	}
	for id, u := range b.upstreams {
		if !listed[id] && len(u.assignments) == 0 && !u.backpressure.isRetained(now) {
			delete(b.upstreams, id)
			delete(b.byWireID, u.wireID)
		}
	}
}

// upstreamFor returns the one of an instance, a new one where its run is not known yet: a
// run holds nothing of what an earlier one under the same ID had.
func (b *Dispatcher) upstreamFor(i Instance) *upstream {
	u, ok := b.upstreams[i.ID]
	if ok && !u.instance.SameIncarnation(i) {
		delete(b.byWireID, u.wireID)
		dropAssignmentsBefore(u, i.Started)
		ok = false
	}
	if !ok {
		carried := backpressure{}
		if u != nil {
			carried = u.backpressure.afterRestart(i.Started)
		}
		u = &upstream{backpressure: carried, assignments: map[*assignment]bool{}, assignmentOf: map[*predictor.Job]*assignment{}}
		b.upstreams[i.ID] = u
	}
	if u.instance.Started.IsZero() {
		delete(b.byWireID, u.wireID)
		u.wireID = i.IncarnationID()
		b.byWireID[u.wireID] = u
	}
	if i.Started.IsZero() {
		i.Started = u.instance.Started
	}
	u.instance = i
	return u
}

// maxClockSkew is by how much the clocks of an upstream and of this entry may differ.
const maxClockSkew = 3 * time.Second

// dropAssignmentsBefore ends what all requests have at a worker whose run is over, as another began at a time: those
// of this entry hear of it at once, and nobody waits for an answer that can't come. What was placed
// long after the new run began has reached that one: this entry heard of it late.
// What comes late for them finds a worker without a queue, off the board.
func dropAssignmentsBefore(u *upstream, restartedAt time.Time) {
	for a := range u.assignments {
		if restartedAt.IsZero() || !a.request.placedAt.After(restartedAt.Add(maxClockSkew)) {
			a.request.notifyRestart()
		}
	}
	clear(u.assignments)
	clear(u.assignmentOf)
	u.queue = nil
}

// sharedRankSalt is the order in which entries that hear each other fill engines.
const sharedRankSalt = "placement"

// SetPeers tells the board how many other entries place, and whether this entry
// hears what they do. While it is blind to that, it keeps to an order of its own
// and packs nothing: all entries would fill the same engines.
func (b *Dispatcher) SetPeers(count int, isolated bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.peerCount = count
	if isolated && !b.isolated {
		b.rankSalt = strconv.FormatUint(b.random.Uint64(), 16)
	}
	if !isolated {
		b.rankSalt = sharedRankSalt
	}
	b.isolated = isolated
}

// UpstreamCount is how many upstreams of a service may be sent work.
func (b *Dispatcher) UpstreamCount(service string) int {
	b.lock.Lock()
	defer b.lock.Unlock()
	return len(b.services[service])
}

// usableUpstreams lists the workers of a service that take requests, without those to avoid; where
// that leaves none, one that accepted no connections is better than nothing.
func (b *Dispatcher) usableUpstreams(now time.Time, d Demand) []*upstream {
	var usable, blocked []*upstream
	for _, u := range b.services[d.Service] {
		switch {
		case u.backpressure.isRefusing(now):
		case slices.ContainsFunc(d.Avoid, u.instance.SameIncarnation):
		case u.health.isBlocked(now):
			blocked = append(blocked, u)
		default:
			usable = append(usable, u)
		}
	}
	if len(usable) == 0 {
		return blocked
	}
	return usable
}

// Package dispatcher decides which upstream serves a request and which engines help to prefill a
// long prompt. A Dispatcher keeps the requests of this entry, those that other entries report, and
// a model of each engine's queue. The package does no I/O.
//
// The engines chosen for one prompt are a group. Each prefills a shard of the prompt; the first
// also decodes the answer, the others are helpers. Upstreams of plain services are not model
// engines and get no prompts. Values, losses and costs are in requests: 1 is the value of answering
// a request without a prompt.
package dispatcher

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/lender"
	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

// Dispatcher tracks the load of all upstreams and places requests on them. It is safe for
// concurrent use.
type Dispatcher struct {
	dataCentre string
	random     *rand.Rand

	lock      sync.Mutex
	upstreams map[string]*upstream
	// byCompactID holds the upstreams by the compact ID of their incarnation.
	byCompactID map[CompactID]*upstream
	services    map[string][]*upstream
	// regions holds the region of each data centre, as set by SetRegions.
	regions map[string]string
	// ownRequests holds the requests placed by this entry, peerRequests those that peers report.
	ownRequests  map[CompactID]*request
	peerRequests map[peerRequestKey]*request
	// changedLimits holds the upstreams of which this entry has read another rate limit in a response since
	// the last call of TakeRateLimits.
	changedLimits map[*upstream]bool
	// deferredLimits holds rate limits reported by peers of upstreams that are not listed yet, by the
	// compact ID of their incarnation.
	deferredLimits map[CompactID]RateLimitReport
	// peerCount is the number of other entries that place requests, as set by SetPeers, lastPeerCount that
	// when this entry was last not isolated.
	peerCount, lastPeerCount int
	// uses holds the use that requests in progress make of services, by the service's name.
	uses map[string]*serviceUse
	// isolated is true while this entry receives no load updates from its peers, isolatedAt is when it
	// last became so.
	isolated   bool
	isolatedAt time.Time
	// name is the name of this entry, placingEntries the sorted names of the entries that share the
	// requests to cold upstreams, as set by SetPlacingEntries; placingVersion is incremented with each
	// change of these.
	name           string
	placingEntries []string
	placingVersion int
	// sharers are the entries that share rate limits: placingEntries and those that were so lately.
	sharers sharers
	// ledger holds the parts of rate limits that entries lend each other; nil if they lend none.
	ledger *lender.Ledger
	// rankSalt determines the order of engines with equal costs. All entries share one salt, except
	// isolated ones, which use a random salt each.
	rankSalt string
	// isUnreported is true for a dispatcher that reports nothing to peers (see NewUnreported).
	isUnreported bool
	// changed holds own requests to return from the next call of TakeLoadChanges, endedLoads the
	// ends of own requests since the last call. previouslyEnded holds the IDs of requests whose end
	// was returned since the last call with all set; the next such call repeats these ends.
	changed         map[*request]bool
	endedLoads      []RequestLoad
	previouslyEnded []CompactID
	// LoadChanged is a channel of capacity 1. It is sent an element, unless it holds one, when a
	// change is queued for the next call of TakeLoadChanges.
	LoadChanged chan struct{}
	// ReservedUse returns the capacity of a service that is reserved now for returns of an organisation
	// which are as urgent as a rank or more. It counts as use of the organisation when a request with
	// that rank that is not a return is admitted; nil if nothing is reserved. It is called with the lock
	// held and must not call the Dispatcher. It is set before the first request.
	ReservedUse func(now time.Time, service string, o apportioner.Organisation, r apportioner.Rank) float64
	simulator   predictor.Simulator
}

// New returns a dispatcher without upstreams, for an entry in a data centre. It uses random, which
// need not be safe for concurrent use, for request IDs and jitter.
func New(dataCentre string, random *rand.Rand) *Dispatcher {
	return &Dispatcher{
		dataCentre: dataCentre, random: random, upstreams: map[string]*upstream{}, byCompactID: map[CompactID]*upstream{}, services: map[string][]*upstream{}, uses: map[string]*serviceUse{},
		ownRequests: map[CompactID]*request{}, peerRequests: map[peerRequestKey]*request{}, changedLimits: map[*upstream]bool{}, deferredLimits: map[CompactID]RateLimitReport{}, rankSalt: sharedRankSalt, changed: map[*request]bool{}, LoadChanged: make(chan struct{}, 1),
	}
}

// NewUnreported returns a dispatcher for requests that this entry does not report to its peers: it
// collects no changes, and TakeLoadChanges without all returns nothing.
func NewUnreported(dataCentre string, random *rand.Rand) *Dispatcher {
	b := New(dataCentre, random)
	b.isUnreported = true
	return b
}

// UpdateUpstreams replaces the services and the list of upstreams that may be sent requests. An
// upstream that is no longer listed is kept until its last request ends, and longer while it is
// leaving or has asked for a backoff (see backpressure.isRetained). UpdateUpstreams returns the incarnations
// that another one of the same upstream has replaced.
func (b *Dispatcher) UpdateUpstreams(table *matcher.Table, instances []Instance) (replaced []Instance) {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	b.services = map[string][]*upstream{}
	listed := map[string]bool{}
	for _, i := range instances {
		if u, ok := b.upstreams[i.ID]; ok && !u.instance.SameIncarnation(i) {
			replaced = append(replaced, u.instance)
		}
		u := b.upstreamFor(i)
		u.backpressure.listedAt = now
		s, _ := table.Service(i.Service)
		u.setService(s)
		listed[i.ID] = true
		b.services[i.Service] = append(b.services[i.Service], u)
	}
	for _, r := range b.peerRequests {
		if len(r.unknownUpstreams) > 0 {
			b.resolveUpstreams(now, r)
		}
	}
	b.applyDeferredRateLimits(now)
	for id, u := range b.upstreams {
		if !listed[id] && len(u.assignments) == 0 && !u.backpressure.isRetained(now) {
			delete(b.upstreams, id)
			delete(b.byCompactID, u.compactID)
		}
	}
	b.dropUnusedServices()
	return replaced
}

// upstreamFor returns the upstream of an instance, and creates one for an incarnation that is not
// known yet. A new incarnation inherits no assignments from an earlier one with the same ID.
func (b *Dispatcher) upstreamFor(i Instance) *upstream {
	u, ok := b.upstreams[i.ID]
	if ok && !u.instance.SameIncarnation(i) {
		delete(b.byCompactID, u.compactID)
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
		delete(b.byCompactID, u.compactID)
		u.compactID = i.IncarnationID()
		b.byCompactID[u.compactID] = u
	}
	if i.Started.IsZero() {
		i.Started = u.instance.Started
	}
	u.instance = i
	return u
}

// maxClockSkew is the assumed maximum difference between the clocks of an upstream and of this
// entry.
const maxClockSkew = 3 * time.Second

// dropAssignmentsBefore removes all assignments of an upstream whose incarnation has ended because
// another started at restartedAt. It calls the functions set with Placement.OnRestart, since the
// answers can no longer come, except those of requests placed more than maxClockSkew after the
// restart: these have reached the new incarnation, which this entry's instance list contained only
// later. Later events of the removed assignments have no effect, as they reach an upstream object
// without a queue that is no longer in the dispatcher.
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

// sharedRankSalt is the rank salt of all entries that receive load updates, so that they fill
// engines in the same order.
const sharedRankSalt = "placement"

// SetPeers sets the number of other entries that place requests, and whether this entry is
// isolated, that is, receives no load updates from them. An isolated entry ranks engines in an
// order of its own and does not pack requests onto few engines, as all isolated entries would fill
// the same ones.
func (b *Dispatcher) SetPeers(count int, isolated bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.peerCount = count
	if isolated && !b.isolated {
		b.isolatedAt = time.Now()
		b.rankSalt = strconv.FormatUint(b.random.Uint64(), 16)
	}
	if !isolated {
		b.rankSalt, b.lastPeerCount = sharedRankSalt, count
	}
	b.isolated = isolated
}

// UpstreamCount returns the number of upstreams of a service that may be sent requests.
func (b *Dispatcher) UpstreamCount(service string) int {
	b.lock.Lock()
	defer b.lock.Unlock()
	return len(b.services[service])
}

// usableUpstreams returns the upstreams of a service that accept requests of this entry now, without
// those in d.Avoid and those outside of d.Homes. Upstreams that recently accepted no connections are returned only where there are no
// others.
func (b *Dispatcher) usableUpstreams(now time.Time, d Demand) []*upstream {
	var usable, blocked, limited []*upstream
	for _, u := range b.upstreamsAtHome(d) {
		switch {
		case u.backpressure.isRefusing(now):
		case b.coldWait(now, u) > 0:
		case b.rateLimitWait(now, u) > 0:
			limited = append(limited, u)
		case slices.ContainsFunc(d.Avoid, u.instance.SameIncarnation):
		case u.health.isBlocked(now):
			blocked = append(blocked, u)
		default:
			usable = append(usable, u)
		}
	}
	if b.ledger != nil && len(limited) > 0 {
		b.recordRateDemand(now, limited, usable)
	}
	if len(usable) == 0 {
		return blocked
	}
	return usable
}

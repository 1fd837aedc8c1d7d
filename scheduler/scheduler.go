// Package scheduler reserves times at which refused callers may return. A Scheduler gives out places by
// a virtual clock for each service, organisation and rank, as in the generic cell rate algorithm
// (GCRA), holds the places that this and other entries have given out, and recognises the requests that
// come back for them. The package does no I/O; it takes the time as an argument.
//
// It handles some hundred refusals a second and entry. Its memory is bounded by MaxPlaces.
package scheduler

import (
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphireramp/sapphireramp/apportioner"
)

const (
	// ReturnShare is the fraction of an organisation's share that may be promised to returns. The rest
	// is left to new requests.
	ReturnShare = 0.85
	// MaxPlaces is the maximum number of places that a Scheduler knows.
	MaxPlaces = 4096
	// MaxAhead is the maximum time from a promise until its place is due: a third of the timeout of
	// routes that set none. A restarted entry promises nothing for as long, see Config.IsFirstStart.
	MaxAhead = 10 * time.Second
	// minAhead is the minimum time from a promise until its place is due. Other entries know the place
	// by then, and its reservation, which begins opensBefore the due time, misses no time.
	minAhead = 50 * time.Millisecond
	// A place is reserved from opensBefore its due time until closesAfter it. The latter covers a round
	// trip between data centres and the delays of a caller that is short of processor time.
	opensBefore, closesAfter = 50 * time.Millisecond, 300 * time.Millisecond
)

// Key identifies requests with equal content, by which a return is recognised, as each try has an ID of
// its own.
type Key uint32

// NewKey returns the key of requests of an organisation to a route whose fingerprint is content.
func NewKey(o apportioner.Organisation, route string, content uint64) Key {
	b := binary.LittleEndian.AppendUint32(nil, uint32(o))
	b = binary.LittleEndian.AppendUint64(b, content)
	return Key(xxhash.Sum64(append(b, route...)))
}

// Service identifies a service by a hash of its name.
type Service uint32

// NewService returns the identifier of the service with a name.
func NewService(name string) Service { return Service(xxhash.Sum64String(name)) }

// Place is a time that is reserved for the return of a refused caller.
type Place struct {
	// ID identifies the place among those that are due at about the same time.
	ID           uint32
	Key          Key
	Service      Service
	Organisation apportioner.Organisation
	Rank         apportioner.Rank
	// Due is the time at which the caller was told to return.
	Due time.Time
	// Use is the capacity that the request occupies while it runs, in slots or engines.
	Use float64
}

// openDues returns the first and the last due time of places whose returns are recognised now, and whose
// capacity is reserved.
func openDues(now time.Time) (first, last time.Time) {
	return now.Add(-closesAfter), now.Add(opensBefore)
}

// Part is an entry's part of the promises of all entries.
type Part struct {
	// Fraction is the part now, from 0 to 1: Unit unless some is lent.
	Fraction float64
	// Unit is an equal part for each entry: 1/N among N entries.
	Unit float64
}

// Config holds the settings of a Scheduler.
type Config struct {
	// Random draws the times of places and their IDs. It need not be safe for concurrent use.
	Random *rand.Rand
	// Part returns this entry's part of the promises for a service. Used is the fraction of the promises of
	// all entries that this entry has made lately; isShort is true if the last refused caller could not be
	// given a time within its patience. It must be safe for concurrent use; nil stands for a single entry.
	Part func(now time.Time, service string, used float64, isShort bool) Part
	// OnUnclaimed is called for each place of this entry that was not claimed in time. It must neither
	// block nor call the Scheduler; nil does nothing.
	OnUnclaimed func()
	// StartedAt is when this process started. Unless IsFirstStart is true, an earlier process of this
	// entry, which is unknown to this one, may have promised all times until MaxAhead later.
	StartedAt    time.Time
	IsFirstStart bool
}

// Scheduler gives out places and holds those that are known. It is safe for concurrent use.
type Scheduler struct {
	config Config

	lock   sync.Mutex
	clocks map[clockKey]*clock
	// usage holds what this entry has promised lately, by service.
	usage map[string]*usage
	// places holds the places that are known and not claimed, by ID; at most MaxPlaces. queues holds
	// the same places by organisation, in the order of their due times, and byKey by key.
	places map[uint32]*knownPlace
	queues map[queueKey][]*knownPlace
	byKey  map[Key][]*knownPlace
	// ended holds the time until which messages about a place that was claimed, or has expired, are
	// ignored, by ID; at most MaxPlaces.
	ended map[uint32]time.Time
	// expiredAt is when expire last looked for expired places.
	expiredAt time.Time
	// newPlaces and newClaims are what TakeChanges returns next.
	newPlaces []Place
	newClaims []uint32
	counts    Counts
	// Changed is a channel of capacity 1. It is sent an element, unless it holds one, when there is a
	// change for TakeChanges.
	Changed chan struct{}
}

// Counts are the numbers of places since the start of a Scheduler.
type Counts struct {
	// Promised and Unclaimed count places of this entry. Unclaimed ones were not claimed in time at any
	// entry, as far as this one was told.
	Promised, Unclaimed int
	// Kept and Refused count returns at this entry: those that were placed on an upstream, and those
	// that were not.
	Kept, Refused int
}

// New returns a Scheduler that knows no places.
func New(c Config) *Scheduler {
	if c.Part == nil {
		c.Part = func(time.Time, string, float64, bool) Part { return Part{Fraction: 1, Unit: 1} }
	}
	if c.OnUnclaimed == nil {
		c.OnUnclaimed = func() {}
	}
	return &Scheduler{
		config: c, clocks: map[clockKey]*clock{}, usage: map[string]*usage{}, places: map[uint32]*knownPlace{}, queues: map[queueKey][]*knownPlace{}, byKey: map[Key][]*knownPlace{},
		ended: map[uint32]time.Time{}, Changed: make(chan struct{}, 1),
	}
}

// Counts returns the numbers of places until now.
func (s *Scheduler) Counts(now time.Time) Counts {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.expire(now)
	return s.counts
}

// RecordKept records that a return was placed on an upstream, RecordRefused that it was not.
func (s *Scheduler) RecordKept() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.counts.Kept++
}

// RecordRefused is described at RecordKept.
func (s *Scheduler) RecordRefused() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.counts.Refused++
}

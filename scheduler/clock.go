package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/apportioner"
)

const (
	// maxStep is the longest step of a clock. Longer ones are of organisations that have no share.
	maxStep = time.Hour
	// maxClocks is the maximum number of clocks. Those that have promised nothing from now on are
	// dropped when there are more.
	maxClocks = 4096
)

// clockKey identifies a clock and the requests whose places it gives out.
type clockKey struct {
	service      Service
	organisation apportioner.Organisation
	rank         apportioner.Rank
	// lane distinguishes the clocks for the same requests, each of which gives out Part.Unit of all promises. An entry
	// that borrows parts has more than one: a single clock could use them only after the last place that it has given
	// out, which is as far ahead as callers wait.
	lane int
}

// lane is one of the clocks for a request, with the length of its steps.
type lane struct {
	key   clockKey
	clock *clock
	step  time.Duration
	// next is the clock with its next place.
	next clock
}

// clock divides the time into steps, each of which takes one place. Steps do not overlap, and the cost of
// a place divided by the length of its step is the rate that this entry may promise. So promises exceed
// that rate at no time.
type clock struct {
	// free is the end of the last step that was given out.
	free time.Time
	// start is the beginning of the next step, and draw, from 0 to 1, where in the step its place is
	// due. They stay until the step is given out or its place can't be reached, as a caller that is
	// refused again and again would otherwise draw until it gets an early place. Both are valid if
	// isDrawn is true. start is not before free.
	start   time.Time
	draw    float64
	isDrawn bool
}

// Ask describes a refused request for which a place is wanted.
type Ask struct {
	Service      string
	Organisation apportioner.Organisation
	Rank         apportioner.Rank
	Key          Key
	// Share is the capacity of the service that the organisation's requests of this rank may occupy now,
	// Use the capacity that this request occupies, both in slots or engines, and WorkTime the time for
	// which it does.
	Share, Use float64
	WorkTime   time.Duration
	// Patience is the longest time for which the caller waits for its place; more than MaxAhead counts
	// as that.
	Patience time.Duration
	// Earliest is the time after which the request can be served at the earliest; 0 if unknown.
	Earliest time.Duration
}

// step returns the length of a step of a clock for a request, given the fraction of all promises that the clock gives
// out.
func (a Ask) step(fraction float64) time.Duration {
	cost := a.Use * a.WorkTime.Seconds()
	seconds := cost / (a.Share * ReturnShare * fraction)
	if math.IsNaN(seconds) || seconds < 0 || seconds > maxStep.Seconds() {
		return maxStep
	}
	return max(time.Nanosecond, time.Duration(seconds*float64(time.Second)))
}

// maxLanes is the maximum number of clocks for the same requests. An entry borrows from 48 others at most.
const maxLanes = 64

// lanes returns the clocks for a request with their next places, which are due at the earliest at a time. The lock must
// be held.
func (s *Scheduler) lanes(now, earliest time.Time, a Ask, p Part) []lane {
	unit := p.Unit
	if unit <= 0 {
		unit = p.Fraction
	}
	var lanes []lane
	for left := p.Fraction; len(lanes) == 0 || left > minLane*unit && len(lanes) < maxLanes; left -= unit {
		l := lane{key: clockKey{NewService(a.Service), a.Organisation, a.Rank, len(lanes)}, step: a.step(min(unit, left))}
		l.clock = s.clock(now, l.key, l.step)
		l.next = l.clock.next(earliest, l.step, s.config.Random.Float64)
		lanes = append(lanes, l)
	}
	return lanes
}

// minLane is the smallest part of a unit for which a clock is kept.
const minLane = 0.05

// Promise gives out a place for a refused request and returns true, if there is one within the caller's
// patience and fewer than MaxPlaces are known. Otherwise it reserves nothing, and the place returned
// states only the time of the next one; zero if that is unknown, because the share or this entry's part of
// it is 0, or because this process may have had a predecessor whose promises have not ended yet.
func (s *Scheduler) Promise(now time.Time, a Ask) (Place, bool) {
	part := s.part(now, a.Service)
	s.lock.Lock()
	defer s.lock.Unlock()
	s.expire(now)
	used := s.usageOf(now, a.Service)
	// A shortage that has lasted for some time is expected to last as long again. Until then new requests use all
	// that an organisation may have, and can be on time, which a return can't be where targets are short.
	earliest := max(minAhead, a.Earliest, used.recordRefused(now))
	lanes := s.lanes(now, now.Add(earliest), a, part)
	first := slices.MinFunc(lanes, func(a, b lane) int { return a.next.due(a.step).Compare(b.next.due(b.step)) })
	p := Place{Key: a.Key, Service: first.key.service, Organisation: a.Organisation, Rank: a.Rank, Due: first.next.due(first.step), Use: a.Use}
	_, isKept := s.clocks[first.key]
	used.isShort = p.Due.Sub(now) > min(a.Patience, MaxAhead)
	if used.isShort || len(s.places) >= MaxPlaces || first.step == maxStep || !isKept {
		if a.Earliest <= minAhead {
			*first.clock = first.next
		}
		if first.step == maxStep || now.Before(s.firstStep(first.step)) {
			p.Due = time.Time{}
		}
		return p, false
	}
	*first.clock = clock{free: first.next.start.Add(first.step)}
	used.promised += time.Duration(float64(first.step) * min(part.Fraction, max(part.Unit, 0)))
	p.ID = s.newID()
	s.add(p, true)
	s.counts.Promised++
	if len(s.newPlaces) < MaxPlaces {
		s.newPlaces = append(s.newPlaces, p)
	}
	s.notify()
	return p, true
}

// next returns the clock with a next step whose place is due at the earliest at a time.
func (c *clock) next(earliest time.Time, step time.Duration, draw func() float64) clock {
	n := *c
	if !n.isDrawn || n.due(step).Before(earliest) {
		n.start, n.draw, n.isDrawn = later(n.free, earliest), draw(), true
	}
	return n
}

// due returns when the place of the next step is due.
func (c *clock) due(step time.Duration) time.Time {
	return c.start.Add(time.Duration(c.draw * float64(step)))
}

// clock returns the clock with a key, which is not kept if there are maxClocks that have promised more. A
// new one, of a process that may not be the first of this entry, begins when all steps of earlier
// processes have ended, if these were as long: at most one longer step of each overlaps its own. The lock
// must be held.
func (s *Scheduler) clock(now time.Time, key clockKey, step time.Duration) *clock {
	if c, ok := s.clocks[key]; ok {
		return c
	}
	c := &clock{free: s.firstStep(step)}
	if len(s.clocks) >= maxClocks {
		for k, other := range s.clocks {
			if !other.free.After(now) {
				delete(s.clocks, k)
			}
		}
	}
	if len(s.clocks) < maxClocks {
		s.clocks[key] = c
	}
	return c
}

// firstStep returns when the first step of a clock may begin; zero for the first process of an entry.
func (s *Scheduler) firstStep(step time.Duration) time.Time {
	if s.config.IsFirstStart {
		return time.Time{}
	}
	return s.config.StartedAt.Add(MaxAhead + step)
}

// newID returns an ID that no known place has. The lock must be held.
func (s *Scheduler) newID() uint32 {
	for {
		id := s.config.Random.Uint32()
		if _, known := s.places[id]; !known {
			return id
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

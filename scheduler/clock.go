package scheduler

import (
	"math"
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

// clockKey identifies the requests whose places are given out by one clock.
type clockKey struct {
	service      Service
	organisation apportioner.Organisation
	rank         apportioner.Rank
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

// step returns the length of a step of the clock for a request, given this entry's part of all promises.
func (a Ask) step(part float64) time.Duration {
	cost := a.Use * a.WorkTime.Seconds()
	seconds := cost / (a.Share * ReturnShare * part)
	if math.IsNaN(seconds) || seconds < 0 || seconds > maxStep.Seconds() {
		return maxStep
	}
	return max(time.Nanosecond, time.Duration(seconds*float64(time.Second)))
}

// Promise gives out a place for a refused request and returns true, if there is one within the caller's
// patience and fewer than MaxPlaces are known. Otherwise it reserves nothing, and the place returned
// states only the time of the next one; zero if that is unknown, because the share or this entry's part of
// it is 0, or because this process may have had a predecessor whose promises have not ended yet.
func (s *Scheduler) Promise(now time.Time, a Ask) (Place, bool) {
	part := s.part(now, a.Service)
	step := a.step(part)
	s.lock.Lock()
	defer s.lock.Unlock()
	s.expire(now)
	used := s.usageOf(now, a.Service)
	key := clockKey{NewService(a.Service), a.Organisation, a.Rank}
	c := s.clock(now, key, step)
	next := c.next(now.Add(max(minAhead, a.Earliest)), step, s.config.Random.Float64)
	p := Place{Key: a.Key, Service: key.service, Organisation: a.Organisation, Rank: a.Rank, Due: next.due(step), Use: a.Use}
	_, isKept := s.clocks[key]
	used.isShort = p.Due.Sub(now) > min(a.Patience, MaxAhead)
	if used.isShort || len(s.places) >= MaxPlaces || step == maxStep || !isKept {
		if a.Earliest <= minAhead {
			*c = next
		}
		if step == maxStep || now.Before(s.firstStep(step)) {
			p.Due = time.Time{}
		}
		return p, false
	}
	*c = clock{free: next.start.Add(step)}
	used.promised += time.Duration(float64(step) * part)
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

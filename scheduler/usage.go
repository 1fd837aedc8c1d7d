package scheduler

import (
	"math"
	"time"
)

const (
	// usageTime is the time constant with which the recent promises of an entry are averaged. Loans of other
	// entries' parts are renewed every few seconds.
	usageTime = 4 * time.Second
	// maxUsages bounds the number of services whose promises are averaged.
	maxUsages = 1024
)

// usage is what this entry has promised lately for one service.
type usage struct {
	// promised is the exponentially weighted time of the whole clock that the promises took, at updatedAt:
	// of all entries together, promises can take as much time as passes.
	promised  time.Duration
	updatedAt time.Time
	// isShort is true if the last refused caller got no place within its patience.
	isShort bool
	// shortageBegan is when the current shortage of the service began, refusedAt when a caller was last refused.
	shortageBegan, refusedAt time.Time
}

// shortageGap is the time without a refused caller after which a shortage is over.
const shortageGap = time.Second

// recordRefused records that a caller was refused, and returns how long the shortage has lasted.
func (u *usage) recordRefused(now time.Time) time.Duration {
	if now.Sub(u.refusedAt) > shortageGap {
		u.shortageBegan = now
	}
	u.refusedAt = now
	return now.Sub(u.shortageBegan)
}

// usageOf returns the usage of a service as of now; a new one that is not kept if there are too many. The lock must
// be held.
func (s *Scheduler) usageOf(now time.Time, service string) *usage {
	u, ok := s.usage[service]
	if !ok {
		u = &usage{updatedAt: now}
		if len(s.usage) < maxUsages {
			s.usage[service] = u
		}
	}
	if age := now.Sub(u.updatedAt); age > 0 {
		u.promised, u.updatedAt = time.Duration(float64(u.promised)*math.Exp(-age.Seconds()/usageTime.Seconds())), now
	}
	return u
}

// part returns this entry's part of the promises for a service.
func (s *Scheduler) part(now time.Time, service string) Part {
	s.lock.Lock()
	u := *s.usageOf(now, service)
	s.lock.Unlock()
	return s.config.Part(now, service, float64(u.promised)/float64(usageTime), u.isShort)
}

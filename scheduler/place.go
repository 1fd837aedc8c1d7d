package scheduler

import (
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/apportioner"
)

const (
	// expiryDelay is the time after the end of a place's reservation at which the place expires. Claims
	// of other entries arrive within it.
	expiryDelay = 200 * time.Millisecond
	// expiryPeriod is the shortest time between two searches for expired places.
	expiryPeriod = 50 * time.Millisecond
	// endedTTL is the time for which messages about a place that has ended are ignored: datagrams that
	// are repeated or late arrive within it.
	endedTTL = 3 * time.Second
)

// queueKey identifies the places of an organisation at a service.
type queueKey struct {
	service      Service
	organisation apportioner.Organisation
}

// knownPlace is a place that was not claimed yet, as far as this entry knows.
type knownPlace struct {
	Place
	// isOwn is true if this entry has given out the place.
	isOwn bool
}

func (p *knownPlace) queue() queueKey { return queueKey{p.Service, p.Organisation} }

// compareDue orders a place and a time.
func compareDue(p *knownPlace, t time.Time) int { return p.Due.Compare(t) }

// ReservedUse returns the capacity that is reserved now for returns of an organisation to a service which
// are as urgent as r or more. It counts as use of the organisation when a new request of rank r is
// admitted.
func (s *Scheduler) ReservedUse(now time.Time, service string, o apportioner.Organisation, r apportioner.Rank) float64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	queue := s.queues[queueKey{NewService(service), o}]
	firstDue, lastDue := openDues(now)
	first, _ := slices.BinarySearchFunc(queue, firstDue, compareDue)
	sum := 0.0
	for _, p := range queue[first:] {
		if p.Due.After(lastDue) {
			break
		}
		if p.Rank <= r {
			sum += p.Use
		}
	}
	return sum
}

// Claim returns the place for which a request with a key returns now, and true, if there is one. Of
// several it takes the one that is due at the time nearest to now, among those of this entry: requests
// of equal content may arrive at all entries at a time, which would each claim the same place. Every place
// is returned at most once.
func (s *Scheduler) Claim(now time.Time, k Key) (Place, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.expire(now)
	var nearest *knownPlace
	isEqualContent := len(s.byKey[k]) > 1
	firstDue, lastDue := openDues(now)
	for _, p := range s.byKey[k] {
		if p.Due.Before(firstDue) || p.Due.After(lastDue) || isEqualContent && !p.isOwn {
			continue
		}
		if nearest == nil || p.Due.Sub(now).Abs() < nearest.Due.Sub(now).Abs() {
			nearest = p
		}
	}
	if nearest == nil {
		return Place{}, false
	}
	s.end(now, nearest)
	if len(s.newClaims) < MaxPlaces {
		s.newClaims = append(s.newClaims, nearest.ID)
	}
	s.notify()
	return nearest.Place, true
}

// Apply adds the places and claims of another entry. They may be late, repeated and in any order.
func (s *Scheduler) Apply(now time.Time, u Update) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.expire(now)
	for _, p := range u.Places {
		_, hasEnded := s.ended[p.ID]
		if _, known := s.places[p.ID]; !known && !hasEnded && len(s.places) < MaxPlaces {
			s.add(p, false)
		}
	}
	for _, id := range u.Claims {
		if p, known := s.places[id]; known {
			s.end(now, p)
		} else {
			s.ignore(now, id)
		}
	}
}

// add adds a place that is not known yet. The lock must be held.
func (s *Scheduler) add(p Place, isOwn bool) {
	known := &knownPlace{Place: p, isOwn: isOwn}
	s.places[p.ID] = known
	s.byKey[p.Key] = append(s.byKey[p.Key], known)
	queue := s.queues[known.queue()]
	at, _ := slices.BinarySearchFunc(queue, p.Due, compareDue)
	s.queues[known.queue()] = slices.Insert(queue, at, known)
}

// end removes a place, and ignores later messages about it. The lock must be held.
func (s *Scheduler) end(now time.Time, p *knownPlace) {
	delete(s.places, p.ID)
	removeFrom(s.byKey, p.Key, p)
	removeFrom(s.queues, p.queue(), p)
	s.ignore(now, p.ID)
}

// ignore ignores messages about the place with an ID from now on. The lock must be held.
func (s *Scheduler) ignore(now time.Time, id uint32) {
	if len(s.ended) < MaxPlaces {
		s.ended[id] = now.Add(endedTTL)
	}
}

// removeFrom removes a place from one of the lists of a map, and the list if it is empty then.
func removeFrom[K comparable](lists map[K][]*knownPlace, key K, p *knownPlace) {
	list := lists[key]
	i := slices.Index(list, p)
	if len(list) == 1 {
		delete(lists, key)
		return
	}
	lists[key] = slices.Delete(list, i, i+1)
}

// Expire removes the places whose time has passed. Other methods do so too; it is to be called
// periodically so that unclaimed places are counted without them.
func (s *Scheduler) Expire(now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.expire(now)
}

// expire is Expire for callers that hold the lock. It does nothing within expiryPeriod of the last call
// that did something.
func (s *Scheduler) expire(now time.Time) {
	if now.Sub(s.expiredAt) < expiryPeriod {
		return
	}
	s.expiredAt = now
	for id, until := range s.ended {
		if now.After(until) {
			delete(s.ended, id)
		}
	}
	for _, p := range s.places {
		if now.Sub(p.Due) <= closesAfter+expiryDelay {
			continue
		}
		s.end(now, p)
		if p.isOwn {
			s.counts.Unclaimed++
			s.config.OnUnclaimed()
		}
	}
}

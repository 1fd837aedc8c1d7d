package lender

import (
	"strings"
	"time"
)

const (
	// PlaceResource is the kind of the resources of promised return times: the text before the colon of a name, after
	// which the name of the service follows.
	PlaceResource = "places"
	// PlaceWindow is the longest time ahead for which return times may be promised with a borrowed part: the lender uses
	// the part again only after that. It is scheduler.MaxAhead.
	PlaceWindow = 10 * time.Second
	// placeReportTTL is the time for which an entry's own report of its use counts when it is asked for a loan.
	placeReportTTL = 4 * time.Second
)

// placeReport is what Places was told last of a service.
type placeReport struct {
	used float64
	at   time.Time
}

// Places returns the fraction of all promises of return times for a service that this entry may make at the time now.
// Entries is the number of entries that share them, 0 if unknown; used what this entry has promised in the last
// seconds, in parts. IsShort is true if it could not promise a time for want of its part, which is recorded as a demand.
func (l *Ledger) Places(now time.Time, service string, entries int, used float64, isShort bool) float64 {
	resource := PlaceResource + ":" + service
	s := placeState(entries, used)
	l.lock.Lock()
	if _, ok := l.places[resource]; ok || len(l.places) < maxResources {
		l.places[resource] = placeReport{used: used, at: l.at(now)}
	}
	l.lock.Unlock()
	part := l.Part(now, resource, s)
	switch {
	case isShort && s.Unit > 0 && l.isShort(now, resource):
		// Bursts last for seconds: growing with each round, loans would come when most callers have been refused.
		l.Want(now, resource, s, 1/s.Unit)
	case part > s.Unit:
		// Only loans are kept: an entry that has just used its own part borrows once callers are refused for want of it.
		l.KeepWhatIsUsed(now, resource, s)
	}
	return part
}

// PlaceState returns this entry's state of its part of promised return times, by its name in the ledger; false if there
// is no such part. An entry that has promised nothing lately has used nothing.
func (l *Ledger) PlaceState(now time.Time, resource string, entries int) (State, bool) {
	if entries <= 0 || !strings.HasPrefix(resource, PlaceResource+":") {
		return State{}, false
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	used := 0.0
	if r, ok := l.places[resource]; ok && l.at(now).Sub(r.at) < placeReportTTL {
		used = r.used
	}
	return placeState(entries, used), true
}

func placeState(entries int, used float64) State {
	s := State{Used: used, Window: PlaceWindow, LendsAll: true}
	if entries > 0 {
		s.Unit, s.Owns = 1/float64(entries), true
	}
	return s
}

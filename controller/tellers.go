package controller

import (
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/dispatcher"
)

// placedLately is how long an entry counts as one that places requests after it was last
// heard to have any: three repeats of all load. Callers keep an address for a while after
// it is no longer the one that they are told.
const placedLately = 3 * shareAll

// tellers knows which other entries told of requests of their own lately. Entries without
// requests tell nothing.
type tellers struct {
	lock sync.Mutex
	// last is when a run of an entry was last heard.
	last map[dispatcher.WireID]time.Time
}

// heard notes that an entry told of its requests, and reports whether that is news.
func (t *tellers) heard(now time.Time, run dispatcher.WireID) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.last == nil {
		t.last = map[dispatcher.WireID]time.Time{}
	}
	last, known := t.last[run]
	t.last[run] = now
	return !known || now.Sub(last) > placedLately
}

// spare marks the peers that place no requests: those that callers are not told and that
// told of no requests lately. Changes of load need not go to them.
func (t *tellers) spare(now time.Time, peers []peer, unasked map[string]bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for run, last := range t.last {
		if now.Sub(last) > placedLately {
			delete(t.last, run)
		}
	}
	for i, p := range peers {
		_, told := t.last[runToken(p.name, p.incarnation)]
		peers[i].places = told || !unasked[p.name]
	}
}

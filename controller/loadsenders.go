package controller

import (
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/dispatcher"
)

// placingTime is how long an entry counts as one that places requests after it was last
// heard to have any: three repeats of all load. Callers keep an address for a while after
// it is no longer the one that they are told.
const placingTime = 3 * fullUpdatePeriod

// loadSenders knows which other entries told of requests of their own lately. Entries without
// requests tell nothing.
type loadSenders struct {
	lock sync.Mutex
	// lastReceived is when a run of an entry was last heard.
	lastReceived map[dispatcher.WireID]time.Time
}

// received notes that an entry told of its requests, and reports whether that is news.
func (t *loadSenders) received(now time.Time, sender dispatcher.WireID) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.lastReceived == nil {
		t.lastReceived = map[dispatcher.WireID]time.Time{}
	}
	last, known := t.lastReceived[sender]
	t.lastReceived[sender] = now
	return !known || now.Sub(last) > placingTime
}

// markPlacing marks the peers that place no requests: those that callers are not told and that
// told of no requests lately. Changes of load need not go to them.
func (t *loadSenders) markPlacing(now time.Time, peers []peer, withoutCallers map[string]bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for sender, last := range t.lastReceived {
		if now.Sub(last) > placingTime {
			delete(t.lastReceived, sender)
		}
	}
	for i, p := range peers {
		_, sentLately := t.lastReceived[incarnationToken(p.name, p.incarnation)]
		peers[i].placing = sentLately || !withoutCallers[p.name]
	}
}

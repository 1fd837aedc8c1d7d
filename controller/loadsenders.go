package controller

import (
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/prober"
)

// placingTime is how long after its last load update an entry is still assumed to place requests
// on upstreams: three periods of full load updates. An entry gets requests for a while after
// callers are no longer given its address.
const placingTime = 3 * fullUpdatePeriod

// loadSenders records which other entries sent load updates recently. Entries without
// requests send none.
type loadSenders struct {
	lock sync.Mutex
	// lastReceived holds the time at which the last load update of each incarnation of an entry
	// was received; at most prober.MaxMembers, as any sender may name itself.
	lastReceived map[dispatcher.CompactID]time.Time
}

// received records that a load update from an incarnation of an entry was received now. It reports
// whether that was the first one from it in placingTime.
func (l *loadSenders) received(now time.Time, sender dispatcher.CompactID) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.lastReceived == nil {
		l.lastReceived = map[dispatcher.CompactID]time.Time{}
	}
	last, known := l.lastReceived[sender]
	if !known && len(l.lastReceived) >= prober.MaxMembers {
		return false
	}
	l.lastReceived[sender] = now
	return !known || now.Sub(last) > placingTime
}

// markPlacing sets the field placing of each peer: to false if the peer is in withoutCallers, so
// that callers are not given its address, and sent no load update within placingTime; otherwise to
// true. Only placing peers are sent each change of load; the others get the periodic full load.
func (l *loadSenders) markPlacing(now time.Time, peers []peer, withoutCallers map[string]bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for sender, last := range l.lastReceived {
		if now.Sub(last) > placingTime {
			delete(l.lastReceived, sender)
		}
	}
	for i, p := range peers {
		_, sentLately := l.lastReceived[incarnationToken(p.name, p.incarnation)]
		peers[i].placing = sentLately || !withoutCallers[p.name]
	}
}

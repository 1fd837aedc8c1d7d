package controller

import (
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/dispatcher"
)

// placingTime is how long an entry counts as placing requests after its last load update:
// three periods of full updates. Callers keep using an address for a while after the
// directory stopped listing it.
const placingTime = 3 * fullUpdatePeriod

// loadSenders records which other entries sent load updates recently. Entries without
// requests send none.
type loadSenders struct {
	lock sync.Mutex
	// lastReceived is when the last load update of an entry's incarnation was received.
	lastReceived map[dispatcher.CompactID]time.Time
}

// received records that a load update of an entry's incarnation was received, and reports
// whether none was within placingTime before.
func (l *loadSenders) received(now time.Time, sender dispatcher.CompactID) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.lastReceived == nil {
		l.lastReceived = map[dispatcher.CompactID]time.Time{}
	}
	last, known := l.lastReceived[sender]
	l.lastReceived[sender] = now
	return !known || now.Sub(last) > placingTime
}

// markPlacing sets placing to false for each peer whose address callers are not given and that
// sent no load update within placingTime, and to true for all others. Only placing peers need to
// receive changes of load at once.
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

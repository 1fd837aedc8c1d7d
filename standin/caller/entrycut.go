package caller

import (
	"net/netip"
	"time"
)

// directAgainTime is the time after the end of a cut within which an entry uses its own links again.
const directAgainTime = 2 * time.Second

// entryCut is an interval in which an entry could not reach any upstream directly.
type entryCut struct {
	entry netip.Addr
	// from and to are the interval; to is zero until it ends.
	from, to time.Time
	// breaksOpen is true if the connections that were open at the beginning broke or stalled.
	breaksOpen bool
}

// RecordEntryCut records that an entry is about to lose its links to all upstreams, while clients, the store and
// other entries reach it. BreaksOpen is true if its open connections to upstreams break too. The returned function
// records the end.
func (x *FaultLog) RecordEntryCut(entry netip.Addr, breaksOpen bool) (end func()) {
	x.lock.Lock()
	defer x.lock.Unlock()
	c := &entryCut{entry: entry, from: time.Now(), breaksOpen: breaksOpen}
	x.entryCuts = append(x.entryCuts, c)
	return func() {
		x.lock.Lock()
		defer x.lock.Unlock()
		c.to = time.Now()
	}
}

// lostLink reports whether an attempt of an entry, in progress between two times, may have lost its connection
// because of links: those of the entry broke, or the entry was cut off from upstreams when the attempt began, and
// another entry, through which the attempt may have gone, was cut off, killed or parted from others, or exited by
// force. A cut that began before the attempt is no excuse by itself: other entries reach upstreams. The lock must be
// held.
func (x *FaultLog) lostLink(entry netip.Addr, from, to time.Time) bool {
	isWithin := func(at time.Time) bool { return !at.Before(from) && !at.After(to) }
	wasCutOff, othersBroke := false, false
	for _, c := range x.entryCuts {
		switch {
		case c.entry == entry && c.breaksOpen && isWithin(c.from):
			return true
		case c.entry == entry && !c.from.After(from) && (c.to.IsZero() || from.Before(c.to.Add(directAgainTime))):
			wasCutOff = true
		case c.entry != entry && c.breaksOpen && isWithin(c.from):
			othersBroke = true
		}
	}
	if !wasCutOff || othersBroke {
		return wasCutOff
	}
	for _, k := range x.kills {
		othersBroke = othersBroke || isWithin(k.at)
	}
	for _, s := range x.shutdowns {
		othersBroke = othersBroke || isWithin(s.exitedAt) && s.exitedAt.After(s.killAt.Add(-forcedExitSlack))
	}
	for _, p := range x.partitions {
		othersBroke = othersBroke || !p.from.After(to) && (p.to.IsZero() || !p.to.Before(from))
	}
	return othersBroke
}

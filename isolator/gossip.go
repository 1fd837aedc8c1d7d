package isolator

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/quarantiner"
)

const (
	// broadcastsPerItem is the number of updates in which an entry sends a crash or a survival to other entries,
	// whether it observed or received it. An item reaches the whole fleet in a number of heartbeat rounds that grows
	// with the logarithm of the fleet's size.
	broadcastsPerItem = 8
	// maxBroadcastAge is the age up to which a crash is sent to other entries. A crash that became known later is sent
	// for as long from then on.
	maxBroadcastAge = 1500 * time.Millisecond
	// maxItemsPerUpdate is the maximum number of crashes, and also of survivals, in one update.
	maxItemsPerUpdate = 24
	// minAdoptedRemaining is the time that must remain until another entry drops a quarantine for this entry to
	// adopt it. Entries drop the same one at slightly different times, and would pass it back to each other.
	minAdoptedRemaining = 10 * time.Second
)

// TakeHeartbeatUpdate returns the update to send with the next heartbeat. Each call uses up one of the broadcasts of
// what it returns, so the result must be sent.
func (i *Isolator) TakeHeartbeatUpdate(now time.Time) api.PartNews {
	i.lock.Lock()
	defer i.lock.Unlock()
	return i.nextUpdate(now)
}

// TakeReplyUpdate returns the update to send in response to one received from another entry. It includes all
// quarantines if those of the two entries differ.
func (i *Isolator) TakeReplyUpdate(now time.Time, received api.PartNews) api.PartNews {
	i.lock.Lock()
	defer i.lock.Unlock()
	update := i.nextUpdate(now)
	if update.Digest == received.Digest {
		return update
	}
	for _, q := range i.quarantines {
		item := api.PartQuarantine{Renewals: q.renewals, Crashes: q.crashes, Age: milliseconds(now.Sub(q.since)), FirstCrash: milliseconds(now.Sub(q.firstCrash))}
		for _, p := range q.parts {
			item.Parts = append(item.Parts, api.PromptPart{ID: p.ID, Organisation: p.Organisation})
		}
		update.Quarantined = append(update.Quarantined, item)
	}
	return update
}

// nextUpdate returns the next update, without the list of quarantines, and decrements the broadcasts left of what is
// in it. The lock must be held.
func (i *Isolator) nextUpdate(now time.Time) api.PartNews {
	update := api.PartNews{Digest: i.digest()}
	type item struct {
		part  Part
		crash *knownCrash
		total int
	}
	var items []item
	for p, s := range i.suspects {
		for n := range s.crashes {
			if k := &s.crashes[n]; k.broadcastsLeft > 0 && k.broadcastAge(now) <= maxBroadcastAge {
				items = append(items, item{p, k, len(s.crashes)})
			}
		}
		if s.survivalBroadcastsLeft > 0 && p.Organisation != 0 && len(update.Survivals) < maxItemsPerUpdate {
			s.survivalBroadcastsLeft--
			update.Survivals = append(update.Survivals, api.PartSurvival{Part: api.PromptPart{ID: p.ID, Organisation: p.Organisation}, Age: milliseconds(now.Sub(s.lastSurvival))})
		}
	}
	slices.SortFunc(items, func(a, b item) int {
		return cmp.Or(cmp.Compare(b.total, a.total), b.crash.ended.Compare(a.crash.ended), a.part.compare(b.part))
	})
	for _, n := range items[:min(len(items), maxItemsPerUpdate)] {
		n.crash.broadcastsLeft--
		update.Crashes = append(update.Crashes, api.PartCrash{
			ID: n.part.ID, Organisation: n.part.Organisation, Run: uint32(n.crash.incarnation), Tried: n.crash.tried,
			Age: milliseconds(now.Sub(n.crash.ended)), Ran: milliseconds(n.crash.ended.Sub(n.crash.sent)),
		})
	}
	return update
}

// digest returns a hash of the quarantines and how often each was renewed. The lock must be held.
func (i *Isolator) digest() uint32 {
	sum := uint32(0)
	for key, q := range i.quarantines {
		sum ^= (uint32(key) ^ uint32(key>>32)) + uint32(q.renewals)
	}
	return sum
}

// ApplyUpdate records the crashes, survivals and quarantines in an update received from the entry named source.
func (i *Isolator) ApplyUpdate(now time.Time, update api.PartNews, source string) {
	i.lock.Lock()
	defer i.lock.Unlock()
	for _, c := range update.Crashes[:min(len(update.Crashes), maxItemsPerUpdate)] {
		ended := ago(now, c.Age)
		i.recordPartCrash(now, Part{ID: c.ID, Organisation: c.Organisation}, Crash{Incarnation: quarantiner.IncarnationHash(c.Run), Tried: c.Tried, Sent: ago(ended, c.Ran), Ended: ended})
	}
	for _, s := range update.Survivals[:min(len(update.Survivals), maxItemsPerUpdate)] {
		i.recordSurvival(now, partOf(s.Part), ago(now, s.Age))
	}
	for _, item := range update.Quarantined[:min(len(update.Quarantined), maxQuarantines)] {
		i.adopt(now, item, source)
	}
}

// adopt adds a quarantine of another entry, without parts that have survived since its first crash, or the renewal
// of one. The lock must be held.
func (i *Isolator) adopt(now time.Time, item api.PartQuarantine, source string) {
	since := ago(now, item.Age)
	q := &quarantine{firstCrash: ago(now, item.FirstCrash), since: since, until: since.Add(durationAfter(item.Renewals)), renewals: item.Renewals, crashes: item.Crashes}
	for _, part := range item.Parts[:min(len(item.Parts), maxQuarantineParts)] {
		p := partOf(part)
		if s, ok := i.suspects[p]; ok && s.lastSurvival.After(q.firstCrash) {
			s.survivalBroadcastsLeft = broadcastsPerItem // the sender lacks it
			continue
		}
		q.parts = append(q.parts, p)
	}
	if slices.ContainsFunc(q.parts, i.popularity.isPopular) && len(q.parts) == 1 {
		return // the sender has seen few requests
	}
	if len(q.parts) == 0 || now.Sub(q.until) > halfOpenTTL-minAdoptedRemaining {
		return
	}
	slices.SortFunc(q.parts, Part.compare)
	if known, ok := i.quarantines[keyOf(q.parts)]; ok {
		if known.renewals >= q.renewals {
			return
		}
		delete(i.quarantines, keyOf(q.parts))
	}
	if i.quarantine(q) {
		i.decide(Decision{Kind: Quarantined, Parts: q.parts, Crashes: q.crashes, FirstCrash: q.firstCrash, Until: q.until, Source: source})
	}
}

// partOf returns the part that a message names.
func partOf(p api.PromptPart) Part { return Part{ID: p.ID, Organisation: p.Organisation} }

// milliseconds returns an age in whole milliseconds, as it is sent; a negative age becomes 0.
func milliseconds(d time.Duration) uint32 { return uint32(max(0, d/time.Millisecond)) }

// ago returns the time that was the given number of milliseconds before now.
func ago(now time.Time, age uint32) time.Time {
	return now.Add(-time.Duration(age) * time.Millisecond)
}

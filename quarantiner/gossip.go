package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

const (
	// broadcastsPerItem is the number of updates in which an entry sends a crash or a success to
	// other entries, whether it observed or received it. An item reaches the whole fleet in a number
	// of heartbeat rounds that grows with the logarithm of the fleet's size.
	broadcastsPerItem = 8
	// maxBroadcastAge is the age up to which a crash is sent to other entries. A further success of
	// a fingerprint is sent only if it is more than maxBroadcastAge later than the last recorded one.
	maxBroadcastAge = 1500 * time.Millisecond
	// maxItemsPerUpdate is the maximum number of crashes, and also of successes, in one update.
	maxItemsPerUpdate = 32
)

// TakeHeartbeatUpdate returns the update to send with the next heartbeat: recent crashes and
// successes, and the digest of the quarantines. Each call uses up one of the 8 broadcasts of each
// crash and success that it returns, so the result must be sent.
func (q *Quarantiner) TakeHeartbeatUpdate(now time.Time) api.QuarantineNews {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.nextUpdate(now)
}

// TakeReplyUpdate returns the update to send in response to an update received from another entry.
// It differs from TakeHeartbeatUpdate in that it includes all quarantines of this entry if the
// received update has another digest.
func (q *Quarantiner) TakeReplyUpdate(now time.Time, received api.QuarantineNews) api.QuarantineNews {
	q.lock.Lock()
	defer q.lock.Unlock()
	update := q.nextUpdate(now)
	if update.Digest == received.Digest {
		return update
	}
	for fp, since := range q.quarantined {
		update.Quarantined = append(update.Quarantined, api.ContentNews{Content: uint64(fp), Age: milliseconds(now.Sub(since))})
	}
	return update
}

// nextUpdate returns the next update, without the list of quarantines, and decrements broadcastsLeft
// of each crash and success in it. The lock must be held.
func (q *Quarantiner) nextUpdate(now time.Time) api.QuarantineNews {
	update := api.QuarantineNews{Digest: q.digest()}
	for _, s := range q.crashesToBroadcast(now) {
		s.broadcastsLeft--
		update.Strikes = append(update.Strikes, api.StrikeNews{Content: uint64(s.Fingerprint), Run: uint32(s.Incarnation), Age: milliseconds(now.Sub(s.Ended)), Ran: milliseconds(s.Ended.Sub(s.LastSent)), Longest: milliseconds(s.Ended.Sub(s.FirstSent))})
	}
	for fp, p := range q.suspects {
		if p.broadcastsLeft > 0 && now.Sub(p.lastSuccess) <= successTTL && len(update.Answers) < maxItemsPerUpdate {
			p.broadcastsLeft--
			update.Answers = append(update.Answers, api.ContentNews{Content: uint64(fp), Age: milliseconds(now.Sub(p.lastSuccess))})
		}
	}
	return update
}

// crashesToBroadcast returns the crashes for the next update: those not older than maxBroadcastAge
// with broadcastsLeft. If there are more than maxItemsPerUpdate, it returns those of the
// fingerprints with the most crashes. The lock must be held.
func (q *Quarantiner) crashesToBroadcast(now time.Time) []*knownCrash {
	var out []*knownCrash
	for _, p := range q.suspects {
		for i := range p.crashes {
			if s := &p.crashes[i]; s.broadcastsLeft > 0 && now.Sub(s.Ended) <= maxBroadcastAge {
				out = append(out, s)
			}
		}
	}
	slices.SortFunc(out, func(a, b *knownCrash) int {
		return cmp.Or(cmp.Compare(len(q.suspects[b.Fingerprint].crashes), len(q.suspects[a.Fingerprint].crashes)), b.Ended.Compare(a.Ended), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(len(out), maxItemsPerUpdate)]
}

// digest returns a hash of the set of quarantined fingerprints, for api.QuarantineNews.Digest. It
// does not depend on their order or on when they were quarantined.
func (q *Quarantiner) digest() uint32 {
	sum := uint32(0)
	for fp := range q.quarantined {
		sum ^= uint32(fp) ^ uint32(fp>>32) // fingerprints are hashes already
	}
	return sum
}

// ApplyUpdate records the crashes, successes and quarantines in an update received from another
// entry. It returns the quarantines that it added.
func (q *Quarantiner) ApplyUpdate(now time.Time, update api.QuarantineNews) []Decision {
	q.lock.Lock()
	defer q.lock.Unlock()
	for _, a := range update.Answers[:min(len(update.Answers), maxItemsPerUpdate)] {
		q.applySuccess(Fingerprint(a.Content), ago(now, a.Age))
	}
	for _, s := range update.Strikes[:min(len(update.Strikes), maxItemsPerUpdate)] {
		ended := ago(now, s.Age)
		q.recordCrash(now, Crash{Fingerprint: Fingerprint(s.Content), Incarnation: IncarnationHash(s.Run), FirstSent: ago(ended, max(s.Ran, s.Longest)), LastSent: ago(ended, s.Ran), Ended: ended})
	}
	var out []Decision
	for _, item := range update.Quarantined[:min(len(update.Quarantined), maxQuarantined)] {
		since := ago(now, item.Age)
		if q.addQuarantine(now, Fingerprint(item.Content), since) {
			out = append(out, Decision{Fingerprint: Fingerprint(item.Content), Until: since.Add(QuarantineDuration)})
		}
	}
	return out
}

// milliseconds returns an age in whole milliseconds, as it is sent; a negative age becomes 0.
func milliseconds(d time.Duration) uint32 { return uint32(max(0, d/time.Millisecond)) }

// ago returns the time that was the given number of milliseconds before now.
func ago(now time.Time, age uint32) time.Time {
	return now.Add(-time.Duration(age) * time.Millisecond)
}

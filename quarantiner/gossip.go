package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

const (
	// broadcastsPerItem is in how many heartbeats an entry tells what it learned, sent or answered: it
	// reaches all in a number of rounds that grows with the logarithm of the fleet.
	broadcastsPerItem = 8
	// maxBroadcastAge is the age up to which strikes are told on, and by how much a later answer is
	// news where one is known.
	maxBroadcastAge = 1500 * time.Millisecond
	// maxItemsPerUpdate bounds the strikes, and the answers, of one heartbeat.
	maxItemsPerUpdate = 32
)

// HeartbeatUpdate returns what this entry learned lately, for one heartbeat.
func (q *Quarantiner) HeartbeatUpdate(now time.Time) api.QuarantineNews {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.nextUpdate(now)
}

// ReplyUpdate returns what an entry is to be told that told this one, all quarantines where it
// refuses other contents.
func (q *Quarantiner) ReplyUpdate(now time.Time, received api.QuarantineNews) api.QuarantineNews {
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

// crashesToBroadcast returns the strikes to tell; where there are too many, those of contents that have
// the most.
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

// digest is the same at entries that refuse the same contents.
func (q *Quarantiner) digest() uint32 {
	sum := uint32(0)
	for fp := range q.quarantined {
		sum ^= uint32(fp) ^ uint32(fp>>32) // contents are hashes
	}
	return sum
}

// ApplyUpdate takes in what another entry tells, and returns the contents that are refused from
// now on.
func (q *Quarantiner) ApplyUpdate(now time.Time, update api.QuarantineNews) []Decision {
	q.lock.Lock()
	defer q.lock.Unlock()
	for _, a := range update.Answers[:min(len(update.Answers), maxItemsPerUpdate)] {
		q.applySuccess(Fingerprint(a.Content), ago(now, a.Age))
	}
	for _, s := range update.Strikes[:min(len(update.Strikes), maxItemsPerUpdate)] {
		ended := ago(now, s.Age)
		q.recordCrash(now, Crash{Fingerprint: Fingerprint(s.Content), Incarnation: Incarnation(s.Run), FirstSent: ago(ended, max(s.Ran, s.Longest)), LastSent: ago(ended, s.Ran), Ended: ended})
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

// milliseconds is an age on the wire.
func milliseconds(d time.Duration) uint32 { return uint32(max(0, d/time.Millisecond)) }

// ago is the time of something that was so many milliseconds old.
func ago(now time.Time, age uint32) time.Time {
	return now.Add(-time.Duration(age) * time.Millisecond)
}

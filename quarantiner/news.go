package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

const (
	// newsTellings is in how many heartbeats an entry tells what it learned, sent or answered: it
	// reaches all in a number of rounds that grows with the logarithm of the fleet.
	newsTellings = 8
	// newsTime is the age up to which strikes are told on, and by how much a later answer is
	// news where one is known.
	newsTime = 1500 * time.Millisecond
	// mostTold bounds the strikes, and the answers, of one heartbeat.
	mostTold = 32
)

// HeartbeatUpdate returns what this entry learned lately, for one heartbeat.
func (q *Quarantiner) HeartbeatUpdate(now time.Time) api.QuarantineNews {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.tell(now)
}

// ReplyUpdate returns what an entry is to be told that told this one, all quarantines where it
// refuses other contents.
func (q *Quarantiner) ReplyUpdate(now time.Time, heard api.QuarantineNews) api.QuarantineNews {
	q.lock.Lock()
	defer q.lock.Unlock()
	n := q.tell(now)
	if n.Digest == heard.Digest {
		return n
	}
	for c, since := range q.quarantined {
		n.Quarantined = append(n.Quarantined, api.ContentNews{Content: uint64(c), Age: milliseconds(now.Sub(since))})
	}
	return n
}

func (q *Quarantiner) tell(now time.Time) api.QuarantineNews {
	n := api.QuarantineNews{Digest: q.digest()}
	for _, s := range q.untold(now) {
		s.tellings--
		n.Strikes = append(n.Strikes, api.StrikeNews{Content: uint64(s.Fingerprint), Run: uint32(s.Incarnation), Age: milliseconds(now.Sub(s.Ended)), Ran: milliseconds(s.Ended.Sub(s.LastSent)), Longest: milliseconds(s.Ended.Sub(s.FirstSent))})
	}
	for c, p := range q.suspects {
		if p.tellings > 0 && now.Sub(p.cleared) <= answerLife && len(n.Answers) < mostTold {
			p.tellings--
			n.Answers = append(n.Answers, api.ContentNews{Content: uint64(c), Age: milliseconds(now.Sub(p.cleared))})
		}
	}
	return n
}

// untold returns the strikes to tell; where there are too many, those of contents that have
// the most.
func (q *Quarantiner) untold(now time.Time) []*heldStrike {
	var out []*heldStrike
	for _, p := range q.suspects {
		for i := range p.strikes {
			if s := &p.strikes[i]; s.tellings > 0 && now.Sub(s.Ended) <= newsTime {
				out = append(out, s)
			}
		}
	}
	slices.SortFunc(out, func(a, b *heldStrike) int {
		return cmp.Or(cmp.Compare(len(q.suspects[b.Fingerprint].strikes), len(q.suspects[a.Fingerprint].strikes)), b.Ended.Compare(a.Ended), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(len(out), mostTold)]
}

// digest is the same at entries that refuse the same contents.
func (q *Quarantiner) digest() uint32 {
	sum := uint32(0)
	for c := range q.quarantined {
		sum ^= uint32(c) ^ uint32(c>>32) // contents are hashes
	}
	return sum
}

// ApplyUpdate takes in what another entry tells, and returns the contents that are refused from
// now on.
func (q *Quarantiner) ApplyUpdate(now time.Time, n api.QuarantineNews) []Decision {
	q.lock.Lock()
	defer q.lock.Unlock()
	for _, a := range n.Answers[:min(len(n.Answers), mostTold)] {
		q.clear(Fingerprint(a.Content), ago(now, a.Age))
	}
	for _, s := range n.Strikes[:min(len(n.Strikes), mostTold)] {
		ended := ago(now, s.Age)
		q.strike(now, Crash{Fingerprint: Fingerprint(s.Content), Incarnation: Incarnation(s.Run), FirstSent: ago(ended, max(s.Ran, s.Longest)), LastSent: ago(ended, s.Ran), Ended: ended})
	}
	var out []Decision
	for _, c := range n.Quarantined[:min(len(n.Quarantined), mostQuarantined)] {
		since := ago(now, c.Age)
		if q.quarantine(now, Fingerprint(c.Content), since) {
			out = append(out, Decision{Fingerprint: Fingerprint(c.Content), Until: since.Add(QuarantineDuration)})
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

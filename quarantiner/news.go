package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// newsTime is the age up to which strikes, answers and quarantines are told on: several
	// rounds of heartbeats, in which they reach everyone.
	newsTime = 1500 * time.Millisecond
	// mostTold bounds each list of the news, but for that of all quarantines.
	mostTold = 32
)

// News is what entries tell each other of strikes and quarantines. Times are ages.
type News struct {
	Strikes []StrikeNews
	Answers []ContentNews
	// Quarantined are contents that are refused; Digest is a hash of all that the sender
	// knows, so that one who knows others is told all.
	Quarantined []ContentNews
	Digest      uint64
}

// StrikeNews is a strike on the wire.
type StrikeNews struct {
	Content     Content
	Run         Run
	Sent, Ended time.Duration
}

// ContentNews says for how long something has been so of a content.
type ContentNews struct {
	Content Content
	Age     time.Duration
}

// Tell returns what this entry learned lately.
func (q *Quarantiner) Tell(now time.Time) News {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.tell(now)
}

// Reply returns what an entry is to be told that told this one, all quarantines where it
// knows others.
func (q *Quarantiner) Reply(now time.Time, heard News) News {
	q.lock.Lock()
	defer q.lock.Unlock()
	n := q.tell(now)
	if n.Digest == heard.Digest {
		return n
	}
	n.Quarantined = n.Quarantined[:0]
	for c, since := range q.quarantined {
		n.Quarantined = append(n.Quarantined, ContentNews{Content: c, Age: now.Sub(since)})
	}
	return n
}

func (q *Quarantiner) tell(now time.Time) News {
	n := News{Digest: q.digest()}
	for c, p := range q.suspects {
		if isNews(now, p.cleared) {
			n.Answers = append(n.Answers, ContentNews{Content: c, Age: now.Sub(p.cleared)})
		}
		for _, s := range p.strikes {
			if isNews(now, s.Ended) {
				n.Strikes = append(n.Strikes, StrikeNews{Content: c, Run: s.Run, Sent: now.Sub(s.Sent), Ended: now.Sub(s.Ended)})
			}
		}
	}
	for c, since := range q.quarantined {
		if isNews(now, since) {
			n.Quarantined = append(n.Quarantined, ContentNews{Content: c, Age: now.Sub(since)})
		}
	}
	n.Strikes, n.Answers, n.Quarantined = q.foremost(n.Strikes), newest(n.Answers), newest(n.Quarantined)
	return n
}

func isNews(now, at time.Time) bool { return now.Sub(at) <= newsTime }

// foremost returns the strikes that are told where there are too many: those of contents
// that have the most.
func (q *Quarantiner) foremost(strikes []StrikeNews) []StrikeNews {
	count := func(s StrikeNews) int { return len(q.suspects[s.Content].strikes) }
	slices.SortFunc(strikes, func(a, b StrikeNews) int {
		return cmp.Or(cmp.Compare(count(b), count(a)), cmp.Compare(a.Ended, b.Ended), cmp.Compare(a.Content, b.Content))
	})
	return strikes[:min(len(strikes), mostTold)]
}

func newest(news []ContentNews) []ContentNews {
	slices.SortFunc(news, func(a, b ContentNews) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Content, b.Content))
	})
	return news[:min(len(news), mostTold)]
}

// digest is the same at entries that refuse the same contents.
func (q *Quarantiner) digest() uint64 {
	sum := uint64(0)
	for c := range q.quarantined {
		sum ^= uint64(ContentOf([]byte(c.String())))
	}
	return sum
}

// Hear takes in what another entry tells, and returns the contents that are refused from
// now on.
func (q *Quarantiner) Hear(now time.Time, n News) []Verdict {
	q.lock.Lock()
	defer q.lock.Unlock()
	for _, a := range n.Answers[:min(len(n.Answers), mostTold)] {
		q.clear(a.Content, ago(now, a.Age))
	}
	for _, s := range n.Strikes[:min(len(n.Strikes), mostTold)] {
		q.strike(now, Strike{Content: s.Content, Run: s.Run, Sent: ago(now, s.Sent), Ended: ago(now, s.Ended)})
	}
	var out []Verdict
	for _, c := range n.Quarantined[:min(len(n.Quarantined), mostQuarantined)] {
		since := ago(now, c.Age)
		if q.quarantine(now, c.Content, since) {
			out = append(out, Verdict{Content: c.Content, Until: since.Add(QuarantineTime)})
		}
	}
	return out
}

// ago is the time of something of an age that was told; nothing is in the future.
func ago(now time.Time, age time.Duration) time.Time { return now.Add(-max(0, age)) }

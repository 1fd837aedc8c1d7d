// Package quarantiner finds the requests that crash the upstreams that run them,
// and says until when they are refused. A request is known by its content, so
// that it is the same under another id and at another entry. Entries tell each
// other which upstreams ended while they worked on which content; each judges
// by all that it knows, and a quarantine that one declares holds at all.
//
// It does no I/O. What it holds is bounded in number and in time.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Incarnation names one run of an upstream.
type Incarnation uint32

// Crash is the end of an upstream's run while it worked on a content.
type Crash struct {
	Fingerprint Fingerprint
	Incarnation Incarnation
	// FirstSent and LastSent are when the first and the last request for the content were sent there that
	// had no answer yet, Ended is when the answers broke off. FirstSent may be zero where there was one.
	FirstSent, LastSent, Ended time.Time
}

const (
	// ProvenAfter is how long an upstream has made parts of an answer when the request counts as one
	// that it can run: what crashes an upstream does so as it begins.
	ProvenAfter = 2 * time.Second
	// QuarantineDuration is how long a content is refused.
	QuarantineDuration = 5 * time.Minute
	// strikeLife is how long a strike counts: several quarantines, after each of which one more
	// is enough.
	strikeLife = 30 * time.Minute
	// answerLife is how long after an answer ends of upstreams don't count against a content: in an
	// outage what many ask for is under way wherever an upstream ends.
	answerLife = time.Minute
	// endSlack is how long before its end a quarantine is no longer taken over from others:
	// entries end it at different moments, and would tell each other of it for ever.
	endSlack = 10 * time.Second
	// suspectStrikes is under how many runs that ended a content was when it is not sent to a second
	// upstream after its first: a third end is likely its own doing.
	suspectStrikes = 2
	// mostSuspects bounds the contents with strikes, mostStrikes the strikes of one, and
	// mostQuarantined the contents that are refused.
	mostSuspects    = 2048
	mostStrikes     = 8
	mostQuarantined = 256
)

// suspect is a content under which upstreams have ended.
type suspect struct {
	// strikes are in order of their ends, all later than answerLife after cleared.
	strikes []heldStrike
	// cleared is when an upstream last answered the content; zero for never.
	cleared time.Time
	// tellings is how often cleared is yet to be told.
	tellings int
	// released is when a quarantine of the content last ended; only a later strike has it
	// refused again.
	released time.Time
}

// heldStrike is a strike, and how often it is yet to be told.
type heldStrike struct {
	Crash
	tellings int
}

// newest is the time of the last that is known of a suspect.
func (p *suspect) newest() time.Time {
	if n := len(p.strikes); n > 0 {
		return p.strikes[n-1].Ended
	}
	return p.cleared
}

// Decision is a content that is refused from now on.
type Decision struct {
	Fingerprint Fingerprint
	// Crashes is how many upstreams have ended under it, Chance how likely that is for a
	// content that crashes nothing.
	Crashes     int
	Probability float64
	Until       time.Time
}

// LogFields are what is logged of a verdict that this entry came to, or heard from a source.
func (v Decision) LogFields(now time.Time, source string) []zap.Field {
	return []zap.Field{
		zap.Stringer("content", v.Fingerprint), zap.Int("strikes", v.Crashes), zap.Float64("chance", v.Probability),
		zap.Duration("left_ms", v.Until.Sub(now)), zap.String("source", source),
	}
}

// Quarantiner holds strikes and quarantines. It is safe for concurrent use.
type Quarantiner struct {
	lock     sync.Mutex
	suspects map[Fingerprint]*suspect
	// quarantined holds since when contents are refused.
	quarantined map[Fingerprint]time.Time
	// answers are those that this entry saw.
	answers answerCache
	// upstreams is how many there are.
	upstreams int
	// unjudged is true where a strike came since the last judgement, or is too new for it.
	unjudged bool
}

// New returns a quarantiner that suspects nothing.
func New() *Quarantiner {
	return &Quarantiner{suspects: map[Fingerprint]*suspect{}, quarantined: map[Fingerprint]time.Time{}}
}

// SetUpstreamCount tells how many upstreams there are.
func (q *Quarantiner) SetUpstreamCount(n int) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.upstreams = n
}

// RecordCrash notes that an upstream ended while it worked on a request.
func (q *Quarantiner) RecordCrash(now time.Time, s Crash) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.strike(now, s)
}

func (q *Quarantiner) strike(now time.Time, s Crash) {
	if s.FirstSent.IsZero() {
		s.FirstSent = s.LastSent
	}
	if at, ok := q.answers.last(s.Fingerprint); ok && clears(at, s.Ended) {
		q.clear(s.Fingerprint, at)
		return
	}
	p := q.suspect(s.Fingerprint)
	if i := slices.IndexFunc(p.strikes, func(o heldStrike) bool { return s.sameEnd(o.Crash) }); i >= 0 {
		p.strikes[i].join(s)
		return
	}
	if clears(p.cleared, s.Ended) || now.Sub(s.Ended) > strikeLife {
		return
	}
	p.strikes = append(p.strikes, heldStrike{Crash: s, tellings: newsTellings})
	slices.SortFunc(p.strikes, func(a, b heldStrike) int { return a.Ended.Compare(b.Ended) })
	p.strikes = p.strikes[max(0, len(p.strikes)-mostStrikes):]
	q.unjudged = true
}

// clears reports whether an answer at a time proves that an end is not a content's doing.
func clears(answered, ended time.Time) bool { return !ended.After(answered.Add(answerLife)) }

// sameEnd reports whether two strikes of a content are of one end of a run. While the store is away entries
// know an upstream that starts again by the name of its run before.
func (s Crash) sameEnd(o Crash) bool {
	return s.Incarnation == o.Incarnation && s.Ended.Sub(o.Ended).Abs() <= sameTime
}

// join takes in another request for the content at the same end, and has that told where it
// says more.
func (h *heldStrike) join(s Crash) {
	if h.FirstSent.Sub(s.FirstSent) > overlapSlack || s.LastSent.Sub(h.LastSent) > overlapSlack {
		h.tellings = newsTellings
	}
	if s.FirstSent.Before(h.FirstSent) {
		h.FirstSent = s.FirstSent
	}
	if s.LastSent.After(h.LastSent) {
		h.LastSent = s.LastSent
	}
}

// suspect returns that of a content. Where there are too many, the one with the fewest
// strikes, and of these the oldest, goes.
func (q *Quarantiner) suspect(c Fingerprint) *suspect {
	if p, ok := q.suspects[c]; ok {
		return p
	}
	if len(q.suspects) >= mostSuspects {
		var least Fingerprint
		var found *suspect
		for key, p := range q.suspects {
			if found == nil || cmp.Or(cmp.Compare(len(p.strikes), len(found.strikes)), p.newest().Compare(found.newest())) < 0 {
				least, found = key, p
			}
		}
		delete(q.suspects, least)
	}
	p := &suspect{}
	q.suspects[c] = p
	return p
}

// RecordSuccess notes that an upstream ran a request to its end, or for long. What it answers does
// not crash what runs it.
func (q *Quarantiner) RecordSuccess(now time.Time, c Fingerprint) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.answers.add(now, c)
	if p, ok := q.suspects[c]; ok && len(p.strikes) > 0 {
		q.clear(c, now)
	}
}

// clear voids the strikes of a content that an answer clears, and lifts its quarantine.
func (q *Quarantiner) clear(c Fingerprint, answered time.Time) {
	p := q.suspect(c)
	if !answered.After(p.cleared) {
		return
	}
	if answered.Sub(p.cleared) > newsTime { // else it is what others were told already
		p.tellings = newsTellings
	}
	p.cleared = answered
	p.strikes = slices.DeleteFunc(p.strikes, func(s heldStrike) bool { return clears(answered, s.Ended) })
	if since, ok := q.quarantined[c]; ok && clears(answered, since) {
		delete(q.quarantined, c)
	}
}

// QuarantinedUntil returns until when requests for a content are refused; ok is false where they
// are not.
func (q *Quarantiner) QuarantinedUntil(now time.Time, c Fingerprint) (until time.Time, ok bool) {
	q.lock.Lock()
	defer q.lock.Unlock()
	since, ok := q.quarantined[c]
	until = since.Add(QuarantineDuration)
	return until, ok && until.After(now)
}

// CrashCount is under how many runs of upstreams that ended a content was worked on since it
// was last answered.
func (q *Quarantiner) CrashCount(c Fingerprint) int {
	q.lock.Lock()
	defer q.lock.Unlock()
	if p, ok := q.suspects[c]; ok {
		return len(p.strikes)
	}
	return 0
}

// IsSuspect reports whether a request for a content is not to be sent to a second upstream
// when its first has broken off.
func (q *Quarantiner) IsSuspect(c Fingerprint) bool { return q.CrashCount(c) >= suspectStrikes }

// QuarantinedCount is how many contents are refused.
func (q *Quarantiner) QuarantinedCount() int {
	q.lock.Lock()
	defer q.lock.Unlock()
	return len(q.quarantined)
}

// quarantine has a content refused since a time, and reports whether that is news.
func (q *Quarantiner) quarantine(now time.Time, c Fingerprint, since time.Time) bool {
	if _, ok := q.quarantined[c]; ok || now.Sub(since) >= QuarantineDuration-endSlack {
		return false
	}
	if at, ok := q.answers.last(c); ok && clears(at, since) {
		q.clear(c, at)
	}
	if p, ok := q.suspects[c]; ok && clears(p.cleared, since) {
		p.tellings = newsTellings // the other does not know
		return false
	}
	if len(q.quarantined) >= mostQuarantined {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(q.quarantined)), func(a, b Fingerprint) int {
			return q.quarantined[a].Compare(q.quarantined[b])
		})
		if !since.After(q.quarantined[oldest]) {
			return false
		}
		delete(q.quarantined, oldest)
	}
	q.quarantined[c] = since
	return true
}

// expire drops what is too old.
func (q *Quarantiner) expire(now time.Time) {
	for c, since := range q.quarantined {
		if now.Sub(since) >= QuarantineDuration {
			delete(q.quarantined, c)
			if p, ok := q.suspects[c]; ok {
				p.released = now
			}
		}
	}
	for c, p := range q.suspects {
		p.strikes = slices.DeleteFunc(p.strikes, func(s heldStrike) bool { return now.Sub(s.Ended) > strikeLife })
		if len(p.strikes) == 0 && now.Sub(p.cleared) > strikeLife {
			delete(q.suspects, c)
		}
	}
}

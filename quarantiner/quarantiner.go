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
	// crashTTL is how long a strike counts: several quarantines, after each of which one more
	// is enough.
	crashTTL = 30 * time.Minute
	// successTTL is how long after an answer ends of upstreams don't count against a content: in an
	// outage what many ask for is under way wherever an upstream ends.
	successTTL = time.Minute
	// minAdoptedRemaining is how long before its end a quarantine is no longer taken over from others:
	// entries end it at different moments, and would tell each other of it for ever.
	minAdoptedRemaining = 10 * time.Second
	// minSuspectCrashes is under how many runs that ended a content was when it is not sent to a second
	// upstream after its first: a third end is likely its own doing.
	minSuspectCrashes = 2
	// maxSuspects bounds the contents with strikes, mostStrikes the strikes of one, and
	// mostQuarantined the contents that are refused.
	maxSuspects          = 2048
	maxCrashesPerSuspect = 8
	maxQuarantined       = 256
)

// suspect is a content under which upstreams have ended.
type suspect struct {
	// crashes are in order of their ends, all later than answerLife after cleared.
	crashes []knownCrash
	// lastSuccess is when an upstream last answered the content; zero for never.
	lastSuccess time.Time
	// broadcastsLeft is how often cleared is yet to be told.
	broadcastsLeft int
	// releasedAt is when a quarantine of the content last ended; only a later strike has it
	// refused again.
	releasedAt time.Time
}

// knownCrash is a strike, and how often it is yet to be told.
type knownCrash struct {
	Crash
	broadcastsLeft int
}

// lastActivity is the time of the last that is known of a suspect.
func (p *suspect) lastActivity() time.Time {
	if n := len(p.crashes); n > 0 {
		return p.crashes[n-1].Ended
	}
	return p.lastSuccess
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
func (d Decision) LogFields(now time.Time, source string) []zap.Field {
	return []zap.Field{
		zap.Stringer("content", d.Fingerprint), zap.Int("strikes", d.Crashes), zap.Float64("chance", d.Probability),
		zap.Duration("left_ms", d.Until.Sub(now)), zap.String("source", source),
	}
}

// Quarantiner holds strikes and quarantines. It is safe for concurrent use.
type Quarantiner struct {
	lock     sync.Mutex
	suspects map[Fingerprint]*suspect
	// quarantined holds since when contents are refused.
	quarantined map[Fingerprint]time.Time
	// successes are those that this entry saw.
	successes successCache
	// upstreamCount is how many there are.
	upstreamCount int
	// needsEvaluation is true where a strike came since the last judgement, or is too new for it.
	needsEvaluation bool
}

// New returns a quarantiner that suspects nothing.
func New() *Quarantiner {
	return &Quarantiner{suspects: map[Fingerprint]*suspect{}, quarantined: map[Fingerprint]time.Time{}}
}

// SetUpstreamCount tells how many upstreams there are.
func (q *Quarantiner) SetUpstreamCount(n int) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.upstreamCount = n
}

// RecordCrash notes that an upstream ended while it worked on a request.
func (q *Quarantiner) RecordCrash(now time.Time, crash Crash) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.recordCrash(now, crash)
}

func (q *Quarantiner) recordCrash(now time.Time, crash Crash) {
	if crash.FirstSent.IsZero() {
		crash.FirstSent = crash.LastSent
	}
	if at, ok := q.successes.last(crash.Fingerprint); ok && isCleared(at, crash.Ended) {
		q.applySuccess(crash.Fingerprint, at)
		return
	}
	p := q.ensureSuspect(crash.Fingerprint)
	if i := slices.IndexFunc(p.crashes, func(o knownCrash) bool { return crash.isSameEnd(o.Crash) }); i >= 0 {
		p.crashes[i].merge(crash)
		return
	}
	if isCleared(p.lastSuccess, crash.Ended) || now.Sub(crash.Ended) > crashTTL {
		return
	}
	p.crashes = append(p.crashes, knownCrash{Crash: crash, broadcastsLeft: broadcastsPerItem})
	slices.SortFunc(p.crashes, func(a, b knownCrash) int { return a.Ended.Compare(b.Ended) })
	p.crashes = p.crashes[max(0, len(p.crashes)-maxCrashesPerSuspect):]
	q.needsEvaluation = true
}

// isCleared reports whether an answer at a time proves that an end is not a content's doing.
func isCleared(success, ended time.Time) bool { return !ended.After(success.Add(successTTL)) }

// isSameEnd reports whether two strikes of a content are of one end of a run. While the store is away entries
// know an upstream that starts again by the name of its run before.
func (c Crash) isSameEnd(o Crash) bool {
	return c.Incarnation == o.Incarnation && c.Ended.Sub(o.Ended).Abs() <= coincidenceWindow
}

// merge takes in another request for the content at the same end, and has that told where it
// says more.
func (k *knownCrash) merge(crash Crash) {
	if k.FirstSent.Sub(crash.FirstSent) > timestampSlack || crash.LastSent.Sub(k.LastSent) > timestampSlack {
		k.broadcastsLeft = broadcastsPerItem
	}
	if crash.FirstSent.Before(k.FirstSent) {
		k.FirstSent = crash.FirstSent
	}
	if crash.LastSent.After(k.LastSent) {
		k.LastSent = crash.LastSent
	}
}

// ensureSuspect returns that of a content. Where there are too many, the one with the fewest
// strikes, and of these the oldest, goes.
func (q *Quarantiner) ensureSuspect(fp Fingerprint) *suspect {
	if p, ok := q.suspects[fp]; ok {
		return p
	}
	if len(q.suspects) >= maxSuspects {
		var evicted Fingerprint
		var fewest *suspect
		for key, p := range q.suspects {
			if fewest == nil || cmp.Or(cmp.Compare(len(p.crashes), len(fewest.crashes)), p.lastActivity().Compare(fewest.lastActivity())) < 0 {
				evicted, fewest = key, p
			}
		}
		delete(q.suspects, evicted)
	}
	p := &suspect{}
	q.suspects[fp] = p
	return p
}

// RecordSuccess notes that an upstream ran a request to its end, or for long. What it answers does
// not crash what runs it.
func (q *Quarantiner) RecordSuccess(now time.Time, fp Fingerprint) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.successes.add(now, fp)
	if p, ok := q.suspects[fp]; ok && len(p.crashes) > 0 {
		q.applySuccess(fp, now)
	}
}

// applySuccess voids the strikes of a content that an answer clears, and lifts its quarantine.
func (q *Quarantiner) applySuccess(fp Fingerprint, success time.Time) {
	p := q.ensureSuspect(fp)
	if !success.After(p.lastSuccess) {
		return
	}
	if success.Sub(p.lastSuccess) > maxBroadcastAge { // else it is what others were told already
		p.broadcastsLeft = broadcastsPerItem
	}
	p.lastSuccess = success
	p.crashes = slices.DeleteFunc(p.crashes, func(s knownCrash) bool { return isCleared(success, s.Ended) })
	if since, ok := q.quarantined[fp]; ok && isCleared(success, since) {
		delete(q.quarantined, fp)
	}
}

// QuarantinedUntil returns until when requests for a content are refused; ok is false where they
// are not.
func (q *Quarantiner) QuarantinedUntil(now time.Time, fp Fingerprint) (until time.Time, ok bool) {
	q.lock.Lock()
	defer q.lock.Unlock()
	since, ok := q.quarantined[fp]
	until = since.Add(QuarantineDuration)
	return until, ok && until.After(now)
}

// CrashCount is under how many runs of upstreams that ended a content was worked on since it
// was last answered.
func (q *Quarantiner) CrashCount(fp Fingerprint) int {
	q.lock.Lock()
	defer q.lock.Unlock()
	if p, ok := q.suspects[fp]; ok {
		return len(p.crashes)
	}
	return 0
}

// IsSuspect reports whether a request for a content is not to be sent to a second upstream
// when its first has broken off.
func (q *Quarantiner) IsSuspect(fp Fingerprint) bool { return q.CrashCount(fp) >= minSuspectCrashes }

// QuarantinedCount is how many contents are refused.
func (q *Quarantiner) QuarantinedCount() int {
	q.lock.Lock()
	defer q.lock.Unlock()
	return len(q.quarantined)
}

// addQuarantine has a content refused since a time, and reports whether that is news.
func (q *Quarantiner) addQuarantine(now time.Time, fp Fingerprint, since time.Time) bool {
	if _, ok := q.quarantined[fp]; ok || now.Sub(since) >= QuarantineDuration-minAdoptedRemaining {
		return false
	}
	if at, ok := q.successes.last(fp); ok && isCleared(at, since) {
		q.applySuccess(fp, at)
	}
	if p, ok := q.suspects[fp]; ok && isCleared(p.lastSuccess, since) {
		p.broadcastsLeft = broadcastsPerItem // the other does not know
		return false
	}
	if len(q.quarantined) >= maxQuarantined {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(q.quarantined)), func(a, b Fingerprint) int {
			return q.quarantined[a].Compare(q.quarantined[b])
		})
		if !since.After(q.quarantined[oldest]) {
			return false
		}
		delete(q.quarantined, oldest)
	}
	q.quarantined[fp] = since
	return true
}

// expire drops what is too old.
func (q *Quarantiner) expire(now time.Time) {
	for fp, since := range q.quarantined {
		if now.Sub(since) >= QuarantineDuration {
			delete(q.quarantined, fp)
			if p, ok := q.suspects[fp]; ok {
				p.releasedAt = now
			}
		}
	}
	for fp, p := range q.suspects {
		p.crashes = slices.DeleteFunc(p.crashes, func(s knownCrash) bool { return now.Sub(s.Ended) > crashTTL })
		if len(p.crashes) == 0 && now.Sub(p.lastSuccess) > crashTTL {
			delete(q.suspects, fp)
		}
	}
}

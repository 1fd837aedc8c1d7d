// Package quarantiner detects requests that crash the upstreams that run them and quarantines them
// for a fixed time. Requests are identified by a fingerprint of their content, so a repeat has the
// same fingerprint under another request ID and at another entry. Entries send each other, with
// heartbeats, the crashes that they observe: which upstreams exited while they ran which
// fingerprints. Each entry decides by the crashes that it observed or received, and a quarantine
// decided by one entry is adopted by all.
//
// The package does no I/O. All state is bounded in size and expires.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

// IncarnationHash is a hash that identifies an incarnation of an upstream, that is, one lifetime of
// its process.
type IncarnationHash uint32

// Crash is the exit of an upstream incarnation while it ran requests with a fingerprint.
type Crash struct {
	Fingerprint Fingerprint
	Incarnation IncarnationHash
	// FirstSent and LastSent are the times at which the first and the last unanswered request with
	// the fingerprint were sent to the incarnation; a zero FirstSent stands for LastSent. Ended is
	// the time at which the responses of the incarnation broke off.
	FirstSent, LastSent, Ended time.Time
}

const (
	// MinSuccessRunTime is the time for which an upstream must have streamed an unfinished response
	// for RecordSuccess to be called: a request that crashes an upstream does so soon after it starts.
	MinSuccessRunTime = 2 * time.Second
	// QuarantineDuration is the time for which requests with a quarantined fingerprint are refused.
	QuarantineDuration = 5 * time.Minute
	// crashTTL is the age at which a crash is dropped. It spans several quarantines, because a
	// fingerprint is quarantined again after a single new crash.
	crashTTL = 30 * time.Minute
	// successTTL is the time after a success of a fingerprint in which its crashes are ignored: in an
	// outage, a popular request is running on almost every upstream that exits.
	successTTL = time.Minute
	// minAdoptedRemaining is the time that must remain of another entry's quarantine for this entry
	// to adopt it. Entries end the same quarantine at slightly different times, and without this
	// limit they would pass it back to each other forever.
	minAdoptedRemaining = 10 * time.Second
	// minSuspectCrashes is the number of crashes of its fingerprint from which a request is not
	// retried on a second upstream after the response of the first one broke off: the retry would
	// probably crash one more incarnation.
	minSuspectCrashes = 2
	// maxSuspects is the maximum number of suspects, maxCrashesPerSuspect that of the crashes kept
	// for each, and maxQuarantined that of the fingerprints quarantined at once.
	maxSuspects          = 2048
	maxCrashesPerSuspect = 8
	maxQuarantined       = 256
)

// suspect is the state kept of a fingerprint with a recent crash, or with a success since.
type suspect struct {
	// crashes is sorted by Ended. All are later than lastSuccess plus successTTL.
	crashes []knownCrash
	// lastSuccess is the time of the last success of the fingerprint that this entry observed or
	// received; zero if there is none.
	lastSuccess time.Time
	// broadcastsLeft is the number of updates that are still to contain lastSuccess.
	broadcastsLeft int
	// quarantineEndedAt is the time at which the last quarantine of the fingerprint expired; zero if
	// none did. Only a later crash can make Evaluate quarantine the fingerprint again.
	quarantineEndedAt time.Time
}

// knownCrash is a crash and the number of updates that are still to contain it.
type knownCrash struct {
	Crash
	broadcastsLeft int
	// recordedAt is when this entry recorded the crash.
	recordedAt time.Time
}

// age returns for how long the entries have been able to report what else the incarnation ran: since it ended, or
// since the crash was recorded if that was more than minCrashAge later.
func (k knownCrash) age(now time.Time) time.Duration {
	if k.recordedAt.Sub(k.Ended) > minCrashAge {
		return now.Sub(k.recordedAt)
	}
	return now.Sub(k.Ended)
}

// lastActivity returns the time of the last crash, or of the last success if there is no crash.
func (p *suspect) lastActivity() time.Time {
	if n := len(p.crashes); n > 0 {
		return p.crashes[n-1].Ended
	}
	return p.lastSuccess
}

// Decision is the decision to quarantine a fingerprint.
type Decision struct {
	Fingerprint Fingerprint
	// Crashes is the number of crashes for which the fingerprint is quarantined, without those that
	// another fingerprint or an outage explains. Probability is the estimated probability, from 0 to
	// 1, of these crashes if the fingerprint caused none of them. Both are zero for a quarantine
	// adopted from another entry.
	Crashes     int
	Probability float64
	// Until is the time at which the quarantine expires.
	Until time.Time
}

// LogFields returns the log fields of a decision. The argument source is "own", or the name of the
// entry from which the decision was adopted.
func (d Decision) LogFields(now time.Time, source string) []zap.Field {
	return []zap.Field{
		zap.Stringer("content", d.Fingerprint), zap.Int("strikes", d.Crashes), zap.Float64("chance", d.Probability),
		zap.Duration("left_ms", d.Until.Sub(now)), zap.String("source", source),
	}
}

// Quarantiner keeps the crashes and successes that this entry observed or received from other
// entries, and the active quarantines. It is safe for concurrent use.
type Quarantiner struct {
	// lock guards all other fields.
	lock sync.Mutex
	// suspects holds the state of fingerprints with a recent crash, or with a success since; at most
	// maxSuspects.
	suspects map[Fingerprint]*suspect
	// quarantined holds the time at which each active quarantine began.
	quarantined map[Fingerprint]time.Time
	// successes holds the times of the successes that this entry recorded itself, of all
	// fingerprints.
	successes successCache
	// interruptions holds the recent interruptions that were not confirmed as crashes.
	interruptions Interruptions[Crash]
	// otherExplained are exits with another known cause than the content of requests.
	otherExplained []Exit
	// upstreamCount is the number of upstreams of the whole deployment.
	upstreamCount int
	// needsEvaluation is true if a crash was recorded since the last call of Evaluate, or was younger
	// than minCrashAge in that call.
	needsEvaluation bool
}

// New returns a quarantiner without crashes or quarantines.
func New() *Quarantiner {
	return &Quarantiner{suspects: map[Fingerprint]*suspect{}, quarantined: map[Fingerprint]time.Time{}}
}

// SetUpstreamCount sets the number of upstreams of the whole deployment.
func (q *Quarantiner) SetUpstreamCount(n int) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.upstreamCount = n
}

// RecordCrash records a crash that this entry observed, and sends it to the other entries with the
// next heartbeats. It ignores crashes that a recent success refutes, and those older than 30 minutes.
func (q *Quarantiner) RecordCrash(now time.Time, crash Crash) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.recordCrash(now, crash)
}

// recordCrash adds a crash, or merges it with a recorded crash that reports the same exit. It
// ignores a crash that came before, or within successTTL after, a success of its fingerprint (see
// isRefuted), and a new crash that is older than crashTTL. The lock must be held.
func (q *Quarantiner) recordCrash(now time.Time, crash Crash) {
	if crash.FirstSent.IsZero() {
		crash.FirstSent = crash.LastSent
	}
	if at, ok := q.successes.last(crash.Fingerprint); ok && isRefuted(at, crash.Ended) {
		q.applySuccess(crash.Fingerprint, at)
		return
	}
	p := q.ensureSuspect(crash.Fingerprint)
	if i := slices.IndexFunc(p.crashes, func(o knownCrash) bool { return crash.isSameExit(o.Crash) }); i >= 0 {
		p.crashes[i].merge(crash)
		return
	}
	if isRefuted(p.lastSuccess, crash.Ended) || now.Sub(crash.Ended) > crashTTL {
		return
	}
	p.crashes = append(p.crashes, knownCrash{Crash: crash, broadcastsLeft: broadcastsPerItem, recordedAt: now})
	slices.SortFunc(p.crashes, func(a, b knownCrash) int { return a.Ended.Compare(b.Ended) })
	p.crashes = p.crashes[max(0, len(p.crashes)-maxCrashesPerSuspect):]
	q.needsEvaluation = true
}

// isRefuted reports whether the success of a fingerprint at one time shows that the fingerprint did
// not cause an exit at the time ended: the exit came before the success or within successTTL after.
func isRefuted(success, ended time.Time) bool { return !ended.After(success.Add(successTTL)) }

// isSameExit reports whether two crashes of a fingerprint report the same exit of an incarnation:
// the incarnations are equal and the exits at most coincidenceWindow apart. Equal incarnations are
// not enough, because while the store is unavailable, entries use the ID of the previous incarnation
// for a restarted upstream.
func (c Crash) isSameExit(o Crash) bool {
	return c.Incarnation == o.Incarnation && c.Ended.Sub(o.Ended).Abs() <= coincidenceWindow
}

// merge adds another report of the same exit: it keeps the earlier FirstSent and the later LastSent.
// If either changes by more than timestampSlack, the crash is sent to other entries again.
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

// ensureSuspect returns the state of a fingerprint, and creates it if there is none. If there are
// maxSuspects already, it first evicts the fingerprint with the fewest crashes, and of several the
// one whose last crash or success is the oldest. The lock must be held.
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

// RecordSuccess records a success of a fingerprint: that an upstream completed a request, or streamed
// its response for at least MinSuccessRunTime. It removes the earlier crashes of the fingerprint and
// ends its quarantine if that began earlier: a request that completes doesn't crash its upstream.
func (q *Quarantiner) RecordSuccess(now time.Time, fp Fingerprint) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.successes.add(now, fp)
	if p, ok := q.suspects[fp]; ok && len(p.crashes) > 0 {
		q.applySuccess(fp, now)
	}
}

// applySuccess applies a success of a fingerprint if it is later than the last recorded one: it
// removes the crashes, and ends a quarantine, that came before the success or within successTTL
// after it. The lock must be held.
func (q *Quarantiner) applySuccess(fp Fingerprint, success time.Time) {
	p := q.ensureSuspect(fp)
	if !success.After(p.lastSuccess) {
		return
	}
	if success.Sub(p.lastSuccess) > maxBroadcastAge { // a success almost as late was already broadcast
		p.broadcastsLeft = broadcastsPerItem
	}
	p.lastSuccess = success
	p.crashes = slices.DeleteFunc(p.crashes, func(s knownCrash) bool { return isRefuted(success, s.Ended) })
	if since, ok := q.quarantined[fp]; ok && isRefuted(success, since) {
		delete(q.quarantined, fp)
	}
}

// QuarantinedUntil returns the time at which the quarantine of a fingerprint expires, and whether
// the fingerprint is quarantined now. If ok is false, until is meaningless.
func (q *Quarantiner) QuarantinedUntil(now time.Time, fp Fingerprint) (until time.Time, ok bool) {
	q.lock.Lock()
	defer q.lock.Unlock()
	since, ok := q.quarantined[fp]
	until = since.Add(QuarantineDuration)
	return until, ok && until.After(now)
}

// CrashCount returns the number of recorded crashes of the fingerprint: those within 30 minutes and
// more than a minute after its last success, at most the latest 8.
func (q *Quarantiner) CrashCount(fp Fingerprint) int {
	q.lock.Lock()
	defer q.lock.Unlock()
	if p, ok := q.suspects[fp]; ok {
		return len(p.crashes)
	}
	return 0
}

// IsSuspect reports whether a request with the fingerprint must not be retried on another upstream
// after the response of the first one broke off: CrashCount is at least 2.
func (q *Quarantiner) IsSuspect(fp Fingerprint) bool { return q.CrashCount(fp) >= minSuspectCrashes }

// QuarantinedCount returns the number of quarantined fingerprints. It includes expired quarantines
// until the next call of Evaluate.
func (q *Quarantiner) QuarantinedCount() int {
	q.lock.Lock()
	defer q.lock.Unlock()
	return len(q.quarantined)
}

// addQuarantine quarantines a fingerprint from the time since on, and reports whether that added a
// quarantine. It adds none if the fingerprint is quarantined already, if at most minAdoptedRemaining
// of the quarantine remains, if since is before or within successTTL after a success of the
// fingerprint, or if maxQuarantined is reached and no quarantine is older. If one is, the oldest is
// dropped. The lock must be held.
func (q *Quarantiner) addQuarantine(now time.Time, fp Fingerprint, since time.Time) bool {
	if _, ok := q.quarantined[fp]; ok || now.Sub(since) >= QuarantineDuration-minAdoptedRemaining {
		return false
	}
	if at, ok := q.successes.last(fp); ok && isRefuted(at, since) {
		q.applySuccess(fp, at)
	}
	if p, ok := q.suspects[fp]; ok && isRefuted(p.lastSuccess, since) {
		p.broadcastsLeft = broadcastsPerItem // the entry that sent the quarantine lacks this success
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

// expire ends quarantines that began QuarantineDuration ago or earlier, drops crashes older than
// crashTTL, and drops suspects without crashes whose last success is older. The lock must be held.
func (q *Quarantiner) expire(now time.Time) {
	for fp, since := range q.quarantined {
		if now.Sub(since) >= QuarantineDuration {
			delete(q.quarantined, fp)
			if p, ok := q.suspects[fp]; ok {
				p.quarantineEndedAt = now
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

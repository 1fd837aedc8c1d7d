package quarantiner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minCrashes is the minimum number of crashes, one after the other, for which a fingerprint is
	// quarantined.
	minCrashes = 3
	// conclusiveCrashes is the number of crashes from which a fingerprint can be quarantined even
	// if another fingerprint that ran on the same incarnations has as many crashes, or if half of
	// all upstreams exited at the time.
	conclusiveCrashes = 4
	// minCrashAge is the age (see knownCrash.age) from which assess includes a crash: by then every entry has reported
	// which other requests the incarnation ran. For a fingerprint with conclusiveCrashes the age is
	// conclusiveMinCrashAge, because other requests matter less and each retry crashes one more
	// upstream.
	minCrashAge           = time.Second
	conclusiveMinCrashAge = 300 * time.Millisecond
	// coincidenceWindow is the maximum time between two exits that are assumed to have the same
	// cause, and between the times that two entries report for the same exit.
	coincidenceWindow = time.Second
	// maxOutageDuration is the maximum time from the first to the last exit of an outage.
	maxOutageDuration = 3 * time.Second
	// timestampSlack is the assumed maximum error of the difference between two times of crashes.
	// Entries send each other ages, not times, so the time in transit shifts a received time.
	timestampSlack = 50 * time.Millisecond
	// minProbability and maxProbability bound the estimated probability that an incarnation exits
	// for a reason other than the request that it runs.
	minProbability, maxProbability = 0.05, 0.95
	// significanceLevel is the maximum estimated probability of a fingerprint's crashes, assuming
	// that it caused none of them, at which the fingerprint is quarantined.
	significanceLevel = 1.0 / 300
)

// incarnationExit is the exit of an upstream incarnation.
type incarnationExit struct {
	// at is the time at which the responses of the incarnation broke off: the field Ended of one of
	// the crashes that report the exit.
	at time.Time
	// running holds the fingerprints that the incarnation ran when it exited, with the time at
	// which a request with the fingerprint was first sent to it.
	running map[Fingerprint]time.Time
}

// hasFingerprint reports whether the incarnation ran a request with the fingerprint when it exited.
func (e *incarnationExit) hasFingerprint(fp Fingerprint) bool {
	_, ok := e.running[fp]
	return ok
}

// Evaluate drops expired state, quarantines each fingerprint whose recorded crashes are unlikely
// to have another cause, and returns the new quarantines.
//
// Three signs show that a fingerprint was merely running when an upstream exited, and did not crash
// it: another fingerprint that ran on the same incarnation is already quarantined; upstreams that
// did not run the fingerprint exited at the same time, as in an outage; or another fingerprint on
// the same incarnation has as many crashes, or was sent later and has at least two.
func (q *Quarantiner) Evaluate(now time.Time) []Decision {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.expire(now)
	if !q.needsEvaluation {
		return nil
	}
	exits := q.collectExits()
	q.needsEvaluation = q.hasYoungCrash(now)
	var out []Decision
	for {
		d, ok := q.mostSignificant(now, exits)
		if !ok {
			return out
		}
		if !q.addQuarantine(now, d.Fingerprint, now) {
			return out // maxQuarantined is reached
		}
		out = append(out, d)
	}
}

// hasYoungCrash reports whether a crash is still too young to be judged. The lock must be held.
func (q *Quarantiner) hasYoungCrash(now time.Time) bool {
	for _, p := range q.suspects {
		if slices.ContainsFunc(p.crashes, func(k knownCrash) bool { return k.age(now) < minCrashAge }) {
			return true
		}
	}
	return false
}

// incarnationExits holds the exits of upstream incarnations that the recorded crashes report.
type incarnationExits struct {
	// all holds every exit, in no particular order.
	all []*incarnationExit
	// byIncarnation holds the same exits by incarnation.
	byIncarnation map[IncarnationHash][]*incarnationExit
}

// collectExits groups the recorded crashes by the exit that they report. The lock must be held.
func (q *Quarantiner) collectExits() incarnationExits {
	exits := incarnationExits{byIncarnation: map[IncarnationHash][]*incarnationExit{}}
	for fp, p := range q.suspects {
		for _, s := range p.crashes {
			e := exits.find(s.Crash)
			if e == nil {
				e = &incarnationExit{at: s.Ended, running: map[Fingerprint]time.Time{}}
				exits.all = append(exits.all, e)
				exits.byIncarnation[s.Incarnation] = append(exits.byIncarnation[s.Incarnation], e)
			}
			if since, ok := e.running[fp]; !ok || s.FirstSent.Before(since) {
				e.running[fp] = s.FirstSent
			}
		}
	}
	return exits
}

// find returns the exit that a crash reports, or nil if it is not among them.
func (e incarnationExits) find(crash Crash) *incarnationExit {
	for _, exit := range e.byIncarnation[crash.Incarnation] {
		if crash.Ended.Sub(exit.at).Abs() <= coincidenceWindow {
			return exit
		}
	}
	return nil
}

// mostSignificant returns the decision to quarantine the fingerprint whose crashes are the least
// probable if it caused none of them, and whether there is any fingerprint to quarantine. It skips
// fingerprints that are quarantined or have no crash since their last quarantine. The lock must be
// held.
func (q *Quarantiner) mostSignificant(now time.Time, exits incarnationExits) (Decision, bool) {
	var found []Decision
	for fp, p := range q.suspects {
		if _, ok := q.quarantined[fp]; ok || len(p.crashes) < minCrashes || !p.lastActivity().After(p.quarantineEndedAt) {
			continue
		}
		if d := q.assess(now, fp, p, exits); d.Crashes >= minCrashes && d.Probability <= significanceLevel {
			found = append(found, d)
		}
	}
	if len(found) == 0 {
		return Decision{}, false
	}
	return slices.MinFunc(found, func(a, b Decision) int {
		return cmp.Or(cmp.Compare(a.Probability, b.Probability), cmp.Compare(a.Fingerprint, b.Fingerprint))
	}), true
}

// assess returns the decision to quarantine a fingerprint, with the number of its crashes that no
// other fingerprint or outage explains, and the estimated probability of these if the fingerprint
// caused none of them. Whether both justify a quarantine, mostSignificant checks. The lock must be
// held.
func (q *Quarantiner) assess(now time.Time, fp Fingerprint, p *suspect, exits incarnationExits) Decision {
	d := Decision{Fingerprint: fp, Probability: 1, Until: now.Add(QuarantineDuration)}
	var counted []*incarnationExit
	var lastExit time.Time
	minAge := minCrashAge
	if len(p.crashes) >= conclusiveCrashes {
		minAge = conclusiveMinCrashAge
	}
	for _, s := range p.crashes {
		e := exits.find(s.Crash)
		if s.age(now) < minAge || q.ranQuarantinedOther(fp, e) || slices.ContainsFunc(q.otherExplained, Exit{Incarnation: s.Incarnation, At: s.Ended}.IsSame) {
			continue
		}
		counted = append(counted, e)
		// Crashes of requests that ran at the same time may be due to one outage, so only the first
		// is included.
		if s.LastSent.Before(lastExit.Add(-timestampSlack)) || q.hasLikelierCause(fp, p, e) {
			continue
		}
		lastExit = s.Ended
		d.Crashes++
		d.Probability *= q.outageProbability(fp, s.Crash, exits)
	}
	if d.Crashes < conclusiveCrashes && q.isOutage(counted, exits) {
		d.Crashes = 0
	}
	return d
}

// isOutage reports whether the given exits of one fingerprint are probably due to an outage: they
// lie within maxOutageDuration, and at least half of all upstreams exited between the first and the
// last of them, or within coincidenceWindow before or after. The exits must be sorted by time.
func (q *Quarantiner) isOutage(counted []*incarnationExit, exits incarnationExits) bool {
	if len(counted) == 0 || counted[len(counted)-1].at.Sub(counted[0].at) > maxOutageDuration {
		return false
	}
	from, to := counted[0].at.Add(-coincidenceWindow), counted[len(counted)-1].at.Add(coincidenceWindow)
	exitCount := 0
	for _, e := range exits.all {
		if !e.at.Before(from) && !e.at.After(to) {
			exitCount++
		}
	}
	return 2*exitCount >= q.upstreamCount
}

// ranQuarantinedOther reports whether the incarnation that exited was also running another
// fingerprint, one that is quarantined and thus the probable cause. The lock must be held.
func (q *Quarantiner) ranQuarantinedOther(fp Fingerprint, e *incarnationExit) bool {
	for other := range e.running {
		if _, ok := q.quarantined[other]; ok && other != fp {
			return true
		}
	}
	return false
}

// outageProbability estimates the probability, from 0 to 1, that an incarnation exited at the time
// of the crash for another reason, such as an outage. The estimate is the fraction of all upstreams
// that exited within coincidenceWindow of the crash without running the fingerprint or another one
// that is quarantined, but at least minProbability and at most maxProbability.
func (q *Quarantiner) outageProbability(fp Fingerprint, crash Crash, exits incarnationExits) float64 {
	others := 0
	for _, e := range exits.all {
		if !e.hasFingerprint(fp) && e.at.Sub(crash.Ended).Abs() <= coincidenceWindow && !q.ranQuarantinedOther(fp, e) {
			others++
		}
	}
	return math.Min(maxProbability, math.Max(minProbability, float64(others)/float64(max(1, q.upstreamCount))))
}

// hasLikelierCause reports whether another fingerprint that ran on the incarnation is at least as
// likely a cause of the exit. That is so if the other one has at least as many crashes, unless this
// one has conclusiveCrashes, or if the other one has minSuspectCrashes and was sent later: a request
// that crashes an upstream does so soon after it starts, so the one sent last is likelier.
func (q *Quarantiner) hasLikelierCause(fp Fingerprint, p *suspect, e *incarnationExit) bool {
	for other, since := range e.running {
		if other == fp {
			continue
		}
		crashes := len(q.suspects[other].crashes)
		if crashes >= len(p.crashes) && len(p.crashes) < conclusiveCrashes {
			return true
		}
		if crashes >= minSuspectCrashes && since.Sub(e.running[fp]) > timestampSlack {
			return true
		}
	}
	return false
}

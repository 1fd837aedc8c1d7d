package quarantiner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minCrashes is under how many upstreams, one after the other, a content has to have been
	// when they ended.
	minCrashes = 3
	// conclusiveCrashes is from how many on it does not matter whether another content that was
	// there has as many, or whether an outage took half of all upstreams meanwhile.
	conclusiveCrashes = 4
	// settleDelay is how long after its end a strike is judged: all entries have told by then what
	// else ran there. With plainStrikes that matters less, and each repeat ends one more.
	settleDelay           = time.Second
	conclusiveSettleDelay = 300 * time.Millisecond
	// coincidenceWindow is how far apart upstreams end at most in one outage.
	coincidenceWindow = time.Second
	// maxOutageDuration is how long an outage takes upstreams at most.
	maxOutageDuration = 3 * time.Second
	// timestampSlack is by how much the times of two strikes may be wrong, as entries tell ages.
	timestampSlack = 50 * time.Millisecond
	// minProbability and mostChance bound how likely an upstream ends by itself while it works on a
	// request.
	minProbability, maxProbability = 0.05, 0.95
	// significanceLevel is how likely the ends of upstreams may be for a content that crashes nothing.
	significanceLevel = 1.0 / 300
)

// incarnationEnd is the end of an upstream's run, and since when it worked on which contents.
type incarnationEnd struct {
	at      time.Time
	running map[Fingerprint]time.Time
}

// hasFingerprint reports whether the run worked on a content.
func (e *incarnationEnd) hasFingerprint(fp Fingerprint) bool {
	_, ok := e.running[fp]
	return ok
}

// Evaluate forgets what is too old, and returns the contents that are refused from now on.
//
// A content that was merely there when upstreams ended is told from one that ends them by
// three things: that another, which is quarantined, was there too; that others ended at the same
// time without it, as in an outage; and that another that was there has as many strikes.
func (q *Quarantiner) Evaluate(now time.Time) []Decision {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.expire(now)
	if !q.needsEvaluation {
		return nil
	}
	ends := q.collectEnds()
	q.needsEvaluation = slices.ContainsFunc(ends.all, func(e *incarnationEnd) bool { return now.Sub(e.at) < settleDelay })
	var out []Decision
	for {
		d, ok := q.mostSignificant(now, ends)
		if !ok {
			return out
		}
		if !q.addQuarantine(now, d.Fingerprint, now) {
			return out // as many as may be are refused already
		}
		out = append(out, d)
	}
}

// incarnationEnds are the ends of all runs under which there was anything.
type incarnationEnds struct {
	all []*incarnationEnd
	// byIncarnation holds them by the name of the run.
	byIncarnation map[Incarnation][]*incarnationEnd
}

func (q *Quarantiner) collectEnds() incarnationEnds {
	ends := incarnationEnds{byIncarnation: map[Incarnation][]*incarnationEnd{}}
	for fp, p := range q.suspects {
		for _, s := range p.crashes {
			e := ends.find(s.Crash)
			if e == nil {
				e = &incarnationEnd{at: s.Ended, running: map[Fingerprint]time.Time{}}
				ends.all = append(ends.all, e)
				ends.byIncarnation[s.Incarnation] = append(ends.byIncarnation[s.Incarnation], e)
			}
			if since, ok := e.running[fp]; !ok || s.FirstSent.Before(since) {
				e.running[fp] = s.FirstSent
			}
		}
	}
	return ends
}

// find returns the end that a strike is of; nil where it is not among them.
func (e incarnationEnds) find(crash Crash) *incarnationEnd {
	for _, end := range e.byIncarnation[crash.Incarnation] {
		if crash.Ended.Sub(end.at).Abs() <= coincidenceWindow {
			return end
		}
	}
	return nil
}

// mostSignificant returns the content that is least likely to crash nothing, if any is unlikely enough.
func (q *Quarantiner) mostSignificant(now time.Time, ends incarnationEnds) (Decision, bool) {
	var found []Decision
	for fp, p := range q.suspects {
		if _, ok := q.quarantined[fp]; ok || len(p.crashes) < minCrashes || !p.lastActivity().After(p.releasedAt) {
			continue
		}
		if d := q.assess(now, fp, p, ends); d.Crashes >= minCrashes && d.Probability <= significanceLevel {
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

// assess returns how many ends of runs speak against a content, and how likely they are
// where it crashes nothing.
func (q *Quarantiner) assess(now time.Time, fp Fingerprint, p *suspect, ends incarnationEnds) Decision {
	d := Decision{Fingerprint: fp, Probability: 1, Until: now.Add(QuarantineDuration)}
	var counted []*incarnationEnd
	var lastEnded time.Time
	settle := settleDelay
	if len(p.crashes) >= conclusiveCrashes {
		settle = conclusiveSettleDelay
	}
	for _, s := range p.crashes {
		e := ends.find(s.Crash)
		if now.Sub(s.Ended) < settle || q.isExplained(fp, e) {
			continue
		}
		counted = append(counted, e)
		// Repeats that were under way at once met the same outage.
		if s.LastSent.Before(lastEnded.Add(-timestampSlack)) || q.hasRival(fp, p, e) {
			continue
		}
		lastEnded = s.Ended
		d.Crashes++
		d.Probability *= q.outageProbability(fp, s.Crash, ends)
	}
	if d.Crashes < conclusiveCrashes && q.isOutage(counted, ends) {
		d.Crashes = 0
	}
	return d
}

// isOutage reports whether half of all upstreams ended in the short time in which some runs did.
func (q *Quarantiner) isOutage(related []*incarnationEnd, ends incarnationEnds) bool {
	if len(related) == 0 || related[len(related)-1].at.Sub(related[0].at) > maxOutageDuration {
		return false
	}
	from, to := related[0].at.Add(-coincidenceWindow), related[len(related)-1].at.Add(coincidenceWindow)
	ended := 0
	for _, e := range ends.all {
		if !e.at.Before(from) && !e.at.After(to) {
			ended++
		}
	}
	return 2*ended >= q.upstreamCount
}

// isExplained reports whether another content that is quarantined was there when a run ended.
func (q *Quarantiner) isExplained(fp Fingerprint, e *incarnationEnd) bool {
	for other := range e.running {
		if _, ok := q.quarantined[other]; ok && other != fp {
			return true
		}
	}
	return false
}

// outageProbability is how likely a run ended by itself when it did: as part of an outage, which is
// known by the runs that ended at the same time without the content.
func (q *Quarantiner) outageProbability(fp Fingerprint, crash Crash, ends incarnationEnds) float64 {
	others := 0
	for _, e := range ends.all {
		if !e.hasFingerprint(fp) && e.at.Sub(crash.Ended).Abs() <= coincidenceWindow && !q.isExplained(fp, e) {
			others++
		}
	}
	return math.Min(maxProbability, math.Max(minProbability, float64(others)/float64(max(1, q.upstreamCount))))
}

// hasRival reports whether another content that was there explains the end of a run as well: one
// that has as many strikes as one that has few, or one with several that came there later. What ends
// a run does so as it begins.
func (q *Quarantiner) hasRival(fp Fingerprint, p *suspect, e *incarnationEnd) bool {
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

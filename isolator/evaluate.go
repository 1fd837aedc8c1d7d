package isolator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/quarantiner"
)

const (
	// minCrashes is the minimum number of crashes, one after the other, for which a part is quarantined.
	minCrashes = 3
	// minTrials is the number of these crashes by requests that were tried alone. None is needed where manyCrashes were
	// recorded, one after the other or not.
	minTrials   = 2
	manyCrashes = 5
	// evidenceTime is the time from the first crash of a part until the part can be quarantined: if it is sound,
	// requests with it have been answered by then and every entry knows it.
	evidenceTime = 2 * time.Second
	// minCrashAge is the age from which a crash counts: by then most entries have reported what else the
	// incarnation ran.
	minCrashAge = 300 * time.Millisecond
	// minProbability and maxProbability bound the estimated probability that an incarnation exits for a reason other
	// than the part.
	minProbability, maxProbability = 0.05, 0.95
	// significanceLevel is the maximum estimated probability of a part's crashes, assuming that it caused none of
	// them, at which the part is quarantined.
	significanceLevel = 1.0 / 300
	// maxDecisions is the maximum number of decisions that one call of Evaluate returns.
	maxDecisions = 64
)

// SourceOwn is the source of decisions that this entry made itself.
const SourceOwn = "own"

// Kind is the kind of a decision.
type Kind int

const (
	// Suspected means that requests with the part are tried one at a time.
	Suspected Kind = iota
	// Cleared means that a suspected part is not suspected any more.
	Cleared
	// Quarantined means that requests with all of the parts are refused.
	Quarantined
	// Released means that the parts no longer are quarantined.
	Released
)

// Decision is a change of what is believed of parts.
type Decision struct {
	Kind  Kind
	Parts []Part
	// Crashes is the number of crashes that led to the decision, and Probability the estimated probability, from 0
	// to 1, of these if the parts caused none of them; 0 where they do not apply.
	Crashes     int
	Probability float64
	// FirstCrash is when the first of the crashes happened.
	FirstCrash time.Time
	// Until is when a quarantine ends; zero in other decisions.
	Until time.Time
	// Source is SourceOwn, or the name of the entry that the decision was adopted from.
	Source string
}

// decide adds a decision to those that Evaluate returns. The lock must be held.
func (i *Isolator) decide(d Decision) {
	if len(i.decisions) < maxDecisions {
		i.decisions = append(i.decisions, d)
	}
}

// exit is the exit of an upstream incarnation.
type exit struct {
	incarnation quarantiner.IncarnationHash
	at          time.Time
	// isExplained is true if a part that is quarantined, or has minCrashes one after the other, was running.
	isExplained bool
	// running holds the parts that the incarnation ran, of each organisation and of all.
	running map[Part]bool
}

// parts returns the parts that the incarnation ran.
func (e *exit) parts() []Part {
	parts := make([]Part, 0, len(e.running))
	for p := range e.running {
		parts = append(parts, p)
	}
	return parts
}

// exits holds the exits of upstream incarnations that the recorded crashes report.
type exits struct {
	all           []*exit
	byIncarnation map[quarantiner.IncarnationHash][]*exit
}

// collectExits groups the recorded crashes by the exit that they report. The lock must be held.
func (i *Isolator) collectExits() exits {
	x := exits{byIncarnation: map[quarantiner.IncarnationHash][]*exit{}}
	for p, s := range i.suspects {
		for _, k := range s.crashes {
			e := x.find(k)
			if e == nil {
				e = &exit{incarnation: k.incarnation, at: k.ended, running: map[Part]bool{}}
				x.all = append(x.all, e)
				x.byIncarnation[k.incarnation] = append(x.byIncarnation[k.incarnation], e)
			}
			e.running[p] = true
		}
	}
	return x
}

// find returns the exit that a crash reports, or nil if it is not among them.
func (x exits) find(k knownCrash) *exit {
	for _, e := range x.byIncarnation[k.incarnation] {
		if k.ended.Sub(e.at).Abs() <= coincidenceWindow {
			return e
		}
	}
	return nil
}

// Evaluate drops expired state, decides which parts are suspected and which are quarantined, and returns all
// decisions since its last call.
func (i *Isolator) Evaluate(now time.Time) []Decision {
	i.lock.Lock()
	defer i.lock.Unlock()
	i.expire(now)
	if i.needsEvaluation {
		i.evaluate(now)
	}
	decisions := i.decisions
	i.decisions = nil
	return decisions
}

// evaluate judges the recorded crashes. The lock must be held.
func (i *Isolator) evaluate(now time.Time) {
	for _, s := range i.suspects {
		s.drop(func(k knownCrash) bool {
			return i.isExplainedByRequest(k, func(x quarantiner.Explanation) bool { return x.IsCertain })
		})
	}
	exits := i.collectExits()
	i.renewFailed(now, exits)
	for {
		for _, q := range i.quarantines {
			i.dropExplained(q, exits)
		}
		for _, e := range exits.all {
			e.isExplained = i.isExplained(e)
		}
		q, probability, found := i.mostSignificant(now, exits)
		if !found || !i.quarantine(q) {
			break
		}
		i.decide(Decision{Kind: Quarantined, Parts: q.parts, Crashes: q.crashes, Probability: probability, FirstCrash: q.firstCrash, Until: q.until, Source: SourceOwn})
	}
	i.needsEvaluation = false
	for p, s := range i.suspects {
		if s.sequential < minSuspectCrashes {
			continue
		}
		if now.Sub(s.lastCrash) < evidenceTime+minCrashAge+time.Second {
			i.needsEvaluation = true // it may be quarantined without a further crash
		}
		if !s.isSuspected && i.isJudged(p, s) && !i.popularity.isPopular(p) {
			s.isSuspected = true
			i.decide(Decision{Kind: Suspected, Parts: []Part{p}, Crashes: s.sequential, FirstCrash: s.crashes[0].ended, Source: SourceOwn})
		}
	}
}

// dropExplained removes the crashes that a quarantine explains from parts that are not in it. The lock must be held.
func (i *Isolator) dropExplained(q *quarantine, exits exits) {
	for _, e := range exits.all {
		if !q.isWithin(e.parts()) {
			continue
		}
		for p := range e.running {
			if slices.Contains(q.parts, p) || slices.Contains(q.parts, Part{ID: p.ID, Organisation: q.parts[0].Organisation}) {
				continue
			}
			delete(e.running, p)
			i.suspects[p].drop(func(k knownCrash) bool { return exits.find(k) == e })
		}
	}
}

// mostSignificant returns the quarantine with the most crashes that is justified, the estimated probability of these
// by chance, and whether there is any. The lock must be held.
func (i *Isolator) mostSignificant(now time.Time, exits exits) (best *quarantine, bestProbability float64, found bool) {
	if !i.popularity.isKnown() {
		return nil, 0, false
	}
	for p, s := range i.suspects {
		if s.sequential < minCrashes || !i.isJudged(p, s) || now.Sub(s.crashes[0].ended) < evidenceTime || !s.hasControl || !s.wasTried() || i.popularity.isPopular(p) {
			continue
		}
		crashes, probability := i.assess(now, p, s, exits)
		if crashes < minCrashes || probability > significanceLevel {
			continue
		}
		if found && cmp.Or(cmp.Compare(best.crashes, crashes), cmp.Compare(probability, bestProbability), p.compare(best.parts[0])) <= 0 {
			continue
		}
		companions := i.withCompanions(p, s, exits)
		if i.isQuarantined(companions...) {
			continue
		}
		found, bestProbability = true, probability
		best = &quarantine{parts: companions, firstCrash: s.crashes[0].ended, since: now, until: now.Add(durationAfter(0)), crashes: crashes}
	}
	return best, bestProbability, found
}

// isQuarantined reports whether requests with the given parts are refused whatever else they hold. The lock must be
// held.
func (i *Isolator) isQuarantined(parts ...Part) bool {
	for _, q := range i.quarantines {
		if q.isWithin(parts) {
			return true
		}
	}
	return false
}

// assess returns the number of a part's crashes, one after the other, that no other part explains better, and the
// estimated probability of these if the part caused none of them. Another part explains an exit better if more
// crashes, one after the other, are recorded for it, and a request as a whole if as many are. The lock must be held.
func (i *Isolator) assess(now time.Time, p Part, s *suspect, exits exits) (crashes int, probability float64) {
	probability = 1
	crashes = s.countSequential(func(k knownCrash) bool {
		e := exits.find(k)
		if now.Sub(k.ended) < minCrashAge || e == nil {
			return false
		}
		if i.isExplainedByRequest(k, func(x quarantiner.Explanation) bool { return x.Crashes >= s.sequential }) {
			return false
		}
		for other := range e.running {
			if o := i.suspects[other]; (other.Organisation == 0) == (p.Organisation == 0) && o.sequential > s.sequential {
				return false
			}
		}
		probability *= i.outageProbability(p, e, exits)
		return true
	})
	return crashes, probability
}

// outageProbability estimates the probability, from 0 to 1, that an incarnation exited for another reason, such as
// an outage: the fraction of all upstreams that exited within coincidenceWindow without running the part, or one that
// explains their exit, but at least minProbability and at most maxProbability.
func (i *Isolator) outageProbability(p Part, e *exit, exits exits) float64 {
	others := 0
	for _, o := range exits.all {
		if !o.running[p] && o.at.Sub(e.at).Abs() <= coincidenceWindow && !o.isExplained {
			others++
		}
	}
	return math.Min(maxProbability, math.Max(minProbability, float64(others)/float64(max(1, i.upstreamCount))))
}

// isExplained reports whether a part that is quarantined, or has minCrashes, was running at an exit.
func (i *Isolator) isExplained(e *exit) bool {
	for p := range e.running {
		if i.suspects[p].sequential >= minCrashes {
			return true
		}
	}
	return i.isQuarantined(e.parts()...)
}

// withCompanions returns a part and those parts of the same organisation that were running at each of its crashes,
// sorted. If there are too many, some are left out.
func (i *Isolator) withCompanions(p Part, s *suspect, exits exits) []Part {
	var parts []Part
	first := exits.find(s.crashes[0])
	for other := range first.running {
		isCompanion := other != p && other.Organisation == p.Organisation
		for _, k := range s.crashes {
			isCompanion = isCompanion && exits.find(k).running[other]
		}
		if isCompanion {
			parts = append(parts, other)
		}
	}
	slices.SortFunc(parts, Part.compare)
	parts = append(parts[:min(len(parts), maxQuarantineParts-1)], p)
	slices.SortFunc(parts, Part.compare)
	return parts
}

// ExplainedExits returns the exits of incarnations that ran all parts of a quarantine, which are their probable cause.
func (i *Isolator) ExplainedExits() []quarantiner.Exit {
	i.lock.Lock()
	defer i.lock.Unlock()
	if len(i.quarantines) == 0 {
		return nil
	}
	var explained []quarantiner.Exit
	for _, e := range i.collectExits().all {
		if i.isQuarantined(e.parts()...) {
			explained = append(explained, quarantiner.Exit{Incarnation: e.incarnation, At: e.at})
		}
	}
	return explained
}

// SetExplanations sets by which requests, as a whole, exits may be explained. An exit counts against no part if such a
// request is quarantined, and not against parts with no more crashes than the request.
func (i *Isolator) SetExplanations(explanations []quarantiner.Explanation) {
	byIncarnation := map[quarantiner.IncarnationHash][]quarantiner.Explanation{}
	for _, x := range explanations {
		byIncarnation[x.Incarnation] = append(byIncarnation[x.Incarnation], x)
	}
	i.lock.Lock()
	defer i.lock.Unlock()
	i.needsEvaluation = i.needsEvaluation || len(byIncarnation) != len(i.explanations)
	i.explanations = byIncarnation
}

// isExplainedByRequest reports whether a crash is one of those that requests, as a whole, may explain, with an
// explanation for which suffices returns true. The lock must be held.
func (i *Isolator) isExplainedByRequest(k knownCrash, suffices func(quarantiner.Explanation) bool) bool {
	return slices.ContainsFunc(i.explanations[k.incarnation], func(x quarantiner.Explanation) bool { return x.IsSame(k.exit()) && suffices(x) })
}

// quarantine adds a quarantine, and reports whether that was possible: if there are maxQuarantines, the oldest one
// is dropped for it. The lock must be held.
func (i *Isolator) quarantine(q *quarantine) bool {
	key := keyOf(q.parts)
	if _, ok := i.quarantines[key]; ok {
		return false
	}
	if len(i.quarantines) >= maxQuarantines {
		var oldest quarantineKey
		for k, o := range i.quarantines {
			if i.quarantines[oldest] == nil || o.since.Before(i.quarantines[oldest].since) {
				oldest = k
			}
		}
		if !q.since.After(i.quarantines[oldest].since) {
			return false
		}
		delete(i.quarantines, oldest)
	}
	for k, o := range i.quarantines {
		if q.isWithin(o.parts) {
			delete(i.quarantines, k) // q refuses all that it does
		}
	}
	i.quarantines[key] = q
	return true
}

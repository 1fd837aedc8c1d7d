// Package isolator finds parts of prompts that crash the upstreams that begin to answer them, and keeps requests
// with such parts away from upstreams. No two of these requests need be alike: what they share is the part.
//
// Entries send each other, with heartbeats, the crashes that they observe, with the parts of the prompts that may
// have caused them, and which of these parts an upstream has answered since. A part that was there at crashes one
// after the other and was never answered since the first of them is suspected: requests with it are tried one at a
// time, on an upstream with little other work. Once it is certain, such requests are refused for a
// while, at all entries, and then tried again in the same way. Parts that can't be told apart, because they were
// there together at each crash, are quarantined as a set: requests that hold only some of them are admitted.
//
// The package does no I/O. All state is bounded in size and expires.
package isolator

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/quarantiner"
)

// Crash is the exit of an upstream incarnation while it ran a request.
type Crash struct {
	// Parts are the parts of the request's prompt that other prompts may share, of the organisation that sent it.
	Parts       []Part
	Incarnation quarantiner.IncarnationHash
	// Tried is true if the request was tried alone because of suspected parts (see Trial.IsOfSuspects).
	Tried bool
	// Sent is when the request was sent to the incarnation, Ended when its response broke off.
	Sent, Ended time.Time
}

const (
	// SurvivalTime is the time for which an upstream must have sent events of a response to show that the parts of
	// the prompt do not crash it: a part that does so crashes it soon after the first event.
	SurvivalTime = time.Second
	// MinAnswerTime is the same time for a response that is complete.
	MinAnswerTime = 300 * time.Millisecond
	// trustTime is the time for which a part that has survived since the first crash of an episode is not blamed
	// for further crashes.
	trustTime = 1500 * time.Millisecond
	// episodeGap is the time without crashes of a part after which the next one begins a new episode.
	episodeGap = 10 * time.Second
	// crashTTL is the age at which a crash is dropped.
	crashTTL = 10 * time.Minute
	// coincidenceWindow is the maximum time between the times that two entries report for the same exit.
	coincidenceWindow = time.Second
	// timestampSlack is the assumed maximum error of the difference between two times of crashes. Entries send
	// each other ages, not times, so the time in transit shifts a received time.
	timestampSlack = 50 * time.Millisecond
	// maxSuspects is the maximum number of suspects, maxCrashesPerSuspect that of the crashes kept for each, and
	// maxQuarantines that of the quarantines.
	maxSuspects          = 1024
	maxCrashesPerSuspect = 16
	maxQuarantines       = 64
	// downTime is the time after the exit of an incarnation in which requests that are sent to it and break off show
	// nothing. While the store is unavailable, entries know the next incarnation by the same ID. maxExits is the
	// maximum number of exits kept.
	downTime = 10 * time.Second
	maxExits = 2048
)

// Isolator keeps the crashes and survivals that this entry observed or received from other entries, and the active
// quarantines. It is safe for concurrent use.
type Isolator struct {
	// lock guards all other fields.
	lock sync.Mutex
	// suspects holds the state of parts with a recent crash; at most maxSuspects.
	suspects map[Part]*suspect
	// quarantines holds the active quarantines by the key of their parts; at most maxQuarantines.
	quarantines map[quarantineKey]*quarantine
	// exitedAt holds the time of the recent exits of incarnations; at most maxExits.
	exitedAt map[quarantiner.IncarnationHash]time.Time
	// popularity counts parts in the recent requests of this entry.
	popularity popularity
	// interruptions holds recent crashes that were not confirmed.
	interruptions quarantiner.Interruptions[Crash]
	// explanations tell by which requests, as a whole, exits of incarnations may be explained.
	explanations map[quarantiner.IncarnationHash][]quarantiner.Explanation
	// upstreamCount is the number of upstreams of the whole deployment.
	upstreamCount int
	// name is the name of this entry, entries the names of all that accept callers.
	name    string
	entries []string
	// needsEvaluation is true if a crash was recorded since the last call of Evaluate, or was too young in it.
	needsEvaluation bool
	// decisions are the decisions since the last call of Evaluate; at most maxDecisions.
	decisions []Decision
}

// New returns an isolator without crashes or quarantines, for the entry with a name.
func New(name string) *Isolator {
	return &Isolator{name: name, suspects: map[Part]*suspect{}, exitedAt: map[quarantiner.IncarnationHash]time.Time{}, quarantines: map[quarantineKey]*quarantine{}}
}

// SetUpstreamCount sets the number of upstreams of the whole deployment.
func (i *Isolator) SetUpstreamCount(n int) {
	i.lock.Lock()
	defer i.lock.Unlock()
	i.upstreamCount = n
}

// SetEntries sets the names of the entries that accept callers. It keeps the slice.
func (i *Isolator) SetEntries(entries []string) {
	i.lock.Lock()
	defer i.lock.Unlock()
	i.entries = entries
}

// QuarantinedCount returns the number of quarantines.
func (i *Isolator) QuarantinedCount() int {
	i.lock.Lock()
	defer i.lock.Unlock()
	return len(i.quarantines)
}

// RecordRequest records the parts of a request that a caller sent to this entry.
func (i *Isolator) RecordRequest(parts []Part) {
	i.lock.Lock()
	defer i.lock.Unlock()
	i.popularity.add(parts)
}

// RecordCrash records a crash that this entry observed, and sends it to the other entries with the next
// heartbeats. It reports whether that was news.
func (i *Isolator) RecordCrash(now time.Time, crash Crash) bool {
	i.lock.Lock()
	defer i.lock.Unlock()
	return i.recordCrash(now, crash)
}

// recordCrash records a crash for each of its parts. The lock must be held.
func (i *Isolator) recordCrash(now time.Time, crash Crash) bool {
	isNew := false
	for _, p := range crash.Parts {
		isNew = i.recordPartCrash(now, p, crash) || isNew
	}
	return isNew
}

// recordPartCrash records a crash for a part of an organisation's prompts, and for the same part of all prompts. It
// reports whether that was news. The lock must be held.
func (i *Isolator) recordPartCrash(now time.Time, p Part, crash Crash) bool {
	if now.Sub(crash.Ended) > crashTTL || i.wasDown(crash) {
		return false
	}
	k := knownCrash{incarnation: crash.Incarnation, tried: crash.Tried, sent: crash.Sent, ended: crash.Ended, organisations: []uint32{p.Organisation}, broadcastsLeft: broadcastsPerItem, recordedAt: now}
	isNew := i.ensureSuspect(p).add(k)
	k.broadcastsLeft = 0 // it is derived from the one above
	i.ensureSuspect(p.ofAll()).add(k)
	i.needsEvaluation = i.needsEvaluation || isNew
	return isNew
}

// wasDown reports whether a request was sent to an incarnation that had exited before, and records the exit if it is
// the first. What listens at the address of a crashed upstream may close connections too, which shows nothing. The
// lock must be held.
func (i *Isolator) wasDown(crash Crash) bool {
	exited, ok := i.exitedAt[crash.Incarnation]
	if ok && crash.Ended.Sub(exited) < downTime {
		if crash.Ended.Before(exited) {
			i.exitedAt[crash.Incarnation] = crash.Ended
		}
		return crash.Sent.Sub(exited) > timestampSlack
	}
	if ok || len(i.exitedAt) < maxExits {
		i.exitedAt[crash.Incarnation] = crash.Ended
	}
	return false
}

// ensureSuspect returns the state of a part, and creates it if there is none. If there are maxSuspects already, it
// first evicts the part with the fewest crashes, and of several the one whose last crash is the oldest. The lock
// must be held.
func (i *Isolator) ensureSuspect(p Part) *suspect {
	if s, ok := i.suspects[p]; ok {
		return s
	}
	if len(i.suspects) >= maxSuspects {
		var evicted Part
		var fewest *suspect
		for key, s := range i.suspects {
			if fewest == nil || cmp.Or(cmp.Compare(len(s.crashes), len(fewest.crashes)), s.lastCrash.Compare(fewest.lastCrash), key.compare(evicted)) < 0 {
				evicted, fewest = key, s
			}
		}
		delete(i.suspects, evicted)
	}
	s := &suspect{}
	i.suspects[p] = s
	return s
}

// RecordSurvival records that an upstream answered a request with the given parts, or sent events of its response
// for at least SurvivalTime. Begun is when it began to send the response: crashes before were not due to the parts.
func (i *Isolator) RecordSurvival(now time.Time, parts []Part, begun time.Time) {
	i.lock.Lock()
	defer i.lock.Unlock()
	for _, p := range parts {
		i.recordSurvival(now, p, begun)
	}
	if len(parts) == 0 {
		return // perhaps of another service
	}
	for p, s := range i.suspects {
		if len(s.crashes) > 0 && begun.After(s.crashes[0].ended) && !containsPart(parts, p) {
			s.hasControl = true
		}
	}
}

// recordSurvival records the survival of a part of an organisation's prompts, which clears the same part of all
// prompts too. The lock must be held.
func (i *Isolator) recordSurvival(now time.Time, p Part, begun time.Time) {
	for _, part := range []Part{p, p.ofAll()} {
		s, ok := i.suspects[part]
		if !ok {
			continue
		}
		wasSuspected := s.isSuspected
		if !s.survive(begun) {
			continue
		}
		if wasSuspected && !s.isSuspected {
			i.decide(Decision{Kind: Cleared, Parts: []Part{part}, FirstCrash: s.firstCrash, Source: SourceOwn})
		}
		i.clear(now, part, begun)
	}
}

// HasCrashed reports whether there was a recent crash by one of the parts, so that survivals of them matter.
func (i *Isolator) HasCrashed(now time.Time, parts []Part) bool {
	i.lock.Lock()
	defer i.lock.Unlock()
	return slices.ContainsFunc(parts, func(p Part) bool {
		s, ok := i.suspects[p]
		return ok && now.Sub(s.lastCrash) <= suspicionTime
	})
}

// RecordInterruption records that the response to a request broke off, which may be a crash. ConfirmExit decides; a
// crash that is certain is recorded with RecordCrash.
func (i *Isolator) RecordInterruption(now time.Time, possible Crash) {
	i.lock.Lock()
	defer i.lock.Unlock()
	i.interruptions.Add(now, possible.Incarnation, possible.Ended, possible)
}

// ConfirmExit records the recent interruptions of an incarnation as crashes, since its upstream runs as another
// incarnation now, and returns them.
func (i *Isolator) ConfirmExit(now time.Time, incarnation quarantiner.IncarnationHash) []Crash {
	i.lock.Lock()
	defer i.lock.Unlock()
	confirmed := i.interruptions.Take(now, incarnation)
	for _, c := range confirmed {
		i.recordCrash(now, c)
	}
	return confirmed
}

// ForgetInterruptions drops the interruptions since a time, as when it turns out that the links of this entry were
// at fault.
func (i *Isolator) ForgetInterruptions(since time.Time) {
	i.lock.Lock()
	defer i.lock.Unlock()
	i.interruptions.Forget(since)
}

// expire drops crashes older than crashTTL, suspects without a recent crash, and quarantines that no request has
// tested for halfOpenTTL after their end. The lock must be held.
func (i *Isolator) expire(now time.Time) {
	for p, s := range i.suspects {
		s.drop(func(k knownCrash) bool { return now.Sub(k.ended) > crashTTL })
		if now.Sub(s.lastCrash) > crashTTL && !now.Before(s.trialUntil) {
			delete(i.suspects, p)
		}
	}
	maps.DeleteFunc(i.exitedAt, func(_ quarantiner.IncarnationHash, at time.Time) bool { return now.Sub(at) > downTime })
	for key, q := range i.quarantines {
		if now.Sub(q.until) > halfOpenTTL {
			delete(i.quarantines, key)
			i.decide(Decision{Kind: Released, Parts: q.parts, FirstCrash: q.firstCrash, Source: SourceOwn})
		}
	}
}

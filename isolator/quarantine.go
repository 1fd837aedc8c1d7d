package isolator

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// quarantineDuration is the duration of a part's first quarantine. Each one that follows a failed trial lasts
	// twice as long as the one before, up to maxQuarantineDuration.
	quarantineDuration    = time.Minute
	maxQuarantineDuration = 5 * time.Minute
	// halfOpenTTL is the time after the end of a quarantine at which it is dropped if no request has tested it.
	halfOpenTTL = 10 * time.Minute
	// maxQuarantineParts is the maximum number of parts in a quarantine.
	maxQuarantineParts = 8
)

// quarantineKey identifies the set of parts of a quarantine: a hash of them.
type quarantineKey uint64

// keyOf returns the key of sorted parts.
func keyOf(parts []Part) quarantineKey {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(nil, p.ID), p.Organisation)) // never fails
	}
	return quarantineKey(h.Sum64())
}

// quarantine is the refusal of requests that hold all of some parts. From its end on it is half-open: requests are
// tried one at a time until one shows whether the parts still crash upstreams.
type quarantine struct {
	// parts is sorted and not empty; at most maxQuarantineParts.
	parts []Part
	// firstCrash is the time of the first crash that led to the quarantine, since when it began last, and until
	// when it ends.
	firstCrash, since, until time.Time
	// renewals is the number of failed trials after which it began again.
	renewals int
	// crashes is the number of crashes that led to it, for the log.
	crashes int
	// trialUntil is when another request may be tried; at most the end of the trial in progress.
	trialUntil time.Time
}

// durationAfter returns the duration of a quarantine after a number of renewals.
func durationAfter(renewals int) time.Duration {
	return min(maxQuarantineDuration, quarantineDuration<<min(renewals, 8))
}

// isWithin reports whether all parts of the quarantine are among the given ones, or among those of all prompts with
// the same IDs.
func (q *quarantine) isWithin(parts []Part) bool {
	for _, p := range q.parts {
		if !containsPart(parts, p) {
			return false
		}
	}
	return true
}

// containsPart reports whether the parts of a prompt contain a part of its organisation's prompts, or of all.
func containsPart(parts []Part, p Part) bool {
	return slices.ContainsFunc(parts, func(o Part) bool { return o == p || o.ofAll() == p })
}

// clear removes a part that has survived, in a response begun at a time, from the quarantines that followed crashes
// before that time. A quarantine without other parts ends. The lock must be held.
func (i *Isolator) clear(now time.Time, survivor Part, begun time.Time) {
	for key, q := range i.quarantines {
		if !slices.Contains(q.parts, survivor) || !begun.After(q.firstCrash) || now.Sub(q.until) > halfOpenTTL {
			continue
		}
		delete(i.quarantines, key)
		i.decide(Decision{Kind: Released, Parts: []Part{survivor}, FirstCrash: q.firstCrash, Source: SourceOwn})
		q.parts = slices.DeleteFunc(slices.Clone(q.parts), func(p Part) bool { return p == survivor })
		if len(q.parts) > 0 {
			i.quarantines[keyOf(q.parts)] = q
		}
	}
}

// renewFailed begins those quarantines again whose parts were there at a crash after their end. The lock must be
// held.
func (i *Isolator) renewFailed(now time.Time, exits exits) {
	for _, q := range i.quarantines {
		if now.Before(q.until) {
			continue
		}
		for _, e := range exits.all {
			if e.at.After(q.until) && q.isWithin(e.parts()) {
				q.renewals++
				q.since, q.until = now, now.Add(durationAfter(q.renewals))
				i.decide(Decision{Kind: Quarantined, Parts: q.parts, Crashes: 1, FirstCrash: q.firstCrash, Until: q.until, Source: SourceOwn})
				break
			}
		}
	}
}

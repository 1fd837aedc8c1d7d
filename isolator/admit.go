package isolator

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/assigner"
)

const (
	// suspectRetry is the Retry-After of requests with a suspected part: about the time after which it is known
	// whether the part survives.
	suspectRetry = 500 * time.Millisecond
	// halfOpenRetry is the Retry-After of requests with parts whose quarantine has ended while another request
	// is tried.
	halfOpenRetry = 2 * time.Second
	// suspicionTime is the time after its last crash for which a part is suspected. The next crash after that counts
	// with those before.
	suspicionTime = 5 * time.Second
	// suspectSlot and halfOpenSlot are the times after which the next entry may try requests with a suspected part,
	// or with parts whose quarantine has ended: longer than it takes to learn of a crash.
	suspectSlot  = 500 * time.Millisecond
	halfOpenSlot = 5 * time.Second
	// concurrentTriers is the number of entries that may try requests at a time, after the first slot.
	concurrentTriers = 2
	// maxTrialTime is the time after which a trial that has not ended no longer prevents another.
	maxTrialTime = 10 * time.Second
	// confirmTime is the time after a trial that broke off in which the crash becomes known.
	confirmTime = time.Second
)

// Refusal explains why a request is not admitted.
type Refusal struct {
	// Parts are the parts of the request that may crash upstreams.
	Parts []Part
	// IsCertain is true if the parts are quarantined, false if they are suspected or their quarantine has ended.
	IsCertain bool
	// IsPrecaution is true if the parts are not even suspected: another request with them is tried first, as the
	// responses to both broke off.
	IsPrecaution bool
	// Crashes is the number of crashes for which the parts are quarantined or suspected, FirstCrash the time of the first.
	Crashes    int
	FirstCrash time.Time
	// RetryAfter is the time after which the request may be admitted.
	RetryAfter time.Duration
}

// Trial is the admission of a request whose parts may crash upstreams. It must be ended with End.
type Trial struct {
	isolator *Isolator
	// Parts are the parts that may crash upstreams.
	Parts []Part
	// IsOfSuspects is true if parts are suspected or their quarantine has ended, false if only a response to the request
	// broke off before.
	IsOfSuspects bool
	// suspects and quarantines are those that the trial tests.
	suspects    []*suspect
	quarantines []*quarantine
}

// Admit decides whether a request with the given parts may be sent to an upstream now; isRetry is true if a response
// to it broke off before. Admit returns a refusal, or else a trial if the request may crash its upstream, nil if it is
// sent like any other.
func (i *Isolator) Admit(now time.Time, parts []Part, isRetry bool) (*Trial, *Refusal) {
	if len(parts) == 0 {
		return nil, nil
	}
	i.lock.Lock()
	defer i.lock.Unlock()
	t := &Trial{isolator: i}
	for _, q := range i.quarantines {
		if !q.isWithin(parts) {
			continue
		}
		if now.Before(q.until) {
			return nil, &Refusal{Parts: q.parts, IsCertain: true, Crashes: q.crashes, FirstCrash: q.firstCrash, RetryAfter: q.until.Sub(now)}
		}
		if now.Before(q.trialUntil) || !i.mayTry(now, q.parts[0], q.until, halfOpenSlot) {
			return nil, &Refusal{Parts: q.parts, Crashes: q.crashes, FirstCrash: q.firstCrash, RetryAfter: halfOpenRetry}
		}
		t.quarantines, t.Parts = append(t.quarantines, q), append(t.Parts, q.parts...)
	}
	if refusal := i.admitSuspects(now, parts, t); refusal != nil {
		return nil, refusal
	}
	t.IsOfSuspects = len(t.Parts) > 0
	if isRetry {
		if refusal := i.admitRetry(now, parts, t); refusal != nil {
			return nil, refusal
		}
	}
	if len(t.Parts) == 0 {
		return nil, nil
	}
	t.setUntil(now.Add(maxTrialTime))
	return t, nil
}

// admitSuspects adds the suspected ones of the parts to the trial t, or returns a refusal if the request may not be
// tried now. The suspect with the most crashes decides which entries may try the request. The lock must be held.
func (i *Isolator) admitSuspects(now time.Time, parts []Part, t *Trial) *Refusal {
	var strongest Part
	var of *suspect
	for _, p := range parts {
		for _, part := range []Part{p, p.ofAll()} {
			s, ok := i.suspects[part]
			isSuspect := ok && s.sequential >= minSuspectCrashes && now.Sub(s.lastCrash) <= suspicionTime && i.isJudged(part, s)
			if !isSuspect || i.popularity.isPopular(p) || slices.Contains(t.Parts, part) {
				continue
			}
			isDecided := s.sequential >= minCrashes && s.wasTried() && now.Sub(s.crashes[0].ended) < evidenceTime
			if isDecided || now.Before(s.trialUntil) {
				return refuseSuspect(part, s)
			}
			if of == nil || cmp.Or(cmp.Compare(s.sequential, of.sequential), strongest.compare(part)) > 0 {
				strongest, of = part, s
			}
			t.suspects, t.Parts = append(t.suspects, s), append(t.Parts, part)
		}
	}
	if of != nil && !i.mayTry(now, strongest, of.lastCrash, suspectSlot) {
		return refuseSuspect(strongest, of)
	}
	return nil
}

// refuseSuspect returns the refusal of a request with a suspected part.
func refuseSuspect(p Part, s *suspect) *Refusal {
	return &Refusal{Parts: []Part{p}, Crashes: s.sequential, FirstCrash: s.crashes[0].ended, RetryAfter: suspectRetry}
}

// admitRetry lets this entry send requests with a part one after the other, after a response to each broke off: it
// is not yet known whether an upstream has crashed. Parts that have survived since are left out. It adds the others to
// the trial t or returns a refusal. The lock must be held.
func (i *Isolator) admitRetry(now time.Time, parts []Part, t *Trial) *Refusal {
	for _, p := range parts {
		if slices.Contains(t.Parts, p) || i.popularity.isPopular(p) {
			continue
		}
		s := i.ensureSuspect(p)
		if s.sequential == 0 && !s.lastSurvival.IsZero() {
			continue
		}
		if now.Before(s.trialUntil) {
			return &Refusal{Parts: []Part{p}, IsPrecaution: true, FirstCrash: now, RetryAfter: suspectRetry}
		}
		t.suspects, t.Parts = append(t.suspects, s), append(t.Parts, p)
	}
	return nil
}

// mayTry reports whether this entry may try requests with a part that may crash upstreams, where trials were allowed
// since a time. The entries that accept callers may do so in turn, concurrentTriers at a time and for as many slots
// each, in an order on which all agree that know the same entries. The lock must be held.
func (i *Isolator) mayTry(now time.Time, p Part, since time.Time, slotTime time.Duration) bool {
	key, before := p.String(), 0
	own := assigner.Weight(i.name, key)
	for _, name := range i.entries {
		if name != i.name && assigner.Weight(name, key) > own {
			before++
		}
	}
	slot := int(now.Sub(since) / slotTime)
	return slot >= before && (slot-before)%max(1, len(i.entries)) < concurrentTriers
}

// setUntil sets when another request with the parts of the trial may be tried. The lock must be held.
func (t *Trial) setUntil(until time.Time) {
	for _, s := range t.suspects {
		s.trialUntil = until
	}
	for _, q := range t.quarantines {
		q.trialUntil = until
	}
}

// End ends a trial. IsBroken is true if the response broke off: the next trial then waits until it is known whether
// the upstream has crashed.
func (t *Trial) End(now time.Time, isBroken bool) {
	t.isolator.lock.Lock()
	defer t.isolator.lock.Unlock()
	if isBroken {
		now = now.Add(confirmTime)
	}
	t.setUntil(now)
}

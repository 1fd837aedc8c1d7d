// Package lister decides which instance list an entry uses. The platform's list
// has no revision, so lists are compared by the time since the platform last
// confirmed them. An entry that reaches the platform uses the list it reads there.
// One that does not uses the most recently confirmed list among its peers.
package lister

import (
	"time"

	"github.com/sapphireramp/sapphireramp/validator"
)

// neverConfirmed is the age of a missing list.
const neverConfirmed = time.Duration(-1)

// minAgeGain is how much younger than the own list a peer's list has to be to replace it.
const minAgeGain = 2 * time.Second

// Lister holds the instance list in use. It is not safe for concurrent use.
type Lister struct {
	// staleAfter is the age above which a peer's list may replace this one.
	staleAfter time.Duration
	// data is the list as the platform encoded it, nil if there is none.
	data   []byte
	digest string
	// confirmedAt is when the platform last confirmed the list, to this entry or to
	// the peer that it came from; zero if there is no list.
	confirmedAt time.Time
}

// New returns a Lister without a list. A list is stale if the platform has not confirmed it
// for staleAfter.
func New(staleAfter time.Duration) *Lister {
	return &Lister{staleAfter: staleAfter}
}

// Current returns the list in use as the platform encoded it; nil if there is none. The bytes
// must not be modified.
func (l *Lister) Current() []byte { return l.data }

// Digest returns the digest of the list in use; empty if there is none.
func (l *Lister) Digest() string { return l.digest }

// Age returns the time since the platform last confirmed the list in use; negative if there is
// none.
func (l *Lister) Age(now time.Time) time.Duration {
	if l.data == nil {
		return neverConfirmed
	}
	return max(0, now.Sub(l.confirmedAt))
}

// ShouldFetch reports whether a peer's list with a digest is worth fetching, given the time
// since the platform confirmed it to the peer; negative if it never did.
func (l *Lister) ShouldFetch(now time.Time, digest string, age time.Duration) bool {
	if age < 0 || digest == "" {
		return false
	}
	if l.data == nil {
		return true
	}
	return l.Age(now) > l.staleAfter && age+minAgeGain < l.Age(now)
}

// Offer replaces the list in use by data if that is preferable, and reports whether the list
// has changed. Age is the time since the platform confirmed data: 0 if this entry has just
// read it there, negative if it never did. With an age of 0, nil data confirms that the list in
// use is unchanged.
func (l *Lister) Offer(now time.Time, data []byte, age time.Duration) bool {
	if age < 0 {
		return false
	}
	if data == nil {
		if l.data != nil && age == 0 {
			l.confirmedAt = now
		}
		return false
	}
	digest := validator.Digest(data)
	if age > 0 && !l.ShouldFetch(now, digest, age) {
		return false
	}
	l.confirmedAt = now.Add(-age)
	if digest == l.digest {
		return false
	}
	l.data, l.digest = data, digest
	return true
}

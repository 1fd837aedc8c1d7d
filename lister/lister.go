// Package lister decides which instance list an entry goes by. The platform's
// list carries no revision, so lists are told apart by how long ago the
// platform last confirmed them to whoever has them: an entry that reaches the
// platform goes by what it reads, and one that can't goes by the freshest list
// among its peers.
package lister

import (
	"time"

	"github.com/sapphireramp/sapphireramp/validator"
)

// neverConfirmed is the age of a list that the platform has not confirmed.
const neverConfirmed = time.Duration(-1)

// minAgeGain is how much fresher a peer's list has to be to be worth taking.
const minAgeGain = 2 * time.Second

// Lister holds the list. It is not safe for concurrent use.
type Lister struct {
	// staleAfter is the age from which a peer's list may be taken instead.
	staleAfter time.Duration
	data       []byte
	digest     string
	// confirmedAt is when the platform last confirmed data, to this entry or
	// to the peer that it came from; zero when there is no list.
	confirmedAt time.Time
}

// New returns a lister without a list, for which a list is old when the
// platform has not confirmed it for the time given.
func New(staleAfter time.Duration) *Lister {
	return &Lister{staleAfter: staleAfter}
}

// Current is the list's bytes, nil when there is none. They are not to be
// changed.
func (l *Lister) Current() []byte { return l.data }

// Digest names the list, empty when there is none.
func (l *Lister) Digest() string { return l.digest }

// Age is how long ago the platform confirmed the list, negative when there is
// none.
func (l *Lister) Age(now time.Time) time.Duration {
	if l.data == nil {
		return neverConfirmed
	}
	return max(0, now.Sub(l.confirmedAt))
}

// ShouldFetch reports whether a peer's list, confirmed to it age ago, is worth
// fetching.
func (l *Lister) ShouldFetch(now time.Time, digest string, age time.Duration) bool {
	if age < 0 || digest == "" {
		return false
	}
	if l.data == nil {
		return true
	}
	return l.Age(now) > l.staleAfter && age+minAgeGain < l.Age(now)
}

// Offer considers a list that the platform confirmed age ago: 0 for one that
// it gives this entry now. Data is nil where the platform says that nothing
// has changed. It reports whether the list in use is now another.
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

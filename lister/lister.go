// Package lister decides which instance list an entry uses. The platform's list
// has no revision, so lists are compared by the time since the platform last
// confirmed them. An entry that reaches the platform uses the list it reads there.
// Any other entry uses the most recently confirmed list of its peers.
package lister

import (
	"time"

	"github.com/sapphireramp/sapphireramp/validator"
)

// neverConfirmed is the result of ConfirmationAge if there is no list.
const neverConfirmed = time.Duration(-1)

// minAgeDifference is by how much a peer's list must have been confirmed more recently than the list
// in use to replace it.
const minAgeDifference = 2 * time.Second

// Lister holds the instance list in use. It is not safe for concurrent use.
type Lister struct {
	// After staleAfter without a confirmation by the platform, a peer's list may replace the
	// list in use.
	staleAfter time.Duration
	// data is the list as the platform encoded it, nil if there is none.
	data []byte
	// digest is validator.Digest of data, empty if there is no list.
	digest string
	// confirmedAt is when the platform last confirmed the list, to this entry or to
	// the peer that it came from; zero if there is no list.
	confirmedAt time.Time
}

// New returns a Lister without a list. A peer's list may replace the list in use only if the
// platform has not confirmed the list in use for staleAfter.
func New(staleAfter time.Duration) *Lister {
	return &Lister{staleAfter: staleAfter}
}

// Current returns the list in use as the platform encoded it; nil if there is none. The bytes
// must not be modified.
func (l *Lister) Current() []byte { return l.data }

// Digest returns validator.Digest of the list in use; empty if there is none.
func (l *Lister) Digest() string { return l.digest }

// ConfirmationAge returns the time since the platform last confirmed the list in use; negative if
// there is no list.
func (l *Lister) ConfirmationAge(now time.Time) time.Duration {
	if l.data == nil {
		return neverConfirmed
	}
	return max(0, now.Sub(l.confirmedAt))
}

// ShouldFetch reports whether a peer's list is to replace the list in use: there is none in use, or
// the platform has not confirmed the one in use for staleAfter and has confirmed the peer's more
// recently, by more than minAgeDifference. Digest is the digest of the peer's list, empty if it has
// none. Age is the time since the platform last confirmed the peer's list, negative if it never did.
func (l *Lister) ShouldFetch(now time.Time, digest string, age time.Duration) bool {
	if age < 0 || digest == "" {
		return false
	}
	if l.data == nil {
		return true
	}
	return l.ConfirmationAge(now) > l.staleAfter && age+minAgeDifference < l.ConfirmationAge(now)
}

// Offer replaces the list in use by data if age is 0 or ShouldFetch returns true for data, and
// reports whether the list has changed. Age is the time since the platform confirmed data: 0 if
// this entry has just read data there, negative if the platform never did. Nil data with an age of
// 0 means that the platform has just confirmed the list in use.
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

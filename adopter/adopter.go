// Package adopter decides which configuration document is in force at one
// instance. Documents arrive from the configuration service and from peers in
// any order, late, twice or damaged; the adopter keeps the greatest valid one
// in the total order of validator.Version and never goes back.
package adopter

import (
	"strings"
	"time"

	"github.com/sapphireramp/sapphireramp/validator"
)

// maxDigests bounds the digests remembered as refused or superseded.
const maxDigests = 64

// OfferStatus says what became of an offered document.
type OfferStatus int

// The verdicts.
const (
	// Adopted: the document is now in force.
	Adopted OfferStatus = iota
	// Same: the document was in force already.
	Same
	// Older: a greater document is in force.
	Older
	// Superseded: the document has the revision in force but lost the tie.
	Superseded
	// Refused: the document is not valid.
	Refused
)

var statusNames = [...]string{"Adopted", "Same", "Older", "Superseded", "Refused"}

func (v OfferStatus) String() string { return statusNames[v] }

// Result is the outcome of an offer.
type Result struct {
	Status  OfferStatus
	Version validator.Version
	// LoserDigest is the digest of a document of the same revision that lost to
	// another, empty otherwise. Its publisher has to be told.
	LoserDigest string
	// Err says why the document was refused.
	Err error
	// AdoptedAt is when the document in force came into force.
	AdoptedAt time.Time
}

// Adopter holds the document in force. It is not safe for concurrent use.
type Adopter struct {
	// current never goes back in the order of its Version.
	current   *validator.Accepted
	adoptedAt time.Time
	// refused maps digests of invalid documents to the reason.
	refused map[string]error
	// superseded lists losers of ties, oldest first.
	superseded []string
	// untriedSources are the sources that have yet to answer or fail before this
	// instance may take traffic.
	untriedSources map[string]bool
}

// New returns an adopter with no document in force that waits for the named
// sources to be asked once.
func New(sources ...string) *Adopter {
	a := &Adopter{refused: map[string]error{}, untriedSources: map[string]bool{}}
	for _, s := range sources {
		a.untriedSources[s] = true
	}
	return a
}

// MarkSourceTried notes that a source has answered, or could not be reached in time.
func (a *Adopter) MarkSourceTried(source string) {
	delete(a.untriedSources, source)
}

// IsReady reports whether a document is in force and every source was asked.
func (a *Adopter) IsReady() bool {
	return a.current != nil && len(a.untriedSources) == 0
}

// Current returns the document in force, or nil.
func (a *Adopter) Current() *validator.Accepted { return a.current }

// Version returns the version in force, zero when there is none.
func (a *Adopter) Version() validator.Version {
	if a.current == nil {
		return validator.Version{}
	}
	return a.current.Version
}

// SupersededDigests lists the digests of documents that lost a tie, oldest first.
func (a *Adopter) SupersededDigests() []string {
	return append([]string(nil), a.superseded...)
}

// ShouldFetch reports whether a peer's version, whose digest may be shortened, is
// worth fetching.
func (a *Adopter) ShouldFetch(v validator.Version) bool {
	for digest := range a.refused {
		if v.Digest != "" && strings.HasPrefix(digest, v.Digest) {
			return false
		}
	}
	own := a.Version()
	own.Digest = own.Digest[:min(len(own.Digest), len(v.Digest))]
	return own.Less(v)
}

// Offer considers a document's bytes.
func (a *Adopter) Offer(now time.Time, data []byte) Result {
	digest := validator.Digest(data)
	if result, seen := a.KnownResult(digest); seen {
		return result
	}
	offered, err := validator.Parse(data)
	return a.OfferParsed(now, digest, offered, err)
}

// KnownResult answers for a document that is in force or was refused before, so that
// it need not be parsed again.
func (a *Adopter) KnownResult(digest string) (Result, bool) {
	if a.current != nil && digest == a.current.Version.Digest {
		return Result{Status: Same, Version: a.current.Version, AdoptedAt: a.adoptedAt}, true
	}
	if err, refused := a.refused[digest]; refused {
		return Result{Status: Refused, Version: validator.Version{Digest: digest}, Err: err}, true
	}
	return Result{}, false
}

// OfferParsed considers a document that was parsed already, away from the goroutine
// that owns the adopter; err is why it is not valid, or nil.
func (a *Adopter) OfferParsed(now time.Time, digest string, offered *validator.Accepted, err error) Result {
	if err != nil {
		a.recordRefused(digest, err)
		return Result{Status: Refused, Version: validator.Version{Digest: digest}, Err: err}
	}
	old := a.Version()
	tied := a.current != nil && old.Revision == offered.Version.Revision && old.Digest != offered.Version.Digest
	result := Result{Version: offered.Version, AdoptedAt: a.adoptedAt}
	switch {
	case old == offered.Version:
		result.Status = Same
	case old.Less(offered.Version):
		a.current, a.adoptedAt = offered, now
		result.Status, result.AdoptedAt = Adopted, now
		if tied {
			result.LoserDigest = old.Digest
		}
	case tied:
		result.Status, result.LoserDigest = Superseded, offered.Version.Digest
	default:
		result.Status = Older
	}
	a.recordSuperseded(result.LoserDigest)
	return result
}

func (a *Adopter) recordRefused(digest string, err error) {
	if len(a.refused) >= maxDigests {
		clear(a.refused)
	}
	a.refused[digest] = err
}

func (a *Adopter) recordSuperseded(loser string) {
	if loser == "" {
		return
	}
	for _, d := range a.superseded {
		if d == loser {
			return
		}
	}
	a.superseded = append(a.superseded, loser)
	if len(a.superseded) > maxDigests {
		a.superseded = a.superseded[1:]
	}
}

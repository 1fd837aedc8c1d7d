// Package adopter decides which configuration document is in force at an instance. Documents arrive
// from the configuration service and from peers in any order, late, repeated or damaged. The
// adopter puts the valid document with the greatest validator.DocumentVersion into force and never
// replaces it by a lesser one.
package adopter

import (
	"strings"
	"time"

	"github.com/sapphireramp/sapphireramp/validator"
)

// maxDigests is the maximum number of digests of refused documents that are kept, and that of
// digests of superseded documents.
const maxDigests = 64

// OfferStatus says what the adopter did with an offered document.
type OfferStatus int

// The possible statuses of an offered document.
const (
	// Adopted means that the document is now in force.
	Adopted OfferStatus = iota
	// Same means that the document was already in force.
	Same
	// Older means that a document with a greater revision is in force.
	Older
	// Superseded means that a document with the same revision and a greater digest is in force.
	Superseded
	// Refused means that the document is invalid.
	Refused
)

var statusNames = [...]string{"Adopted", "Same", "Older", "Superseded", "Refused"}

func (s OfferStatus) String() string { return statusNames[s] }

// Result says what became of an offered document.
type Result struct {
	Status OfferStatus
	// Version is the version of the offered document. Its Revision is 0 if the document is invalid.
	Version validator.DocumentVersion
	// SupersededDigest is set if the offered document and the one in force before have the same
	// revision and different digests. It is the lower of the two digests; the publisher of that
	// document must be informed that it is not in force.
	SupersededDigest string
	// Err says why the document is invalid; nil if it is valid.
	Err error
	// AdoptedAt is the time at which the document now in force was adopted. It is zero if the
	// offered document is invalid.
	AdoptedAt time.Time
}

// Adopter holds the configuration document in force at an instance. It is not safe for concurrent
// use.
type Adopter struct {
	// current is the document in force, nil if there is none. Its Version never decreases.
	current   *validator.ValidDocument
	adoptedAt time.Time
	// refused holds the errors of invalid documents by the digest of the document.
	refused map[string]error
	// superseded holds the digests that SupersededDigests returns, oldest first.
	superseded []string
	// untriedSources is the set of sources of documents that have neither replied nor failed yet.
	// The instance accepts no requests before the set is empty.
	untriedSources map[string]bool
}

// New returns an adopter with no document in force. IsReady returns false until MarkSourceTried has
// been called for each of the named sources.
func New(sources ...string) *Adopter {
	a := &Adopter{refused: map[string]error{}, untriedSources: map[string]bool{}}
	for _, s := range sources {
		a.untriedSources[s] = true
	}
	return a
}

// MarkSourceTried records that a source of documents has replied, or could not be reached in time.
// Names that New was not given have no effect.
func (a *Adopter) MarkSourceTried(source string) {
	delete(a.untriedSources, source)
}

// IsReady reports whether a document is in force and every source has been tried.
func (a *Adopter) IsReady() bool {
	return a.current != nil && len(a.untriedSources) == 0
}

// Current returns the document in force, nil if there is none.
func (a *Adopter) Current() *validator.ValidDocument { return a.current }

// Version returns the version of the document in force, the zero version if there is none.
func (a *Adopter) Version() validator.DocumentVersion {
	if a.current == nil {
		return validator.DocumentVersion{}
	}
	return a.current.Version
}

// SupersededDigests returns the digests of superseded documents, oldest first: those that a
// document with the same revision and a greater digest replaced or kept out of force. At most the
// last maxDigests are kept.
func (a *Adopter) SupersededDigests() []string {
	return append([]string(nil), a.superseded...)
}

// ShouldFetch reports whether a peer's document with the version v should be fetched: v is greater
// than the version in force, and no document with v's digest was refused before. The digest of v
// may be shortened; it is then compared with equally many digits of the other digests.
func (a *Adopter) ShouldFetch(v validator.DocumentVersion) bool {
	for digest := range a.refused {
		if v.Digest != "" && strings.HasPrefix(digest, v.Digest) {
			return false
		}
	}
	own := a.Version()
	own.Digest = own.Digest[:min(len(own.Digest), len(v.Digest))]
	return own.Less(v)
}

// Offer parses a document and puts it into force if it is valid and its version is greater than the
// one in force. A document that is in force or was refused before is not parsed again.
func (a *Adopter) Offer(now time.Time, data []byte) Result {
	digest := validator.Digest(data)
	if result, seen := a.ResultForDigest(digest); seen {
		return result
	}
	offered, err := validator.Parse(data)
	return a.OfferDocument(now, digest, offered, err)
}

// ResultForDigest returns the result of offering a document that is in force or was refused before,
// without parsing it. It returns false for any other document.
func (a *Adopter) ResultForDigest(digest string) (Result, bool) {
	if a.current != nil && digest == a.current.Version.Digest {
		return Result{Status: Same, Version: a.current.Version, AdoptedAt: a.adoptedAt}, true
	}
	if err, refused := a.refused[digest]; refused {
		return Result{Status: Refused, Version: validator.DocumentVersion{Digest: digest}, Err: err}, true
	}
	return Result{}, false
}

// OfferDocument does the same as Offer for a document that was parsed already, for example on
// another goroutine. Digest is that of the document. Err says why the document is invalid; nil if
// it is valid.
func (a *Adopter) OfferDocument(now time.Time, digest string, offered *validator.ValidDocument, err error) Result {
	if err != nil {
		a.recordRefused(digest, err)
		return Result{Status: Refused, Version: validator.DocumentVersion{Digest: digest}, Err: err}
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
			result.SupersededDigest = old.Digest
		}
	case tied:
		result.Status, result.SupersededDigest = Superseded, offered.Version.Digest
	default:
		result.Status = Older
	}
	a.recordSuperseded(result.SupersededDigest)
	return result
}

// recordRefused records the digest and the error of an invalid document. If maxDigests are recorded
// already, it first discards all of them.
func (a *Adopter) recordRefused(digest string, err error) {
	if len(a.refused) >= maxDigests {
		clear(a.refused)
	}
	a.refused[digest] = err
}

// recordSuperseded records the digest of a superseded document unless it is empty or recorded
// already. It discards the oldest digest beyond maxDigests.
func (a *Adopter) recordSuperseded(digest string) {
	if digest == "" {
		return
	}
	for _, d := range a.superseded {
		if d == digest {
			return
		}
	}
	a.superseded = append(a.superseded, digest)
	if len(a.superseded) > maxDigests {
		a.superseded = a.superseded[1:]
	}
}

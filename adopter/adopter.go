// Package adopter decides which configuration document is in force at an instance. Documents arrive
// from the configuration service and from peers in any order, late, repeated or damaged. The
// adopter keeps the greatest valid document in the order of validator.Version and never goes back.
package adopter

import (
	"strings"
	"time"

	"github.com/sapphireramp/sapphireramp/validator"
)

// maxDigests bounds the number of digests kept of refused documents, and that of superseded ones.
const maxDigests = 64

// OfferStatus is the result of offering a document.
type OfferStatus int

// The statuses of an offered document.
const (
	// Adopted means that the document is now in force.
	Adopted OfferStatus = iota
	// Same means that the document was already in force.
	Same
	// Older means that a document with a greater version is in force.
	Older
	// Superseded means that the document has the same revision as the one in force, but a lower
	// digest.
	Superseded
	// Refused means that the document is invalid.
	Refused
)

var statusNames = [...]string{"Adopted", "Same", "Older", "Superseded", "Refused"}

func (s OfferStatus) String() string { return statusNames[s] }

// Result is the result of offering a document.
type Result struct {
	Status OfferStatus
	// Version is the version of the offered document. It has only a digest if the document is
	// invalid.
	Version validator.DocumentVersion
	// SupersededDigest is set if the offered document and the one in force before have the
	// same revision and different digests, and is the lower of the two digests. The publisher
	// of the document with that digest must be notified.
	SupersededDigest string
	// Err is why the document is invalid, nil if it is valid.
	Err error
	// AdoptedAt is the time at which the document now in force was adopted.
	AdoptedAt time.Time
}

// Adopter holds the configuration document in force. It is not safe for concurrent use.
type Adopter struct {
	// current is the document in force, or nil. Its Version never decreases.
	current   *validator.ValidDocument
	adoptedAt time.Time
	// refused maps the digests of invalid documents to the errors.
	refused map[string]error
	// superseded holds the digests of superseded documents, oldest first.
	superseded []string
	// untriedSources is the set of sources of documents that have neither replied nor failed
	// yet. The instance accepts no requests before the set is empty.
	untriedSources map[string]bool
}

// New returns an adopter with no document in force. It is not ready before every named source has
// been tried once.
func New(sources ...string) *Adopter {
	a := &Adopter{refused: map[string]error{}, untriedSources: map[string]bool{}}
	for _, s := range sources {
		a.untriedSources[s] = true
	}
	return a
}

// MarkSourceTried records that a source of documents has replied, or could not be reached in time.
func (a *Adopter) MarkSourceTried(source string) {
	delete(a.untriedSources, source)
}

// IsReady reports whether a document is in force and every source has been tried.
func (a *Adopter) IsReady() bool {
	return a.current != nil && len(a.untriedSources) == 0
}

// Current returns the document in force, or nil if there is none.
func (a *Adopter) Current() *validator.ValidDocument { return a.current }

// Version returns the version of the document in force, or the zero version if there is none.
func (a *Adopter) Version() validator.DocumentVersion {
	if a.current == nil {
		return validator.DocumentVersion{}
	}
	return a.current.Version
}

// SupersededDigests returns the digests of superseded documents, oldest first: those for which a
// document with the same revision and a greater digest is in force or was. At most maxDigests are
// kept.
func (a *Adopter) SupersededDigests() []string {
	return append([]string(nil), a.superseded...)
}

// ShouldFetch reports whether a peer's document with a version should be fetched: the version is
// greater than that in force, and the document was not refused before. The version's digest may be
// shortened.
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

// Offer parses a document and adopts it if it is valid and greater than the one in force.
func (a *Adopter) Offer(now time.Time, data []byte) Result {
	digest := validator.Digest(data)
	if result, seen := a.ResultForDigest(digest); seen {
		return result
	}
	offered, err := validator.Parse(data)
	return a.OfferDocument(now, digest, offered, err)
}

// ResultForDigest returns the result for a document that is already in force or was refused before,
// which need not be parsed again. It reports whether the document is one of these.
func (a *Adopter) ResultForDigest(digest string) (Result, bool) {
	if a.current != nil && digest == a.current.Version.Digest {
		return Result{Status: Same, Version: a.current.Version, AdoptedAt: a.adoptedAt}, true
	}
	if err, refused := a.refused[digest]; refused {
		return Result{Status: Refused, Version: validator.DocumentVersion{Digest: digest}, Err: err}, true
	}
	return Result{}, false
}

// OfferDocument is Offer for a document that was already parsed, for example on another goroutine
// than the adopter's. Digest is the digest of the document, err why it is invalid, or nil.
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

// recordRefused records an invalid document. At maxDigests it first discards all earlier ones.
func (a *Adopter) recordRefused(digest string, err error) {
	if len(a.refused) >= maxDigests {
		clear(a.refused)
	}
	a.refused[digest] = err
}

// recordSuperseded records the digest of a superseded document, if not empty, and discards the
// oldest digest beyond maxDigests.
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

package adopter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sapphireramp/sapphireramp/adopter"
	"github.com/sapphireramp/sapphireramp/validator"
)

// Adopters that are offered the same documents in any order, some of them twice, all end with the
// same document, and none goes back to a lower version.
func TestOrderOfArrivalDoesNotMatter(t *testing.T) {
	var documents [][]byte
	for revision := 1; revision <= 3; revision++ {
		for _, comment := range []string{"x", "y", "z"} {
			documents = append(documents, document(revision, comment))
		}
	}
	documents = append(documents, []byte("not a document"))
	rapid.Check(t, func(t *rapid.T) {
		ends := map[validator.DocumentVersion]bool{}
		for n := range 2 {
			order := rapid.Permutation(documents).Draw(t, fmt.Sprint("order", n))
			a := adopter.New()
			for _, d := range append(order, order[0]) {
				before := a.Version()
				a.Offer(time.Time{}, d)
				if a.Version().Less(before) {
					t.Fatalf("version went back from %v to %v", before, a.Version())
				}
			}
			ends[a.Version()] = true
		}
		if len(ends) != 1 {
			t.Fatalf("versions in force differ by the order of arrival: %v", ends)
		}
	})
}

func TestLoserOfTieIsReported(t *testing.T) {
	is := is.New(t)
	a := adopter.New()
	first, second := document(2, "one"), document(2, "two")
	a.Offer(time.Time{}, first)
	result := a.Offer(time.Time{}, second)
	loser := min(validator.Digest(first), validator.Digest(second))
	is.Equal(result.SupersededDigest, loser)
	is.Equal(a.SupersededDigests(), []string{loser})
}

func TestShouldFetchComparesShortenedDigest(t *testing.T) {
	is := is.New(t)
	a := adopter.New()
	a.Offer(time.Time{}, document(2, "one"))
	own := a.Version()
	own.Digest = validator.ShortenDigest(own.Digest)
	is.True(!a.ShouldFetch(own))
	is.True(a.ShouldFetch(validator.DocumentVersion{Revision: 3, Digest: "00"}))
	bad := []byte("Revision: 9")
	a.Offer(time.Time{}, bad)
	is.True(!a.ShouldFetch(validator.DocumentVersion{Revision: 9, Digest: validator.ShortenDigest(validator.Digest(bad))}))
}

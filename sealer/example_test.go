package sealer_test

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/sealer"
)

var (
	key    = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	other  = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{1}, ed25519.SeedSize))
	public = []ed25519.PublicKey{key.Public().(ed25519.PublicKey)}
)

func Example() {
	sealed := sealer.Seal([]byte("Revision: 1\n"), key)
	fmt.Println(sealer.Verify(sealed, public))
	fmt.Println(sealer.Verify(bytes.Replace(sealed, []byte("1"), []byte("2"), 1), public))
	fmt.Println(sealer.Verify([]byte("Revision: 1\n"), public))
	// Output:
	// <nil>
	// Seal: not valid: no accepted key made it, or the document was changed since
	// Seal: missing: must be the document's last line
}

func TestSealReplacesExistingSeal(t *testing.T) {
	is := is.New(t)
	sealed := sealer.Seal([]byte("Revision: 1"), key)
	is.Equal(sealer.Seal(sealed, key), sealed)
	is.Equal(string(sealer.StripSeal(sealed)), "Revision: 1\n")
	is.True(sealer.Verify(sealer.Seal(sealed, other), public) != nil)
	is.True(sealer.Verify(append(sealed, "Models: []\n"...), public) != nil)
	is.True(sealer.Verify([]byte("Seal: %%%\n"), public) != nil)
}

func FuzzVerify(f *testing.F) {
	f.Add([]byte("Revision: 1\nSeal: AAAA\n"))
	f.Add([]byte("\n\n"))
	f.Fuzz(func(t *testing.T, document []byte) {
		if sealer.Verify(document, public) == nil && !bytes.Equal(document, sealer.Seal(document, key)) {
			t.Fatal("an invalid seal was accepted")
		}
	})
}

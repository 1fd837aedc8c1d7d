package quarantiner_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/quarantiner"
)

// Guards against a request whose fingerprint depends on how its body is held, so that entries do not recognise it: one
// without a body has an empty one.
func TestFingerprintDoesNotDependOnChunks(t *testing.T) {
	is := is.New(t)
	path, body := []byte("/path"), []byte("a body of some length")
	is.Equal(quarantiner.FingerprintOfChunked([][]byte{body[:4], nil, body[4:]}, path), quarantiner.FingerprintOf(path, body))
	for _, empty := range [][][]byte{nil, {}, {nil}} {
		is.Equal(quarantiner.FingerprintOfChunked(empty, path), quarantiner.FingerprintOf(path, nil))
	}
}

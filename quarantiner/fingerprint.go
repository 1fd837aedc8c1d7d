package quarantiner

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint names what a request asks for, whatever id it has and whichever entry
// it comes to: a hash of the parts that make two requests the same.
type Fingerprint uint64

// FingerprintOf returns the content of a request whose parts are given. The order and
// the borders of the parts count.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := xxhash.New()
	for _, p := range parts {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(p)))) // a hash takes everything
		_, _ = h.Write(p)
	}
	return Fingerprint(h.Sum64())
}

// String returns the content as it is logged.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

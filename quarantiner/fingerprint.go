package quarantiner

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies requests with equal content, whatever their ID and whichever entry they
// are sent to. It is a hash of the parts of a request that determine its content.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request with the given parts, such as the caller's
// organisation, the path and the body. It depends on the order of the parts and on the boundaries
// between them.
func FingerprintOf(parts ...[]byte) Fingerprint { return FingerprintOfChunked(nil, parts...) }

// FingerprintOfChunked returns the fingerprint of a request like FingerprintOf. Its last part, after the other parts, is
// the concatenation of chunks; nil chunks stand for no further part.
func FingerprintOfChunked(chunks [][]byte, parts ...[]byte) Fingerprint {
	h := xxhash.New()
	for _, p := range parts {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(p)))) // writing to a hash never fails
		_, _ = h.Write(p)
	}
	if chunks == nil {
		return Fingerprint(h.Sum64())
	}
	size := 0
	for _, c := range chunks {
		size += len(c)
	}
	_, _ = h.Write(binary.AppendUvarint(nil, uint64(size)))
	for _, c := range chunks {
		_, _ = h.Write(c)
	}
	return Fingerprint(h.Sum64())
}

// String returns the fingerprint as 16 hexadecimal digits, as it is logged.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

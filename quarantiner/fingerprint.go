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
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := xxhash.New()
	for _, p := range parts {
		writePart(h, p)
	}
	return Fingerprint(h.Sum64())
}

// FingerprintOfChunked returns what FingerprintOf returns for parts and, as the last one, the concatenation of chunks,
// which is empty if there are none.
func FingerprintOfChunked(chunks [][]byte, parts ...[]byte) Fingerprint {
	h := xxhash.New()
	for _, p := range parts {
		writePart(h, p)
	}
	writePart(h, chunks...)
	return Fingerprint(h.Sum64())
}

// writePart adds a part, the concatenation of chunks, with its length to a hash.
func writePart(h *xxhash.Digest, chunks ...[]byte) {
	size := 0
	for _, c := range chunks {
		size += len(c)
	}
	_, _ = h.Write(binary.AppendUvarint(nil, uint64(size))) // writing to a hash never fails
	for _, c := range chunks {
		_, _ = h.Write(c)
	}
}

// String returns the fingerprint as 16 hexadecimal digits, as it is logged.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

package quarantiner

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Content names what a request asks for, whatever id it has and whichever entry
// it comes to: a hash of the parts that make two requests the same.
type Content uint64

// ContentOf returns the content of a request whose parts are given. The order and
// the borders of the parts count.
func ContentOf(parts ...[]byte) Content {
	h := xxhash.New()
	for _, p := range parts {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(p)))) // a hash takes everything
		_, _ = h.Write(p)
	}
	return Content(h.Sum64())
}

// String returns the content as it is logged.
func (c Content) String() string { return fmt.Sprintf("%016x", uint64(c)) }

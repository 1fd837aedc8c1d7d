package isolator

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Part identifies a part of the prompts of one organisation, or of the prompts of all organisations.
type Part struct {
	// ID is a hash of the ID that callers give the part.
	ID uint64
	// Organisation is a hash of the organisation's name; 0 in parts of the prompts of all organisations.
	Organisation uint32
}

// PartsOf returns the parts with the given IDs of the prompts of an organisation. The hashes are cryptographic, so
// that callers can't make up parts that equal those of others.
func PartsOf(organisation string, ids []string) []Part {
	if len(ids) == 0 {
		return nil
	}
	owner := sha256.Sum256([]byte(organisation))
	parts := make([]Part, len(ids))
	for i, id := range ids {
		sum := sha256.Sum256([]byte(id))
		parts[i] = Part{ID: binary.BigEndian.Uint64(sum[:]), Organisation: max(1, binary.BigEndian.Uint32(owner[:]))}
	}
	return parts
}

// ofAll returns the same part of the prompts of all organisations.
func (p Part) ofAll() Part { return Part{ID: p.ID} }

// String returns the part as it is logged: ID in 16 hexadecimal digits, and Organisation in 8 unless it is 0.
func (p Part) String() string {
	if p.Organisation == 0 {
		return fmt.Sprintf("%016x", p.ID)
	}
	return fmt.Sprintf("%016x.%08x", p.ID, p.Organisation)
}

// compare orders parts.
func (p Part) compare(o Part) int {
	switch {
	case p.ID < o.ID || p.ID == o.ID && p.Organisation < o.Organisation:
		return -1
	case p == o:
		return 0
	}
	return 1
}

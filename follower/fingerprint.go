package follower

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint returns a hash of the state: of the configuration in force, the registrations that are
// present and the evacuations that last, each with its revision. Two followers in one epoch with equal
// fingerprints have the same state, in whatever order they have learned of it.
func (f *Follower) Fingerprint() uint64 {
	if !f.isFingerprinted {
		f.fingerprint, f.isFingerprinted = f.computeFingerprint(), true
	}
	return f.fingerprint
}

// computeFingerprint combines the hashes of all items by exclusive or, which does not depend on their
// order.
func (f *Follower) computeFingerprint() uint64 {
	sum := hashItem("config", "", f.configStamp.Epoch, f.configStamp.Revision)
	for id, k := range f.instances {
		if !k.listed.Gone {
			sum ^= hashItem("instance", id, k.listed.Revision)
		}
	}
	for dataCentre, known := range f.evacuations {
		if !known.Ended {
			sum ^= hashItem("evacuation", dataCentre, known.Revision)
		}
	}
	return sum
}

// hashItem returns a hash of one item of the state.
func hashItem(kind, name string, revisions ...int64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(kind + " " + name)
	for _, revision := range revisions {
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(revision)))
	}
	return d.Sum64()
}

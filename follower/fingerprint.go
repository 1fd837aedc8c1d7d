package follower

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint returns a hash of the state: of the configuration in force, the registrations that are
// present, which of their upstreams are leaving, and the evacuations that last, each with its revision.
// Two followers in one epoch with equal fingerprints have the same state, in whatever order they have
// learned of it.
func (f *Follower) Fingerprint() uint64 {
	f.updateFingerprints()
	return f.fingerprint
}

// InheritedFingerprint returns a hash of what is known from earlier epochs (see Inherited); 0 if nothing is.
func (f *Follower) InheritedFingerprint() uint64 {
	f.updateFingerprints()
	return f.inheritedFingerprint
}

// updateFingerprints computes the fingerprints if the state has changed since. They combine the hashes
// of all items by exclusive or, which does not depend on their order.
func (f *Follower) updateFingerprints() {
	if f.isFingerprinted {
		return
	}
	sum, inherited := hashItem("config", "", f.configStamp.Epoch, f.configStamp.Revision), uint64(0)
	for id, k := range f.instances {
		if k.listed.Gone {
			continue
		}
		kind := "instance"
		if k.isLeaving() {
			kind = "leaving"
		}
		sum ^= hashItem(kind, id, k.listed.Revision)
		if k.hasLeft {
			inherited ^= hashItem("left", id)
		}
		if !k.unusedUntil.IsZero() {
			inherited ^= hashItem("unused", id, k.listed.Revision)
		}
	}
	for dataCentre, known := range f.evacuations {
		if !known.Ended {
			sum ^= hashItem("evacuation", dataCentre, known.Revision)
		}
		if known.isInherited() {
			inherited ^= hashItem("evacuation", dataCentre)
		}
	}
	f.fingerprint, f.inheritedFingerprint, f.isFingerprinted = sum, inherited, true
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

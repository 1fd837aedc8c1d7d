// Package assigner divides things among members by rendezvous hashing, so
// that members who believe the same members to be live agree on the division
// without a word, and a member's going moves only what it had.
package assigner

import "github.com/cespare/xxhash/v2"

// Member is a member that things can be assigned to.
type Member struct {
	Name       string
	DataCentre string
}

// Weight is the rendezvous weight of a member for a thing.
func Weight(member, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(member)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Owner returns the member that a thing in a data centre is assigned to: the
// one of greatest weight among those in the same data centre, or among all
// where that data centre has none. It is empty when there are no members.
func Owner(members []Member, key, dataCentre string) string {
	best, bestWeight, bestIsLocal := "", uint64(0), false
	for _, m := range members {
		isLocal := m.DataCentre == dataCentre
		if bestIsLocal && !isLocal {
			continue
		}
		weight := Weight(m.Name, key)
		if best == "" || (isLocal && !bestIsLocal) || weight > bestWeight || (weight == bestWeight && m.Name < best) {
			best, bestWeight, bestIsLocal = m.Name, weight, isLocal
		}
	}
	return best
}

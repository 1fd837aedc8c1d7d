// Package assigner distributes keys among members by rendezvous hashing. Processes that pass the
// same members agree on each key's owner without communicating, and the departure of a member
// changes the owner of only those keys that it owned.
package assigner

import "github.com/cespare/xxhash/v2"

// Member is a process that keys can be assigned to. Name is unique among the members of a call.
type Member struct {
	Name       string
	DataCentre string
}

// Weight returns the rendezvous weight of a member for a key: a hash of the two strings, equal in
// all processes.
func Weight(member, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(member)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Owner returns the name of the member that owns a key of a data centre: the member with the
// greatest weight in that data centre, or among all members where the data centre has none. Of
// members with equal weights, the one with the lower name owns the key. Owner returns an empty
// string when there are no members.
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

package isolator

const (
	// recentRequests is the number of requests over which the popularity of a part is taken.
	recentRequests = 128
	// minRecentRequests is the number of requests below which no part counts as popular.
	minRecentRequests = 8
	// popularShare is the fraction of requests from which a part counts as popular.
	popularShare = 0.75
)

// popularity counts in how many of the recent requests of an entry a part was. The zero value has no requests.
type popularity struct {
	// requests holds the parts of the recent requests; once there are recentRequests, next is the index of the
	// oldest one.
	requests [][]Part
	next     int
	// counts holds the number of these requests with a part.
	counts map[Part]int
}

// add adds the parts of a request, in place of the oldest one if there are recentRequests.
func (u *popularity) add(parts []Part) {
	if u.counts == nil {
		u.counts = map[Part]int{}
	}
	for _, p := range parts {
		u.counts[p]++
		u.counts[p.ofAll()]++
	}
	if len(u.requests) < recentRequests {
		u.requests = append(u.requests, parts)
		return
	}
	for _, p := range u.requests[u.next] {
		u.forget(p)
		u.forget(p.ofAll())
	}
	u.requests[u.next] = parts
	u.next = (u.next + 1) % recentRequests
}

// forget counts a request with a part less.
func (u *popularity) forget(p Part) {
	if u.counts[p]--; u.counts[p] == 0 {
		delete(u.counts, p)
	}
}

// isKnown reports whether there are enough requests to tell which parts are popular.
func (u *popularity) isKnown() bool { return len(u.requests) >= minRecentRequests }

// isPopular reports whether at least popularShare of the recent requests had the part, of whichever organisation. That such a part was there at
// crashes shows nothing, as hardly any request is without it, and to refuse its requests would be an outage.
func (u *popularity) isPopular(p Part) bool {
	return u.isKnown() && float64(u.counts[p.ofAll()]) >= popularShare*float64(len(u.requests))
}

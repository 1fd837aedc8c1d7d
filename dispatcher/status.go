package dispatcher

import (
	"slices"
	"strings"
	"time"
)

// UpstreamStatus is a snapshot of the state that the dispatcher keeps of one upstream.
type UpstreamStatus struct {
	Instance Instance
	// Load is the load by the requests of this entry and those that peers report.
	Load Load
	// MemoryTokens is the total memory of the engine in tokens; 0 for plain services.
	MemoryTokens int
	// Backoff is the time for which the upstream still asks this entry to send nothing; 0 if it
	// does not.
	Backoff time.Duration
	// RateLimit is the rate limit that the upstream states.
	RateLimit RateLimit
}

// Upstreams returns the status of all listed upstreams, sorted by service and ID.
func (b *Dispatcher) Upstreams(now time.Time) []UpstreamStatus {
	b.lock.Lock()
	defer b.lock.Unlock()
	var statuses []UpstreamStatus
	for _, upstreams := range b.services {
		for _, u := range upstreams {
			status := UpstreamStatus{Instance: u.instance, Load: u.load(now)}
			status.Instance.Leaving = status.Instance.Leaving || u.backpressure.leaving
			status.RateLimit = u.backpressure.rateLimit.Limit
			status.Backoff = max(0, u.backpressure.backoffUntil.Sub(now))
			if u.engine != nil {
				status.MemoryTokens = u.engine.MemoryTokens
			}
			statuses = append(statuses, status)
		}
	}
	slices.SortFunc(statuses, func(x, y UpstreamStatus) int {
		if c := strings.Compare(x.Instance.Service, y.Instance.Service); c != 0 {
			return c
		}
		return strings.Compare(x.Instance.ID, y.Instance.ID)
	})
	return statuses
}

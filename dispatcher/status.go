package dispatcher

import (
	"slices"
	"strings"
	"time"
)

// UpstreamStatus is what the board holds of one upstream.
type UpstreamStatus struct {
	Instance Instance
	// Load is that of all entries, as far as this one knows.
	Load Load
	// MemoryTokens is an engine's memory; 0 for plain services.
	MemoryTokens int
	// Backoff is how long yet it wants nothing from this entry.
	Backoff time.Duration
}

// Upstreams returns all upstreams that may get work, by service and ID.
func (b *Dispatcher) Upstreams(now time.Time) []UpstreamStatus {
	b.lock.Lock()
	defer b.lock.Unlock()
	var statuses []UpstreamStatus
	for _, upstreams := range b.services {
		for _, u := range upstreams {
			status := UpstreamStatus{Instance: u.instance, Load: u.load(now)}
			status.Instance.Leaving = status.Instance.Leaving || u.backpressure.leaving
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

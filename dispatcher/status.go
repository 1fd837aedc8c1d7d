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
	var rows []UpstreamStatus
	for _, workers := range b.services {
		for _, w := range workers {
			row := UpstreamStatus{Instance: w.instance, Load: w.load(now)}
			row.Instance.Leaving = row.Instance.Leaving || w.wish.leaving
			row.Backoff = max(0, w.wish.pausedTo.Sub(now))
			if w.engine != nil {
				row.MemoryTokens = w.engine.MemoryTokens
			}
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(x, y UpstreamStatus) int {
		if c := strings.Compare(x.Instance.Service, y.Instance.Service); c != 0 {
			return c
		}
		return strings.Compare(x.Instance.ID, y.Instance.ID)
	})
	return rows
}

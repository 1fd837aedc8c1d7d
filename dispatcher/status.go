package dispatcher

import (
	"slices"
	"strings"
	"time"
)

// Row is what the board holds of one upstream.
type Row struct {
	Instance Instance
	// Load is that of all entries, as far as this one knows.
	Load Load
	// MemoryTokens is an engine's memory; 0 for plain services.
	MemoryTokens int
	// PausedFor is how long yet it wants nothing from this entry.
	PausedFor time.Duration
}

// Rows returns all upstreams that may get work, by service and ID.
func (b *Board) Rows(now time.Time) []Row {
	b.lock.Lock()
	defer b.lock.Unlock()
	var rows []Row
	for _, workers := range b.services {
		for _, w := range workers {
			row := Row{Instance: w.instance, Load: w.load(now)}
			row.Instance.Leaving = row.Instance.Leaving || w.wish.leaving
			row.PausedFor = max(0, w.wish.pausedTo.Sub(now))
			if w.engine != nil {
				row.MemoryTokens = w.engine.MemoryTokens
			}
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(x, y Row) int {
		if c := strings.Compare(x.Instance.Service, y.Instance.Service); c != 0 {
			return c
		}
		return strings.Compare(x.Instance.ID, y.Instance.ID)
	})
	return rows
}

// Package sleeper provides a sleep that ends early when a context ends.
package sleeper

import (
	"context"
	"time"
)

// Sleep blocks for the duration d or until ctx is done. It returns true if d
// has passed and false if ctx was done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Package sleeper pauses for as long as somebody still waits for the result.
package sleeper

import (
	"context"
	"time"
)

// Sleep pauses, and reports whether the context is still alive.
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

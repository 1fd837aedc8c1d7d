package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// While other entries are upgraded, a thousand unreadable messages arrive each second. They
// cause one log line per second.
func TestLogLimiterAllowsOneLinePerPeriod(t *testing.T) {
	is := is.New(t)
	var l logLimiter
	now := time.Unix(1, 0)
	lines, skipped := 0, 0
	for range 10_000 {
		if n, ok := l.allow(now); ok {
			lines++
			skipped += n
		}
		now = now.Add(time.Millisecond)
	}
	is.Equal(lines, 10)
	is.Equal(skipped, 9*999)
}

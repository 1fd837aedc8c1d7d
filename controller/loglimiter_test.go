package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An upgrade of the others: a thousand messages a second that can't be read give one line each second.
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

package controller

import "time"

// logPeriod is how often a line is logged that each message of another version causes: an
// upgrade of a hundred entries takes minutes, at a thousand messages a second.
const logPeriod = time.Second

// logLimiter lets one line a lineTime through.
type logLimiter struct {
	next    time.Time
	skipped int
}

// allow reports whether a line is to be logged now, and how many were not since the last.
func (l *logLimiter) allow(now time.Time) (skipped int, ok bool) {
	if now.Before(l.next) {
		l.skipped++
		return 0, false
	}
	skipped = l.skipped
	l.next, l.skipped = now.Add(logPeriod), 0
	return skipped, true
}

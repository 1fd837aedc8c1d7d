package controller

import "time"

// logPeriod is the shortest interval between log lines about malformed load updates. While a
// hundred entries are upgraded, which takes minutes, a thousand messages of another version
// arrive each second.
const logPeriod = time.Second

// logLimiter allows one log line per logPeriod.
type logLimiter struct {
	// next is when the next line may be logged, skipped counts the lines suppressed since
	// the last one.
	next    time.Time
	skipped int
}

// allow reports whether a line may be logged now, and if so how many were suppressed since
// the last one.
func (l *logLimiter) allow(now time.Time) (skipped int, ok bool) {
	if now.Before(l.next) {
		l.skipped++
		return 0, false
	}
	skipped = l.skipped
	l.next, l.skipped = now.Add(logPeriod), 0
	return skipped, true
}

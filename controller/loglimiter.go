package controller

import "time"

// logPeriod is the minimum interval between two log lines about malformed load updates. While a
// hundred entries are upgraded, which takes minutes, each receives a thousand messages of another
// version per second.
const logPeriod = time.Second

// logLimiter limits the log lines about one event to one per logPeriod. The zero value is ready
// to use.
type logLimiter struct {
	// next is the time from which the next line may be logged. skipped is the number of lines
	// suppressed since the last logged one.
	next    time.Time
	skipped int
}

// allow reports whether a line may be logged now, and if so returns the number of lines suppressed
// since the last logged one.
func (l *logLimiter) allow(now time.Time) (skipped int, ok bool) {
	if now.Before(l.next) {
		l.skipped++
		return 0, false
	}
	skipped = l.skipped
	l.next, l.skipped = now.Add(logPeriod), 0
	return skipped, true
}

package forwarder

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Lengths of prompts, by which times are told apart.
const (
	shortPrompt  = 16_000
	mediumPrompt = 110_000
)

type metrics struct {
	scope           tally.Scope
	requestDuration tally.Histogram
	// firstByte is by length of prompt.
	firstByte     map[string]tally.Histogram
	longestGap    tally.Histogram
	retriesDenied tally.Counter
	reservations  tally.Counter
}

// promptLengthClass is the class of a prompt's length.
func promptLengthClass(prompt int) string {
	switch {
	case prompt == 0:
		return "none"
	case prompt <= shortPrompt:
		return "short"
	case prompt <= mediumPrompt:
		return "medium"
	}
	return "long"
}

func newMetrics(scope tally.Scope) metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)
	m := metrics{
		scope:           scope,
		requestDuration: scope.Histogram("request_seconds", buckets),
		firstByte:       map[string]tally.Histogram{},
		longestGap:      scope.Histogram("longest_pause_seconds", buckets),
		retriesDenied:   scope.Counter("retries_denied"),
		reservations:    scope.Counter("reservations"),
	}
	m.requestCounter(outcomeAnswered) // shown before the first one ends, as rates need it
	for _, length := range []string{"none", "short", "medium", "long"} {
		m.firstByte[length] = scope.Tagged(map[string]string{"length": length}).Histogram("first_byte_seconds", buckets)
	}
	return m
}

func (m metrics) requestCounter(outcome string) tally.Counter {
	return m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests")
}

func (m metrics) recordRequest(outcome string, took time.Duration) {
	m.requestCounter(outcome).Inc(1)
	m.requestDuration.RecordDuration(took)
}

// recordStream records the times of a stream that had an event.
func (m metrics) recordStream(prompt int, firstByte, longestGap time.Duration) {
	m.firstByte[promptLengthClass(prompt)].RecordDuration(firstByte)
	m.longestGap.RecordDuration(longestGap)
}

func (m metrics) recordAttempt(v verdict) {
	m.scope.Tagged(map[string]string{"verdict": string(v)}).Counter("attempts").Inc(1)
}

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
	scope tally.Scope
	took  tally.Histogram
	// firstByte is by length of prompt.
	firstByte    map[string]tally.Histogram
	pause        tally.Histogram
	denied       tally.Counter
	reservations tally.Counter
}

// lengthOf is the class of a prompt's length.
func lengthOf(prompt int) string {
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
		scope:        scope,
		took:         scope.Histogram("request_seconds", buckets),
		firstByte:    map[string]tally.Histogram{},
		pause:        scope.Histogram("longest_pause_seconds", buckets),
		denied:       scope.Counter("retries_denied"),
		reservations: scope.Counter("reservations"),
	}
	m.requests(outcomeAnswered) // shown before the first one ends, as rates need it
	for _, length := range []string{"none", "short", "medium", "long"} {
		m.firstByte[length] = scope.Tagged(map[string]string{"length": length}).Histogram("first_byte_seconds", buckets)
	}
	return m
}

func (m metrics) requests(outcome string) tally.Counter {
	return m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests")
}

func (m metrics) finished(outcome string, took time.Duration) {
	m.requests(outcome).Inc(1)
	m.took.RecordDuration(took)
}

// streamed records the times of a stream that had an event.
func (m metrics) streamed(prompt int, first, pause time.Duration) {
	m.firstByte[lengthOf(prompt)].RecordDuration(first)
	m.pause.RecordDuration(pause)
}

func (m metrics) attempted(v verdict) {
	m.scope.Tagged(map[string]string{"verdict": string(v)}).Counter("attempts").Inc(1)
}

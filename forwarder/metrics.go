package forwarder

import (
	"time"

	"github.com/uber-go/tally/v4"
)

type metrics struct {
	scope     tally.Scope
	took      tally.Histogram
	firstByte tally.Histogram
	pause     tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)
	return metrics{
		scope:     scope,
		took:      scope.Histogram("request_seconds", buckets),
		firstByte: scope.Histogram("first_byte_seconds", buckets),
		pause:     scope.Histogram("longest_pause_seconds", buckets),
	}
}

func (m metrics) finished(outcome string, took time.Duration) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests").Inc(1)
	m.took.RecordDuration(took)
}

func (m metrics) attempted(v verdict) {
	m.scope.Tagged(map[string]string{"verdict": string(v)}).Counter("attempts").Inc(1)
}

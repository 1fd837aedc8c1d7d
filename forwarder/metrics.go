package forwarder

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// The greatest prompt lengths, in tokens, of the classes "short" and "medium" of promptLengthClass.
const (
	shortPrompt  = 16_000
	mediumPrompt = 110_000
)

// metrics holds the metrics that a Forwarder updates.
type metrics struct {
	scope tally.Scope
	// requestDuration records the time from the arrival of a request to the end of its response, also
	// for refused requests.
	requestDuration tally.Histogram
	// firstByte holds, by the class of the prompt's length, a histogram of the time from the arrival
	// of a request to the first byte of its response.
	firstByte  map[string]tally.Histogram
	longestGap tally.Histogram
	// retries counts the retries that upstreams got, retriesDenied those that the retry budget did not allow.
	retries, retriesDenied tally.Counter
	reservations           tally.Counter
	// refusedForMemory counts requests for which the entry had no memory, memoryHeld is what the account holds.
	refusedForMemory tally.Counter
	memoryHeld       tally.Gauge
	// overShare counts requests that were refused for their organisation's share, and shares are gauges of the use of
	// services, both by service.
	overShare func(service string) tally.Counter
	shares    *shareGauges
	// placesPromised counts the places that refused callers were given, placesKept and placesRefused the
	// returns that were placed on an upstream and those that were not.
	placesPromised, placesKept, placesRefused tally.Counter
}

// promptLengthClass returns the class of a prompt by its length in tokens: none, short, medium or
// long. The class is the value of the metric label length.
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
		scope:            scope,
		requestDuration:  scope.Histogram("request_seconds", buckets),
		firstByte:        map[string]tally.Histogram{},
		longestGap:       scope.Histogram("longest_pause_seconds", buckets),
		retries:          scope.Counter("retries"),
		retriesDenied:    scope.Counter("retries_denied"),
		reservations:     scope.Counter("reservations"),
		refusedForMemory: scope.Counter("refused_for_memory"),
		memoryHeld:       scope.Gauge("memory_held_bytes"),
		placesPromised:   scope.Counter("places_promised"),
		placesKept:       scope.Counter("places_kept"),
		placesRefused:    scope.Counter("places_refused"),
	}
	// Exported as 0 from the start, so that rates include the first increment.
	m.requestCounter(outcomeAnswered)
	m.overShare = func(service string) tally.Counter {
		return scope.Tagged(map[string]string{"service": service}).Counter("refused_over_share")
	}
	m.shares = &shareGauges{scope: scope, updatedAt: map[string]time.Time{}}
	m.retries.Inc(0)
	m.retriesDenied.Inc(0)
	for _, length := range []string{"none", "short", "medium", "long"} {
		m.firstByte[length] = scope.Tagged(map[string]string{"length": length}).Histogram("first_byte_seconds", buckets)
	}
	return m
}

// requestCounter returns the counter of the ended requests that had the given outcome.
func (m metrics) requestCounter(outcome string) tally.Counter {
	return m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests")
}

// recordRequest counts an ended request by its outcome, and records its duration.
func (m metrics) recordRequest(outcome string, took time.Duration) {
	m.requestCounter(outcome).Inc(1)
	m.requestDuration.RecordDuration(took)
}

// recordStream records the time to the first byte of a stream, under the class of its prompt's length
// in tokens, and the longest gap between two of its events.
func (m metrics) recordStream(prompt int, firstByte, longestGap time.Duration) {
	m.firstByte[promptLengthClass(prompt)].RecordDuration(firstByte)
	m.longestGap.RecordDuration(longestGap)
}

// recordAttempt counts an attempt by its verdict.
func (m metrics) recordAttempt(v verdict) {
	m.scope.Tagged(map[string]string{"verdict": string(v)}).Counter("attempts").Inc(1)
}

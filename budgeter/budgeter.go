// Package budgeter bounds how often requests are sent once more. All entries
// share one budget for each service without shared state: each takes the part
// of it that its own requests and the number of entries give it.
package budgeter

import (
	"sync"
	"time"
)

const (
	// bucketCount is into how many parts the window is cut.
	bucketCount = 20
	// usableFraction is the part of the budget that is used: entries may know too few
	// of the others, and windows don't begin together.
	usableFraction = 0.8
)

// Config of the budget, for all entries together.
type Config struct {
	// Ratio of the requests in a window, and Slack besides, may be sent more.
	Ratio  float64
	Window time.Duration
	Slack  int
}

// Budgeter counts requests and repeats by service. It is safe for concurrent
// use.
type Budgeter struct {
	lock     sync.Mutex
	config   Config
	services map[string]*slidingWindow
}

// New returns a budget of which nothing is used.
func New(c Config) *Budgeter {
	return &Budgeter{config: c, services: map[string]*slidingWindow{}}
}

// Configure takes over new bounds.
func (b *Budgeter) Configure(c Config) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.config = c
}

// slidingWindow counts in buckets of a part of the window.
type slidingWindow struct {
	requests, retries [bucketCount]int
	// newest is the number of the newest bucket since the epoch.
	newest int64
}

func (w *slidingWindow) advance(bucket int64) {
	if bucket-w.newest >= bucketCount {
		*w = slidingWindow{newest: bucket}
		return
	}
	for w.newest < bucket {
		w.newest++
		w.requests[w.newest%bucketCount], w.retries[w.newest%bucketCount] = 0, 0
	}
}

func (b *Budgeter) windowOf(now time.Time, service string) *slidingWindow {
	w, ok := b.services[service]
	if !ok {
		w = &slidingWindow{}
		b.services[service] = w
	}
	w.advance(now.UnixNano() / max(1, int64(b.config.Window/(bucketCount-1))))
	return w
}

// RecordRequest counts a request for a service.
func (b *Budgeter) RecordRequest(now time.Time, service string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	w := b.windowOf(now, service)
	w.requests[w.newest%bucketCount]++
}

// SpendRetry takes one repeat out of the budget and reports whether there was one.
// Entries is how many entries share the budget.
func (b *Budgeter) SpendRetry(now time.Time, service string, entries int) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	w := b.windowOf(now, service)
	if !b.canRetry(w, entries) {
		return false
	}
	w.retries[w.newest%bucketCount]++
	return true
}

// HasRetry reports whether there is a repeat to spend.
func (b *Budgeter) HasRetry(now time.Time, service string, entries int) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.canRetry(b.windowOf(now, service), entries)
}

func (b *Budgeter) canRetry(w *slidingWindow, entries int) bool {
	budget := b.config.Ratio*float64(sum(w.requests)) + float64(b.config.Slack)/float64(max(1, entries))
	return float64(sum(w.retries)+1) <= usableFraction*budget
}

func sum(counts [bucketCount]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

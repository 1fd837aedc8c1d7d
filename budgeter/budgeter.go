// Package budgeter bounds how often requests are sent once more. All entries
// share one budget for each service without shared state: each takes the part
// of it that its own requests and the number of entries give it.
package budgeter

import (
	"sync"
	"time"
)

const (
	// buckets is into how many parts the window is cut.
	buckets = 20
	// margin is the part of the budget that is used: entries may know too few
	// of the others, and windows don't begin together.
	margin = 0.8
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
	services map[string]*window
}

// New returns a budget of which nothing is used.
func New(c Config) *Budgeter {
	return &Budgeter{config: c, services: map[string]*window{}}
}

// Configure takes over new bounds.
func (b *Budgeter) Configure(c Config) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.config = c
}

// window counts in buckets of a part of the window.
type window struct {
	requests, repeats [buckets]int
	// newest is the number of the newest bucket since the epoch.
	newest int64
}

func (w *window) advance(bucket int64) {
	if bucket-w.newest >= buckets {
		*w = window{newest: bucket}
		return
	}
	for w.newest < bucket {
		w.newest++
		w.requests[w.newest%buckets], w.repeats[w.newest%buckets] = 0, 0
	}
}

func (b *Budgeter) window(now time.Time, service string) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	w.advance(now.UnixNano() / max(1, int64(b.config.Window/(buckets-1))))
	return w
}

// RecordRequest counts a request for a service.
func (b *Budgeter) RecordRequest(now time.Time, service string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	w := b.window(now, service)
	w.requests[w.newest%buckets]++
}

// SpendRetry takes one repeat out of the budget and reports whether there was one.
// Entries is how many entries share the budget.
func (b *Budgeter) SpendRetry(now time.Time, service string, entries int) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	w := b.window(now, service)
	if !b.left(w, entries) {
		return false
	}
	w.repeats[w.newest%buckets]++
	return true
}

// HasRetry reports whether there is a repeat to spend.
func (b *Budgeter) HasRetry(now time.Time, service string, entries int) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.left(b.window(now, service), entries)
}

func (b *Budgeter) left(w *window, entries int) bool {
	budget := b.config.Ratio*float64(sum(w.requests)) + float64(b.config.Slack)/float64(max(1, entries))
	return float64(sum(w.repeats)+1) <= margin*budget
}

func sum(counts [buckets]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

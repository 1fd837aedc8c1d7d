// Package budgeter limits retries. All entries share one retry budget for each service without
// shared state: each entry uses a fraction of it, which depends on its own requests and on the
// number of entries.
package budgeter

import (
	"sync"
	"time"
)

const (
	// bucketCount is the number of buckets that a service's counts are kept in. All but one of them
	// cover Config.Window.
	bucketCount = 20
	// usableFraction is the fraction of the budget that entries use. The rest is a margin,
	// because an entry may not know all others and the windows of entries do not start at the
	// same time.
	usableFraction = 0.8
)

// Config is the retry budget that every service has, over all entries.
type Config struct {
	// Ratio is the number of retries allowed for each request within a window.
	Ratio float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
	// BaseRetries is the number of retries allowed within a window, over all entries, whatever
	// the number of requests. It is added to what Ratio allows.
	BaseRetries int
}

// Budgeter counts requests and retries by service. It is safe for concurrent use.
type Budgeter struct {
	lock     sync.Mutex
	config   Config
	services map[string]*slidingWindow
}

// New returns a Budgeter that has counted no requests or retries.
func New(c Config) *Budgeter {
	return &Budgeter{config: c, services: map[string]*slidingWindow{}}
}

// Configure replaces the configuration.
func (b *Budgeter) Configure(c Config) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.config = c
}

// slidingWindow counts the requests and retries of a service in the latest bucketCount buckets.
type slidingWindow struct {
	requests, retries [bucketCount]int
	// newest is the number of the latest bucket, counted from the Unix epoch.
	newest int64
}

// advance moves the window forward so that the given bucket is the latest.
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

// windowOf returns the window of a service, advanced to the time now. The caller must hold the
// lock.
func (b *Budgeter) windowOf(now time.Time, service string) *slidingWindow {
	w, ok := b.services[service]
	if !ok {
		w = &slidingWindow{}
		b.services[service] = w
	}
	w.advance(now.UnixNano() / max(1, int64(b.config.Window/(bucketCount-1))))
	return w
}

// RecordRequest counts a request to a service.
func (b *Budgeter) RecordRequest(now time.Time, service string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	w := b.windowOf(now, service)
	w.requests[w.newest%bucketCount]++
}

// SpendRetry reports whether the budget of a service allows a retry, and counts the retry if so.
// Entries is the number of entries that share the budget.
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

// AllowsRetry reports whether the budget of a service allows a retry now, without counting one.
// Entries is the number of entries that share the budget.
func (b *Budgeter) AllowsRetry(now time.Time, service string, entries int) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.canRetry(b.windowOf(now, service), entries)
}

// canRetry reports whether one more retry is within what this entry may use of the budget.
func (b *Budgeter) canRetry(w *slidingWindow, entries int) bool {
	budget := b.config.Ratio*float64(sum(w.requests)) + float64(b.config.BaseRetries)/float64(max(1, entries))
	return float64(sum(w.retries)+1) <= usableFraction*budget
}

func sum(counts [bucketCount]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// Package budgeter limits retries. All entries share a retry budget for each service, without
// exchanging messages about it: each entry allows itself retries in proportion to its own requests,
// and the base number of retries divided by the number of entries.
package budgeter

import (
	"sync"
	"time"
)

const (
	// bucketCount is the number of buckets in which requests and retries of a service are counted.
	// Config.Window is bucketCount-1 buckets long; the additional one is the newest bucket, which
	// has not ended yet.
	bucketCount = 20
	// usableFraction is the fraction of the budget that entries use. The rest is a margin, because
	// an entry may not know all other entries, and the windows of entries don't start at the same
	// time.
	usableFraction = 0.8
)

// Config is the retry budget that each service has, over all entries.
type Config struct {
	// Ratio is the number of retries that each request to the service adds to the budget of its
	// window.
	Ratio float64
	// Window is the length of the sliding window in which requests and retries are counted.
	Window time.Duration
	// BaseRetries is the number of retries allowed within a window, over all entries, in addition
	// to those that requests add.
	BaseRetries int
}

// Decision says whether a retry is allowed, and on what grounds.
type Decision struct {
	Allowed bool
	// Spent is the number of retries that this entry has made within the window, without this one. Limit is
	// the number that it may make.
	Spent int
	Limit float64
	// Entries is the number of entries that share the budget.
	Entries int
	// CountingFor is the time for which this entry has counted requests and retries.
	CountingFor time.Duration
}

// Budgeter counts this entry's requests and retries by service, and decides whether a retry is
// allowed. It is safe for concurrent use.
type Budgeter struct {
	lock     sync.Mutex
	config   Config
	services map[string]*slidingWindow
	// startedAt is when this Budgeter began to count.
	startedAt time.Time
}

// New returns a Budgeter that has counted no requests or retries before the time now.
func New(now time.Time, c Config) *Budgeter {
	return &Budgeter{config: c, services: map[string]*slidingWindow{}, startedAt: now}
}

// Configure replaces the configuration.
func (b *Budgeter) Configure(c Config) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.config = c
}

// slidingWindow holds the numbers of requests and retries of a service in the latest bucketCount
// buckets.
type slidingWindow struct {
	requests, retries [bucketCount]int
	// newest is the number of the latest bucket, counted from the start of the Budgeter. Its counts
	// are at index newest%bucketCount.
	newest int64
}

// advance makes the given bucket the latest one, and sets the counts of buckets that were skipped
// or reused to 0. An older bucket changes nothing.
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

// windowOf returns the window of a service, advanced to the time now. The lock must be held.
func (b *Budgeter) windowOf(now time.Time, service string) *slidingWindow {
	w, ok := b.services[service]
	if !ok {
		w = &slidingWindow{}
		b.services[service] = w
	}
	// The difference is that of the monotonic clock, which steps of the time of day do not move.
	w.advance(int64(max(0, now.Sub(b.startedAt)) / max(1, b.config.Window/(bucketCount-1))))
	return w
}

// RecordRequest counts a request to a service at the time now.
func (b *Budgeter) RecordRequest(now time.Time, service string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	w := b.windowOf(now, service)
	w.requests[w.newest%bucketCount]++
}

// SpendRetry decides whether the budget of a service allows a retry at the time now, and counts the
// retry if so. Entries is the number of entries that share the budget.
func (b *Budgeter) SpendRetry(now time.Time, service string, entries int) Decision {
	b.lock.Lock()
	defer b.lock.Unlock()
	w := b.windowOf(now, service)
	d := b.decide(now, w, entries)
	if d.Allowed {
		w.retries[w.newest%bucketCount]++
	}
	return d
}

// AllowsRetry reports whether the budget of a service allows a retry at the time now. It does not
// count a retry. Entries is the number of entries that share the budget.
func (b *Budgeter) AllowsRetry(now time.Time, service string, entries int) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.decide(now, b.windowOf(now, service), entries).Allowed
}

// decide decides whether this entry may make one more retry within the window w. The lock must be
// held.
func (b *Budgeter) decide(now time.Time, w *slidingWindow, entries int) Decision {
	budget := b.config.Ratio*float64(sum(w.requests)) + float64(b.config.BaseRetries)/float64(max(1, entries))
	d := Decision{Spent: sum(w.retries), Limit: usableFraction * budget, Entries: entries, CountingFor: now.Sub(b.startedAt)}
	d.Allowed = float64(d.Spent+1) <= d.Limit
	return d
}

func sum(counts [bucketCount]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// Package budgeter limits retries. All entries share a retry budget for each service, without
// exchanging messages about it: each entry allows itself retries in proportion to its own requests,
// and the base number of retries divided by the number of entries.
package budgeter

import (
	"slices"
	"sync"
	"time"
)

const (
	// bucketTime is the time whose requests and retries are counted in one bucket. It does not depend on
	// Config.Window, so that what was counted stays valid when that changes.
	bucketTime = 100 * time.Millisecond
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

// bucket holds the numbers of requests and retries of a service in a time of length bucketTime.
type bucket struct {
	// number is the number of buckets from the start of the Budgeter to this one.
	number            int64
	requests, retries int
}

// slidingWindow holds the buckets of a service that overlap the window and in which something was counted, by
// ascending number.
type slidingWindow []bucket

// advance drops the buckets that end at or before start, the time since the start of the Budgeter at which the
// window begins.
func (w *slidingWindow) advance(start time.Duration) {
	expired := 0
	for expired < len(*w) && time.Duration((*w)[expired].number+1)*bucketTime <= start {
		expired++
	}
	*w = slices.Delete(*w, 0, expired)
}

// at returns the bucket with a number, or the latest one if that is later, as when two goroutines read the clock
// and then take the lock in another order.
func (w *slidingWindow) at(number int64) *bucket {
	if n := len(*w); n > 0 && (*w)[n-1].number >= number {
		return &(*w)[n-1]
	}
	*w = append(*w, bucket{number: number})
	return &(*w)[len(*w)-1]
}

// sums returns the requests in the buckets that begin at or after start, and the retries in all buckets: a bucket that
// has ended in part counts against the entry.
func (w slidingWindow) sums(start time.Duration) (requests, retries int) {
	for _, b := range w {
		if time.Duration(b.number)*bucketTime >= start {
			requests += b.requests
		}
		retries += b.retries
	}
	return requests, retries
}

// window returns the window of a service that ends at the time now, and when it begins, as the time since the
// start of the Budgeter. Both times are those of the monotonic clock, which steps of the time of day do not move. The lock
// must be held.
func (b *Budgeter) window(now time.Time, service string) (w *slidingWindow, start time.Duration) {
	w, ok := b.services[service]
	if !ok {
		w = &slidingWindow{}
		b.services[service] = w
	}
	start = now.Sub(b.startedAt) - b.config.Window
	w.advance(start)
	return w, start
}

// bucketAt returns the number of the bucket of the time now.
func (b *Budgeter) bucketAt(now time.Time) int64 { return int64(now.Sub(b.startedAt) / bucketTime) }

// RecordRequest counts a request to a service at the time now.
func (b *Budgeter) RecordRequest(now time.Time, service string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	w, _ := b.window(now, service)
	w.at(b.bucketAt(now)).requests++
}

// SpendRetry decides whether the budget of a service allows a retry at the time now, and counts the
// retry if so. Entries is the number of entries that share the budget.
func (b *Budgeter) SpendRetry(now time.Time, service string, entries int) Decision {
	b.lock.Lock()
	defer b.lock.Unlock()
	d := b.decide(now, service, entries)
	if d.Allowed {
		w, _ := b.window(now, service)
		w.at(b.bucketAt(now)).retries++
	}
	return d
}

// AllowsRetry reports whether the budget of a service allows a retry at the time now. It does not
// count a retry. Entries is the number of entries that share the budget.
func (b *Budgeter) AllowsRetry(now time.Time, service string, entries int) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.decide(now, service, entries).Allowed
}

// decide decides whether this entry may make one more retry at the time now. The lock must be held.
func (b *Budgeter) decide(now time.Time, service string, entries int) Decision {
	w, start := b.window(now, service)
	requests, retries := w.sums(start)
	budget := b.config.Ratio*float64(requests) + float64(b.config.BaseRetries)/float64(max(1, entries))
	d := Decision{Spent: retries, Limit: usableFraction * budget, Entries: entries, CountingFor: now.Sub(b.startedAt)}
	d.Allowed = float64(d.Spent+1) <= d.Limit
	return d
}

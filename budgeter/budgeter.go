// Package budgeter limits retries. All entries share a retry budget for each service: each entry allows itself retries in
// proportion to its own requests, and its part of the base number of retries, which is that number divided by the number of
// entries, plus what others lend it and less what it has lent (see package lender). What an entry has counted is gone when
// it restarts, so each has a part of the budget that it may use at once, and one that it may use at any
// time but only as it is added: the budget holds for all entries together however often they restart.
package budgeter

import (
	"slices"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/lender"
)

const (
	// bucketTime is the time whose requests and retries are counted in one bucket. It does not depend on
	// Config.Window, so that what was counted stays valid when that changes.
	bucketTime = 100 * time.Millisecond
	// usableFraction is the fraction of the budget that entries use. The rest is a margin, because an entry may
	// not know all other entries.
	usableFraction = 0.92
	// steadyFraction is the fraction of the budget that is added evenly, with each request and as time passes, and
	// lost if it is not used soon. Any number of restarts within a window adds up to no more than that fraction of
	// the window's budget. The rest may be used at once, but not within the first window after a restart,
	// since the retries of the predecessor still count.
	steadyFraction = 0.36
	// maxStored is the number of retries of the steady part that an entry stores.
	maxStored = 1
	// minSteady is the smallest number of retries of the steady part in a window. An entry with fewer has no steady
	// part: what it stored would be too large a part of it.
	minSteady = 2
)

// Config is the retry budget that each service has, over all entries.
type Config struct {
	// Ratio is the number of retries that each request to the service adds to the budget of its
	// window.
	Ratio float64
	// Window is the length of the sliding window in which requests and retries are counted. It is at least
	// bucketTime; a Budgeter takes a shorter one for that.
	Window time.Duration
	// BaseRetries is the number of retries allowed within a window, over all entries, in addition
	// to those that requests add.
	BaseRetries int
}

// Decision says whether a retry is allowed, and on what grounds.
type Decision struct {
	Allowed bool
	// Spent is the number of retries that this entry has made within the window or reserved, without this one. Limit is
	// the number that it may make within a window. A part of them becomes available as the window passes.
	Spent int
	Limit float64
	// Entries is the number of entries that share the budget; 0 if it is unknown.
	Entries int
	// CountingFor is the time for which this entry has counted requests and retries.
	CountingFor time.Duration
}

// Budgeter counts this entry's requests and retries by service, and decides whether a retry is
// allowed. It is safe for concurrent use.
type Budgeter struct {
	lock     sync.Mutex
	config   Config
	services map[string]*account
	// startedAt is when this Budgeter was created, the origin of all times below.
	startedAt time.Time
	// countsFrom is the time from which on this Budgeter has counted. isHistoryUnknown is true if retries from
	// before that time may exist.
	countsFrom       time.Duration
	isHistoryUnknown bool
	// ledger holds the parts of the base retries that entries lend each other; nil if they lend none.
	ledger *lender.Ledger
}

// New returns a Budgeter for an entry that starts at the time now, where no entry has made retries before.
func New(now time.Time, c Config) *Budgeter {
	c.Window = max(c.Window, bucketTime)
	return &Budgeter{config: c, services: map[string]*account{}, startedAt: now}
}

// NewAfterRestart returns a Budgeter for an entry that starts at the time now, where it or another entry may have made
// retries before. Nothing is known of them, so that the entry uses a small part of its budget until none of them is
// within the window any more.
func NewAfterRestart(now time.Time, c Config) *Budgeter {
	b := New(now, c)
	b.isHistoryUnknown = true
	return b
}

// Configure replaces the configuration at the time now. Within a longer window than before, the history is unknown.
func (b *Budgeter) Configure(now time.Time, c Config) {
	b.lock.Lock()
	defer b.lock.Unlock()
	c.Window = max(c.Window, bucketTime)
	if heldFrom := now.Sub(b.startedAt) - b.config.Window; c.Window > b.config.Window && heldFrom > b.countsFrom {
		b.countsFrom, b.isHistoryUnknown = heldFrom, true
	}
	b.config = c
}

// bucket holds the numbers of requests and retries of a service in a time of length bucketTime.
type bucket struct {
	// number is the number of buckets from the start of the Budgeter to this one.
	number            int64
	requests, retries int
	// bursts is the number of those retries that were not taken from the steady part of the budget.
	bursts int
}

// slidingWindow holds the buckets of a service that overlap the window and in which something was counted, by
// ascending number.
type slidingWindow []bucket

// account is what is known of the requests and retries of a service.
type account struct {
	window slidingWindow
	// stored is the number of retries of the steady part that were available at updatedAt, at most maxStored.
	// newRequests is the number of requests since.
	stored      float64
	updatedAt   time.Duration
	newRequests int
	// reservedSteady and reservedBursts are the numbers of retries that were allowed and not yet sent, by the part
	// of the budget that they were taken from.
	reservedSteady, reservedBursts int
}

// advance drops the buckets that end at or before start, the time since the start of the Budgeter at which the
// window begins.
func (w *slidingWindow) advance(start time.Duration) {
	expired := 0
	for expired < len(*w) && time.Duration((*w)[expired].number+1)*bucketTime <= start {
		expired++
	}
	*w = slices.Delete(*w, 0, expired)
}

// at returns the bucket of a time since the start of the Budgeter, or the latest one if that is later, as when two
// goroutines read the clock and then take the lock in another order.
func (w *slidingWindow) at(elapsed time.Duration) *bucket {
	number := int64(elapsed / bucketTime)
	if n := len(*w); n > 0 && (*w)[n-1].number >= number {
		return &(*w)[n-1]
	}
	*w = append(*w, bucket{number: number})
	return &(*w)[len(*w)-1]
}

// sums returns the requests in the buckets that begin at or after start, and the retries and bursts in all buckets: a
// bucket of which a part is older than the window counts against the entry.
func (w slidingWindow) sums(start time.Duration) (requests, retries, bursts int) {
	for _, b := range w {
		if time.Duration(b.number)*bucketTime >= start {
			requests += b.requests
		}
		retries += b.retries
		bursts += b.bursts
	}
	return requests, retries, bursts
}

// accountOf returns the account of a service at the time now, which is also returned as the time since the start of
// the Budgeter, by the monotonic clock: steps of the time of day do not move it. The lock must be held.
func (b *Budgeter) accountOf(now time.Time, service string) (a *account, elapsed time.Duration) {
	elapsed = now.Sub(b.startedAt)
	a, ok := b.services[service]
	if !ok {
		a = &account{updatedAt: b.countsFrom}
		b.services[service] = a
	}
	a.window.advance(elapsed - b.config.Window)
	return a, elapsed
}

// RecordRequest counts a request to a service at the time now.
func (b *Budgeter) RecordRequest(now time.Time, service string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	a, elapsed := b.accountOf(now, service)
	a.window.at(elapsed).requests++
	a.newRequests++
}

// Reservation is a retry that the budget allows. It counts against the budget until it is released and, if it was used,
// for a window after that.
type Reservation struct {
	budgeter *Budgeter
	account  *account
	isSteady bool
}

// Reserve decides whether the budget of a service allows a retry at the time now, and returns a reservation of it if so,
// nil otherwise. Entries is the number of entries that share the budget; while it is 0, the number is unknown, and this
// entry uses no base retries.
func (b *Budgeter) Reserve(now time.Time, service string, entries int) (*Reservation, Decision) {
	b.lock.Lock()
	defer b.lock.Unlock()
	a, elapsed := b.accountOf(now, service)
	d := b.decide(a, service, elapsed, entries)
	if b.ledger != nil {
		b.recordDemand(now, service, d, b.partState(a, elapsed, entries))
	}
	if !d.Allowed {
		return nil, d
	}
	r := &Reservation{budgeter: b, account: a, isSteady: a.stored >= 1}
	if r.isSteady {
		a.stored--
		a.reservedSteady++
	} else {
		a.reservedBursts++
	}
	return r, d
}

// Use counts the retry as sent to an upstream at the time now. It must be called at most once.
func (r *Reservation) Use(now time.Time) {
	b := r.budgeter
	b.lock.Lock()
	defer b.lock.Unlock()
	current := r.account.window.at(now.Sub(b.startedAt))
	current.retries++
	if r.isSteady {
		r.account.reservedSteady--
	} else {
		r.account.reservedBursts--
		current.bursts++
	}
}

// Release returns a reservation that was not used to the budget. A nil reservation is allowed.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.budgeter.lock.Lock()
	defer r.budgeter.lock.Unlock()
	if r.isSteady {
		r.account.reservedSteady--
		r.account.stored++
	} else {
		r.account.reservedBursts--
	}
}

// decide decides whether this entry may make one more retry, and updates a.stored. The lock must be held.
func (b *Budgeter) decide(a *account, service string, elapsed time.Duration, entries int) Decision {
	window := b.config.Window.Seconds()
	requests, retries, bursts := a.window.sums(elapsed - b.config.Window)
	spent, bursts := retries+a.reservedBursts+a.reservedSteady, bursts+a.reservedBursts
	base, baseAdded := b.base(a, service, elapsed, entries)
	d := Decision{Spent: spent, Entries: entries, CountingFor: elapsed - b.countsFrom}
	counted := min(1, d.CountingFor.Seconds()/window)
	// Requests are known since countsFrom, a part of the first window, so that base is taken for the same part.
	hasSteady := steadyFraction*(b.config.Ratio*float64(requests)+counted*base) >= counted*minSteady
	a.addSteady(steadyFraction*(b.config.Ratio*float64(a.newRequests)+baseAdded/window), hasSteady)
	a.updatedAt, a.newRequests = elapsed, 0

	budget := b.config.Ratio*float64(requests) + base
	steadyLimit := 0.0
	if hasSteady {
		steadyLimit = steadyFraction * budget
	}
	burstLimit := 0.0
	if counted >= 1 || !b.isHistoryUnknown {
		d.Limit = usableFraction * budget
		burstLimit = d.Limit - steadyLimit
		if hasSteady {
			burstLimit -= maxStored
		}
	} else {
		d.Limit = steadyLimit
	}
	d.Allowed = float64(spent+1) <= d.Limit && (a.stored >= 1 || float64(bursts+1) <= burstLimit)
	return d
}

// addSteady adds retries to those of the steady part that are stored, if the entry has one. Those that are reserved
// take up the place of stored ones.
func (a *account) addSteady(added float64, hasSteady bool) {
	a.stored = min(float64(maxStored-a.reservedSteady), a.stored+added)
	if !hasSteady {
		a.stored = 0
	}
}

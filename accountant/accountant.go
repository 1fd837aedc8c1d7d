// Package accountant limits the memory that an entry holds for others: connections, requests, responses, frames of other
// entries and documents. All of it counts in one Account, whose limit follows from the memory that the entry may use.
// Whoever is not granted memory refuses what it is for, before the process exceeds its limit and is killed.
package accountant

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Class is what memory is held for. It decides which part of the limit may be used for it.
type Class int

const (
	// Request is for requests and their bodies, and for frames and documents.
	Request Class = iota
	// Buffer is for responses that are read ahead of their callers. Without it, only their upstreams are slower.
	Buffer
	// Connection is for connections of clients and the heads that arrive on them. If there is none, others can be closed.
	Connection
	// largeRequest is the class of Request holdings above ModestBytes.
	largeRequest
	classCount
)

// ModestBytes is the size up to which a Request holding is granted memory as long as there is any.
const ModestBytes = 256 << 10

// bounds limits what a class may use.
type bounds struct {
	// share is the fraction of the limit that the class may use, ceiling that up to which it may fill the account,
	// together with all other classes. The rest is left to those with a higher ceiling.
	share, ceiling float64
	// isByOwner is true if what one owner uses of the class is bounded too.
	isByOwner bool
}

var classBounds = [classCount]bounds{
	Request:      {share: 1, ceiling: 1},
	Buffer:       {share: 1. / 3, ceiling: 0.8, isByOwner: true},
	Connection:   {share: 0.5, ceiling: 0.9},
	largeRequest: {share: 0.8, ceiling: 0.8, isByOwner: true},
}

const (
	// ownerFactor bounds what one owner uses of a class, as a multiple of what is left of the class (dynamic
	// thresholds, as in shared-memory switches): eight ninths if no other owner uses any, less the more the
	// others use, and a part of what is left for each new one.
	ownerFactor = 8
	// shortFraction is the fraction of the limit in use above which IsShort returns true.
	shortFraction = 0.5
)

const (
	// minRetryAfter and maxRetryAfter bound what RetryAfter returns. The longest requests take some seconds.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// rateWindow is the time over which the rate of released memory is averaged.
	rateWindow = 2 * time.Second
)

// Account counts the memory that is held. It is safe for concurrent use.
type Account struct {
	lock sync.Mutex
	// limit is the number of bytes that may be held, held the number that is.
	limit, held int64
	// byClass is the part of held of each class, byOwner what each owner has of it; an owner without any has no
	// element.
	byClass [classCount]int64
	byOwner [classCount]map[string]int64
	// released counts the bytes released since windowAt, lastReleased those of the window before, which began at
	// least rateWindow earlier and took lastWindow.
	released, lastReleased int64
	windowAt               time.Time
	lastWindow             time.Duration
	// refusals counts the calls that were not granted memory.
	refusals int64
}

const (
	// heapFraction is the fraction of the memory of a process that its heap may grow to. The rest is for what the Go
	// runtime does not count: the program itself, and bytes that have arrived and are not read yet.
	heapFraction = 0.7
	// accountFraction is the fraction of the memory of a process that an Account may hold. The rest of the heap is for
	// the state of the entry and for garbage.
	accountFraction = 0.375
	// defaultMemory is the memory of a process whose settings state none.
	defaultMemory = 256 << 20
)

// HeapLimit returns the soft limit of the heap, in bytes, of a process that may use memory bytes; for
// runtime/debug.SetMemoryLimit.
func HeapLimit(memory int64) int64 { return int64(heapFraction * float64(memory)) }

// LimitFor returns the limit of an Account, in bytes, in a process that may use memory bytes; 0 stands for a process whose
// settings state no limit.
func LimitFor(memory int64) int64 {
	if memory <= 0 {
		memory = defaultMemory
	}
	return int64(accountFraction * float64(memory))
}

// New returns an Account that allows limit bytes.
func New(limit int64) *Account {
	a := &Account{limit: limit, windowAt: time.Now()}
	for c := range a.byOwner {
		a.byOwner[c] = map[string]int64{}
	}
	return a
}

// SetLimit changes the limit. If more is held, nothing is granted until enough was released.
func (a *Account) SetLimit(limit int64) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.limit = limit
}

// Usage is a snapshot of an Account, in bytes.
type Usage struct {
	Limit, Held int64
	// Large, Buffers and Connections are the parts of Held for large requests, buffers and connections.
	Large, Buffers, Connections int64
	// Refusals is the number of times that memory was not granted.
	Refusals int64
}

// Usage returns the present use.
func (a *Account) Usage() Usage {
	a.lock.Lock()
	defer a.lock.Unlock()
	return Usage{Limit: a.limit, Held: a.held, Large: a.byClass[largeRequest], Buffers: a.byClass[Buffer], Connections: a.byClass[Connection], Refusals: a.refusals}
}

// IsShort reports whether so much is held that no memory should be kept for those that make no progress.
func (a *Account) IsShort() bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	return float64(a.held) > shortFraction*float64(a.limit)
}

// RetryAfter returns the time after which a caller that was not granted n bytes may try again: the time in which as
// much is released at the present rate, spread over its double, so that not all return at once.
func (a *Account) RetryAfter(n int64) time.Duration {
	a.lock.Lock()
	defer a.lock.Unlock()
	now := time.Now()
	a.turnWindow(now)
	expected := maxRetryAfter
	if rate := float64(a.released+a.lastReleased) / (now.Sub(a.windowAt) + a.lastWindow).Seconds(); rate > 0 {
		expected = time.Duration(min(float64(n)/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	expected += time.Duration(rand.Float64() * float64(expected))
	return min(maxRetryAfter, max(minRetryAfter, expected))
}

// turnWindow begins a new window for the rate of released memory if rateWindow has passed. The lock must be held.
func (a *Account) turnWindow(now time.Time) {
	if age := now.Sub(a.windowAt); age >= rateWindow {
		a.lastReleased, a.lastWindow = a.released, age
		a.released, a.windowAt = 0, now
	}
}

// Holding is the memory that one connection, request, response, frame or document takes. It is safe for concurrent use.
// A nil Holding grants everything and counts nothing.
type Holding struct {
	account *Account
	// owner is on whose behalf the memory is held, for the thresholds.
	owner string
	class Class
	// bytes is the size of the holding. The lock of the account guards it. isClosed is true once Close was called.
	bytes    int64
	isClosed bool
}

// Open returns an empty Holding of an owner for a class. It must be closed. That of a nil Account is nil.
func (a *Account) Open(owner string, class Class) *Holding {
	if a == nil {
		return nil
	}
	return &Holding{account: a, owner: owner, class: class}
}

// Grow adds n bytes, and reports whether they are granted. If they are not, nothing is added.
func (h *Holding) Grow(n int64) bool {
	if h == nil || n <= 0 {
		return true
	}
	a := h.account
	a.lock.Lock()
	defer a.lock.Unlock()
	if h.isClosed || !a.allows(h, n) {
		a.refusals++
		return false
	}
	a.set(h, h.bytes+n)
	return true
}

// Resize makes the holding take bytes, and reports whether they are granted. If they are not, its size stays. It is always
// granted to shrink.
func (h *Holding) Resize(bytes int64) bool {
	more := bytes - h.Bytes()
	if more < 0 {
		h.Shrink(-more)
		return true
	}
	return h.Grow(more)
}

// Force adds n bytes whatever the limit: it is for what the entry can't do without, whose size has a bound of its own.
// Until they are released, less is granted to others.
func (h *Holding) Force(n int64) {
	if h == nil || n <= 0 {
		return
	}
	h.account.lock.Lock()
	defer h.account.lock.Unlock()
	if !h.isClosed {
		h.account.set(h, h.bytes+n)
	}
}

// allows reports whether a holding may grow by n bytes. The lock must be held.
func (a *Account) allows(h *Holding, n int64) bool {
	class, more := h.classFor(h.bytes+n), n
	if class != h.classFor(h.bytes) {
		more += h.bytes // all of it changes its class
	}
	b := classBounds[class]
	left := min(int64(b.ceiling*float64(a.limit))-a.held-n, int64(b.share*float64(a.limit))-a.byClass[class]-more)
	return left >= 0 && (!b.isByOwner || a.byOwner[class][h.owner]+more <= ownerFactor*left)
}

// classFor returns the class of the holding if it has a size.
func (h *Holding) classFor(bytes int64) Class {
	if h.class == Request && bytes > ModestBytes {
		return largeRequest
	}
	return h.class
}

// set changes the size of a holding. The lock must be held.
func (a *Account) set(h *Holding, bytes int64) {
	a.add(h.classFor(h.bytes), h.owner, -h.bytes)
	a.add(h.classFor(bytes), h.owner, bytes)
	if bytes < h.bytes {
		a.released += h.bytes - bytes
		a.turnWindow(time.Now())
	}
	h.bytes = bytes
}

// add adds bytes, which may be negative, to what an owner has of a class. The lock must be held.
func (a *Account) add(class Class, owner string, bytes int64) {
	a.held += bytes
	a.byClass[class] += bytes
	if !classBounds[class].isByOwner {
		return
	}
	if a.byOwner[class][owner] += bytes; a.byOwner[class][owner] == 0 {
		delete(a.byOwner[class], owner)
	}
}

// Shrink subtracts n bytes, at most as many as are held.
func (h *Holding) Shrink(n int64) {
	if h == nil || n <= 0 {
		return
	}
	h.account.lock.Lock()
	defer h.account.lock.Unlock()
	h.account.set(h, max(0, h.bytes-n))
}

// Bytes returns the size of the holding.
func (h *Holding) Bytes() int64 {
	if h == nil {
		return 0
	}
	h.account.lock.Lock()
	defer h.account.lock.Unlock()
	return h.bytes
}

// Close releases all of the holding. Later calls have no effect, and nothing is granted any more.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	h.account.lock.Lock()
	defer h.account.lock.Unlock()
	h.account.set(h, 0)
	h.isClosed = true
}

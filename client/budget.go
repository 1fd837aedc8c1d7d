package client

import "sync"

const (
	// budgetMost is how many retries may come in a burst.
	budgetMost = 10
	// budgetShare is how many retries each request earns: in the long run
	// retries add a tenth to the load, whatever fails.
	budgetShare = 0.1
)

// budget bounds retries of what was not run, so that the callers of an
// overloaded fleet do not keep it overloaded.
type budget struct {
	lock sync.Mutex
	// spent is at least 0 and at most budgetMost.
	spent float64
}

// request earns a part of a retry.
func (b *budget) request() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.spent = max(0, b.spent-budgetShare)
}

// retry takes a retry, and reports whether there was one to take.
func (b *budget) retry() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.spent > budgetMost-1 {
		return false
	}
	b.spent++
	return true
}

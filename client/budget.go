package client

import "sync"

const (
	// maxRetryBurst is how many retries may come in a burst.
	maxRetryBurst = 10
	// retriesPerRequest is how many retries each request earns: in the long run
	// retries add a tenth to the load, whatever fails.
	retriesPerRequest = 0.1
)

// retryBudget bounds retries of what was not run, so that the callers of an
// overloaded fleet do not keep it overloaded.
type retryBudget struct {
	lock sync.Mutex
	// spent is at least 0 and at most budgetMost.
	spent float64
}

// addRequest earns a part of a retry.
func (b *retryBudget) addRequest() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.spent = max(0, b.spent-retriesPerRequest)
}

// tryRetry takes a retry, and reports whether there was one to take.
func (b *retryBudget) tryRetry() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.spent > maxRetryBurst-1 {
		return false
	}
	b.spent++
	return true
}

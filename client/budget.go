package client

import "sync"

const (
	// maxRetryBurst is the maximum number of retries that the budget allows while no new requests are sent.
	maxRetryBurst = 10
	// retriesPerRequest is the number of retries that each request adds to the budget. It limits the load that
	// retries add in the long run to a tenth, however many requests fail.
	retriesPerRequest = 0.1
)

// retryBudget bounds the number of retries of requests that were not run and have no ticket, so that retries can't keep
// an overloaded fleet of entries overloaded. It is safe for concurrent use. The zero value allows maxRetryBurst retries.
type retryBudget struct {
	lock sync.Mutex
	// spent is the number of retries made minus retriesPerRequest for each new request, from 0 to maxRetryBurst.
	spent float64
}

// addRequest adds retriesPerRequest to the budget for a new request.
func (b *retryBudget) addRequest() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.spent = max(0, b.spent-retriesPerRequest)
}

// tryRetry takes a retry from the budget. It returns false if less than one retry is left.
func (b *retryBudget) tryRetry() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.spent > maxRetryBurst-1 {
		return false
	}
	b.spent++
	return true
}

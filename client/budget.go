package client

import "sync"

const (
	// maxRetryBurst is the maximum number of retries that the budget allows while no new requests are made.
	maxRetryBurst = 10
	// retriesPerRequest is the number of retries that each new request adds to the budget. It limits the
	// additional load by retries in the long run to a tenth, however many requests fail.
	retriesPerRequest = 0.1
)

// retryBudget limits the retries that a client makes without a ticket, so that they can't keep overloaded entries
// overloaded. Retries with a ticket are not counted. It is safe for concurrent use. The zero value allows
// maxRetryBurst retries.
type retryBudget struct {
	lock sync.Mutex
	// spent is the number of retries made minus retriesPerRequest for each new request, limited to 0 to
	// maxRetryBurst. The budget allows a retry while spent is at most maxRetryBurst-1.
	spent float64
}

// addRequest adds retriesPerRequest to the budget. It is called once for each new request.
func (b *retryBudget) addRequest() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.spent = max(0, b.spent-retriesPerRequest)
}

// tryRetry reports whether the budget allows a retry, and counts the retry if so.
func (b *retryBudget) tryRetry() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.spent > maxRetryBurst-1 {
		return false
	}
	b.spent++
	return true
}

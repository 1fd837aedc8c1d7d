package budgeter

import (
	"strings"
	"time"

	"github.com/sapphireramp/sapphireramp/lender"
)

// RetryResource is the kind of the resources of retry budgets in a lender.Ledger: the text before the colon of a name,
// after which the name of the service follows.
const RetryResource = "retries"

// SetLedger sets the ledger of the parts of the base retries that entries lend each other. Without one, an entry has
// its own part only.
func (b *Budgeter) SetLedger(l *lender.Ledger) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.ledger = l
}

// base returns the number of base retries that this entry may make within a window, and the integral over that number, in
// retries times seconds, since the account was updated last. The lock must be held.
func (b *Budgeter) base(a *account, service string, elapsed time.Duration, entries int) (now, added float64) {
	if entries <= 0 {
		return 0, 0
	}
	if b.ledger == nil {
		base := float64(b.config.BaseRetries) / float64(entries)
		return base, base * (elapsed - a.updatedAt).Seconds()
	}
	s, resource := b.partState(a, elapsed, entries), RetryResource+":"+service
	at := b.startedAt.Add(elapsed)
	now = float64(b.config.BaseRetries) * b.ledger.Part(at, resource, s)
	return now, float64(b.config.BaseRetries) * b.ledger.Accrued(b.startedAt.Add(a.updatedAt), at, resource, s)
}

// PartState returns the state of this entry's part of the base retries, by its name in the ledger; false if there is no
// such part. Entries is as in Reserve.
func (b *Budgeter) PartState(now time.Time, resource string, entries int) (lender.State, bool) {
	service, ok := strings.CutPrefix(resource, RetryResource+":")
	b.lock.Lock()
	defer b.lock.Unlock()
	if !ok || entries <= 0 || b.config.BaseRetries <= 0 {
		return lender.State{}, false
	}
	a, known := b.services[service]
	if !known {
		return b.partState(&account{}, 0, entries), true
	}
	elapsed := now.Sub(b.startedAt)
	a.window.advance(elapsed - b.config.Window)
	return b.partState(a, elapsed, entries), true
}

// partState returns the state of this entry's part of the base retries. What it has used of it is what it could not
// have retried by its own requests alone. The lock must be held.
func (b *Budgeter) partState(a *account, elapsed time.Duration, entries int) lender.State {
	s := lender.State{Window: b.config.Window + bucketTime}
	if entries <= 0 || b.config.BaseRetries <= 0 {
		return s
	}
	s.Unit, s.Owns = 1/float64(entries), true
	requests, retries, _ := a.window.sums(elapsed - b.config.Window)
	spent := float64(retries + a.reservedBursts + a.reservedSteady)
	s.Used = max(0, spent/usableFraction-b.config.Ratio*float64(requests)) / (float64(b.config.BaseRetries) * s.Unit)
	return s
}

// recordDemand records in the ledger what this entry needs of the base retries of a service, after a decision.
func (b *Budgeter) recordDemand(now time.Time, service string, d Decision, s lender.State) {
	if !d.Allowed {
		b.ledger.WantMore(now, RetryResource+":"+service, s)
		return
	}
	b.ledger.KeepWhatIsUsed(now, RetryResource+":"+service, s)
}

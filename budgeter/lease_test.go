package budgeter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/budgeter"
	"github.com/sapphireramp/sapphireramp/lender"
)

// lendingFleet is a fleet of budgeters in front of one service, which lend each other parts of the base retries.
type lendingFleet struct {
	config  budgeter.Config
	now     time.Time
	names   []string
	entries []*lendingEntry
	random  *rand.Rand
	// requested and retried hold the times of all requests and retries.
	requested, retried []time.Time
}

type lendingEntry struct {
	budgeter *budgeter.Budgeter
	ledger   *lender.Ledger
	// incarnation is incremented with each restart.
	incarnation uint64
}

var lendingConfig = budgeter.Config{Ratio: 0.2, Window: 10 * time.Second, BaseRetries: 100}

const lendingStep = 50 * time.Millisecond

func newLendingFleet(size int, c budgeter.Config) *lendingFleet {
	f := &lendingFleet{config: c, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2))}
	for i := range size {
		f.names = append(f.names, fmt.Sprint("entry-", i))
		f.entries = append(f.entries, &lendingEntry{})
		f.start(i, true)
	}
	return f
}

// start starts the entry with index i, again if it runs.
func (f *lendingFleet) start(i int, isFirst bool) {
	e, newBudgeter := f.entries[i], budgeter.NewAfterRestart
	if isFirst {
		newBudgeter = budgeter.New
	}
	e.incarnation++
	e.ledger = lender.New(f.now, lender.Config{Name: f.names[i], Incarnation: e.incarnation, IsFirstStart: isFirst})
	e.budgeter = newBudgeter(f.now, f.config)
	e.budgeter.SetLedger(e.ledger)
}

// request makes an entry serve requests, each of which needs a retry.
func (f *lendingFleet) request(i, count int) {
	b := f.entries[i].budgeter
	for range count {
		b.RecordRequest(f.now, "lm")
		f.requested = append(f.requested, f.now)
		if spend(b, f.now, "lm", len(f.entries)) {
			f.retried = append(f.retried, f.now)
		}
	}
}

// lend makes all entries ask for loans. Entries with an index in lost don't get the requests, and a tenth of all replies
// is lost.
func (f *lendingFleet) lend(lost func(i int) bool) {
	for _, e := range f.entries {
		for _, a := range e.ledger.Asks(f.now, f.names) {
			for i, other := range f.entries {
				if f.names[i] != a.Lender || lost(i) {
					continue
				}
				grant := other.ledger.Lend(f.now, a.Ask, func(resource string) (lender.State, bool) {
					return other.budgeter.PartState(f.now, resource, len(f.entries))
				})
				if f.random.IntN(10) > 0 {
					e.ledger.Accept(f.now, grant)
				}
			}
		}
	}
}

// budgetUse returns the largest and the mean of the retries in each window, as fractions of the budget.
func (f *lendingFleet) budgetUse() (worst, mean float64) {
	windows := 0
	for from := f.requested[0]; !from.Add(f.config.Window).After(f.now); from = from.Add(lendingStep) {
		within := func(times []time.Time) (n int) {
			for _, t := range times {
				if !t.Before(from) && t.Before(from.Add(f.config.Window)) {
					n++
				}
			}
			return n
		}
		use := float64(within(f.retried)) / (f.config.Ratio*float64(within(f.requested)) + float64(f.config.BaseRetries))
		worst, mean, windows = max(worst, use), mean+use, windows+1
	}
	return worst, mean / float64(windows)
}

// run calls step each lendingStep for a time, and lets entries ask for loans each 250 ms.
func (f *lendingFleet) run(duration time.Duration, lost func(i int) bool, step func(n int)) {
	for n := range int(duration / lendingStep) {
		f.now = f.now.Add(lendingStep)
		step(n)
		if n%5 == 0 {
			f.lend(lost)
		}
	}
}

func none(int) bool { return false }

// Guards against base retries that nobody uses because few of many entries serve all requests: with parts of a
// 58th, six of them used 0.54 of the budget.
func TestFewBusyEntriesUseTheRetryBudget(t *testing.T) {
	f := newLendingFleet(58, lendingConfig)
	f.run(40*time.Second, none, func(n int) {
		for i := range 6 {
			if (n+i)%2 == 0 { // 60 requests a second in all
				f.request(i, 1)
			}
		}
	})
	worst, mean := f.budgetUse()
	t.Logf("%.2f of the budget in the worst window, %.2f in the mean", worst, mean)
	if mean < 0.75 || worst > 1 {
		t.Errorf("%.2f of the budget in the mean and %.2f in the worst window, want at least 0.75 and at most 1", mean, worst)
	}
}

// Guards against base retries that both the lender and the borrower of a part make: one entry and all others need all
// that they get in turn, entries are killed and start again, and some don't get requests for loans. Requests add little to
// the budget here.
func TestRetryBudgetHoldsWhileEntriesLend(t *testing.T) {
	most := 0.0
	for seed := range uint64(20) {
		f := newLendingFleet(6, budgeter.Config{Ratio: 0.005, Window: 10 * time.Second, BaseRetries: 200})
		f.random = rand.New(rand.NewPCG(seed, 2))
		busy, cut := 0, 6
		turn := 30 + int(seed)*10 // steps of 50 ms
		f.run(60*time.Second, func(i int) bool { return i == cut }, func(n int) {
			if n%turn == 0 {
				busy, cut = f.random.IntN(6), f.random.IntN(12)
			}
			if n%(turn/2) == 10 && seed%2 == 0 {
				f.start(f.random.IntN(6), false)
			}
			for i := range f.entries {
				if (i == busy) == (n/turn%2 == 0) {
					f.request(i, 3)
				}
			}
		})
		worst, mean := f.budgetUse()
		most = max(most, worst)
		if worst > 1 {
			t.Errorf("seed %d: %.2f of the budget in the worst window, %.2f in the mean, want at most 1", seed, worst, mean)
		}
	}
	t.Logf("%.2f of the budget in the worst window", most)
}

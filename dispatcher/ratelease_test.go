package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireramp/sapphireramp/lender"
)

// lend makes all entries exchange loans each 250 ms until a time.
func (f *limitedFleet) lend(ledgers []*lender.Ledger, until time.Time) {
	for ; time.Now().Before(until); time.Sleep(250 * time.Millisecond) {
		for _, l := range ledgers {
			for _, a := range l.Asks(time.Now(), f.names) {
				i := slices.Index(f.names, a.Lender)
				l.Accept(time.Now(), ledgers[i].Lend(time.Now(), a.Ask, func(resource string) (lender.State, bool) { return f.entries[i].RatePart(time.Now(), resource) }))
			}
		}
	}
}

// Guards against a rate limit that is hardly used because one entry gets all requests, also where fewer entries than all
// share it and the busy one may not be one of them, and against loans with which it is exceeded.
func TestBusyEntryBorrowsRateLimit(t *testing.T) {
	for _, size := range []int{2, 6, 58, 380} {
		for _, perSecond := range []float64{2, 12, 120} {
			t.Run(fmt.Sprintf("%d/%g", size, perSecond), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newLimitedFleet(size, perSecond)
					var ledgers []*lender.Ledger
					for i, d := range f.entries {
						l := lender.New(time.Now(), lender.Config{Name: f.names[i], IsFirstStart: true})
						d.SetLedger(l)
						ledgers = append(ledgers, l)
					}
					const duration = 40 * time.Second
					until := time.Now().Add(duration)
					go f.lend(ledgers, until)
					for time.Now().Before(until) {
						time.Sleep(time.Duration(float64(time.Second) / (2 * perSecond)))
						p, refusal := f.entries[0].Place(time.Now(), Demand{Service: "app"})
						if refusal == nil {
							f.requests[p.First.ID] = append(f.requests[p.First.ID], time.Now())
							p.End(time.Now(), Answered)
						}
					}
					synctest.Wait()
					for id, times := range f.requests {
						use := float64(len(times)) / (perSecond * duration.Seconds())
						_, senders := f.entries[0].sharedRate(f.entries[0].upstreams[id])
						t.Logf("%.2f of the limit is used, %d entries share it", use, senders)
						expected := 0.7
						if senders > 58 {
							expected = 0.3 // an entry borrows of 48 others at most
						}
						if use < expected {
							t.Errorf("%.2f of the limit is used, want at least %.2f", use, expected)
						}
						if most := f.mostIn(id, rateWindow); float64(most) > perSecond*(rateWindow+rateBurstTime).Seconds()+2 {
							t.Errorf("%d requests in %s", most, rateWindow)
						}
					}
				})
			})
		}
	}
}

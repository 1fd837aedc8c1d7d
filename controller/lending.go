package controller

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/lender"
)

const (
	// lendPeriod is the interval at which an entry that needs more of a quantity than its part asks others. A demand
	// is mostly met after two or three rounds, in less than a second.
	lendPeriod = 250 * time.Millisecond
	// lendTimeout is the timeout of a request for loans and its reply. A reply that takes longer is lost for the
	// borrower, while the lender counts its loans.
	lendTimeout = 400 * time.Millisecond
)

// PartStateFunc returns this entry's state of its part of a resource; false if there is none.
type PartStateFunc func(now time.Time, resource string) (lender.State, bool)

// lending is what a Controller needs to exchange loans with other entries.
type lending struct {
	metrics lendingMetrics
	// lock guards the fields below.
	lock sync.Mutex
	// lent, borrowed and refused limit the log lines about loans.
	lent, borrowed, refused logLimiter
}

// lendingMetrics are the metrics of loans.
type lendingMetrics struct {
	asks, refused tally.Counter
	scope         tally.Scope
}

func newLendingMetrics(scope tally.Scope) lendingMetrics {
	return lendingMetrics{asks: scope.Counter("quota_asks"), refused: scope.Counter("quota_asks_refused"), scope: scope}
}

// record sets the gauges of the parts lent and borrowed, by the kind of resource.
func (m lendingMetrics) record(kinds []string, totals []lender.Totals) {
	lent, borrowed := map[string]float64{}, map[string]float64{}
	for _, t := range totals {
		lent[kindOf(t.Resource)] += t.Lent
		borrowed[kindOf(t.Resource)] += t.Borrowed
	}
	for _, kind := range kinds {
		scope := m.scope.Tagged(map[string]string{"resource": kind})
		scope.Gauge("quota_lent").Update(lent[kind])
		scope.Gauge("quota_borrowed").Update(borrowed[kind])
	}
}

// kindOf returns the kind of a resource: the text before the colon of its name.
func kindOf(resource string) string {
	kind, _, _ := strings.Cut(resource, ":")
	return kind
}

// borrowParts asks other entries for loans each lendPeriod, while this entry needs any, until the context ends.
func (c *Controller) borrowParts(ctx context.Context) {
	tick := time.NewTicker(lendPeriod)
	defer tick.Stop()
	kinds := slices.Collect(maps.Keys(c.config.PartStates))
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c.askForParts()
		c.lending.metrics.record(kinds, c.config.Ledger.Totals(time.Now()))
	}
}

// askForParts sends the requests for loans of one round. It does not wait for the replies, which are processed as they
// arrive: at most six in a round, with a timeout.
func (c *Controller) askForParts() {
	if !c.config.Ledger.Needs(time.Now()) {
		return
	}
	var names []string
	addresses := map[string]netip.AddrPort{}
	for _, p := range c.current.Load().peers {
		if !p.dead && !p.stopping {
			names = append(names, p.name)
			addresses[p.name] = p.address
		}
	}
	for _, a := range c.config.Ledger.Asks(time.Now(), names) {
		c.lending.metrics.asks.Inc(1)
		go c.ask(a, addresses[a.Lender])
	}
}

// ask sends a request for loans and records the reply. An entry of a version that does not lend replies with an error.
func (c *Controller) ask(a lender.AddressedAsk, address netip.AddrPort) {
	var grant lender.Grant
	err := c.lendPool.Call(address, rpcName+".Lend", a.Ask, &grant, lendTimeout)
	var loans []lender.GrantItem
	if err == nil {
		loans = c.config.Ledger.Accept(time.Now(), grant)
	} else {
		c.config.Ledger.Fail(time.Now(), a.Ask.ID)
	}
	if len(loans) > 0 {
		c.logLoan(&c.lending.borrowed, func(skipped int) {
			c.config.Log.Info("quota_borrowed", zap.String("resource", loans[0].Resource), zap.Float64("parts", loans[0].Parts), zap.Float64("unit", loans[0].Unit),
				zap.String("lender", a.Lender), zap.Int("loans", len(loans)), zap.Duration("lease_ms", grant.Lease), zap.Int("skipped", skipped))
		})
		return
	}
	c.lending.metrics.refused.Inc(1)
	c.logLoan(&c.lending.refused, func(skipped int) {
		c.config.Log.Info("quota_refused", zap.String("resource", a.Ask.Items[0].Resource), zap.Float64("parts", a.Ask.Items[0].Parts),
			zap.String("lender", a.Lender), zap.Int("skipped", skipped), zap.Error(err))
	})
}

// logLoan calls log unless the limiter suppresses the line.
func (c *Controller) logLoan(limiter *logLimiter, log func(skipped int)) {
	c.lending.lock.Lock()
	skipped, ok := limiter.allow(time.Now())
	c.lending.lock.Unlock()
	if ok {
		log(skipped)
	}
}

// errLendsNothing is the error that peers receive for a request for loans to an entry that does not lend.
var errLendsNothing = errors.New("this entry lends nothing")

// Lend decides on a request for loans of another entry. It is called over net/rpc, and fails at an entry that
// is shutting down: others may count on its parts from its exit on.
func (p *PeerService) Lend(ask lender.Ask, reply *lender.Grant) error {
	c := p.controller
	if c.config.Ledger == nil || c.current.Load().Stopping {
		return errLendsNothing
	}
	*reply = c.config.Ledger.Lend(time.Now(), ask, func(resource string) (lender.State, bool) {
		return c.partState(time.Now(), resource)
	})
	if len(reply.Items) > 0 {
		first := reply.Items[0]
		c.logLoan(&c.lending.lent, func(skipped int) {
			c.config.Log.Info("quota_lent", zap.String("resource", first.Resource), zap.Float64("parts", first.Parts), zap.Float64("unit", first.Unit),
				zap.String("borrower", ask.Borrower), zap.Int("loans", len(reply.Items)), zap.Duration("lease_ms", reply.Lease), zap.Int("skipped", skipped))
		})
	}
	return nil
}

// partState returns this entry's state of its part of a resource; false if there is none.
func (c *Controller) partState(now time.Time, resource string) (lender.State, bool) {
	state, ok := c.config.PartStates[kindOf(resource)]
	if !ok {
		return lender.State{}, false
	}
	return state(now, resource)
}

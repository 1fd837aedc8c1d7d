package controller

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/lender"
)

// newLendingController returns a controller of an entry that lends the resource rate:1, and knows another entry. It
// counts the connections that it tries to open, which fail.
func newLendingController(dials *int, log *zap.Logger) *Controller {
	c := newTestState(1).controller
	c.config.Ledger = lender.New(time.Now(), lender.Config{Name: "self", IsFirstStart: true})
	c.config.PartStates = map[string]PartStateFunc{"rate": func(_ time.Time, resource string) (lender.State, bool) {
		return lender.State{Unit: 0.5, Owns: true}, resource == "rate:1"
	}}
	c.config.Log, c.lending.metrics = log, newLendingMetrics(tally.NoopScope)
	c.lendPool = connector.NewPool(func(context.Context, string, string) (net.Conn, error) {
		*dials++
		return nil, errors.New("out of reach")
	}, nil)
	c.current.Store(&view{peers: []peer{{name: "entry-0"}, {name: "entry-1", dead: true}, {name: "entry-2", stopping: true}}})
	return c
}

// Guards against an entry that lends what it does not know, or lends on its way out, when others divide its part.
func TestLendRefusesWhatItMustNotLend(t *testing.T) {
	is := is.New(t)
	dials := 0
	c := newLendingController(&dials, zap.NewNop())
	lend := func(resource string) (loans int, err error) {
		var grant lender.Grant
		err = (&PeerService{controller: c}).Lend(lender.Ask{ID: 1, Borrower: "b", Items: []lender.AskItem{{Resource: resource, Parts: 0.5}}}, &grant)
		return len(grant.Items), err
	}
	for resource, expected := range map[string]int{"rate:1": 1, "rate:2": 0, "unknown:1": 0, "": 0} {
		loans, err := lend(resource)
		is.NoErr(err)
		is.Equal(loans, expected)
	}
	stopping := view{}
	stopping.Stopping = true
	c.current.Store(&stopping)
	_, err := lend("rate:1")
	is.True(err != nil) // stopping
	c.current.Store(&view{})
	c.config.Ledger = nil
	_, err = lend("rate:1")
	is.True(err != nil) // lends nothing
}

// Guards against calls without need, to entries that are dead or stopping, and again and again to one that is out of reach.
func TestAsksOnlyWhenNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dials := 0
		c := newLendingController(&dials, zap.NewNop())
		ask := func() {
			c.askForParts()
			synctest.Wait()
		}
		ask()
		is.Equal(dials, 0) // no need
		s := lender.State{Unit: 0.5, Owns: true}
		c.config.Ledger.Want(time.Now(), "rate:1", s, 2)
		ask()
		is.Equal(dials, 1) // only entry-0 runs
		ask()
		is.Equal(dials, 1) // it has just failed
		is.Equal(c.config.Ledger.Part(time.Now(), "rate:1", s), 0.5)
		time.Sleep(2 * time.Second)
		ask()
		is.Equal(dials, 1) // no need any more
	})
}

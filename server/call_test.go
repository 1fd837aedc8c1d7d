package server

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/client"
)

// All calls went to the instance that the document names first, while the others were idle.
func TestCallsAreSpreadOverInstances(t *testing.T) {
	withCrashingServices(t, 3, func(f *testFleet, c *crashingServices) {
		is := is.New(t)
		for range 90 {
			_, err := f.client(1).Call(context.Background(), "dispatch", "lookup", []byte("{}"), client.Options{Timeout: 5 * time.Second})
			is.NoErr(err)
		}
		served := c.answerCounts()
		is.Equal(len(served), 3)
		for _, n := range served {
			is.True(n >= 10) // a third each would be 30
		}
	})
}

// An instance that froze took a third of all calls, each until its limit, for as long as it was listed.
func TestCallsAvoidAFrozenInstance(t *testing.T) {
	withCrashingServices(t, 3, func(f *testFleet, c *crashingServices) {
		is := is.New(t)
		c.freeze(host(4, 2))
		caller := f.client(1)
		failed := 0
		for range 60 {
			if _, err := caller.Call(context.Background(), "dispatch", "lookup", []byte("{}"), client.Options{Timeout: time.Second}); err != nil {
				failed++
			}
		}
		is.True(failed <= 6) // two an entry at most
		c.freeze(netip.Addr{})
		time.Sleep(20 * time.Second)
		before := c.answerCounts()[host(4, 2)]
		for range 60 {
			_, err := caller.Call(context.Background(), "dispatch", "lookup", []byte("{}"), client.Options{Timeout: time.Second})
			is.NoErr(err)
		}
		is.True(c.answerCounts()[host(4, 2)] > before) // it is used again
	})
}

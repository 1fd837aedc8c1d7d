package server

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/client"
)

// Guards against calls all going to the instance that the document lists first while the others are idle.
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
			is.True(n >= 10) // an even spread would be 30
		}
	})
}

// Guards against a frozen instance receiving a third of all calls, each of which runs into its timeout, for
// as long as the instance is listed.
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
		is.True(failed <= 6) // at most two per entry
		c.freeze(netip.Addr{})
		time.Sleep(20 * time.Second)
		before := c.answerCounts()[host(4, 2)]
		for range 60 {
			_, err := caller.Call(context.Background(), "dispatch", "lookup", []byte("{}"), client.Options{Timeout: time.Second})
			is.NoErr(err)
		}
		is.True(c.answerCounts()[host(4, 2)] > before) // the instance is used again
	})
}

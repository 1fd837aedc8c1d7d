package server

import (
	"context"
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
		served := c.served()
		is.Equal(len(served), 3)
		for _, n := range served {
			is.True(n >= 10) // a third each would be 30
		}
	})
}

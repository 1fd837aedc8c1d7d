//go:build knownred

package server

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/client"
)

// Callers whose addresses are from before a stop send calls that may run at
// most once, and may try four times. Where the stopping entry was the one asked
// for a ticket, its refusal ended the call, with another entry ready.
func TestTicketIsHadElsewhereAtAStop(t *testing.T) {
	withReadyFleet(t, func(f *testFleet) {
		is := is.New(f.t)
		var callers []*client.Client
		for range 10 {
			c := f.client(4)
			_, err := c.Addresses(context.Background())
			is.NoErr(err)
			callers = append(callers, c)
		}
		f.entries[0].stop()
		time.Sleep(10 * time.Millisecond)
		for _, c := range callers {
			_, err := c.Call(context.Background(), "dispatch", "truck", []byte(`{}`), client.Options{Timeout: 5 * time.Second, Once: true})
			is.NoErr(err)
		}
	})
}

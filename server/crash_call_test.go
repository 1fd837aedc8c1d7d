package server

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/client"
)

// Instances of a service crash one after the other under one call that is sent repeatedly through all
// entries, as engines did under one prompt on the users' platform. Guards against one call crashing instance
// after instance.
func TestCallThatCrashesServicesIsQuarantined(t *testing.T) {
	withCrashingServices(t, 6, func(f *testFleet, c *crashingServices) {
		is := is.New(t)
		for i := range 40 {
			// Both repeatable calls and at-most-once calls crash instances.
			call := []string{"lookup", "truck"}[i/20]
			_, err := f.client(1).Call(context.Background(), "dispatch", call, []byte(crashingBody), client.Options{Timeout: 5 * time.Second, AtMostOnce: call == "truck"})
			is.True(err != nil)
			time.Sleep(200 * time.Millisecond)
		}
		is.True(len(c.crashTimes()) >= 6)  // three for each call
		is.True(len(c.crashTimes()) <= 12) // and the calls that were in progress
		time.Sleep(5 * time.Second)
		for range 10 {
			_, err := f.client(1).Call(context.Background(), "dispatch", "lookup", []byte("{}"), client.Options{Timeout: 5 * time.Second})
			is.NoErr(err)
		}
	})
}

// Guards against quarantining a call that runs at the same time as one that crashes instances.
func TestCallBesideCrashingCallIsNotQuarantined(t *testing.T) {
	withCrashingServices(t, 6, func(f *testFleet, c *crashingServices) {
		is := is.New(t)
		for range 30 {
			var calls sync.WaitGroup
			for _, body := range []string{crashingBody, `{"innocent":true}`} {
				calls.Go(func() {
					_, _ = f.client(1).Call(context.Background(), "dispatch", "lookup", []byte(body), client.Options{Timeout: 5 * time.Second})
				})
			}
			calls.Wait()
			time.Sleep(200 * time.Millisecond)
		}
		is.True(len(c.crashTimes()) >= 3)
		time.Sleep(5 * time.Second)
		for range 10 {
			_, err := f.client(1).Call(context.Background(), "dispatch", "lookup", []byte(`{"innocent":true}`), client.Options{Timeout: 5 * time.Second})
			is.NoErr(err)
		}
	})
}

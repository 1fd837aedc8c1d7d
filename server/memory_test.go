package server

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/client"
)

// Guards against entries whose memory grows with the bodies of all calls in progress. Calls without memory are refused,
// and are not run; small ones are served beside them.
func TestLargeCallsStayWithinMemory(t *testing.T) {
	withCrashingServices(t, 1, func(f *testFleet, c *crashingServices) {
		is := is.New(t)
		f.memory = 64 << 20
		entry := f.entries[0]
		f.killEntry(entry)
		entry.settings = f.settingsOf(entry)
		f.startEntry(entry)
		time.Sleep(5 * time.Second)
		c.freeze(host(4, 1))
		body := bytes.Repeat([]byte(" "), 1<<20)
		var calls sync.WaitGroup
		var lock sync.Mutex
		refused, others := 0, 0
		caller := f.directClient(entry, 1)
		for range 30 {
			calls.Go(func() {
				_, err := caller.Call(context.Background(), "dispatch", "lookup", body, client.Options{Timeout: 5 * time.Second})
				lock.Lock()
				defer lock.Unlock()
				var refusal *client.EntryError
				if errors.As(err, &refusal) && refusal.Detail.Code == api.CodeOverloaded && refusal.Detail.Outcome == api.OutcomeNotRun {
					refused++
				} else {
					others++
				}
			})
		}
		time.Sleep(time.Second)
		use := entry.server.account.Usage()
		is.True(use.Held <= use.Limit && use.Held >= 10<<20)
		c.freeze(netip.Addr{})
		_, err := caller.Call(context.Background(), "dispatch", "lookup", []byte("{}"), client.Options{Timeout: 5 * time.Second})
		is.NoErr(err)
		calls.Wait()
		t.Logf("%d refused, %d others", refused, others)
		is.True(refused > 0 && others > 0)
		time.Sleep(time.Second)
		synctest.Wait() // until heartbeats that are due at this instant are written: they count meanwhile
		left := entry.server.account.Usage()
		is.Equal(left.Held, left.Connections) // open connections go on counting
	})
}

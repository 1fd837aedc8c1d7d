package soak

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// frozenFor is longer than entries let an engine be silent (1.8 s on these routes), and shorter than callers wait
// for an event.
const frozenFor = 2100 * time.Millisecond

// Guards against an entry that runs again after it was frozen, and takes its engines for silent, although
// they have sent their events meanwhile: streams were cut, or begun a second time at another engine.
func TestStreamsOfFrozenEntryGoOn(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 9900, 2)
	f.awaitReady(15 * time.Second)
	frozen := f.entries[0]
	var callers sync.WaitGroup
	ids := make([]string, 24)
	for n := range ids {
		ids[n] = fmt.Sprintf("frozen-%d", n)
		callers.Go(func() {
			c := f.newCaller(n)
			defer c.Close()
			c.SetFixedAddress(netip.AddrPortFrom(frozen.host, callerPort))
			if r := c.Do("/stream/x", ids[n], "key-1", 20*time.Second); r.Status != http.StatusOK || r.Err != nil {
				t.Errorf("%s: status %d, error %v", ids[n], r.Status, r.Err)
			}
		})
	}
	time.Sleep(600 * time.Millisecond)
	frozen.signal(syscall.SIGSTOP)
	time.Sleep(frozenFor)
	frozen.signal(syscall.SIGCONT)
	callers.Wait()
	log, err := os.ReadFile(filepath.Join(f.directory, "entry-0.log"))
	is.NoErr(err)
	is.True(!strings.Contains(string(log), "the upstream sent nothing for too long"))
	started := 0
	for _, id := range ids {
		started += len(f.observations().Executions(id))
	}
	is.Equal(started, len(ids))
}

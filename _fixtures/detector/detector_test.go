// Package detector crashes the race detector of Go 1.26 by its own fault, without a data race: why
// _scripts/race.sh runs tests with a paused clock on one processor. Run it by its path:
//
//	go test -race ./_fixtures/detector                 # CHECK failed or SIGSEGV within 0.1 s
//	GOMAXPROCS=1 go test -race ./_fixtures/detector    # passes
//
// Once the first passes a few times with a newer toolchain, the script may run all tests alike again.
package detector

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func TestTimersReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var readers sync.WaitGroup
		for range 8 {
			readers.Go(func() {
				for range 20000 {
					timer := time.NewTimer(time.Millisecond)
					time.Sleep(2 * time.Millisecond)
					select {
					case <-timer.C:
					default:
						t.Error("a timer that is due has no value")
					}
				}
			})
		}
		readers.Wait()
	})
}

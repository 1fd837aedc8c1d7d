// Package detector reproduces a fault of the race detector of Go 1.26, which crashes in a program without a
// data race. Because of it, _scripts/race.sh runs tests in a synctest bubble on one processor. Run the package
// by its path, as ./... leaves it out:
//
//	go test -race ./_fixtures/detector                 # CHECK failed or SIGSEGV within 0.1 s
//	GOMAXPROCS=1 go test -race ./_fixtures/detector    # passes
//
// Once the first command passes several times with a newer toolchain, the script may run all tests in the same
// way again.
package detector

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestTimersReadAtOnce reads timers that are due in eight goroutines at once. Their value has to be there.
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

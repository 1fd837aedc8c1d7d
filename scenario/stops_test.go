package scenario

import (
	"flag"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// With these flags, each process of a fleet runs for about stopRun, then stands still for a random time up to
// stopPause, again and again, as on a machine that is far too busy. Such stops show what tests beside busy
// loops do not: a process that has not run for a second.
var (
	stopRun   = flag.Duration("stops.run", 100*time.Millisecond, "mean time for which a process runs between two stops")
	stopPause = flag.Duration("stops.pause", 0, "longest time for which a process is stopped; 0 for no stops")
	stopSeed  = flag.Uint64("stops.seed", 1, "seed of the times of stops")
)

// stopAtRandom stops and continues a process until it has ended. The times depend on the seed and the process's
// name.
func stopAtRandom(name string, process *os.Process) {
	if *stopPause == 0 {
		return
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	random := rand.New(rand.NewPCG(*stopSeed, h.Sum64()))
	for {
		time.Sleep(*stopRun/2 + time.Duration(random.Int64N(int64(*stopRun))))
		if process.Signal(syscall.SIGSTOP) != nil {
			return
		}
		time.Sleep(time.Duration(random.Int64N(int64(*stopPause))))
		if process.Signal(syscall.SIGCONT) != nil {
			return
		}
	}
}

package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A waiting prompt searches for a placement again and again. Guards against a slow machine that spends
// its CPU time on these searches: the time between two searches is at least ten times the duration of
// a search, so that one prompt uses at most an eleventh of a CPU.
func TestPollIntervalGrowsWithSearchTime(t *testing.T) {
	is := is.New(t)
	is.Equal(pollInterval(0), minPollInterval)
	is.Equal(pollInterval(time.Millisecond), minPollInterval)
	is.Equal(pollInterval(17*time.Millisecond), 170*time.Millisecond)
}

package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A waiting prompt uses at most an eleventh of a CPU for its searches, however slow the machine is.
func TestPollIntervalGrowsWithSearchTime(t *testing.T) {
	is := is.New(t)
	is.Equal(pollInterval(0), minPollInterval)
	is.Equal(pollInterval(time.Millisecond), minPollInterval)
	is.Equal(pollInterval(17*time.Millisecond), 170*time.Millisecond)
}

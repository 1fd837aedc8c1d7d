package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Waiting prompts take at most an eleventh of a processor each, however slow it is.
func TestPollIntervalGrowsWithSearchTime(t *testing.T) {
	is := is.New(t)
	is.Equal(pollAfter(0), waitPoll)
	is.Equal(pollAfter(time.Millisecond), waitPoll)
	is.Equal(pollAfter(17*time.Millisecond), 170*time.Millisecond)
}

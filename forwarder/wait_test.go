package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Waiting prompts take at most an eleventh of a processor each, however slow it is.
func TestWaitingPromptsLeaveTheProcessorToOthers(t *testing.T) {
	is := is.New(t)
	is.Equal(pollInterval(0), minPollInterval)
	is.Equal(pollInterval(time.Millisecond), minPollInterval)
	is.Equal(pollInterval(17*time.Millisecond), 170*time.Millisecond)
}

package budgeter_test

import (
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/budgeter"
)

// withTimeOfDayStepped returns t as the runtime's clock would have returned it if the time of day had stepped by
// some seconds: the monotonic clock reading is the same. A time.Time with both holds the seconds of the time of day
// above 30 bits of nanoseconds in its first word.
func withTimeOfDayStepped(t time.Time, seconds int) time.Time {
	*(*uint64)(unsafe.Pointer(&t)) += uint64(seconds) << 30
	return t
}

func TestSteppedTimeKeepsItsMonotonicReading(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	stepped := withTimeOfDayStepped(now, 12)
	is.Equal(stepped.Sub(now), time.Duration(0))
	is.Equal(stepped.Round(0).Sub(now.Round(0)), 12*time.Second)
}

// Guards against a step of the time of day that makes an entry forget the retries that it has made, or keeps them
// beyond their window.
func TestTimeOfDayStepsDoNotMoveTheWindow(t *testing.T) {
	for name, seconds := range map[string]int{"ahead": 12, "back": -12} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Now().Add(-time.Minute)
			b := budgeter.New(start, config)
			now := start.Add(20 * time.Second)
			for spend(b, now, "lm", 7) {
			}
			is.True(!spend(b, withTimeOfDayStepped(now.Add(time.Second), seconds), "lm", 7))
			is.True(!spend(b, now.Add(2*time.Second), "lm", 7))                                // the step is over
			is.True(spend(b, withTimeOfDayStepped(now.Add(11*time.Second), seconds), "lm", 7)) // a window later
		})
	}
}

package clock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/standin/clock"
)

func TestStepTimeOfDayKeepsTheMonotonicReading(t *testing.T) {
	for _, seconds := range []int{12, -12} {
		is := is.New(t)
		now := time.Now()
		stepped := clock.StepTimeOfDay(now, seconds)
		is.Equal(stepped.Sub(now), time.Duration(0))
		is.Equal(stepped.Round(0).Sub(now.Round(0)), time.Duration(seconds)*time.Second)
	}
}

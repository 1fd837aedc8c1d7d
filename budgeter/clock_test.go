package budgeter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/budgeter"
	"github.com/sapphireramp/sapphireramp/standin/clock"
)

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
			is.True(!spend(b, clock.StepTimeOfDay(now.Add(time.Second), seconds), "lm", 7))
			is.True(!spend(b, now.Add(2*time.Second), "lm", 7))                               // the step is over
			is.True(spend(b, clock.StepTimeOfDay(now.Add(11*time.Second), seconds), "lm", 7)) // a window later
		})
	}
}

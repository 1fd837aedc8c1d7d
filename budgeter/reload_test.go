package budgeter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/budgeter"
)

// Guards against a reload of settings with another window that makes an entry forget the retries that it has made, or
// that stops its window.
func TestReloadWithAnotherWindowKeepsWhatWasCounted(t *testing.T) {
	for _, window := range []time.Duration{8 * time.Second, 12 * time.Second} {
		t.Run(window.String(), func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			b := budgeter.New(start, config)
			now := start.Add(20 * time.Second)
			for spend(b, now, "lm", 7) {
			}
			changed := config
			changed.Window = window
			b.Configure(now, changed)
			is.True(!spend(b, now.Add(time.Second), "lm", 7))
			is.True(spend(b, now.Add(30*time.Second), "lm", 7))
		})
	}
}

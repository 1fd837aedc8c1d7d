//go:build knownred

package launcher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The end of an entry comes while bodies are on their way to it, some of them whole a moment
// later. Nothing was passed on, but the callers see their connections closed in place of
// an answer that says so, and the log calls them caller_left.
func TestEndOfAnEntryIsToldToThoseStillSending(t *testing.T) {
	withLongAnswers(t, func(is *is.I, f *fleet) {
		q := question{path: "/once/slow/x", at: -100 * time.Millisecond}
		var questions []question
		for _, whole := range []time.Duration{lifetime + 40*time.Millisecond, lifetime + 80*time.Millisecond, lifetime + time.Second} {
			q.body = whole - q.at
			questions = append(questions, q)
		}
		for i, r := range f.askStopping(f.entries[0], questions) {
			if r.Err != nil {
				t.Errorf("body until %s after the order to stop: %v", questions[i].body+questions[i].at, r.Err)
				continue
			}
			is.Equal(r.Status, 503)
			is.Equal(f.runs(r.ID), 0)
		}
	})
}

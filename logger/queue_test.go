package logger_test

import (
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/logger"
)

// blockedOutput is an output whose reader stands still until it is released.
type blockedOutput struct {
	release chan struct{}
	lock    sync.Mutex
	text    strings.Builder
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.text.Write(p)
}

// A reader of the log that stands still holds up nobody, and what could not
// be kept is counted.
func TestStuckReaderDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		output := &blockedOutput{release: make(chan struct{})}
		q := logger.NewQueue(output)
		const lines = 5000
		for range lines {
			_, err := io.WriteString(q, "event=x\n")
			is.NoErr(err)
		}
		close(output.release)
		is.NoErr(q.Close())
		text := output.text.String()
		is.True(strings.Contains(text, "event=log_lines_dropped count="))
		is.True(strings.Count(text, "event=x\n") < lines)
	})
}

// Beside a slow reader the lines of failed requests are kept, and those of
// answered ones dropped.
func TestFailuresAreDroppedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		output := &blockedOutput{release: make(chan struct{})}
		q := logger.NewQueue(output)
		logs, err := logger.New(logger.Config{Level: "info", Output: q, WarnOutput: q.PriorityWriter()})
		is.NoErr(err)
		const lines, failures = 5000, 200
		for i := range lines {
			logs.Layer(logger.LayerEntry).Info("answered")
			if i%(lines/failures) == 0 {
				logs.Layer(logger.LayerEntry).Warn("failed")
			}
		}
		close(output.release)
		is.NoErr(q.Close())
		text := output.text.String()
		is.Equal(strings.Count(text, "event=failed"), failures)
		is.True(strings.Count(text, "event=answered") < lines)
		is.True(strings.Contains(text, "event=log_lines_dropped count="))
	})
}

// At the end of an entry a call to another one was still under way, and logged its failure after the queue
// was closed: "panic: send on closed channel", exit status 2, and the last lines were lost.
func TestLinesAfterTheEndAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		output := &blockedOutput{release: make(chan struct{})}
		close(output.release)
		q := logger.NewQueue(output)
		_, err := io.WriteString(q, "event=early\n")
		is.NoErr(err)
		var writers sync.WaitGroup
		for range 8 {
			writers.Go(func() {
				for range 1000 {
					_, _ = io.WriteString(q.PriorityWriter(), "event=late\n") // queued, or dropped
				}
			})
		}
		is.NoErr(q.Close())
		writers.Wait()
		_, err = io.WriteString(q, "event=last\n")
		is.NoErr(err)
		text := output.text.String()
		is.True(strings.Contains(text, "event=early"))
		is.True(!strings.Contains(text, "event=last"))
	})
}

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

// blockedOutput is an io.Writer that blocks until release is closed, and collects the text written.
type blockedOutput struct {
	release chan struct{}
	lock    sync.Mutex
	text    strings.Builder
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.text.Write(p)
}

// Writes to a queue do not block while its output does, and the number of dropped
// lines is logged.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
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

// If the output is slow, lines below the level warn are dropped and warnings are kept.
func TestWarningsAreDroppedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		output := &blockedOutput{release: make(chan struct{})}
		q := logger.NewQueue(output)
		logs, err := logger.New(logger.Config{Level: "info", Output: q, WarnOutput: q.WarningWriter()})
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

// A call that was in progress at the exit of an entry logged its failure after the queue was closed. The
// process ended with "panic: send on closed channel" and exit status 2, and the last lines were lost.
func TestLinesAfterCloseAreDropped(t *testing.T) {
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
					_, _ = io.WriteString(q.WarningWriter(), "event=late\n") // queued, or dropped
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

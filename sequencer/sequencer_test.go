package sequencer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/sequencer"
)

// Commands from many goroutines run one at a time, and none runs after Run has returned.
func TestCommandsRunOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := sequencer.New[*int]()
		ctx, stop := context.WithCancel(context.Background())
		count, ticks, after := 0, 0, 0
		go q.Run(ctx, &count, 100*time.Millisecond, func(time.Time) { ticks++ }, func() { after++ })
		var work sync.WaitGroup
		for range 50 {
			work.Add(1)
			go func() {
				defer work.Done()
				q.Do(func(n *int) { *n++ })
			}()
		}
		work.Wait()
		time.Sleep(250 * time.Millisecond)
		stop()
		<-q.Stopped()
		is.Equal(count, 50)
		is.Equal(ticks, 2)
		is.Equal(after, 52)
		q.Do(func(n *int) { *n++ })
		is.Equal(count, 50)
	})
}

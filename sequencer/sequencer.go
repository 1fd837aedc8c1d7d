// Package sequencer runs functions that access shared state one after the other, on the single
// goroutine that owns the state.
package sequencer

import (
	"context"
	"time"
)

// Sequencer runs commands, functions that access a state of type S, one after the other on the
// goroutine of Run. It is safe for concurrent use. A command must not call Do: it would deadlock.
type Sequencer[S any] struct {
	commands chan func(S)
	stopped  chan struct{}
}

// New returns a Sequencer. Calls of Do block until Run is called.
func New[S any]() *Sequencer[S] {
	return &Sequencer[S]{commands: make(chan func(S)), stopped: make(chan struct{})}
}

// Do runs a command on the goroutine of Run and waits until it has run. Before Run is called Do
// blocks; after Run has returned Do returns without running the command.
func (q *Sequencer[S]) Do(command func(S)) {
	done := make(chan struct{})
	wrapped := func(s S) {
		defer close(done)
		command(s)
	}
	select {
	case q.commands <- wrapped:
		<-done
	case <-q.stopped:
	}
}

// Stopped returns a channel that is closed when Run returns. From then on no command runs.
func (q *Sequencer[S]) Stopped() <-chan struct{} { return q.stopped }

// Run runs the commands passed to Do on the state, and tick with the current time once per period,
// until the context ends. It calls afterEach after every command and every tick, on the same
// goroutine. It must be called only once.
func (q *Sequencer[S]) Run(ctx context.Context, state S, period time.Duration, tick func(time.Time), afterEach func()) {
	defer close(q.stopped)
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-q.commands:
			command(state)
		case <-ticker.C:
			tick(time.Now())
		}
		afterEach()
	}
}

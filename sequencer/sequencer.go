// Package sequencer serialises commands on state that a single goroutine owns.
package sequencer

import (
	"context"
	"time"
)

// Sequencer runs commands on a state of type S one after the other. It is safe for concurrent
// use. A command must not call Do, which would deadlock.
type Sequencer[S any] struct {
	commands chan func(S)
	stopped  chan struct{}
}

// New returns a Sequencer whose commands wait until Run is called.
func New[S any]() *Sequencer[S] {
	return &Sequencer[S]{commands: make(chan func(S)), stopped: make(chan struct{})}
}

// Do runs a command on the state and waits until it has run. Before Run is called Do blocks, and
// after Run has returned it does nothing.
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

// Stopped returns a channel that is closed when Run returns.
func (q *Sequencer[S]) Stopped() <-chan struct{} { return q.stopped }

// Run runs the commands on the state, and tick once per period with the current time, until
// the context ends. It calls afterEach after every command and every tick.
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

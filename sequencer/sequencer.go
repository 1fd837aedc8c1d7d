// Package sequencer runs commands on state that one goroutine owns.
package sequencer

import (
	"context"
	"time"
)

// Sequencer runs commands one after the other. It is safe for concurrent use;
// a command must not run another one.
type Sequencer[S any] struct {
	commands chan func(S)
	stopped  chan struct{}
}

// New returns a sequencer that runs nothing yet.
func New[S any]() *Sequencer[S] {
	return &Sequencer[S]{commands: make(chan func(S)), stopped: make(chan struct{})}
}

// Do runs a command and waits for it. After Run has ended it does nothing.
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

// Stopped is closed once Run has ended.
func (q *Sequencer[S]) Stopped() <-chan struct{} { return q.stopped }

// Run runs commands on the state, and tick once each period, until the context
// ends. After each of them it calls after.
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

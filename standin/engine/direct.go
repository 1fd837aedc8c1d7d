package engine

import (
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

// Prompt is an attempt given to a Batcher directly, without HTTP.
type Prompt struct {
	AttemptID string
	Request   api.CompletionRequest
	Priority  int
	// Group is the hold ids of a group.
	Group []string
}

// Running is an attempt that was given to a Batcher directly.
type Running struct{ s *stream }

// Give starts an attempt. Nothing is started when it returns an error.
func (b *Batcher) Give(now time.Time, p Prompt) (*Running, error) {
	s, err := b.Start(now, start{
		requestID: p.AttemptID, attemptID: p.AttemptID, owner: "direct", priority: p.Priority, group: p.Group, request: p.Request,
	})
	if err != nil {
		return nil, err
	}
	return &Running{s: s}, nil
}

// Tokens takes the tokens that were made since the last call, and reports
// whether the answer has ended.
func (r *Running) Tokens() (made int, ended bool) {
	for {
		select {
		case c, more := <-r.s.events:
			if !more {
				return made, true
			}
			made += c.Choices[0].Tokens
		default:
			return made, false
		}
	}
}

// Slow divides the engine's speed, as a gray failure does: it answers all
// questions and works slowly.
func (b *Batcher) Slow(factor int) {
	b.config.PrefillRate = max(1, b.config.PrefillRate/factor)
	b.config.TokenTime *= time.Duration(factor)
}

// Lag sets the age of the load report.
func (b *Batcher) Lag(lag time.Duration) { b.config.ReportLag = lag }

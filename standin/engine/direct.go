package engine

import (
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

// DirectAttempt is an attempt given to a Batcher directly, without HTTP.
type DirectAttempt struct {
	AttemptID string
	Request   api.CompletionRequest
	Priority  int
	// GroupHoldIDs is the hold ids of a group.
	GroupHoldIDs []string
}

// RunningAttempt is an attempt that was given to a Batcher directly.
type RunningAttempt struct{ stream *stream }

// StartDirect starts an attempt. Nothing is started when it returns an error.
func (b *Batcher) StartDirect(now time.Time, p DirectAttempt) (*RunningAttempt, error) {
	s, err := b.Start(now, startParams{
		requestID: p.AttemptID, attemptID: p.AttemptID, owner: "direct", priority: p.Priority, group: p.GroupHoldIDs, request: p.Request,
	})
	if err != nil {
		return nil, err
	}
	return &RunningAttempt{stream: s}, nil
}

// ReceiveTokens takes the tokens that were made since the last call, and reports
// whether the answer has ended.
func (r *RunningAttempt) ReceiveTokens() (received int, ended bool) {
	for {
		select {
		case c, open := <-r.stream.chunks:
			if !open {
				return received, true
			}
			received += c.Choices[0].Tokens
		default:
			return received, false
		}
	}
}

// SlowDown divides the engine's speed, as a gray failure does: it answers all
// questions and works slowly.
func (b *Batcher) SlowDown(factor int) {
	b.config.PrefillRate = max(1, b.config.PrefillRate/factor)
	b.config.TokenTime *= time.Duration(factor)
}

// SetReportLag sets the age of the load report.
func (b *Batcher) SetReportLag(reportLag time.Duration) { b.config.ReportLag = reportLag }

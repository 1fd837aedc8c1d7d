package engine

import (
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

// DirectAttempt holds the parameters of an attempt that a simulation starts on a
// Batcher without HTTP.
type DirectAttempt struct {
	// AttemptID serves as the request ID too.
	AttemptID string
	Request   api.CompletionRequest
	// Priority orders prefill; attempts with a higher value are prefilled first.
	Priority int
	// GroupHoldIDs lists the IDs of all holds of the group that holds the
	// prompt; empty if one engine holds all of it.
	GroupHoldIDs []string
}

// RunningAttempt is an attempt started by StartDirect. Its method ReceiveTokens
// receives the answer.
type RunningAttempt struct{ stream *stream }

// StartDirect starts an attempt without HTTP. It returns a RefusedError, and
// starts nothing, under the same conditions as Start.
func (b *Batcher) StartDirect(now time.Time, p DirectAttempt) (*RunningAttempt, error) {
	s, err := b.Start(now, startParams{
		requestID: p.AttemptID, attemptID: p.AttemptID, owner: "direct", priority: p.Priority, group: p.GroupHoldIDs, request: p.Request,
	})
	if err != nil {
		return nil, err
	}
	return &RunningAttempt{stream: s}, nil
}

// ReceiveTokens returns the number of answer tokens generated since the previous
// call, and whether the answer has ended. It doesn't block.
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

// SlowDown divides the speed of prefill and decoding by factor. It emulates a
// grey failure: the engine still answers every request, but slowly.
func (b *Batcher) SlowDown(factor int) {
	b.config.PrefillRate = max(1, b.config.PrefillRate/factor)
	b.config.TokenTime *= time.Duration(factor)
}

// SetReportLag sets the age of the load that LoadReport returns.
func (b *Batcher) SetReportLag(reportLag time.Duration) { b.config.ReportLag = reportLag }

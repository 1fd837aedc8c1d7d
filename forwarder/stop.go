package forwarder

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/matcher"
)

// restartDuration is how long an entry needs to finish most of its requests after it stopped
// accepting callers, and to start again.
const restartDuration = 2 * time.Second

// ErrShutdown is the cause with which the requests still in progress are cancelled when their entry
// exits.
var ErrShutdown = errors.New("the entry exits")

// shutdownFailure returns the failure of a request that was cancelled because its entry exits, nil
// for any other request. caller is the context of the caller's request.
func (x *exchange) shutdownFailure(caller context.Context, v *View, cause error) *failure {
	if !errors.Is(context.Cause(caller), ErrShutdown) {
		return nil
	}
	if x.pendingCount == 0 && !x.responseBegun {
		return refuseStopping(v, ErrShutdown)
	}
	return unknownOutcomeFailure(reasonCutOff, cause)
}

// mayOutlastEntry reports whether a request may still be in progress when a stopping entry exits.
// Only the deadline of the request bounds that for certain: the length of a response is unknown
// until its last event.
func (x *exchange) mayOutlastEntry(v *View) bool { return v.Stopping && x.deadline.After(v.StopBy) }

// refusesWhileStopping reports whether a stopping entry refuses a request without a search for a
// placement: the request may outlast the entry, and its caller can't have got the address from the
// directory any more. The predicted end of the response is no safe bound, even if no other entry
// accepts callers.
func (v *View) refusesWhileStopping(x *exchange) bool {
	return x.mayOutlastEntry(v) && x.arrivedAt.After(v.AddressValidUntil.Add(-stopSignalDelay))
}

// stopSignalDelay is how long a busy machine may take to handle a stop signal.
const stopSignalDelay = 100 * time.Millisecond

// limitIfStopping makes the dispatcher place a request at a stopping entry only if the longest
// allowed response is predicted to end before the entry exits. Whatever ends in time is served,
// since a refused caller may reach another stopping entry and rarely tries a third time. There is
// no limit for a response that has begun, nor for a plain request that may have run: these go on
// for as long as possible, and the caller gets the whole response or a failure at the exit.
func (x *exchange) limitIfStopping(v *View, d dispatcher.Demand) dispatcher.Demand {
	if !x.mayOutlastEntry(v) || x.responseBegun || x.pendingCount > 0 && !x.isStream() {
		return d
	}
	return x.limitToStop(v, d)
}

// isStream reports whether the request is answered by a stream of events.
func (x *exchange) isStream() bool { return x.route.Kind == matcher.Stream }

// limitToStop limits a demand to the time that remains until a stopping entry exits. The limit is
// broadcast to all entries like the deadline of a request, so that they place no long prompts on
// the engine that answers.
func (x *exchange) limitToStop(v *View, d dispatcher.Demand) dispatcher.Demand {
	d.MaxAnswerTokens, d.EndWithin = x.metadata.MaxAnswerTokens, max(1, time.Until(v.StopBy))
	d.Remaining = min(d.Remaining, d.EndWithin)
	return d
}

// stopRetryAfter returns after what time a caller refused by a stopping entry can be served: at
// once if another entry accepts callers, otherwise once this entry has restarted, soon after its
// address has become invalid.
func (v *View) stopRetryAfter() time.Duration {
	if v.OtherEntries > 0 {
		return immediateRetry
	}
	return max(0, time.Until(v.AddressValidUntil)) + restartDuration
}

// refuseStopping returns the refusal of a stopping entry.
func refuseStopping(v *View, cause error) *failure {
	return notRunFailure(reasonStopping, v.stopRetryAfter(), cause)
}

// stopLogFields returns, for a stopping entry, the log field with the time from at until the entry
// exits, and nil for any other entry.
func (v *View) stopLogFields(at time.Time) []zap.Field {
	if !v.Stopping {
		return nil
	}
	return []zap.Field{zap.Duration("stop_left_ms", v.StopBy.Sub(at))}
}

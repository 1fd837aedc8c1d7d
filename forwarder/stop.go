package forwarder

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/matcher"
)

// restartDuration is the usual time from when a stopping entry closes its listener until it has
// completed its requests, exited and started again.
const restartDuration = 2 * time.Second

// ErrShutdown is the cause with which the requests still in progress are cancelled when their entry
// exits.
var ErrShutdown = errors.New("the entry exits")

// shutdownFailure returns the failure of a request that was cancelled because its entry exits: status
// 503 if the request has not run, 502 if it may have. It returns nil for any other request. caller is
// the context of the caller's request, and cause the error that ended the request.
func (x *exchange) shutdownFailure(caller context.Context, v *View, cause error) *failure {
	if !errors.Is(context.Cause(caller), ErrShutdown) {
		return nil
	}
	if x.pendingCount == 0 && !x.responseBegun {
		return refuseStopping(v, ErrShutdown)
	}
	return unknownOutcomeFailure(reasonCutOff, cause)
}

// mayOutlastEntry reports whether the entry is stopping and exits before the deadline of a request, so
// that the request may still be in progress at the exit. The deadline is the only certain limit: the
// length of a response is unknown until its last event.
func (x *exchange) mayOutlastEntry(v *View) bool { return v.Stopping && x.deadline.After(v.StopBy) }

// refusesWhileStopping reports whether a stopping entry refuses a request without a search for a
// placement: mayOutlastEntry returns true, and the request arrived after the time until which callers
// may use the entry's address, which is AddressValidUntil less stopSignalDelay. The predicted end of the response can be wrong and is not considered,
// even if no other entry accepts callers.
func (v *View) refusesWhileStopping(x *exchange) bool {
	return x.mayOutlastEntry(v) && x.arrivedAt.After(v.AddressValidUntil.Add(-stopSignalDelay))
}

// stopSignalDelay is the longest time from SIGTERM until a busy entry handles it. AddressValidUntil
// is computed when the signal is handled, and so may be that much too late.
const stopSignalDelay = 100 * time.Millisecond

// limitIfStopping returns the demand d, to which limitToStop is applied if the entry is stopping and
// the request may outlast it. The dispatcher then places the request only if the longest response
// that the request allows is predicted to end before the exit. Such a request is not refused, because a
// refused caller may reach another stopping entry and rarely tries a third time.
//
// A request whose response has begun and a plain request that may have run are not limited: they
// continue until the exit, and the caller gets the whole response or a failure then.
func (x *exchange) limitIfStopping(v *View, d dispatcher.Demand) dispatcher.Demand {
	if !x.mayOutlastEntry(v) || x.responseBegun || x.pendingCount > 0 && !x.isStream() {
		return d
	}
	return x.limitToStop(v, d)
}

// isStream reports whether the request is answered by a stream of events.
func (x *exchange) isStream() bool { return x.route.Kind == matcher.Stream }

// limitToStop returns the demand d with the time left until a stopping entry exits as EndWithin and as
// the upper limit of Remaining. Remaining is broadcast to all entries, so that they place no long
// prompts on the engine that answers.
func (x *exchange) limitToStop(v *View, d dispatcher.Demand) dispatcher.Demand {
	d.MaxAnswerTokens, d.EndWithin = x.metadata.MaxAnswerTokens, max(1, time.Until(v.StopBy))
	d.Remaining = min(d.Remaining, d.EndWithin)
	return d
}

// stopRetryAfter returns the Retry-After for a caller that a stopping entry refuses: immediateRetry if
// another entry accepts callers, and otherwise the expected time until this entry has restarted, which
// is restartDuration after AddressValidUntil.
func (v *View) stopRetryAfter() time.Duration {
	if v.OtherEntries > 0 {
		return immediateRetry
	}
	return max(0, time.Until(v.AddressValidUntil)) + restartDuration
}

// refuseStopping returns the failure, with status 503, of a request that a stopping entry refuses.
func refuseStopping(v *View, cause error) *failure {
	return notRunFailure(reasonStopping, v.stopRetryAfter(), cause)
}

// stopLogFields returns the log field stop_left_ms, the time from at until a stopping entry exits. It
// returns nil if the entry is not stopping.
func (v *View) stopLogFields(at time.Time) []zap.Field {
	if !v.Stopping {
		return nil
	}
	return []zap.Field{zap.Duration("stop_left_ms", v.StopBy.Sub(at))}
}

package forwarder

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/matcher"
)

// restartDuration is how long an entry takes, once it takes no more callers, to finish what most
// of them asked for and to start again.
const restartDuration = 2 * time.Second

// ErrShutdown is the cause for which the requests end that are still in progress when their entry does.
var ErrShutdown = errors.New("the entry ends")

// shutdownFailure is the failure of a request that the end of its entry cut off; nil where that is not
// why it ended.
func (x *exchange) shutdownFailure(caller context.Context, v *View, cause error) *failure {
	if !errors.Is(context.Cause(caller), ErrShutdown) {
		return nil
	}
	if x.pendingCount == 0 && !x.responseBegun {
		return refuseStopping(v, ErrShutdown)
	}
	return unknownOutcomeFailure(reasonCutOff, cause)
}

// mayOutlastEntry reports whether a request may still be in progress when a stopping entry
// ends. Only the time limit of the request says for sure that it is not: nobody knows how long
// an answer gets before its last event.
func (x *exchange) mayOutlastEntry(v *View) bool { return v.Stopping && x.deadline.After(v.StopBy) }

// refusesWhileStopping reports whether an entry that stops refuses a request whatever it asks for: one that may
// be in progress when the entry ends, by a caller that can't have the address from the directory any
// more. The forecast is no bound, also where no other entry takes callers.
func (v *View) refusesWhileStopping(x *exchange) bool {
	return x.mayOutlastEntry(v) && x.arrivedAt.After(v.AddressValidUntil.Add(-stopSignalDelay))
}

// stopSignalDelay is how long an order to stop takes to be heeded on an instance that has much to do.
const stopSignalDelay = 100 * time.Millisecond

// limitIfStopping has the board place a request only where the longest answer that it allows ends, as far as
// can be foreseen, before a stopping entry does. A refused caller may meet another entry that
// stops, and seldom asks a third time, so what ends in time is served. An answer that has begun goes on
// as long as it can, and so does a call that may have run: it is answered whole, or told so at the end.
func (x *exchange) limitIfStopping(v *View, d dispatcher.Demand) dispatcher.Demand {
	if !x.mayOutlastEntry(v) || x.responseBegun || x.pendingCount > 0 && !x.isStream() {
		return d
	}
	return x.limitToStop(v, d)
}

func (x *exchange) isStream() bool { return x.route.Kind == matcher.Stream }

// limitToStop bounds a demand by the end of a stopping entry. All entries are told of that end as
// they are of the caller's, so that long prompts are kept from the answer's engine.
func (x *exchange) limitToStop(v *View, d dispatcher.Demand) dispatcher.Demand {
	d.MaxAnswerTokens, d.EndWithin = x.metadata.MaxAnswerTokens, max(1, time.Until(v.StopBy))
	d.Remaining = min(d.Remaining, d.EndWithin)
	return d
}

// stopRetryAfter is when a caller that a stopping entry refuses is served: by another entry at
// once, or by this one when it has started again, soon after nobody has its address any more.
func (v *View) stopRetryAfter() time.Duration {
	if v.OtherEntries > 0 {
		return immediateRetry
	}
	return max(0, time.Until(v.AddressValidUntil)) + restartDuration
}

// refuseStopping is the refusal of a stopping entry.
func refuseStopping(v *View, cause error) *failure {
	return notRunFailure(reasonStopping, v.stopRetryAfter(), cause)
}

// stopLogFields tell, for the log, how long before the end of a stopping entry something was.
func (v *View) stopLogFields(at time.Time) []zap.Field {
	if !v.Stopping {
		return nil
	}
	return []zap.Field{zap.Duration("stop_left_ms", v.StopBy.Sub(at))}
}

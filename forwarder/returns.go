package forwarder

import (
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/scheduler"
)

// reasonNoPlaceInTime is the reason of a refusal whose caller can't be given a place within its patience.
const reasonNoPlaceInTime = "no_place_in_time"

// patienceDivisor sets the longest time for which a caller is told to wait for a place: the time left to
// its deadline divided by patienceDivisor. The rest is left for the request and one more return.
const patienceDivisor = 3

// Share is what is known of the share of an organisation while a service is short of capacity.
type Share struct {
	// Level is the capacity that requests of the organisation and rank may occupy, Use the capacity that
	// one request occupies, both in slots of a plain service or in engines.
	Level, Use float64
	// WorkTime is the expected time for which the request occupies Use.
	WorkTime time.Duration
}

// keyOf returns the key by which a return of a request is recognised.
func keyOf(x *exchange) scheduler.Key {
	return scheduler.NewKey(apportioner.NewOrganisation(x.organisation), x.route.Name, uint64(x.fingerprint))
}

// recognizeReturn claims the place for which a request returns, if there is one. Such a request is sent
// to the service at which the place is, which may be another one of its route than was chosen.
func (f *Forwarder) recognizeReturn(x *exchange) {
	if f.scheduler == nil {
		return
	}
	now := time.Now()
	p, ok := f.scheduler.Claim(now, keyOf(x))
	if !ok {
		return
	}
	x.isReturn = true
	for _, s := range x.route.Services {
		if scheduler.NewService(s.Service) == p.Service {
			x.service = s.Service
		}
	}
	f.log.Info("return_recognised", zap.String("request", x.metadata.ID), zap.String("service", x.service), zap.String("organisation", x.organisation),
		zap.Duration("late_ms", now.Sub(p.Due)))
}

// settleReturn counts a return whose first search for a placement has ended, as kept if fail is nil and
// otherwise as refused. It does nothing for other requests, or if the caller has left.
func (f *Forwarder) settleReturn(x *exchange, fail *failure) {
	if !x.isReturn || x.isReturnSettled || x.ctx.Err() != nil {
		return
	}
	x.isReturnSettled = true
	if fail == nil {
		f.scheduler.RecordKept()
		f.metrics.placesKept.Inc(1)
		return
	}
	f.scheduler.RecordRefused()
	f.metrics.placesRefused.Inc(1)
	f.log.Warn("return_refused", zap.String("request", x.metadata.ID), zap.String("service", x.service), zap.String("organisation", x.organisation), zap.String("reason", fail.reason))
}

// refuse returns the failure of a request that no upstream can be sent. If it is refused because capacity
// is short, its caller gets a place, or the time of the next one if that is beyond its patience. Where no
// share or no time is known, the refusal stays as it is.
func (f *Forwarder) refuse(x *exchange, r *dispatcher.Refusal) *failure {
	fail := notRunFailure(r.Reason, r.RetryAfter, r)
	if f.scheduler == nil || f.share == nil || x.pendingCount > 0 || x.ctx.Err() != nil || !isShortOfCapacity(x, r) {
		return fail
	}
	now := time.Now()
	share, known := f.share(now, x.lastDemand)
	if !known {
		return fail
	}
	timeLeft := x.deadline.Sub(now)
	patience := timeLeft / patienceDivisor
	if isPromptOverShare(x, r) {
		patience = min(patience, x.route.FirstByteTarget-now.Sub(x.arrivedAt))
	}
	ask := scheduler.Ask{
		Service: x.service, Organisation: apportioner.NewOrganisation(x.organisation), Rank: x.lastDemand.Rank, Key: keyOf(x),
		Share: share.Level, Use: share.Use, WorkTime: share.WorkTime, Patience: patience,
	}
	if r.Reason != dispatcher.ReasonOverShare {
		// Engines accept the prompt no earlier, whatever the share.
		ask.Earliest = r.RetryAfter
	}
	p, promised := f.scheduler.Promise(now, ask)
	if p.Due.IsZero() {
		return fail
	}
	if !promised && isPromptOverShare(x, r) {
		return fail
	}
	fail.retryAfter = min(p.Due.Sub(now), timeLeft)
	if !promised {
		fail.reason = reasonNoPlaceInTime
		return fail
	}
	f.metrics.placesPromised.Inc(1)
	f.log.Info("place_promised", zap.String("request", x.metadata.ID), zap.String("service", x.service), zap.String("organisation", x.organisation),
		zap.String("reason", r.Reason), zap.Duration("due_ms", fail.retryAfter), zap.Float64("cost", share.Use*share.WorkTime.Seconds()), zap.Float64("share", share.Level))
	return fail
}

// isPromptOverShare reports whether a prompt was refused for its organisation's share of engines. Such a prompt gets only
// places at which its first event may still be on time: a late answer is worth a fraction of one that is on time, and
// the organisation's new prompts would be late instead.
func isPromptOverShare(x *exchange, r *dispatcher.Refusal) bool {
	return r.Reason == dispatcher.ReasonOverShare && x.lastDemand.PromptTokens > 0
}

// isShortOfCapacity reports whether a request was refused because the service is short of capacity.
func isShortOfCapacity(x *exchange, r *dispatcher.Refusal) bool {
	switch r.Reason {
	case dispatcher.ReasonOverShare:
		return true
	case "overloaded", "too_costly", "no_memory":
		return x.lastDemand.PromptTokens > 0
	}
	return false
}

package forwarder

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/dispatcher"
)

// applyBackpressure notifies the dispatcher if a response states that its upstream is leaving, asks for
// a backoff or has a rate limit, and logs a state that is new to the dispatcher. What the response states
// overrides the instance list, which is out of date if the store is unavailable while an upstream leaves.
func (f *Forwarder) applyBackpressure(x *exchange, a *attempt, r ResponseMetadata) {
	if a.response.StatusCode == http.StatusMisdirectedRequest {
		return // sent by another upstream, which has taken over the address
	}
	first := a.placement.First
	if r.Leaving && f.dispatcher.MarkLeaving(first) {
		f.log.Info("upstream_leaving", zap.String("request", x.metadata.ID), zap.String("upstream", first.ID), zap.Stringer("address", first.Address))
	}
	if r.Backoff > 0 && f.dispatcher.SetBackoff(first, time.Now().Add(r.Backoff)) {
		f.log.Info("upstream_pauses", zap.String("request", x.metadata.ID), zap.String("upstream", first.ID), zap.Stringer("address", first.Address),
			zap.Duration("pause_ms", r.Backoff))
	}
	f.recordRateLimit(x, a, r)
}

// recordRateLimit reports to the dispatcher what a response states about its upstream's rate limit, and
// logs a limit that is new to the dispatcher. A response without a limit ends the one in force only if
// it is a success: refusals and failures need not state it. A limit that can't be read leaves the one in
// force.
func (f *Forwarder) recordRateLimit(x *exchange, a *attempt, r ResponseMetadata) {
	first := a.placement.First
	if r.RateLimitError != nil {
		f.log.Warn("upstream_limit_unreadable", zap.String("request", x.metadata.ID), zap.String("upstream", first.ID), zap.Error(r.RateLimitError))
		return
	}
	isSuccess := r.HasUpstreamStamp && a.response.StatusCode < http.StatusMultipleChoices
	isForeign := r.RequestID != "" && r.RequestID != x.metadata.ID
	if isForeign || !r.RateLimit.Limited && !isSuccess {
		return
	}
	if f.dispatcher.RecordRateLimit(first, dispatcher.RateLimitReport{Limit: r.RateLimit, SentAt: a.startedAt, ReceivedAt: time.Now()}) {
		f.log.Info("upstream_limit", zap.String("request", x.metadata.ID), zap.String("upstream", first.ID), zap.Stringer("address", first.Address),
			zap.Bool("limited", r.RateLimit.Limited), zap.Float64("per_second", r.RateLimit.PerSecond), zap.String("source", "response"))
	}
}

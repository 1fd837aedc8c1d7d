package forwarder

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

// applyBackpressure notifies the dispatcher if a response states that its upstream is leaving or asks
// for a backoff, and logs a state that is new to the dispatcher. What the response states overrides the
// instance list, which is out of date if the store is unavailable while an upstream leaves.
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
}

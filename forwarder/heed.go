package forwarder

import (
	"go.uber.org/zap"
)

// heed takes in what an upstream says of itself in an answer.
func (f *Forwarder) heed(x *exchange, a *attempt, r Reply) {
	first := a.placement.First
	if r.Leaving {
		f.log.Info("upstream_leaving", zap.String("request", x.call.ID), zap.String("upstream", first.ID), zap.Stringer("address", first.Address))
	}
	if r.PauseFor > 0 {
		f.log.Info("upstream_pauses", zap.String("request", x.call.ID), zap.String("upstream", first.ID), zap.Stringer("address", first.Address),
			zap.Duration("pause_ms", r.PauseFor))
	}
}

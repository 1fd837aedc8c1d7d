package forwarder

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/sleeper"
)

const (
	// waitDivisor is the part of its target for which a request waits for a place
	// before it is refused: a backlog falls that much in the time, and the
	// caller, who seldom asks a third time, keeps its second try.
	waitDivisor = 8
	// minPollInterval is how often it looks, at most.
	minPollInterval = 25 * time.Millisecond
	// pollBackoffFactor is how many times as long as a look took it waits for the next one: a few waiting
	// prompts would otherwise leave a slow instance no time for anything else.
	pollBackoffFactor = 10
	// maxYields is how often a request gives its place up to another entry's: as often as
	// entries meet that each hold a few long prompts until engines have less to do.
	maxYields = 3
)

// mayWait reports whether a request that has no place yet may get one soon, here. Nothing waits for
// one at an entry that may end before the answer does.
func (f *Forwarder) mayWait(x *exchange, r *dispatcher.Refusal) bool {
	if x.lastDemand.EndWithin > 0 {
		return false
	}
	return r.Temporary && (r.Deferrable || time.Since(x.arrivedAt) < x.route.FirstByteTarget/waitDivisor)
}

// place finds the next upstream for a request.
func (f *Forwarder) place(x *exchange, d dispatcher.Demand) (*dispatcher.Placement, *failure) {
	d.Service, d.Avoid, d.NoHelpers = x.service, x.failedUpstreams, x.groupFailed
	d.FirstByteTarget, d.GapTarget = x.route.FirstByteTarget, x.route.GapTarget
	d.Admitted = x.sentCount > 0
	p, refusal := f.awaitPlacement(x, d)
	for yields := 0; refusal == nil && yields < maxYields && f.yieldsPlacement(x, p); yields++ {
		p, refusal = f.awaitPlacement(x, d)
	}
	if refusal != nil && refusal.OutlivesEntry {
		return nil, refuseStopping(f.view(), refusal)
	}
	if refusal != nil {
		return nil, notRunFailure(refusal.Reason, refusal.RetryAfter, refusal)
	}
	f.log.Info("place", zap.String("request", x.metadata.ID), zap.String("service", x.service), zap.String("upstream", p.First.ID),
		zap.String("data_centre", p.First.DataCentre), zap.Int("helpers", len(p.Helpers)), zap.String("helper_ids", joinIDs(p.Helpers)), zap.Duration("expected_ms", p.ExpectedFirstByte),
		zap.Int("running", p.Load.Running), zap.Duration("prefill_ms", p.Load.PrefillBacklog), zap.Int("memory_used", p.Load.MemoryTokens), zap.Float64("failure_rate", p.Load.FailureRate), zap.Int("attempt", x.sentCount+1),
		zap.Int64("config_revision", x.view.ConfigRevision), zap.Duration("list_age_ms", time.Since(x.view.ConfirmedAt)))
	return p, nil
}

// awaitPlacement asks for a place until there is one, or the request is not to wait for one here.
func (f *Forwarder) awaitPlacement(x *exchange, d dispatcher.Demand) (*dispatcher.Placement, *dispatcher.Refusal) {
	x.lastDemand = f.withCurrentTimes(x, d)
	p, refusal, searchTime := f.tryPlace(x)
	if refusal != nil && f.mayWait(x, refusal) {
		f.log.Info("wait", zap.String("request", x.metadata.ID), zap.String("service", x.service), zap.String("reason", refusal.Reason),
			zap.Duration("expected_ms", refusal.ExpectedFirstByte), zap.Duration("patience_ms", x.lastDemand.MaxWait))
	}
	for refusal != nil && f.mayWait(x, refusal) && sleeper.Sleep(x.ctx, pollInterval(searchTime)) {
		x.lastDemand = f.withCurrentTimes(x, d)
		p, refusal, searchTime = f.tryPlace(x)
	}
	return p, refusal
}

// withCurrentTimes returns a demand with its times as they are now.
func (f *Forwarder) withCurrentTimes(x *exchange, d dispatcher.Demand) dispatcher.Demand {
	d.Remaining = time.Until(x.deadline)
	if x.isStream() {
		d.Waited, d.MaxWait = waitedForEvent(x), eventMaxWait(x)
	}
	return x.limitIfStopping(f.view(), d)
}

// yieldsPlacement lets other entries learn of a heavy prompt's place before it is used, and gives it up
// where one of them took it at the same moment and goes first: the second of two on the same engines begins seconds late,
// and its passes stop all answers there.
func (f *Forwarder) yieldsPlacement(x *exchange, p *dispatcher.Placement) bool {
	if !p.ShouldSettle() || !sleeper.Sleep(x.ctx, dispatcher.SettleDelay) || !p.ShouldYield(time.Now()) {
		return false
	}
	f.log.Info("yield", zap.String("request", x.metadata.ID), zap.String("service", x.service), zap.String("upstream", p.First.ID),
		zap.Int("helpers", len(p.Helpers)), zap.Duration("expected_ms", p.ExpectedFirstByte))
	p.End(time.Now(), dispatcher.Abandoned)
	return true
}

// pollInterval is how long after a look that took some time the next one is.
func pollInterval(searchTime time.Duration) time.Duration {
	return max(minPollInterval, pollBackoffFactor*searchTime)
}

// tryPlace asks the board for a place, and tells how long that took.
func (f *Forwarder) tryPlace(x *exchange) (*dispatcher.Placement, *dispatcher.Refusal, time.Duration) {
	if refusal := f.checkQuarantine(x); refusal != nil {
		return nil, refusal, 0
	}
	began := time.Now()
	p, refusal := f.dispatcher.Place(began, x.lastDemand)
	return p, refusal, time.Since(began)
}

// joinIDs joins the IDs of instances, for the log.
func joinIDs(instances []dispatcher.Instance) string {
	names := make([]string, len(instances))
	for i, h := range instances {
		names[i] = h.ID
	}
	return strings.Join(names, ",")
}

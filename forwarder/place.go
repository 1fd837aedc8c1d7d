package forwarder

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/sleeper"
)

const (
	// waitPart is the part of its target for which a request waits for a place
	// before it is refused: a backlog falls that much in the time, and the
	// caller, who seldom asks a third time, keeps its second try.
	waitPart = 8
	// waitPoll is how often it looks, at most.
	waitPoll = 25 * time.Millisecond
	// pollFactor is how many times as long as a look took it waits for the next one: a few waiting
	// prompts would otherwise leave a slow instance no time for anything else.
	pollFactor = 10
	// mostYields is how often a request gives its place up to another entry's: as often as
	// entries meet that each hold a few long prompts until engines have less to do.
	mostYields = 3
)

// waits reports whether a request that has no place yet may get one soon, here. Nothing waits for
// one at an entry that may end before the answer does.
func (f *Forwarder) waits(x *exchange, r *dispatcher.Refusal) bool {
	if x.demand.EndWithin > 0 {
		return false
	}
	return r.Temporary && (r.Deferrable || time.Since(x.arrived) < x.route.FirstByteTarget/waitPart)
}

// place finds the next upstream for a request.
func (f *Forwarder) place(x *exchange, d dispatcher.Demand) (*dispatcher.Placement, *failure) {
	d.Service, d.Avoid, d.NoHelpers = x.service, x.avoid, x.alone
	d.FirstByteTarget, d.GapTarget = x.route.FirstByteTarget, x.route.GapTarget
	d.Admitted = x.sent > 0
	p, refusal := f.find(x, d)
	for yields := 0; refusal == nil && yields < mostYields && f.yields(x, p); yields++ {
		p, refusal = f.find(x, d)
	}
	if refusal != nil && refusal.OutlivesEntry {
		return nil, refuseStopping(f.view(), refusal)
	}
	if refusal != nil {
		return nil, notRun(refusal.Reason, refusal.RetryAfter, refusal)
	}
	f.log.Info("place", zap.String("request", x.call.ID), zap.String("service", x.service), zap.String("upstream", p.First.ID),
		zap.String("data_centre", p.First.DataCentre), zap.Int("helpers", len(p.Helpers)), zap.String("helper_ids", ids(p.Helpers)), zap.Duration("expected_ms", p.ExpectedFirstByte),
		zap.Int("running", p.Load.Running), zap.Duration("prefill_ms", p.Load.PrefillBacklog), zap.Int("memory_used", p.Load.MemoryTokens), zap.Float64("failure_rate", p.Load.FailureRate), zap.Int("attempt", x.sent+1),
		zap.Int64("config_revision", x.view.ConfigRevision), zap.Duration("list_age_ms", time.Since(x.view.ConfirmedAt)))
	return p, nil
}

// find asks for a place until there is one, or the request is not to wait for one here.
func (f *Forwarder) find(x *exchange, d dispatcher.Demand) (*dispatcher.Placement, *dispatcher.Refusal) {
	x.demand = f.asOfNow(x, d)
	p, refusal, took := f.look(x)
	if refusal != nil && f.waits(x, refusal) {
		f.log.Info("wait", zap.String("request", x.call.ID), zap.String("service", x.service), zap.String("reason", refusal.Reason),
			zap.Duration("expected_ms", refusal.ExpectedFirstByte), zap.Duration("patience_ms", x.demand.MaxWait))
	}
	for refusal != nil && f.waits(x, refusal) && sleeper.Sleep(x.ctx, pollAfter(took)) {
		x.demand = f.asOfNow(x, d)
		p, refusal, took = f.look(x)
	}
	return p, refusal
}

// asOfNow returns a demand with its times as they are now.
func (f *Forwarder) asOfNow(x *exchange, d dispatcher.Demand) dispatcher.Demand {
	d.Remaining = time.Until(x.deadline)
	if x.isStream() {
		d.Waited, d.MaxWait = waited(x), firstEventPatience(x)
	}
	return x.withStop(f.view(), d)
}

// yields lets other entries learn of a heavy prompt's place before it is used, and gives it up
// where one of them took it at the same moment and goes first: the second of two on the same engines begins seconds late,
// and its passes stop all answers there.
func (f *Forwarder) yields(x *exchange, p *dispatcher.Placement) bool {
	if !p.ShouldSettle() || !sleeper.Sleep(x.ctx, dispatcher.SettleDelay) || !p.ShouldYield(time.Now()) {
		return false
	}
	f.log.Info("yield", zap.String("request", x.call.ID), zap.String("service", x.service), zap.String("upstream", p.First.ID),
		zap.Int("helpers", len(p.Helpers)), zap.Duration("expected_ms", p.ExpectedFirstByte))
	p.End(time.Now(), dispatcher.Abandoned)
	return true
}

// pollAfter is how long after a look that took some time the next one is.
func pollAfter(took time.Duration) time.Duration { return max(waitPoll, pollFactor*took) }

// look asks the board for a place, and tells how long that took.
func (f *Forwarder) look(x *exchange) (*dispatcher.Placement, *dispatcher.Refusal, time.Duration) {
	if refusal := f.quarantined(x); refusal != nil {
		return nil, refusal, 0
	}
	began := time.Now()
	p, refusal := f.board.Place(began, x.demand)
	return p, refusal, time.Since(began)
}

// ids joins the IDs of instances, for the log.
func ids(instances []dispatcher.Instance) string {
	names := make([]string, len(instances))
	for i, h := range instances {
		names[i] = h.ID
	}
	return strings.Join(names, ",")
}

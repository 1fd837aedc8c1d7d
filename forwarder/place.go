package forwarder

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/sleeper"
)

const (
	// waitDivisor sets how long after its arrival a request still waits for a placement, unless its
	// refusal is deferrable: for its first-byte target divided by waitDivisor. Engines reduce their backlog in that time, and a
	// refused caller, which rarely tries a third time, keeps enough time for a second try.
	waitDivisor = 8
	// minPollInterval is the shortest time between the end of a search for a placement and the next
	// search for the same request.
	minPollInterval = 25 * time.Millisecond
	// pollBackoffFactor is the minimum ratio of the time between two searches for a placement to the
	// duration of the first of them. With a fixed interval, a few waiting prompts would use all CPU
	// time of a slow machine.
	pollBackoffFactor = 10
	// maxYields is the maximum number of times that a request gives up its placement to a request of
	// another entry. Entries that each have a few long prompts waiting choose the same engines at the
	// same moment about that often.
	maxYields = 3
)

// mayWait reports whether a request that got the refusal r waits at this entry for a placement. It
// does if r.Temporary is true and either r.Deferrable is true or it can be placed, after r.Wait, less
// than its first-byte target divided by waitDivisor after its arrival. A request that must end before a
// stopping entry exits (Demand.EndWithin is set) never waits.
func (f *Forwarder) mayWait(x *exchange, r *dispatcher.Refusal) bool {
	if x.lastDemand.EndWithin > 0 {
		return false
	}
	return r.Temporary && (r.Deferrable || time.Since(x.arrivedAt)+r.Wait < x.route.FirstByteTarget/waitDivisor)
}

// place returns the upstreams for the next attempt of a request, and logs them, or the failure of the
// request if no placement was found in time. The demand d states the lengths of prompt and answer;
// place sets its other fields.
func (f *Forwarder) place(x *exchange, d dispatcher.Demand) (placement *dispatcher.Placement, fail *failure) {
	defer func() { f.settleReturn(x, fail) }()
	d.Service, d.Avoid, d.NoHelpers = x.service, x.failedUpstreams, x.avoidGroups
	d.FirstByteTarget, d.GapTarget = x.route.FirstByteTarget, x.route.GapTarget
	d.SentBefore, d.MayHaveRun, d.Returns = x.sentCount > 0, x.pendingCount > 0, x.isReturn
	if x.prepared != nil {
		d.Prefer = x.prepared.upstream
	}
	d.Organisation, d.Rank = apportioner.NewOrganisation(x.organisation), x.rank
	if f.tunneler.IsUnavailable() {
		return nil, notRunFailure(reasonUpstreamsCutOff, f.tunneler.RetryAfter(), nil)
	}
	p, refusal := f.awaitPlacement(x, d)
	for yields := 0; refusal == nil && yields < maxYields && f.yieldsPlacement(x, p); yields++ {
		p, refusal = f.awaitPlacement(x, d)
	}
	if refusal != nil && refusal.Share != nil {
		f.recordOverShare(x, refusal)
	}
	if refusal != nil && refusal.OutlivesEntry {
		return nil, refuseStopping(f.view(), refusal)
	}
	if refusal != nil {
		return nil, f.refuse(x, refusal)
	}
	f.log.Info("place", zap.String("request", x.metadata.ID), zap.String("service", x.service), zap.String("upstream", p.First.ID),
		zap.String("data_centre", p.First.DataCentre), zap.Int("helpers", len(p.Helpers)), zap.String("helper_ids", joinIDs(p.Helpers)), zap.Duration("expected_ms", p.ExpectedFirstByte),
		zap.Int("running", p.Load.Running), zap.Duration("prefill_ms", p.Load.PrefillBacklog), zap.Int("memory_used", p.Load.MemoryTokens), zap.Float64("failure_rate", p.Load.FailureRate), zap.Int("attempt", x.sentCount+1),
		zap.Int64("config_revision", x.view.ConfigRevision), zap.Duration("list_age_ms", time.Since(x.view.ConfirmedAt)))
	return p, nil
}

// awaitPlacement searches for a placement repeatedly until it finds one, mayWait returns false or the
// request is cancelled. It returns the placement or the refusal of the last search. Requests over their
// organisation's share wait for their turn in the queue of the service instead of an interval.
func (f *Forwarder) awaitPlacement(x *exchange, d dispatcher.Demand) (*dispatcher.Placement, *dispatcher.Refusal) {
	x.lastDemand = f.withCurrentTimes(x, d)
	defer f.leaveQueue(x)
	p, refusal, searchTime := f.tryPlaceInOrder(x)
	if refusal != nil && f.mayWait(x, refusal) {
		f.log.Info("wait", zap.String("request", x.metadata.ID), zap.String("service", x.service), zap.String("reason", refusal.Reason),
			zap.Duration("expected_ms", refusal.ExpectedFirstByte), zap.Duration("patience_ms", x.lastDemand.MaxWait))
	}
	for refusal != nil && f.mayWait(x, refusal) && f.awaitNextTry(x, refusal, searchTime) {
		x.lastDemand = f.withCurrentTimes(x, d)
		p, refusal, searchTime = f.tryPlace(x)
	}
	return p, refusal
}

// withCurrentTimes returns the demand d with the current time left until the request's deadline and,
// for a stream, the time that the caller has waited and will still wait for the next event.
// limitIfStopping is applied to the result.
func (f *Forwarder) withCurrentTimes(x *exchange, d dispatcher.Demand) dispatcher.Demand {
	d.Remaining = time.Until(x.deadline)
	if x.isStream() {
		d.Waited, d.MaxWait = waitedForEvent(x), eventMaxWait(x)
	}
	return x.limitIfStopping(f.view(), d)
}

// yieldsPlacement reports whether the request gave up its placement p to a long prompt that another
// entry placed on some of the same engines at the same moment; p has been ended then. For a long
// prompt it first waits for dispatcher.SettleDelay, within which such prompts become known. The
// second of two long prompts on the same engines would begin seconds late, and its forward passes
// would stall all streams there.
func (f *Forwarder) yieldsPlacement(x *exchange, p *dispatcher.Placement) bool {
	if !p.ShouldSettle() || !sleeper.Sleep(x.ctx, dispatcher.SettleDelay) || !p.ShouldYield(time.Now()) {
		return false
	}
	f.log.Info("yield", zap.String("request", x.metadata.ID), zap.String("service", x.service), zap.String("upstream", p.First.ID),
		zap.Int("helpers", len(p.Helpers)), zap.Duration("expected_ms", p.ExpectedFirstByte))
	p.Withdraw(time.Now())
	x.placement = nil
	return true
}

// awaitNextTry waits until the next search for a placement of a request that got the refusal r, and reports whether
// there is one.
func (f *Forwarder) awaitNextTry(x *exchange, r *dispatcher.Refusal, searchTime time.Duration) bool {
	if r.Share != nil {
		return f.awaitTurn(x, r)
	}
	f.leaveQueue(x)
	return sleeper.Sleep(x.ctx, pollInterval(searchTime))
}

// pollInterval returns the time from the end of a search for a placement, which took searchTime, to
// the start of the next one.
func pollInterval(searchTime time.Duration) time.Duration {
	return max(minPollInterval, pollBackoffFactor*searchTime)
}

// tryPlace searches once for a placement, and returns the placement or a refusal, and how long the
// search took. A request that crashes upstreams, or may, is refused without a search.
func (f *Forwarder) tryPlace(x *exchange) (*dispatcher.Placement, *dispatcher.Refusal, time.Duration) {
	if refusal := f.checkQuarantine(x); refusal != nil {
		return nil, refusal, 0
	}
	if refusal := f.admit(x); refusal != nil {
		return nil, refusal, 0
	}
	x.lastDemand.Isolated = x.trial != nil || x.lostCount > 0 && len(x.parts) > 0
	x.lastDemand.Homes = f.homes(x)
	began := time.Now()
	p, refusal := f.dispatcher.Place(began, x.lastDemand)
	x.placement = p
	if refusal != nil {
		x.endTrial(false)
	}
	return p, refusal, time.Since(began)
}

// joinIDs returns the IDs of instances separated by commas, for the log.
func joinIDs(instances []dispatcher.Instance) string {
	names := make([]string, len(instances))
	for i, h := range instances {
		names[i] = h.ID
	}
	return strings.Join(names, ",")
}

package forwarder

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/queuer"
)

// queues holds, by service, the requests that wait because they are over their organisation's share. It is safe for
// concurrent use; the zero value is empty.
type queues struct {
	lock      sync.Mutex
	byService map[string]*queuer.Queue
}

// of returns the queue of a service.
func (q *queues) of(service string) *queuer.Queue {
	q.lock.Lock()
	defer q.lock.Unlock()
	if q.byService == nil {
		q.byService = map[string]*queuer.Queue{}
	}
	queue, ok := q.byService[service]
	if !ok {
		queue = &queuer.Queue{}
		q.byService[service] = queue
	}
	return queue
}

// tryPlaceInOrder calls tryPlace for a request that has just arrived. If requests wait that it must not overtake, it
// returns the refusal with which the request joins them instead.
func (f *Forwarder) tryPlaceInOrder(x *exchange) (*dispatcher.Placement, *dispatcher.Refusal, time.Duration) {
	d := x.lastDemand
	if !d.Returns && f.queues.of(x.service).Ahead(d.Organisation, d.Rank) > 0 {
		if refusal := f.dispatcher.OverShare(time.Now(), d); refusal != nil {
			return nil, refusal, 0
		}
	}
	return f.tryPlace(x)
}

// awaitTurn waits until it is the request's turn to be placed, and reports whether it is. It returns false at once if
// the requests ahead of it can't be served in the time for which it may wait, and otherwise once that time has passed
// or the request is cancelled.
func (f *Forwarder) awaitTurn(x *exchange, r *dispatcher.Refusal) bool {
	queue, d := f.queues.of(x.service), x.lastDemand
	left := time.Until(x.arrivedAt.Add(x.route.FirstByteTarget / waitDivisor))
	if x.waiter == nil {
		if ahead := queue.Ahead(d.Organisation, d.Rank); ahead > 0 && float64(ahead) >= r.Share.PerSecond*left.Seconds() {
			return false
		}
		x.waiter = queue.Add(d.Organisation, d.Rank, func() bool { return f.dispatcher.Admits(time.Now(), d) })
	}
	end := time.NewTimer(left)
	defer end.Stop()
	poll := time.NewTicker(minPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-x.waiter.Turn():
			return true
		case <-poll.C:
			f.callNext(x.service)
		case <-end.C:
			return false
		case <-x.ctx.Done():
			return false
		}
	}
}

// callNext gives the turn to the first of the requests that wait for a service and would be admitted now.
func (f *Forwarder) callNext(service string) {
	queue := f.queues.of(service)
	if queue.Len() == 0 {
		return
	}
	queue.CallNext(func(o apportioner.Organisation) float64 { return f.dispatcher.UseOf(service, o) })
}

// leaveQueue removes a request from the queue of its service, if it is there, and calls the next one.
func (f *Forwarder) leaveQueue(x *exchange) {
	if x.waiter == nil {
		return
	}
	f.queues.of(x.service).Remove(x.waiter)
	x.waiter = nil
	f.callNext(x.service)
}

// recordOverShare counts and logs the refusal of a request for its organisation's share.
func (f *Forwarder) recordOverShare(x *exchange, r *dispatcher.Refusal) {
	f.metrics.overShare(x.service).Inc(1)
	f.log.Info("over_share", zap.String("request", x.metadata.ID), zap.String("service", x.service), zap.String("organisation", x.organisation),
		zap.Uint32("rank", uint32(r.Share.Rank)), zap.Float64("share", r.Share.Share), zap.Float64("use", r.Share.Use), zap.Float64("limit", r.Share.Limit), zap.Float64("total", r.Share.Total),
		zap.Duration("waited_ms", time.Since(x.arrivedAt)), zap.Duration("retry_after_ms", r.RetryAfter))
}

// shareGaugePeriod is the shortest time between two updates of the gauges of a service, about that between two scrapes.
const shareGaugePeriod = time.Second

// shareGauges are the gauges of the use of services. They are updated when requests end.
type shareGauges struct {
	scope tally.Scope
	lock  sync.Mutex
	// updatedAt holds the last update by service.
	updatedAt map[string]time.Time
}

// isDue reports whether the gauges of a service are to be updated now, and records the update.
func (g *shareGauges) isDue(now time.Time, service string) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	if now.Sub(g.updatedAt[service]) < shareGaugePeriod {
		return false
	}
	g.updatedAt[service] = now
	return true
}

// updateShareGauges updates the gauges of the service of a request that has ended.
func (f *Forwarder) updateShareGauges(x *exchange) {
	now := time.Now()
	if x.service == "" || !f.metrics.shares.isDue(now, x.service) {
		return
	}
	s := f.dispatcher.ServiceShares(now, x.service, x.route.FirstByteTarget)
	scope := f.metrics.shares.scope.Tagged(map[string]string{"service": x.service})
	scope.Gauge("service_in_progress").Update(float64(s.InProgress))
	scope.Gauge("service_use").Update(s.Use)
	scope.Gauge("service_limit").Update(s.Limit)
	scope.Gauge("organisations_over_share").Update(float64(s.OverShare))
}

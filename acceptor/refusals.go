package acceptor

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// Reasons why connections are refused or closed, in logs and metrics.
const (
	// reasonNoPlace and reasonNoMemory: a request is served on each connection that could be closed for this one, or it
	// takes more memory than is left.
	reasonNoPlace  = "no_place"
	reasonNoMemory = "no_memory"
	// reasonEvicted: it was closed for another one.
	reasonEvicted = "evicted"
	// reasonHeadTooLarge and reasonHeadTimeout: its head exceeds a limit.
	reasonHeadTooLarge = "head_too_large"
	reasonHeadTimeout  = "head_timeout"
	// reasonSilent: nothing has arrived. reasonBodyUnread: the body of an answered request has not arrived.
	reasonSilent     = "silent"
	reasonBodyUnread = "body_unread"
)

// logPeriod is the least time between two lines about refusals at one address for one reason.
const logPeriod = time.Second

// refusal is what connections are refused for.
type refusal struct{ address, reason string }

// refusalCounter counts refusals, and logs their number once in each logPeriod. It is safe for concurrent use.
type refusalCounter struct {
	log   *zap.Logger
	scope tally.Scope
	lock  sync.Mutex
	// counts holds the refusals that are not logged yet, counters the metric of each kind. There are as many kinds as
	// listeners and reasons.
	counts   map[refusal]int
	counters map[refusal]tally.Counter
}

func newRefusalCounter(log *zap.Logger, scope tally.Scope) *refusalCounter {
	return &refusalCounter{log: log, scope: scope, counts: map[refusal]int{}, counters: map[refusal]tally.Counter{}}
}

// add counts one refusal.
func (r *refusalCounter) add(address, reason string) {
	kind := refusal{address, reason}
	r.lock.Lock()
	defer r.lock.Unlock()
	counter, ok := r.counters[kind]
	if !ok {
		counter = r.scope.Tagged(map[string]string{"address": address, "reason": reason}).Counter("connections_refused")
		r.counters[kind] = counter
	}
	counter.Inc(1)
	if len(r.counts) == 0 {
		time.AfterFunc(logPeriod, r.logAll)
	}
	r.counts[kind]++
}

// logAll logs the number of refusals of each kind since the last call.
func (r *refusalCounter) logAll() {
	r.lock.Lock()
	defer r.lock.Unlock()
	for kind, count := range r.counts {
		r.log.Warn("connections_refused", zap.String("address", kind.address), zap.String("reason", kind.reason), zap.Int("count", count))
	}
	clear(r.counts)
}

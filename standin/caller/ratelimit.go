package caller

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

const (
	// rateLimitWindow is the time over which the requests to an upstream with a rate limit are
	// counted. It may get rateLimitTolerance times what its limit allows, and rateLimitSlack more.
	rateLimitWindow    = 4 * time.Second
	rateLimitTolerance = 1.5
	rateLimitSlack     = 5
	// rateLimitSpreadTime is the time after the begin of a rate limit in which it need not be kept yet.
	rateLimitSpreadTime = 3 * time.Second
	// rateLimitReactionTime is the time after which the requests of an entry count that has forwarded
	// a response in which the upstream stated its limit.
	rateLimitReactionTime = 500 * time.Millisecond
)

// RateLimitViolations returns a text for each period with a rate limit of one of the upstreams in which
// entries that knew of it exceeded it. The traffics must be stopped. The requests of an entry that was
// restarted, suspended or partitioned in the period do not count.
func RateLimitViolations(observed Observations, upstreams []*worker.Worker, traffics ...*Traffic) (violations []string) {
	for _, w := range upstreams {
		periods := w.RateLimits()
		if len(periods) == 0 {
			continue
		}
		arrivals := arrivalsAt(observed, w, traffics)
		for i, p := range periods {
			if p.To.IsZero() {
				p.To = time.Now()
			}
			from := p.From
			if follows := i > 0 && periods[i-1].To.Equal(p.From); follows && periods[i-1].PerSecond <= p.PerSecond {
				from = from.Add(-rateLimitSpreadTime) // entries that know the limit before keep to this one, too
			}
			most, at := mostInWindow(observed, arrivals, from.Add(rateLimitSpreadTime), p)
			if allowed := rateLimitTolerance*p.PerSecond*rateLimitWindow.Seconds() + rateLimitSlack; float64(most) > allowed {
				violations = append(violations, fmt.Sprintf("upstream %s with a limit of %g requests per second from %s to %s got %d requests in %s from %s on, %g are tolerated",
					w.ID(), p.PerSecond, p.From.Format(timeOfDay), p.To.Format(timeOfDay), most, rateLimitWindow, at.Format(timeOfDay), allowed))
			}
		}
	}
	return violations
}

// timeOfDay is the format of times in violations.
const timeOfDay = "15:04:05.000"

// arrivalsAt returns the requests of the traffics that reached an upstream, the earliest first.
func arrivalsAt(observed Observations, w *worker.Worker, traffics []*Traffic) []arrival {
	var arrivals []arrival
	for _, x := range traffics {
		for _, r := range x.results {
			for _, execution := range append(observed.Executions(r.ID), observed.Refusals(r.ID)...) {
				if execution.WorkerID == w.ID() {
					arrivals = append(arrivals, arrival{r, execution})
				}
			}
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return a.execution.Began.Compare(b.execution.Began) })
	return arrivals
}

// mostInWindow returns the largest number of counted arrivals in a rateLimitWindow that lies between
// from and the end of the period, and the begin of that window.
func mostInWindow(observed Observations, arrivals []arrival, from time.Time, p worker.RateLimitPeriod) (most int, at time.Time) {
	informedAt := map[netip.AddrPort]time.Time{}
	for _, a := range arrivals {
		r := a.result
		if known, ok := informedAt[r.Entry]; r.UpstreamLimited && r.Upstream == a.execution.WorkerID && r.HeaderAt.After(p.From) && (!ok || r.HeaderAt.Before(known)) {
			informedAt[r.Entry] = r.HeaderAt
		}
	}
	var counted []time.Time
	for _, a := range arrivals {
		informed, ok := informedAt[a.result.Entry]
		if ok && a.execution.Began.After(informed.Add(rateLimitReactionTime)) && !observed.Faults.wasDisturbed(a.result.Entry, p.From, p.To) {
			counted = append(counted, a.execution.Began)
		}
	}
	for i, begin := range counted {
		end := begin.Add(rateLimitWindow)
		if begin.Before(from) || end.After(p.To) {
			continue
		}
		n := 0
		for _, began := range counted[i:] {
			if !began.After(end) {
				n++
			}
		}
		if n > most {
			most, at = n, begin
		}
	}
	return most, at
}

package caller

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// requestPaths are one of each kind of request.
var requestPaths = []string{"/once/x", "/safe/x", "/stream/x", "/fixed/x"}

// RouteTimeout is the time limit that the route of a path is to have: a safe call's
// is less than callers wait, the others' more. A safe call has time for a run
// that is given up and a second one.
func RouteTimeout(path string) time.Duration {
	if strings.HasPrefix(path, "/safe/") {
		return 4 * time.Second
	}
	return 8 * time.Second
}

// callerTimeout is how long the callers of a path wait: for streams and calls that
// may run once, about as long as the longest of them takes.
func callerTimeout(path string) time.Duration {
	if strings.HasPrefix(path, "/safe/") {
		return 5 * time.Second
	}
	return 7 * time.Second
}

// Traffic is callers that ask steadily, each kind of request in turn.
type Traffic struct {
	name    string
	stop    chan struct{}
	running sync.WaitGroup
	lock    sync.Mutex
	results []Result
	// nextRequest is what a caller asks next, and after which pause; nil for each kind in turn.
	nextRequest func(n int) (path string, pause time.Duration)
}

// NewTraffic starts callers, made by newCaller. The name tells its requests'
// ids from those of other traffic.
func NewTraffic(name string, callers int, newCaller func(n int) *Caller) *Traffic {
	return newTraffic(name, callers, newCaller, nil)
}

// newTraffic starts callers that ask what next says, or each kind of request in turn where
// that is nil.
func newTraffic(name string, callers int, newCaller func(n int) *Caller, nextRequest func(n int) (path string, pause time.Duration)) *Traffic {
	x := &Traffic{name: name, stop: make(chan struct{}), nextRequest: nextRequest}
	for n := range callers {
		c := newCaller(n)
		x.running.Add(1)
		go x.runCaller(c, n)
	}
	return x
}

func (x *Traffic) runCaller(c *Caller, n int) {
	defer x.running.Done()
	defer c.Close()
	for i := 0; ; i++ {
		path, pause := requestPaths[(n+i)%len(requestPaths)], time.Duration(20+n)*time.Millisecond
		if x.nextRequest != nil {
			path, pause = x.nextRequest(n)
		}
		select {
		case <-x.stop:
			return
		case <-time.After(pause):
		}
		r := c.Do(path, fmt.Sprintf("%s-%d-%d", x.name, n, i), "key-1", callerTimeout(path))
		r.TimeLimit = min(r.TimeLimit, RouteTimeout(path))
		x.lock.Lock()
		x.results = append(x.results, r)
		x.lock.Unlock()
	}
}

// Observations is what the answers of a traffic are held against.
type Observations struct {
	// Runs are a request's runs at all upstreams, the earliest first.
	Runs func(id string) []worker.Run
	// Refusals are those by upstreams that were too full, the earliest first.
	Refusals func(id string) []worker.Run
	// EventCount is how many events the answer to a stream has.
	EventCount func(id string) int
	// Faults are those of the time of the traffic.
	Faults *FaultLog
}

// Stop stops the callers and waits for what they have asked.
func (x *Traffic) Stop() {
	close(x.stop)
	x.running.Wait()
}

// Evaluate returns how many requests of a stopped traffic were served and asked,
// and the promises that were broken. Stops of entries are over by then.
func (x *Traffic) Evaluate(observed Observations) (served, sent int, violations []string) {
	for _, r := range x.results {
		runs := observed.Runs(r.ID)
		violations = append(violations, r.Violations(len(runs), observed.EventCount(r.ID))...)
		violations = append(violations, r.falseQuarantine()...)
		violations = append(violations, observed.Faults.lossesByShutdown(r, runs, observed.Refusals(r.ID))...)
		if r.IsServed() {
			served++
		}
	}
	return served, len(x.results), violations
}

package caller

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// requestPaths has one path for each kind of request.
var requestPaths = []string{"/once/x", "/safe/x", "/stream/x", "/fixed/x"}

// RouteTimeout returns the timeout that a test configures for the route of a path. That
// of safe calls is shorter than the timeout of their callers, but long enough for an
// execution that the entry abandons and a second one. The others are longer than the
// timeout of the callers.
func RouteTimeout(path string) time.Duration {
	if strings.HasPrefix(path, "/safe/") {
		return 4 * time.Second
	}
	return 8 * time.Second
}

// callerTimeout returns the time for which callers wait for a complete response from a
// path. For streams and for calls that may run only once, it is about the duration of the
// longest answer.
func callerTimeout(path string) time.Duration {
	if strings.HasPrefix(path, "/safe/") {
		return 5 * time.Second
	}
	return 7 * time.Second
}

// Traffic is a set of callers, each of which sends one request after the other until
// [Traffic.Stop], and the results of these requests.
type Traffic struct {
	// name is the first part of the request ids.
	name string
	// stop is closed to stop the callers.
	stop    chan struct{}
	running sync.WaitGroup
	lock    sync.Mutex
	results []Result
	// nextRequest returns the path of the next request of the n-th caller and the pause
	// before it. If it is nil, callers send each kind of request in turn.
	nextRequest func(n int) (path string, pause time.Duration)
}

// NewTraffic starts a number of callers, created by newCaller from their index. They
// send each kind of request in turn. Request ids begin with the name, which must
// differ from that of other traffic.
func NewTraffic(name string, callers int, newCaller func(n int) *Caller) *Traffic {
	return newTraffic(name, callers, newCaller, nil)
}

// newTraffic starts callers that send the requests returned by nextRequest, or each
// kind of request in turn if nextRequest is nil.
func newTraffic(name string, callers int, newCaller func(n int) *Caller, nextRequest func(n int) (path string, pause time.Duration)) *Traffic {
	x := &Traffic{name: name, stop: make(chan struct{}), nextRequest: nextRequest}
	for n := range callers {
		c := newCaller(n)
		x.running.Add(1)
		go x.runCaller(c, n)
	}
	return x
}

// runCaller sends the requests of the n-th caller until the traffic is stopped.
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

// Observations is what a test recorded at the upstreams and about the faults that it
// injected. The results of a [Traffic] are checked against it.
type Observations struct {
	// Executions returns the executions of a request at all upstreams, the earliest first.
	Executions func(id string) []worker.Execution
	// Refusals returns the refusals of a request by upstreams that had no capacity or
	// asked for a backoff, the earliest first.
	Refusals func(id string) []worker.Execution
	// EventCount returns the number of events in the complete stream that answers a
	// request.
	EventCount func(id string) int
	// Faults are the faults injected while the traffic ran.
	Faults *FaultLog
}

// Stop stops the callers and waits until their last requests have ended.
func (x *Traffic) Stop() {
	close(x.stop)
	x.running.Wait()
}

// Evaluate returns how many requests of a stopped traffic were served and sent, and a
// text for each violated guarantee. Every shutdown of an entry must have ended.
func (x *Traffic) Evaluate(observed Observations) (served, sent int, violations []string) {
	for _, r := range x.results {
		executions := observed.Executions(r.ID)
		violations = append(violations, r.Violations(len(executions), observed.EventCount(r.ID))...)
		violations = append(violations, r.falseQuarantine()...)
		violations = append(violations, observed.Faults.lossesByShutdown(r, executions, observed.Refusals(r.ID))...)
		if r.IsServed() {
			served++
		}
	}
	return served, len(x.results), violations
}

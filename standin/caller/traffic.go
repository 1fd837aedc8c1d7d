package caller

import (
	"fmt"
	"sync"
	"time"
)

// patience is how long each request of a traffic waits.
const patience = 5 * time.Second

// paths are one of each kind of request.
var paths = []string{"/once/x", "/safe/x", "/stream/x", "/fixed/x"}

// Traffic is callers that ask steadily, each kind of request in turn.
type Traffic struct {
	name    string
	stop    chan struct{}
	work    sync.WaitGroup
	lock    sync.Mutex
	results []Result
}

// NewTraffic starts callers, made by newCaller. The name tells its requests'
// ids from those of other traffic.
func NewTraffic(name string, callers int, newCaller func(n int) *Caller) *Traffic {
	x := &Traffic{name: name, stop: make(chan struct{})}
	for n := range callers {
		c := newCaller(n)
		x.work.Add(1)
		go x.ask(c, n)
	}
	return x
}

func (x *Traffic) ask(c *Caller, n int) {
	defer x.work.Done()
	defer c.Close()
	for i := 0; ; i++ {
		select {
		case <-x.stop:
			return
		case <-time.After(time.Duration(20+n) * time.Millisecond):
		}
		r := c.Ask(paths[(n+i)%len(paths)], fmt.Sprintf("%s-%d-%d", x.name, n, i), "key-1", patience)
		x.lock.Lock()
		x.results = append(x.results, r)
		x.lock.Unlock()
	}
}

// End stops the callers. It returns how many requests were served and asked,
// and the promises that were broken; runs tells how often a request ran, events
// is the length of a stream.
func (x *Traffic) End(runs func(id string) int, events int) (served, asked int, broken []string) {
	close(x.stop)
	x.work.Wait()
	for _, r := range x.results {
		broken = append(broken, r.Broken(runs(r.ID), events)...)
		if r.Served() {
			served++
		}
	}
	return served, len(x.results), broken
}

package caller

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// OpenLoop sends requests of one organisation at a fixed rate, whether earlier ones were answered or not. Its
// exported fields must be set before Run.
type OpenLoop struct {
	// Name is the first part of the request ids. It must differ from that of other callers.
	Name string
	// Path and APIKey are those of all requests, Timeout is how long each waits.
	Path, APIKey string
	Timeout      time.Duration
	// PerSecond is the rate of the requests.
	PerSecond float64
	// Entries are the addresses that get the requests in turn.
	Entries []netip.AddrPort
	// NewCaller returns a caller; the argument is a seed.
	NewCaller func(seed uint64) *Caller

	lock    sync.Mutex
	idle    map[netip.AddrPort][]*Caller
	count   uint64
	results []Result
}

// Run sends requests for a time, waits until all have ended, and returns their results.
func (l *OpenLoop) Run(duration time.Duration) []Result {
	l.idle = map[netip.AddrPort][]*Caller{}
	var sending sync.WaitGroup
	began := time.Now()
	for n := 0; ; n++ {
		at := time.Duration(float64(n) / l.PerSecond * float64(time.Second))
		if at >= duration {
			break
		}
		time.Sleep(time.Until(began.Add(at)))
		sending.Go(func() { l.send(n) })
	}
	sending.Wait()
	for _, callers := range l.idle {
		for _, c := range callers {
			c.Close()
		}
	}
	return l.results
}

// send sends the n-th request by an idle caller of its entry, or by a new one.
func (l *OpenLoop) send(n int) {
	entry := l.Entries[n%len(l.Entries)]
	c := l.takeCaller(entry)
	r := c.Do(l.Path, fmt.Sprintf("%s-%d", l.Name, n), l.APIKey, l.Timeout)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.idle[entry] = append(l.idle[entry], c)
	l.results = append(l.results, r)
}

// takeCaller returns a caller of an entry that sends nothing at the moment.
func (l *OpenLoop) takeCaller(entry netip.AddrPort) *Caller {
	l.lock.Lock()
	defer l.lock.Unlock()
	if callers := l.idle[entry]; len(callers) > 0 {
		l.idle[entry] = callers[:len(callers)-1]
		return callers[len(callers)-1]
	}
	l.count++
	c := l.NewCaller(l.count)
	c.SetFixedAddress(entry)
	return c
}

package caller

import (
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
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
	// HasDistinctPaths makes each request have a path of its own below Path, so that no two have equal contents.
	HasDistinctPaths bool
	// Returns makes a caller that is refused with a Retry-After of at most a third of its time left send the request
	// once more at that time, with another id and to the next entry.
	Returns bool
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
	returns []Result
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

// Returned returns the results of the requests that were sent once more, after Run.
func (l *OpenLoop) Returned() []Result { return l.returns }

// send sends the n-th request by an idle caller of its entry, or by a new one.
func (l *OpenLoop) send(n int) {
	r := l.sendTo(l.Entries[n%len(l.Entries)], n, "", l.Timeout)
	l.lock.Lock()
	l.results = append(l.results, r)
	l.lock.Unlock()
	seconds, err := strconv.ParseFloat(r.RetryAfter, 64)
	wait, left := time.Duration(seconds*float64(time.Second)), l.Timeout-r.Duration
	if !l.Returns || err != nil || r.Status != http.StatusServiceUnavailable || wait > left/3 {
		return
	}
	time.Sleep(wait)
	r = l.sendTo(l.Entries[(n+1)%len(l.Entries)], n, "-again", left-wait)
	l.lock.Lock()
	l.returns = append(l.returns, r)
	l.lock.Unlock()
}

// sendTo sends the n-th request to an entry. The suffix distinguishes the ids of several tries.
func (l *OpenLoop) sendTo(entry netip.AddrPort, n int, suffix string, timeout time.Duration) Result {
	path := l.Path
	if l.HasDistinctPaths {
		path = fmt.Sprintf("%s/%d", path, n)
	}
	c := l.takeCaller(entry)
	r := c.Do(path, fmt.Sprintf("%s-%d%s", l.Name, n, suffix), l.APIKey, timeout)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.idle[entry] = append(l.idle[entry], c)
	return r
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

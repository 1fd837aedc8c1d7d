package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

const (
	// entryMemoryMB is the memory of an entry in this soak, in mebibytes, largeBody the size of the largest bodies.
	entryMemoryMB = 96
	largeBody     = 3_000_000
	// largeTimeout is the time for which callers with large bodies wait.
	largeTimeout = 5 * time.Second
)

// largeResult is how a request with a large body ended. Its status is 0 if no complete response arrived.
type largeResult struct {
	id     string
	status int
}

// largeLoad is a load of requests with large bodies on connections that are kept open, beside others whose callers stop
// sending. It is safe for concurrent use.
type largeLoad struct {
	f       *fleet
	client  *http.Client
	body    []byte
	sent    atomic.Int64
	senders sync.WaitGroup
	lock    sync.Mutex
	results []largeResult
	stalled []net.Conn
}

// send sends one request to an entry.
func (l *largeLoad) send(e *entry, route string, size int) {
	id := fmt.Sprintf("large%d-%d", l.f.seed, l.sent.Add(1))
	l.senders.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), largeTimeout)
		defer cancel()
		result := largeResult{id: id}
		defer func() {
			l.lock.Lock()
			defer l.lock.Unlock()
			l.results = append(l.results, result)
		}()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/%s/x", e.host, callerPort, route), bytes.NewReader(l.body[:size]))
		if err != nil {
			l.f.t.Error(err)
			return
		}
		r.GetBody = nil // each sending has an ID of its own
		r.Host = "h"
		r.Header.Set("Authorization", "Bearer key-1")
		r.Header.Set("X-Attempt-Id", id)
		r.Header.Set("X-Deadline-Ms", strconv.FormatInt(largeTimeout.Milliseconds(), 10))
		r.Header.Set("X-Token-Usage", "2000,200")
		response, err := l.client.Do(r)
		if err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		if _, err := io.Copy(io.Discard, response.Body); err == nil {
			result.status = response.StatusCode
		}
	})
}

// stall opens a connection to an entry on which half of a large body is sent, and nothing more.
func (l *largeLoad) stall(e *entry) {
	connection, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", e.host, callerPort), time.Second)
	if err != nil {
		return // the entry is down
	}
	l.lock.Lock()
	l.stalled = append(l.stalled, connection)
	l.lock.Unlock()
	l.senders.Go(func() {
		_ = connection.SetWriteDeadline(time.Now().Add(largeTimeout))
		_, _ = fmt.Fprintf(connection, "POST /stream/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\nX-Attempt-Id: stalled\r\nX-Deadline-Ms: 10000\r\nX-Token-Usage: 2000,200\r\nContent-Length: %d\r\n\r\n", largeBody)
		_, _ = connection.Write(l.body[:largeBody/2])
	})
}

// check fails the test for each result that breaks a guarantee, and returns how many requests were served, refused and sent.
func (l *largeLoad) check() (served, refused, sent int) {
	for _, r := range l.results {
		runs := worker.ExecutionCount(maps.Values(l.f.upstreams), r.id)
		switch r.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
			refused++
			if runs > 0 {
				l.f.t.Errorf("seed %d: %s was refused with %d and ran %d times", l.f.seed, r.id, r.status, runs)
			}
		}
		if runs > 2 {
			l.f.t.Errorf("seed %d: %s ran %d times", l.f.seed, r.id, runs)
		}
	}
	return served, refused, len(l.results)
}

// watchMemory fails the test if the resident memory of an entry exceeds its limit, until the returned function is called,
// which returns the most that one has used in mebibytes.
func (f *fleet) watchMemory() (stop func() int) {
	ctx, cancel := context.WithCancel(context.Background())
	most, ended := 0, make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			for _, e := range f.entries {
				used := e.residentMB()
				if most = max(most, used); used > entryMemoryMB {
					f.t.Errorf("seed %d: entry-%d uses %d MiB of %d", f.seed, e.index, used, entryMemoryMB)
					return
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return func() int { cancel(); <-ended; return most }
}

// residentMB returns the resident memory of the entry's process in mebibytes, 0 if it does not run.
func (e *entry) residentMB() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", e.cmd.Process.Pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// memoryFaults disrupt the fleet while large requests are sent.
var memoryFaults = []fault{
	faults["entry killed"], faults["entry stopped"], faults["entries stopped in series"], faults["settings changed"],
	faults["configuration"], faults["upstream fails"], faults["way to an upstream"], faults["store fails"],
}

// TestSoakOfLargeBodies sends bursts of requests with large bodies, on connections that stay open, beside senders that
// stall, while entries are stopped in series and killed and upstreams fail. No entry may exceed its memory; a refused
// request must not have run; afterwards every request of other callers has to be served, and nothing may be left.
//
// It guards against the failure of review case 4, which no other soak could find: their bodies are small, and nothing
// watched the memory of the processes.
func TestSoakOfLargeBodies(t *testing.T) {
	runSeeds(t, 2, runLargeBodies)
}

func runLargeBodies(t *testing.T, seed int) {
	r := rand.New(rand.NewPCG(uint64(seed), 11))
	f := newFleetWithLimits(t, seed+125, 3, limits{memoryMB: entryMemoryMB, maxBody: largeBody + 1000}) // other addresses than those of TestSoak
	f.awaitReady(10 * time.Second)
	stopWatch := f.watchMemory()
	l := &largeLoad{f: f, body: bytes.Repeat([]byte("large body"), largeBody/10), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}}}
	var endFaults []func()
	for started := time.Now(); time.Since(started) < time.Duration(*faultSeconds)*time.Second; {
		for range 5 + r.IntN(40) {
			l.send(pick(r, f.entries...), pick(r, "once", "safe", "stream", "fixed"), pick(r, 1000, largeBody/3, largeBody))
		}
		for range r.IntN(20) {
			l.stall(pick(r, f.entries...))
		}
		endFaults = append(endFaults, pick(r, memoryFaults...)(f, r))
		if len(endFaults) > 2 {
			endFaults[0]()
			endFaults = endFaults[1:]
		}
		time.Sleep(time.Duration(100+r.IntN(900)) * time.Millisecond)
	}
	for _, end := range endFaults {
		end()
	}
	f.background.Wait()
	l.senders.Wait()
	served, refused, sent := l.check()
	for _, c := range l.stalled {
		_ = c.Close()
	}
	l.client.CloseIdleConnections()
	f.checkRecovery(time.Now())
	t.Logf("seed %d: %d of %d large requests served, %d refused, %d stalled senders; an entry used %d MiB at most", seed, served, sent, refused, len(l.stalled), stopWatch())
}

//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The load of the case memory. A client's request carries a photograph, so its body is large and its prompt short.
const (
	memoryEngines  = 8
	memorySlots    = 16
	memoryBody     = 4_000_000
	memoryMaxBody  = 4_194_304
	memoryEvents   = 33
	memoryRate     = 14.0 // requests a second, over both entries
	memoryBurst    = 2.5  // times the traffic: the largest dose for the short prompts of "zeekant-ams"
	memoryBurstFor = 9500 * time.Millisecond
	memoryQuiet    = 8 * time.Second
	memoryDeadline = 10 * time.Second
)

// outcome is what a client saw of one request.
type outcome struct {
	id       string
	isReused bool
	status   int
	hasEnded bool
	err      error
}

// playMemory sends streaming requests with large bodies, as many at once as a burst of the pages brings, and kills an
// entry whose memory exceeds limits.memory-mb, as the platform does.
func playMemory(r *record) int {
	d, err := newDeployment(r, zeekantBounds)
	if err != nil {
		r.add("could not run: %v", err)
		return notRun
	}
	defer d.close()
	engines, err := d.addMemoryEngines()
	if err == nil {
		err = d.addEntries(2)
	}
	if err == nil {
		err = d.awaitReady(20 * time.Second)
	}
	if err != nil {
		r.add("could not run: %v", err)
		return notRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	kills := d.limitMemory(ctx)
	outcomes := d.sendPhotographs()
	cancel()
	return judgeMemory(r, engines, outcomes, kills())
}

func (d *deployment) addMemoryEngines() ([]*engine, error) {
	var engines []*engine
	for i := range memoryEngines {
		e := newEngine(d.record, fmt.Sprintf("i-lm-%d", i+1), "lm", memorySlots)
		e.firstEvent, e.eventGap, e.events = 300*time.Millisecond, 40*time.Millisecond, memoryEvents
		at := d.address(1, byte(i+1), d.ports.engine)
		if err := d.serve(at, e); err != nil {
			return nil, err
		}
		d.register(e.id, "lm", at, memorySlots, time.Now())
		engines = append(engines, e)
	}
	d.configure([]any{map[string]any{
		"name": "clause-query", "host": hostName, "prefix": "/clause/", "kind": "streaming", "timeout-ms": 10000, "target-latency-ms": 300, "priority": 1,
		"service": "lm", "max-attempts": 2, "public": false, "sticky": true, "stream-resume": true, "gap-aim-ms": 250,
	}}, []any{map[string]any{
		"name": "lm", "health-path": "/health", "max-conns": 364, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": memorySlots, "kv-capacity-tokens": 315000, "kv-bytes": 163840, "link-mbps": 400000.0, "stride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425,
			"context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0, "usual": map[string]any{"prompt": 5000, "answer": 1622}, "hop-ms": 0.05},
	}}, map[string]any{"max-header-bytes": 16384, "max-body-bytes": memoryMaxBody, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}, apiKey)
	return engines, nil
}

// residentMB returns the resident memory of a process in units of 2^20 bytes, 0 if it has ended.
func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// memoryKill is the end of a process for want of memory.
type memoryKill struct {
	entry string
	at    time.Time
	mb    float64
}

// limitMemory kills each entry whose memory exceeds its limit, and starts it again after 0.5 s. The function returned
// waits for the end and returns the kills.
func (d *deployment) limitMemory(ctx context.Context) func() []memoryKill {
	var lock sync.Mutex
	var kills []memoryKill
	var watchers sync.WaitGroup
	for _, e := range d.entries {
		watchers.Go(func() {
			peak := 0.0
			for ctx.Err() == nil {
				time.Sleep(10 * time.Millisecond)
				pid, exited := e.process()
				mb := residentMB(pid)
				peak = max(peak, mb)
				if mb <= memoryMB {
					continue
				}
				at := time.Now()
				e.signal(syscall.SIGKILL)
				<-exited
				d.record.add("the platform kills %s: it uses %.0f MB of %d", e.name, mb, memoryMB)
				lock.Lock()
				kills = append(kills, memoryKill{e.name, at, mb})
				lock.Unlock()
				time.Sleep(500 * time.Millisecond)
				if err := e.start(false); err != nil {
					d.record.add("%v", err)
					return
				}
			}
			d.record.add("%s used %.0f MB at most", e.name, peak)
		})
	}
	return func() []memoryKill { watchers.Wait(); return kills }
}

// sendPhotographs sends the traffic of the case and returns what became of it. Clients keep their connections.
func (d *deployment) sendPhotographs() []outcome {
	body := bytes.Repeat([]byte("photograph"), memoryBody/10)
	var lock sync.Mutex
	var outcomes []outcome
	var clients sync.WaitGroup
	addresses, err := d.awaitAddresses(10 * time.Second)
	if err != nil {
		d.record.add("could not run: %v", err)
		return nil
	}
	transports := make([]*http.Transport, 24)
	for i := range transports {
		transports[i] = &http.Transport{IdleConnTimeout: 12 * time.Second, MaxIdleConnsPerHost: 8}
	}
	burstFrom := time.Now().Add(memoryQuiet)
	end := burstFrom.Add(memoryBurstFor + 2*time.Second)
	next := time.Now()
	for n := 0; time.Now().Before(end); n++ {
		rate := memoryRate
		if now := time.Now(); isTroubled() && now.After(burstFrom) && now.Before(burstFrom.Add(memoryBurstFor)) {
			rate *= memoryBurst
		}
		next = next.Add(time.Duration(float64(time.Second) / rate))
		time.Sleep(time.Until(next))
		clients.Go(func() {
			o := d.sendPhotograph(transports[n%len(transports)], addresses[n%len(addresses)], n, body)
			lock.Lock()
			outcomes = append(outcomes, o)
			lock.Unlock()
		})
	}
	clients.Wait()
	return outcomes
}

// sendPhotograph sends one request and reads its answer.
func (d *deployment) sendPhotograph(transport *http.Transport, address string, n int, body []byte) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), memoryDeadline)
	defer cancel()
	o := outcome{id: fmt.Sprintf("photo-%d", n)}
	ctx = withReuse(ctx, &o.isReused)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/clause/"+o.id, bytes.NewReader(body))
	if err != nil {
		o.err = err
		return o
	}
	request.GetBody = nil // each attempt has an ID of its own
	request.Host = hostName
	for name, value := range map[string]string{
		"X-Attempt-Id": o.id, "X-Deadline-Ms": strconv.Itoa(int(memoryDeadline.Milliseconds())), "Authorization": "Bearer " + apiKey, "X-Model": "m",
		"X-Token-Usage": "5000,1683", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%x:4960", 0x1000+n),
	} {
		request.Header.Set(name, value)
	}
	d.record.add("%s sent to %s", o.id, address)
	response, err := transport.RoundTrip(request)
	if err != nil {
		o.err = err
		d.record.add("%s gets no answer: %v", o.id, err)
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.status = response.StatusCode
	_, o.err = io.Copy(io.Discard, response.Body)
	o.hasEnded = o.err == nil
	d.record.add("%s answered %d, complete: %t", o.id, o.status, o.hasEnded)
	return o
}

// judgeMemory reports whether the rule LOST is broken: more than three requests from kept connections that were passed
// on to a sound engine, and whose connection closed without an answer.
func judgeMemory(r *record, engines []*engine, outcomes []outcome, kills []memoryKill) int {
	lost, lostOnKept, cut, served, refused := 0, 0, 0, 0, 0
	for _, o := range outcomes {
		hasRun := false
		for _, e := range engines {
			hasRun = hasRun || e.hasRun(o.id)
		}
		switch {
		case o.status == http.StatusOK && o.hasEnded:
			served++
		case o.status == http.StatusOK:
			cut++
		case o.status != 0:
			refused++
		case hasRun && !errors.Is(o.err, context.DeadlineExceeded):
			lost++
			if o.isReused {
				lostOnKept++
			}
		}
	}
	r.add("%d requests: %d served, %d refused or failed with an answer, %d cut in the answer", len(outcomes), served, refused, cut)
	r.add("passed on to a sound engine and closed without an answer: %d, of them on kept connections: %d", lost, lostOnKept)
	r.add("processes killed for their memory: %d", len(kills))
	if lostOnKept > 3 {
		r.add("LOST is broken")
		return broken
	}
	if len(outcomes) == 0 || served*2 < len(outcomes) {
		r.add("could not run: under half of the requests were served")
		return notRun
	}
	return held
}

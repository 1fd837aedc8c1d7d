package forwarder_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// mostIn returns the largest number of requests that reached a worker in any window.
func mostIn(w *worker.Worker, window time.Duration) int {
	most, executions := 0, w.Executions()
	for i, first := range executions {
		n := 0
		for _, e := range executions[i:] {
			if e.Began.Sub(first.Began) <= window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// askRepeatedly sends a request every interval for a time, without waiting for the responses, and returns
// these once all have ended.
func (f *fixture) askRepeatedly(r request, interval, duration time.Duration) []answer {
	var answers []answer
	var lock sync.Mutex
	var running sync.WaitGroup
	for n := range int(duration / interval) {
		running.Go(func() {
			sent := r
			sent.id = fmt.Sprint(r.id, n)
			a := f.ask(sent)
			lock.Lock()
			defer lock.Unlock()
			answers = append(answers, a)
		})
		time.Sleep(interval)
	}
	running.Wait()
	return answers
}

// The rate limit of an upstream applies to first attempts, to second ones after each kind of failure of the
// others, to streams that resume there and to those that move there because their engine is silent.
func TestRateLimitAppliesToEveryAttempt(t *testing.T) {
	const perSecond, window = 1.0, 4 * time.Second
	for _, path := range []string{"/safe/x", "/stream/x"} {
		for _, fault := range []worker.Fault{worker.FaultNone, worker.FaultServerError, worker.FaultConnectionLost, worker.FaultBrokenOff, worker.FaultFull, worker.FaultNoAnswer} {
			t.Run(fmt.Sprintf("%s %v", path, fault), func(t *testing.T) {
				withForwarder(t, func(f *fixture) {
					limited, others, usage := f.plain[0], f.plain[1:], ""
					if path == "/stream/x" {
						limited, others, usage = f.engines[0], f.engines[1:], "2000,200"
					}
					setFaults(others, worker.FaultFull)
					limited.SetRateLimit(perSecond)
					f.askRepeatedly(request{path: path, id: "a", usage: usage}, 100*time.Millisecond, time.Second)
					setFaults(others, fault)
					informed := len(limited.Executions())
					f.is.True(informed > 0)
					f.askRepeatedly(request{path: path, id: "b", usage: usage}, 50*time.Millisecond, 12*time.Second)
					f.is.True(float64(mostIn(limited, window)-informed) <= 1.5*perSecond*window.Seconds()+5)
					f.is.True(fault == worker.FaultNone || len(limited.Executions()) > informed+5)
				})
			})
		}
	}
}

// Where every upstream has a rate limit, what they do not accept is refused at once, with the time until the
// next request may be sent, and what they accept is served.
func TestRequestsOverAllRateLimitsAreRefusedAtOnce(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		for _, w := range f.plain {
			w.SetRateLimit(2)
		}
		f.askRepeatedly(request{path: "/safe/x", id: "a"}, 100*time.Millisecond, time.Second)
		served := 0
		for _, a := range f.askRepeatedly(request{path: "/safe/x", id: "b"}, 50*time.Millisecond, 10*time.Second) {
			if a.status == 200 {
				served++
				continue
			}
			f.is.Equal(a.status, 503)
			f.is.True(a.duration < 13*time.Millisecond) // an eighth of the first-byte target
			f.is.True(a.header.Get("Retry-After") >= "0.200" && a.header.Get("Retry-After") <= "0.500")
		}
		f.is.True(served >= 38 && served <= 42) // two upstreams, two requests a second each
	})
}

// A rate limit ends with the first response without one, and a text that can't be read does not end it.
func TestRateLimitLastsAsLongAsItIsStated(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		f.plain[1].SetLeaving()
		f.plain[0].SetRateLimit(1)
		servedIn := func(id string, duration time.Duration) (served int) {
			for _, a := range f.askRepeatedly(request{path: "/safe/x", id: id}, 100*time.Millisecond, duration) {
				if a.status == 200 {
					served++
				}
			}
			return served
		}
		servedIn("a", 2*time.Second)
		f.plain[0].GarbleRateLimit("some")
		f.is.True(servedIn("b", 10*time.Second) <= 11)
		f.plain[0].EndRateLimit()
		servedIn("c", 2*time.Second)
		f.is.Equal(servedIn("d", 5*time.Second), 50)
	})
}

// An engine with a rate limit holds no memory for prompts that another engine answers, since reserving it
// and renewing the lease are requests, too.
func TestEnginesWithRateLimitHoldNoMemoryForOthers(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		limit := dispatcher.RateLimitReport{Limit: dispatcher.RateLimit{Limited: true, PerSecond: 20}, SentAt: time.Now(), ReceivedAt: time.Now()}
		f.is.True(f.dispatcher.RecordRateLimit(f.instances[2], limit))
		setFaults(f.engines, worker.FaultSlow)
		time.Sleep(time.Second) // until the limit allows a request
		done := make(chan answer)
		go func() { done <- f.ask(request{path: "/long/x", id: "a", usage: "400000,100"}) }()
		time.Sleep(200 * time.Millisecond)
		f.is.Equal(len(f.engines[0].ReservedTokens()), 0)
		f.is.True(len(f.engines[1].ReservedTokens())+len(f.engines[2].ReservedTokens()) > 0)
		f.is.Equal((<-done).status, 200)
	})
}

package forwarder_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/asserter"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/forwarder"
	"github.com/sapphireramp/sapphireramp/isolator"
	"github.com/sapphireramp/sapphireramp/platform"
	"github.com/sapphireramp/sapphireramp/scheduler"
	"github.com/sapphireramp/sapphireramp/tunneler"
)

// returnEntry is an entry of a test of returns: a Forwarder with a Scheduler.
type returnEntry struct {
	*forwarder.Forwarder
	scheduler *scheduler.Scheduler
	// share is what the entry knows of shares; the zero value stands for nothing.
	share forwarder.Share
}

// newReturnEntry starts an entry with a share of ten engines for each organisation.
func (f *fixture) newReturnEntry(t *testing.T, number byte) *returnEntry {
	links := tunneler.New(tunneler.Config{
		Name: "other", DataCentre: "a", Dial: f.net.Dialer(netip.AddrFrom4([4]byte{10, 0, 1, number})), Relays: func() []tunneler.Relay { return nil }, OnCutOff: func(time.Time) {}, CloseIdle: func() {}, Log: zap.NewNop(), Scope: tally.NoopScope,
	})
	t.Cleanup(links.Close)
	links.SetUpstreams(tunnelUpstreams(f.instances))
	e := &returnEntry{
		scheduler: scheduler.New(scheduler.Config{Random: rand.New(rand.NewPCG(1, uint64(number))), IsFirstStart: true}),
		share:     forwarder.Share{Level: 10, Use: 1, WorkTime: 100 * time.Millisecond},
	}
	e.Forwarder = forwarder.New(forwarder.Config{
		Protocol: platform.Protocol(), Reservations: platform.NewReservationClient(&http.Client{Transport: &http.Transport{DialContext: links.Dial, DisableKeepAlives: true}}),
		ReservationTTL: 3 * time.Second, MaxIdle: 9 * time.Second, View: f.view.Load, Dispatcher: f.dispatcher, Quarantine: f.quarantine, Isolator: isolator.New("other"), OnCrash: func() {}, RetryBudget: f.retryBudget,
		Scheduler: e.scheduler, Share: func(time.Time, dispatcher.Demand) (forwarder.Share, bool) { return e.share, e.share.Level > 0 },
		Tunneler: links, Account: f.account, Log: zap.NewNop(), Scope: tally.NoopScope, Asserter: asserter.New(func(name, detail string) { t.Errorf("%s: %s", name, detail) }),
	})
	return e
}

// ask sends a prompt to the entry, and returns the status, the body and the Retry-After of the answer.
func (e *returnEntry) ask(id, body string, timeout time.Duration) (int, string, time.Duration) {
	q := httptest.NewRequest(http.MethodPost, "http://h/stream/x", strings.NewReader(body))
	q.Header.Set("Authorization", "Bearer key")
	q.Header.Set("X-Attempt-Id", id)
	q.Header.Set("X-Token-Usage", "1000,100")
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	w := httptest.NewRecorder()
	e.ServeHTTP(w, q)
	seconds, _ := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	return w.Code, w.Body.String(), time.Duration(seconds * float64(time.Second))
}

// setEnginesFull sets whether long responses of a peer's requests take all slots of all engines.
func (f *fixture) setEnginesFull(full bool) {
	var loads []dispatcher.RequestLoad
	for n := range 40 * len(f.engines) {
		load := dispatcher.RequestLoad{ID: dispatcher.CompactID(n), Ended: !full}
		if full {
			load.PromptTokens, load.FirstByteSeen, load.AnswerTokens = 1000, true, 100000
			load.Assignments = []dispatcher.AssignmentLoad{{Upstream: f.instances[2+n%len(f.engines)].IncarnationID(), MemoryTokens: 2000, Decodes: true}}
		}
		loads = append(loads, load)
	}
	f.dispatcher.ApplyPeerLoads(time.Now(), dispatcher.CompactIDOf("peer"), loads)
}

// deliver passes the changes of one entry's places to another.
func (e *returnEntry) deliver(to *returnEntry) {
	for _, m := range scheduler.Encode(time.Now(), e.scheduler.TakeChanges()) {
		u, err := scheduler.Decode(time.Now(), m)
		if err != nil {
			panic(err)
		}
		to.scheduler.Apply(time.Now(), u)
	}
}

// A refused caller comes back at the time that it was told, at another entry and with another ID. Guards
// against returns that are taken for new requests, and against the same with another content or at another
// time, or a second time, that is taken for a return.
func TestCallerReturnsAtAnotherEntry(t *testing.T) {
	for _, test := range []struct {
		name, body string
		delay      time.Duration
		kept       int
	}{
		{"in time", "prompt", 0, 1},
		{"other content", "prompt 2", 0, 0},
		{"late", "prompt", 400 * time.Millisecond, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			withForwarder(t, func(f *fixture) {
				first, second := f.newReturnEntry(t, 1), f.newReturnEntry(t, 2)
				f.setEnginesFull(true)
				status, answer, retryAfter := first.ask("try-1", "prompt", 10*time.Second)
				f.is.Equal(status, http.StatusServiceUnavailable)
				f.is.True(strings.Contains(answer, "overloaded"))
				// Engines accept no prompt for 3 s, and a step of the clock takes 12 ms.
				f.is.True(retryAfter >= 3*time.Second && retryAfter <= 3012*time.Millisecond)
				first.deliver(second)
				f.setEnginesFull(false)
				time.Sleep(retryAfter + test.delay)
				go func() {
					select {
					case <-second.scheduler.Changed:
						second.deliver(first)
					case <-time.After(time.Second):
					}
				}()
				for n := range 2 {
					status, _, _ = second.ask(fmt.Sprintf("try-%d", n+2), test.body, 10*time.Second)
					f.is.Equal(status, http.StatusOK)
				}
				f.is.Equal(second.scheduler.Counts(time.Now()), scheduler.Counts{Kept: test.kept})
				f.is.Equal(first.scheduler.Counts(time.Now().Add(time.Second)), scheduler.Counts{Promised: 1, Unclaimed: 1 - test.kept})
			})
		})
	}
}

// Guards against a return that could not be served and is not counted, or gets no time again.
func TestRefusedReturnIsCountedAndGetsAnotherPlace(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		e := f.newReturnEntry(t, 1)
		f.setEnginesFull(true)
		_, _, retryAfter := e.ask("try-1", "prompt", 10*time.Second)
		time.Sleep(retryAfter)
		status, _, retryAfter := e.ask("try-2", "prompt", 10*time.Second)
		f.is.Equal(status, http.StatusServiceUnavailable)
		f.is.True(retryAfter >= 3*time.Second)
		f.is.Equal(e.scheduler.Counts(time.Now()), scheduler.Counts{Promised: 2, Refused: 1})
	})
}

// The share allows one request in twelve seconds. Guards against callers that are told a time at which they
// have given up or none is reserved, and against places where no share is known.
func TestCallerWithoutPlaceInTime(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		e := f.newReturnEntry(t, 1)
		e.share.Level /= 1000
		f.setEnginesFull(true)
		promised := 0
		for n := range 5 {
			status, answer, retryAfter := e.ask(fmt.Sprintf("try-%d", n), "prompt", 10*time.Second)
			f.is.Equal(status, http.StatusServiceUnavailable)
			f.is.True(retryAfter <= 10*time.Second)
			if strings.Contains(answer, "no_place_in_time") {
				f.is.True(retryAfter > 3300*time.Millisecond)
			} else {
				promised++
			}
		}
		f.is.True(promised <= 1)
		f.is.Equal(e.scheduler.Counts(time.Now()).Promised, promised)
		e.share = forwarder.Share{}
		_, answer, retryAfter := e.ask("unknown", "prompt", 10*time.Second)
		f.is.True(strings.Contains(answer, "overloaded"))
		f.is.Equal(retryAfter, 3*time.Second)
	})
}

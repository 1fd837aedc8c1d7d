package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/asserter"
	"github.com/sapphireramp/sapphireramp/budgeter"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/forwarder"
	"github.com/sapphireramp/sapphireramp/isolator"
	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/platform"
	"github.com/sapphireramp/sapphireramp/quarantiner"
	"github.com/sapphireramp/sapphireramp/standin/network"
	"github.com/sapphireramp/sapphireramp/standin/worker"
	"github.com/sapphireramp/sapphireramp/tunneler"
)

var (
	entryHost  = netip.MustParseAddr("10.0.0.1")
	callerHost = netip.MustParseAddr("10.9.0.1")
)

// fixture runs a Forwarder with two plain upstreams and three engines on a simulated network.
type fixture struct {
	is         *is.I
	net        *network.Network
	view       atomic.Pointer[forwarder.View]
	dispatcher *dispatcher.Dispatcher
	table      *matcher.Table
	quarantine *quarantiner.Quarantiner
	account    *accountant.Account
	// protocol is that of the Forwarder, with the function fields of the time of each call.
	protocol    *forwarder.Protocol
	retryBudget *budgeter.Budgeter
	// instances lists all upstreams, the plain ones first.
	instances []dispatcher.Instance
	// client sends requests to the entry as a caller.
	client *http.Client
	// plain and engines are the stand-ins behind instances, in the same order.
	plain   []*worker.Worker
	engines []*worker.Worker
	// restored are servers started by the test, which are closed at its end.
	restored []*http.Server
	lock     sync.Mutex
	// dials counts the connections that the entry has begun to open to each upstream.
	dials map[string]int
	// nextConnection is what the next dial of the entry returns instead of a connection of net; nil for none.
	nextConnection net.Conn
}

// dial opens a connection of the entry to an upstream.
func (f *fixture) dial(ctx context.Context, network, address string) (net.Conn, error) {
	f.lock.Lock()
	f.dials[address]++
	next := f.nextConnection
	f.nextConnection = nil
	f.lock.Unlock()
	if next != nil {
		return next, nil
	}
	return f.net.Dialer(entryHost)(ctx, network, address)
}

// setNextConnection makes the next dial of the entry return a connection.
func (f *fixture) setNextConnection(c net.Conn) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.nextConnection = c
}

// countDials returns the number of connections that the entry has begun to open to an upstream.
func (f *fixture) countDials(upstream netip.AddrPort) int {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.dials[upstream.String()]
}

var engineProfile = &matcher.EngineProfile{
	Slots: 16, MemoryTokens: 315000, StepsPerPass: 51, StepTime: 850 * time.Microsecond, TimePerSequence: 4250 * time.Nanosecond,
	TimePerThousandTokens: 2850 * time.Nanosecond, PrefillTokensPerSecond: 177000, TimePerMillionPairs: 184 * time.Microsecond, ChunkTokens: 2048,
}

func testConfig() matcher.Config {
	app, lm := []matcher.WeightedService{{Service: "app", Weight: 1}}, []matcher.WeightedService{{Service: "lm", Weight: 1}}
	return matcher.Config{
		Version: 1,
		Routes: []matcher.Route{
			{Name: "once", Host: "h", Prefix: "/once/", Kind: matcher.AtMostOnce, Timeout: 2 * time.Second, FirstByteTarget: 100 * time.Millisecond, Services: app, MaxAttempts: 1},
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: matcher.Idempotent, Timeout: 2 * time.Second, FirstByteTarget: 100 * time.Millisecond, Services: app, MaxAttempts: 2},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: matcher.Stream, Timeout: 10 * time.Second, FirstByteTarget: 300 * time.Millisecond, GapTarget: 250 * time.Millisecond, Services: lm, MaxAttempts: 2, CarriesPrompts: true, Resumable: true},
			{Name: "long", Host: "h", Prefix: "/long/", Kind: matcher.Stream, Timeout: 15 * time.Second, FirstByteTarget: 3 * time.Second, GapTarget: time.Second, Services: lm, MaxAttempts: 2, CarriesPrompts: true, Resumable: true},
			{Name: "fixed", Host: "h", Prefix: "/fixed/", Kind: matcher.Stream, Timeout: 10 * time.Second, FirstByteTarget: 300 * time.Millisecond, GapTarget: 250 * time.Millisecond, Services: lm, MaxAttempts: 2, CarriesPrompts: true},
		},
		Services:      []matcher.Service{{Name: "app"}, {Name: "lm", Engine: engineProfile}},
		Limits:        matcher.Limits{BodyBytes: 1000, HeaderBytes: 2000},
		Organisations: []matcher.Organisation{{Name: "crew", Keys: []string{"key"}, Priority: 1}, {Name: "desk", Keys: []string{"urgent"}}},
	}
}

// withForwarder runs a test with a fixture in virtual time. The test fails if an invariant is violated.
func withForwarder(t *testing.T, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{is: is.New(t), dials: map[string]int{}, net: network.New(), quarantine: quarantiner.New(), account: accountant.New(accountant.LimitFor(0))}
		protocol := platform.Protocol()
		f.protocol = &protocol
		f.retryBudget = budgeter.New(time.Now(), budgeter.Config{Ratio: 0.2, Window: 10 * time.Second, BaseRetries: 100})
		table, err := matcher.New(testConfig())
		f.is.NoErr(err)
		f.table = table
		f.view.Store(&forwarder.View{Table: table, RetryBudgetEntries: 1, ConfirmedAt: time.Now(), ConfirmationTTL: 1500 * time.Millisecond})
		f.dispatcher = dispatcher.New("a", rand.New(rand.NewPCG(1, 2)))
		var servers []*http.Server
		for i := range 5 {
			w := worker.New(fmt.Sprintf("i-%d", i), 20*time.Millisecond, 10, 50*time.Millisecond)
			service := "app"
			if i < 2 {
				f.plain = append(f.plain, w)
			} else {
				service = "lm"
				f.engines = append(f.engines, w)
			}
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 80)
			f.instances = append(f.instances, dispatcher.Instance{ID: fmt.Sprintf("i-%d", i), Service: service, Address: address, DataCentre: "a", Slots: 6, Started: time.Now()})
			servers = append(servers, f.serve(address, w))
		}
		f.dispatcher.UpdateUpstreams(table, f.instances)
		f.dispatcher.SetPlacingEntries("entry", []string{"entry"})
		invariants := asserter.New(func(name, detail string) { t.Errorf("%s: %s", name, detail) })
		links := tunneler.New(tunneler.Config{
			Name: "entry", DataCentre: "a", Dial: f.dial, Relays: func() []tunneler.Relay { return nil }, OnCutOff: func(time.Time) {}, CloseIdle: func() {}, Log: zap.NewNop(), Scope: tally.NoopScope,
		})
		defer links.Close()
		links.SetUpstreams(tunnelUpstreams(f.instances))
		handler := forwarder.New(forwarder.Config{
			Protocol: f.currentProtocol(), Reservations: platform.NewReservationClient(&http.Client{Transport: &http.Transport{DialContext: links.Dial, DisableKeepAlives: true}}),
			ReservationTTL: 3 * time.Second, MaxIdle: 9 * time.Second, View: f.view.Load, Dispatcher: f.dispatcher, Quarantine: f.quarantine, Isolator: isolator.New("entry"), OnCrash: func() {},
			RetryBudget: f.retryBudget,
			Tunneler:    links, Account: f.account, Log: zap.NewNop(), Scope: tally.NoopScope, Asserter: invariants,
		})
		servers = append(servers, f.serve(netip.AddrPortFrom(entryHost, 80), handler))
		transport := &http.Transport{DialContext: f.net.Dialer(callerHost)}
		f.client = &http.Client{Transport: transport}
		defer func() {
			transport.CloseIdleConnections()
			for _, s := range append(servers, f.restored...) {
				_ = s.Close()
			}
			for _, h := range []netip.Addr{entryHost, callerHost} {
				f.net.KillHost(h)
			}
			time.Sleep(time.Second) // until crash detection has ended
			synctest.Wait()
		}()
		test(f)
	})
}

// tunnelUpstreams returns what a tunneler needs to know of upstreams.
func tunnelUpstreams(instances []dispatcher.Instance) []tunneler.Upstream {
	var out []tunneler.Upstream
	for _, i := range instances {
		out = append(out, tunneler.Upstream{Address: i.Address, DataCentre: i.DataCentre})
	}
	return out
}

// currentProtocol returns a protocol whose ReadResponse is that of f.protocol at the time of the call.
func (f *fixture) currentProtocol() forwarder.Protocol {
	p := *f.protocol
	p.ReadResponse = func(status int, h http.Header) forwarder.ResponseMetadata { return f.protocol.ReadResponse(status, h) }
	return p
}

// serve starts an HTTP server on the simulated network.
func (f *fixture) serve(address netip.AddrPort, h http.Handler) *http.Server {
	listener, err := f.net.Listen(address)
	f.is.NoErr(err)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(listener) }()
	return server
}

// answer is the response that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	// closesConnection is true if the response asks the caller to close the connection.
	closesConnection bool
	err              error
	duration         time.Duration
}

// request describes a request of a test. A key that is empty stands for "key"; other zero fields are
// not sent.
type request struct {
	path, id, key, usage, lastEventID, body string
	timeout                                 time.Duration
	ctx                                     context.Context
	// bodyReader is sent instead of body if it is not nil.
	bodyReader io.Reader
}

// ask sends a request to the entry and returns the complete answer.
func (f *fixture) ask(r request) answer {
	ctx := r.ctx
	if ctx == nil {
		ctx = context.Background()
	}
	method := http.MethodPost
	if strings.HasPrefix(r.path, "/safe/") {
		method = http.MethodGet
	}
	body := r.bodyReader
	if body == nil {
		body = strings.NewReader(r.body)
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+entryHost.String()+r.path, body)
	f.is.NoErr(err)
	q.Host = "h"
	if r.key == "" {
		r.key = "key"
	}
	q.Header.Set("Authorization", "Bearer "+r.key)
	q.Header.Set("X-Attempt-Id", r.id)
	q.Header.Set("X-Tenant", "forged")
	if r.usage != "" {
		q.Header.Set("X-Token-Usage", r.usage)
	}
	if r.lastEventID != "" {
		q.Header.Set("Last-Event-Id", r.lastEventID)
	}
	if r.timeout > 0 {
		q.Header.Set("X-Deadline-Ms", fmt.Sprint(r.timeout.Milliseconds()))
	}
	began := time.Now()
	response, err := f.client.Do(q)
	if err != nil {
		return answer{err: err, duration: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(text), closesConnection: response.Close, err: err, duration: time.Since(began)}
}

// wholeStream returns the events of a worker's stream for the request with an id, from the event with
// number from to the last, which is number 10.
func wholeStream(id string, from int) string {
	text := ""
	for n := from; n <= 10; n++ {
		text += worker.StreamEvent(id, n)
	}
	return text
}

// countExecutions returns how many times workers have run the request with an id.
func countExecutions(workers []*worker.Worker, id string) int {
	return worker.ExecutionCount(slices.Values(workers), id)
}

// setFaults sets the same fault in all workers.
func setFaults(workers []*worker.Worker, fault worker.Fault) {
	for _, w := range workers {
		w.SetFault(fault)
	}
}

// The upstream receives what the caller sent, except that the API key is replaced by the name of
// the organisation.
func TestRequestReachesUpstreamUnchanged(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		a := f.ask(request{path: "/once/a%2Fb//c?x=1&y=%20", id: "r1", body: "order"})
		f.is.NoErr(a.err)
		f.is.Equal(a.status, 200)
		f.is.Equal(a.body, worker.AnswerBody("r1"))
		f.is.Equal(countExecutions(f.plain, "r1"), 1)
		for _, w := range f.plain {
			for _, r := range w.Executions() {
				f.is.Equal(r.Path, "/once/a%2Fb//c?x=1&y=%20")
				f.is.Equal(r.Body, "order")
				f.is.Equal(r.Organisation, "crew")
				f.is.True(r.Remaining > 1900*time.Millisecond && r.Remaining <= 2*time.Second)
			}
		}
	})
}

// Requests that wait at an engine are ordered by the priority of the organisation first, then by
// the first-byte target of the route.
func TestOrganisationPriorityPrecedesTarget(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		var order []string
		for _, c := range []request{
			{id: "r1", path: "/stream/", key: "urgent"}, {id: "r2", path: "/long/", key: "urgent"}, {id: "r3", path: "/stream/"}, {id: "r4", path: "/long/"},
		} {
			c.usage = "5000,100"
			f.is.Equal(f.ask(c).status, 200)
			for _, w := range f.engines {
				for _, r := range w.Executions() {
					if r.RequestID == c.id {
						order = append(order, r.Priority)
					}
				}
			}
		}
		f.is.Equal(order, []string{"0", "2", "3", "5"})
	})
}

func TestEntryRefusesInvalidRequests(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		for _, c := range []struct {
			request request
			status  int
		}{
			{request{path: "/none/", id: "r1"}, 404},
			{request{path: "/once/", id: "r2", key: "wrong"}, 401},
			{request{path: "/once/", id: "r3", body: strings.Repeat("x", 1001)}, 413},
			{request{path: "/once/" + strings.Repeat("x", 2000), id: "r5"}, 431},
		} {
			a := f.ask(c.request)
			f.is.NoErr(a.err)
			f.is.Equal(a.status, c.status)
			f.is.Equal(a.header.Get("X-Attempt-Id"), c.request.id)
			f.is.Equal(countExecutions(f.plain, c.request.id), 0)
		}
		f.view.Store(&forwarder.View{})
		a := f.ask(request{path: "/once/", id: "r4"})
		f.is.Equal(a.status, 503) // the entry has no configuration
		f.is.True(a.header.Get("Retry-After") != "")
	})
}

// An entry that may have missed a configuration change, because it was cut off from the store and
// its peers or was suspended, must not claim that a route or a key does not exist.
func TestUnconfirmedEntryDeniesNothing(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		time.Sleep(1600 * time.Millisecond)
		for i, c := range []request{{path: "/none/"}, {path: "/once/", key: "wrong"}} {
			c.id = fmt.Sprintf("r%d", i)
			a := f.ask(c)
			f.is.NoErr(a.err)
			f.is.Equal(a.status, 503)
			f.is.Equal(a.header.Get("Retry-After"), "0.100")
			f.is.Equal(countExecutions(f.plain, c.id), 0)
		}
		f.is.Equal(f.ask(request{path: "/once/x", id: "r2"}).status, 200) // a known route is served
	})
}

// A request that reaches an entry within milliseconds of its start waits for the configuration. If
// the store is unavailable, a request without a timeout is refused at once, with a Retry-After by
// which the store may be back.
func TestRequestWaitsForConfigAfterStart(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		table := f.view.Load().Table
		f.view.Store(&forwarder.View{})
		time.AfterFunc(40*time.Millisecond, func() { f.view.Store(&forwarder.View{Table: table, RetryBudgetEntries: 1}) })
		a := f.ask(request{path: "/once/x", id: "r1"})
		f.is.Equal(a.status, 200)
		f.view.Store(&forwarder.View{StoreUnavailable: true})
		a = f.ask(request{path: "/once/x", id: "r2"})
		f.is.Equal(a.status, 503)
		f.is.Equal(a.header.Get("Retry-After"), "2.000")
		f.is.True(a.duration < 10*time.Millisecond)
	})
}

// If all entries crash while the store is down, their callers reach newly started entries, most of
// them with their last try. They wait for the store for a tenth of their timeout, and no longer.
func TestRequestWaitsForUnavailableStore(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		known := f.view.Load()
		f.view.Store(&forwarder.View{StoreUnavailable: true})
		time.AfterFunc(400*time.Millisecond, func() { f.view.Store(known) })
		a := f.ask(request{path: "/stream/x", id: "r1", usage: "1000,100", timeout: 10 * time.Second})
		f.is.Equal(a.status, 200)
		f.view.Store(&forwarder.View{StoreUnavailable: true})
		a = f.ask(request{path: "/stream/x", id: "r2", usage: "1000,100", timeout: 10 * time.Second})
		f.is.Equal(a.status, 503)
		f.is.True(a.duration >= time.Second && a.duration < 1100*time.Millisecond)
	})
}

// A request that may run at most once never runs twice, whatever fault the upstream has, and is
// reported as not run only if it did not run.
func TestAtMostOnceUnderEveryFault(t *testing.T) {
	for _, fault := range worker.AllFaults {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			withForwarder(t, func(f *fixture) {
				setFaults(f.plain, fault)
				a := f.ask(request{path: "/once/x", id: "r1"})
				ran := countExecutions(f.plain, "r1")
				f.is.True(ran <= 1)
				if a.err == nil && a.status == 503 {
					f.is.Equal(ran, 0) // a refusal promises that it did not run
					f.is.True(a.header.Get("Retry-After") != "")
				}
				if a.err == nil && a.status == 200 {
					f.is.Equal(a.body, worker.AnswerBody("r1"))
					f.is.Equal(a.header.Get("X-Attempt-Id"), "r1")
				}
				f.is.True(a.duration <= 2100*time.Millisecond) // the route's timeout and slack
			})
		})
	}
}

// An idempotent request succeeds although one of two upstreams has any of the faults.
func TestIdempotentSurvivesOneFaultyUpstream(t *testing.T) {
	for _, fault := range worker.AllFaults {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			withForwarder(t, func(f *fixture) {
				f.plain[0].SetFault(fault)
				for n := range 6 {
					id := fmt.Sprintf("r%d", n)
					a := f.ask(request{path: "/safe/x", id: id})
					f.is.NoErr(a.err)
					f.is.Equal(a.status, 200)
					f.is.Equal(a.body, worker.AnswerBody(id))
					f.is.True(countExecutions(f.plain, id) <= 2)
				}
			})
		})
	}
}

// A failure response of an upstream reaches the caller unchanged if no other upstream is left to
// try.
func TestUpstreamFailureIsRelayed(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		setFaults(f.plain, worker.FaultServerError)
		a := f.ask(request{path: "/safe/x", id: "r1"})
		f.is.NoErr(a.err)
		f.is.Equal(a.status, 500)
		f.is.True(a.header.Get("X-Engine-Stamp") != "")
		f.is.Equal(countExecutions(f.plain, "r1"), 2)
	})
}

// A resumable stream reaches the caller complete and in order, without duplicates, although the
// engine that began it fails in the middle.
func TestStreamResumesAtAnotherEngine(t *testing.T) {
	for _, fault := range worker.AllFaults {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			withForwarder(t, func(f *fixture) {
				f.engines[0].SetFault(fault)
				for n := range 4 {
					id := fmt.Sprintf("s%d", n)
					a := f.ask(request{path: "/stream/x", id: id, usage: "1000,100"})
					f.is.NoErr(a.err)
					f.is.Equal(a.status, 200)
					f.is.Equal(a.body, wholeStream(id, 1))
				}
			})
		})
	}
}

func TestCallerResumesStream(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		a := f.ask(request{path: "/stream/x", id: "s1", usage: "1000,100", lastEventID: "6"})
		f.is.NoErr(a.err)
		f.is.Equal(a.body, wholeStream("s1", 7))
	})
}

// A stream that may not be resumed is aborted when its engine fails, so that it never looks
// complete.
func TestNonResumableStreamIsAborted(t *testing.T) {
	for _, fault := range []worker.Fault{worker.FaultBrokenOff, worker.FaultEndsEarly} {
		withForwarder(t, func(f *fixture) {
			setFaults(f.engines, fault)
			a := f.ask(request{path: "/fixed/x", id: "s1", usage: "1000,100"})
			f.is.True(a.err != nil)
			f.is.Equal(countExecutions(f.engines, "s1"), 1)
			f.is.True(strings.HasPrefix(wholeStream("s1", 1), a.body))
		})
	}
}

// The last attempt that a request may make is not cancelled because its engine is silent: the caller may
// wait for longer than the watchdog. In a randomised test run, a request was lost that way.
func TestSilenceDoesNotEndLastAttempt(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		setFaults(f.engines, worker.FaultNoAnswer)
		a := f.ask(request{path: "/fixed/x", id: "s1", usage: "1000,100"})
		f.is.NoErr(a.err)
		f.is.Equal(a.status, 504)
		f.is.True(a.duration >= 10*time.Second && a.duration < 10100*time.Millisecond)
		a = f.ask(request{path: "/stream/x", id: "s2", usage: "1000,100"})
		f.is.Equal(a.status, 504)
		f.is.Equal(countExecutions(f.engines, "s2"), 2) // the first attempt was given up, the second was not
		f.is.True(a.duration >= 10*time.Second && a.duration < 10100*time.Millisecond)
	})
}

// An attempt at a silent engine is not cancelled while no other engine accepts the request. In a
// randomised test run, a request was lost that way during the shutdown of its entry.
func TestSilenceDoesNotEndAttemptWithoutAlternative(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		setFaults(f.engines, worker.FaultSlow)
		f.dispatcher.UpdateUpstreams(f.table, f.instances[:4]) // two engines
		block := func(id string) {
			_, refusal := f.dispatcher.Place(time.Now(), dispatcher.Demand{
				Service: "lm", PromptTokens: 250000, Avoid: []dispatcher.Instance{{ID: id}}, FirstByteTarget: time.Hour, GapTarget: time.Hour, NoHelpers: true, SentBefore: true,
			})
			f.is.True(refusal == nil)
		}
		done := make(chan answer)
		go func() { done <- f.ask(request{path: "/stream/x", id: "s1", usage: "1000,100"}) }()
		time.Sleep(50 * time.Millisecond)
		for i, e := range f.engines {
			if len(e.Executions()) > 0 {
				block(fmt.Sprintf("i-%d", 2+i))
			}
		}
		a := <-done
		f.is.NoErr(a.err)
		f.is.Equal(a.body, wholeStream("s1", 1))
		f.is.Equal(countExecutions(f.engines, "s1"), 1)
	})
}

// A request whose upstream is silent is answered with 504 at the deadline that the caller set.
func TestDeadlineIsKept(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		setFaults(f.plain, worker.FaultNoAnswer)
		a := f.ask(request{path: "/once/x", id: "r1", timeout: 700 * time.Millisecond})
		f.is.Equal(a.status, 504)
		f.is.True(a.duration >= 700*time.Millisecond && a.duration < 800*time.Millisecond)
	})
}

// Upstreams stop working on a request soon after its caller has disconnected.
func TestUpstreamWorkEndsWhenCallerLeaves(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		setFaults(f.engines, worker.FaultNoAnswer)
		ctx, leave := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer leave()
		a := f.ask(request{path: "/stream/x", id: "s1", usage: "1000,100", ctx: ctx})
		f.is.True(a.err != nil)
		time.Sleep(100 * time.Millisecond)
		for _, e := range f.engines {
			f.is.Equal(e.InProgress(), 0)
		}
	})
}

// A prompt longer than the memory of one engine is held by several engines, and all of their memory
// is released afterwards.
func TestGroupMemoryIsReleased(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		done := make(chan answer)
		go func() { done <- f.ask(request{path: "/long/x", id: "s1", usage: "400000,100"}) }()
		time.Sleep(200 * time.Millisecond) // the response takes 500 ms
		held := 0
		for _, e := range f.engines {
			for _, tokens := range e.ReservedTokens() {
				held += tokens
			}
		}
		f.is.True(held >= 400000-315000)
		a := <-done
		f.is.Equal(a.body, wholeStream("s1", 1))
		time.Sleep(time.Second)
		for _, e := range f.engines {
			f.is.Equal(len(e.ReservedTokens()), 0)
		}
	})
}

// If one engine of a group has no memory left, the request is not sent, and the memory reserved at
// the other engines is released.
func TestReservationIsAllOrNothing(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		setFaults(f.engines, worker.FaultFull)
		a := f.ask(request{path: "/long/x", id: "s1", usage: "400000,100"})
		f.is.Equal(a.status, 503)
		f.is.Equal(countExecutions(f.engines, "s1"), 0)
		time.Sleep(time.Second)
		for _, e := range f.engines {
			f.is.Equal(len(e.ReservedTokens()), 0)
		}
	})
}

// Guards against helpers being blamed for an entry that is cut off: where memory can't be reserved because the entry
// reaches no engine, no failure is recorded, and the request is refused with a time that allows for the partition.
func TestCutOffEntryBlamesNoHelper(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		for _, i := range f.instances {
			f.net.Disconnect(entryHost, i.Address.Addr())
		}
		a := f.ask(request{path: "/long/x", id: "s1", usage: "400000,100"})
		f.is.Equal(a.status, 503)
		f.is.True(strings.Contains(a.body, "upstreams_cut_off"))
		f.is.Equal(a.header.Get("Retry-After"), "1.000")
		for _, row := range f.dispatcher.Upstreams(time.Now()) {
			f.is.Equal(row.Load.FailureRate, 0.0)
		}
	})
}

// A helper that does not reserve memory is at fault, not the engine that was to answer: the prompt
// is sent to the same engine with another helper.
func TestFullHelperIsReplaced(t *testing.T) {
	withForwarder(t, func(f *fixture) {
		long := request{path: "/long/x", id: "s1", usage: "400000,100"}
		f.is.Equal(f.ask(long).status, 200)
		var first, helper int
		for i, e := range f.engines {
			if runs := e.Executions(); len(runs) > 0 && runs[0].Helpers != "" {
				first = i
				reservationID, _, _ := strings.Cut(runs[0].Helpers, "/")
				for j := range f.engines {
					if f.instances[2+j].Address.String() == reservationID {
						helper = j
					}
				}
			}
		}
		f.is.True(first != helper)
		f.engines[helper].SetFault(worker.FaultFull)
		long.id = "s2"
		a := f.ask(long)
		f.is.Equal(a.status, 200)
		f.is.Equal(countExecutions(f.engines[first:first+1], "s2"), 1)
		for _, row := range f.dispatcher.Upstreams(time.Now()) {
			f.is.Equal(row.Load.FailureRate > 0, row.Instance.ID == f.instances[2+helper].ID)
		}
	})
}

// Memory reserved for a request whose engine hangs is released before the maximum idle time, and
// the prompt is sent to other engines. If a request uses the memory, the entry keeps waiting. In a
// randomised test run, memory for 217,834 tokens stayed reserved and unused for 10.5 s.
func TestUnusedMemoryIsReleased(t *testing.T) {
	for _, used := range []bool{false, true} {
		withForwarder(t, func(f *fixture) {
			setFaults(f.engines, worker.FaultNoAnswer)
			done := make(chan answer)
			go func() { done <- f.ask(request{path: "/long/x", id: "s1", usage: "400000,100"}) }()
			held := map[string]int{}
			longest := 0
			for range 160 {
				time.Sleep(100 * time.Millisecond)
				for _, e := range f.engines {
					for reservationID := range e.ReservedTokens() {
						held[reservationID]++
						longest = max(longest, held[reservationID])
						if used {
							e.MarkTicketUsed(reservationID)
						}
					}
				}
			}
			a := <-done
			f.is.True(a.err != nil || a.status >= 500)
			f.is.Equal(longest < 90, !used)
			time.Sleep(time.Second)
			for _, e := range f.engines {
				f.is.Equal(len(e.ReservedTokens()), 0)
			}
		})
	}
}

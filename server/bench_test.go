package server

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/rpc"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/keeper"
	"github.com/sapphireramp/sapphireramp/loader"
	"github.com/sapphireramp/sapphireramp/logger"
	"github.com/sapphireramp/sapphireramp/spender"
	"github.com/sapphireramp/sapphireramp/validator"
)

// benchControl returns the control state of an entry in a system of the given size, without a network.
func benchControl(b *testing.B, entries, engines int) *control {
	b.Helper()
	logs, err := logger.New(logger.Config{Level: "error", Output: io.Discard})
	if err != nil {
		b.Fatal(err)
	}
	settings := loader.Defaults()
	settings.Name, settings.DataCentre = "entry-0", "dc-0"
	s, err := New(Config{
		Settings: settings, Incarnation: 1, Logs: logs, MetricScope: tally.NoopScope, MetricsHandler: http.NotFoundHandler(),
		Listen: func(netip.AddrPort) (net.Listener, error) { return nil, nil },
	})
	if err != nil {
		b.Fatal(err)
	}
	c := newControl(s, make([]byte, 32))
	now := time.Now()
	accepted, err := validator.Parse([]byte(testDocument(1, engines, "")))
	if err != nil {
		b.Fatal(err)
	}
	c.offerDocument(now, accepted.Version.Digest, accepted, nil, "bench")
	var list api.InstanceList
	for i := range entries {
		list.Instances = append(list.Instances, api.Instance{
			Name: fmt.Sprintf("entry-%d", i), Kind: api.KindEntry, Address: "10.0.0.1:80", PeerAddress: "10.0.0.1:81",
			DataCentre: fmt.Sprintf("dc-%d", i%8), State: api.InstanceLive,
		})
	}
	for i := range engines {
		list.Instances = append(list.Instances, api.Instance{
			Name: fmt.Sprintf("engine-%d", i+1), Kind: api.KindEngine, Address: "10.0.0.2:80",
			DataCentre: fmt.Sprintf("dc-%d", i%8), State: api.InstanceLive,
		})
	}
	c.applyInstanceList(now, list)
	c.recordSourceTried(sourcePlatform)
	c.publishView()
	return c
}

// BenchmarkPublish measures the time to rebuild the view, which happens after every change of the control
// state, and the memory that members, engines and view occupy.
func BenchmarkPublish(b *testing.B) {
	for _, size := range [][2]int{{7, 14}, {100, 150}, {380, 150}, {380, 600}} {
		b.Run(fmt.Sprintf("entries=%d/engines=%d", size[0], size[1]), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := benchControl(b, size[0], size[1])
			runtime.GC()
			runtime.ReadMemStats(&after)
			kept := 0
			for range c.keepers {
				kept++
			}
			for b.Loop() {
				c.publishView()
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "kept-bytes")
			b.ReportMetric(float64(kept), "kept-engines")
		})
	}
}

// BenchmarkTick measures one periodic tick of the control goroutine.
func BenchmarkTick(b *testing.B) {
	for _, entries := range []int{7, 100, 380} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			c := benchControl(b, entries, 14)
			for b.Loop() {
				c.tick(time.Now())
			}
		})
	}
}

// BenchmarkHeartbeatBytes measures the encoded size of a heartbeat by the number of notices and loads in it, on
// a gob stream that has sent the type before.
func BenchmarkHeartbeatBytes(b *testing.B) {
	for _, size := range [][2]int{{0, 0}, {4, 0}, {16, 0}, {0, 2}, {0, 6}} {
		b.Run(fmt.Sprintf("notices=%d/loads=%d", size[0], size[1]), func(b *testing.B) {
			heartbeat := api.Heartbeat{
				From: "entry-17", Incarnation: 1 << 60, PeerAddress: netip.MustParseAddrPort("10.20.30.40:7000"),
				Address: netip.MustParseAddrPort("10.20.30.40:8000"), DataCentre: "region-1-dc-3", Ready: true,
				Revision: 4711, Digest: "0123456789abcdef", ListDigest: "0123456789abcdef", ListAge: time.Second,
			}
			for i := range size[0] {
				heartbeat.Notices = append(heartbeat.Notices, api.Notice{Kind: api.KindEntry, Name: fmt.Sprintf("entry-%d", i), Incarnation: 1 << 60, State: api.NoticeDead, Sequence: 2})
			}
			for i := range size[1] {
				heartbeat.Loads = append(heartbeat.Loads, api.LoadDigest{Engine: fmt.Sprintf("engine-%d", i), Incarnation: 1 << 60, QueuedTokens: []int{10_000}, FreeTokens: 300_000})
			}
			var wire bytes.Buffer
			e := gob.NewEncoder(&wire)
			_ = e.Encode(heartbeat)
			for b.Loop() {
				wire.Reset()
				if err := e.Encode(heartbeat); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(wire.Len()), "bytes")
		})
	}
}

// countingConn adds the number of bytes written to the connection to bytes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// BenchmarkAsk measures a grant request to the keeper at another entry: the time, and the bytes in both
// directions over loopback on a connection that was used before.
func BenchmarkAsk(b *testing.B) {
	c := benchControl(b, 1, 4)
	k := c.keepers["engine-1"]
	now := time.Now()
	k.RecordLoadAndHolds(now, api.EngineLoad{Name: "engine-1", Model: "model", Version: "1"}, nil)
	calls := rpc.NewServer()
	_ = calls.RegisterName(rpcName, &benchEntry{c: c})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var sent atomic.Int64
	go func() {
		connection, err := l.Accept()
		if err == nil {
			calls.ServeConn(connector.NewQueuedConn(countingConn{connection, &sent}, nil))
		}
	}()
	connection, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	client := rpc.NewClient(connector.NewQueuedConn(countingConn{connection, &sent}, nil))
	defer func() { _ = client.Close() }()
	args := api.AskArgs{Engine: "engine-1", Model: "model", AttemptID: newID(), PrefillTokens: 1, MemoryTokens: 1, Remaining: time.Minute}
	var reply api.AskReply
	_ = client.Call("Entry.Ask", args, &reply)
	sent.Store(0)
	n := 0
	for b.Loop() {
		if err := client.Call("Entry.Ask", args, &reply); err != nil {
			b.Fatal(err)
		}
		n++
	}
	b.ReportMetric(float64(sent.Load())/float64(n), "bytes/op")
}

// benchEntry answers the Ask RPC without a control goroutine.
type benchEntry struct{ c *control }

func (e *benchEntry) Ask(args api.AskArgs, reply *api.AskReply) error {
	*reply = e.c.askLocalKeeper(time.Now(), args)
	return nil
}

// BenchmarkReport measures how long a keeper takes to process one listing of its engine's holds.
func BenchmarkReport(b *testing.B) {
	for _, holds := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("holds=%d", holds), func(b *testing.B) {
			k := keeper.New(keeper.Config{Engine: "engine-1", Lease: time.Minute, GrantTTL: time.Minute, MemoryTokens: 1 << 30, PrefillRate: 1})
			var list []api.EngineHold
			for range holds {
				list = append(list, api.EngineHold{ID: newID(), Owner: "entry-1", Tokens: 100})
			}
			for b.Loop() {
				k.RecordLoadAndHolds(time.Now(), api.EngineLoad{}, list)
			}
		})
	}
}

// BenchmarkTicket measures issuing, spending and finishing a ticket, and the memory that a finished ticket
// with a kept answer of 200 bytes occupies.
func BenchmarkTicket(b *testing.B) {
	now := time.Now()
	s := spender.New(now, spender.Config{Name: "entry-1", Incarnation: 1, TicketTTL: time.Hour, MaxAnswerBytes: 1 << 30, Secret: make([]byte, 32)})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	n := 0
	for b.Loop() {
		text, err := s.Issue(now)
		if err != nil {
			b.Fatal(err)
		}
		t, _ := spender.ParseTicket(text)
		_, _, _ = s.Spend(now, t, [32]byte{})
		s.Finish(now, t, &spender.Answer{Body: make([]byte, 200)})
		n++
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(n), "kept-bytes/ticket")
	runtime.KeepAlive(s)
}

package server

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/client"
	"github.com/sapphireramp/sapphireramp/standin/network"
)

// cutKinds are the ways in which connections between an entry and upstreams that it can't reach fail, each with
// its end.
var cutKinds = map[string]struct {
	begin, end func(n *network.Network, entry, upstream netip.Addr)
}{
	"hangs": {func(n *network.Network, a, b netip.Addr) { n.Disconnect(a, b) }, func(n *network.Network, a, b netip.Addr) { n.Reconnect(a, b) }},
	"resets": {func(n *network.Network, a, b netip.Addr) {
		n.RefuseConnections(a, b)
		n.ResetConnections(a, b)
	}, func(n *network.Network, a, b netip.Addr) { n.AllowConnections(a, b) }},
	"refuses": {func(n *network.Network, a, b netip.Addr) { n.RefuseConnections(a, b) }, func(n *network.Network, a, b netip.Addr) { n.AllowConnections(a, b) }},
}

// upstreamHosts returns the hosts of all engines and of the service.
func (f *testFleet) upstreamHosts() []netip.Addr {
	out := []netip.Addr{host(3, 1)}
	for _, e := range f.engines {
		out = append(out, e.host)
	}
	return out
}

// tryOnce sends five prompts and five calls a second to an entry for a time, each once, and returns how many were
// answered and sent.
func (f *testFleet) tryOnce(e *testEntry, duration time.Duration) (answered, sent int) {
	var lock sync.Mutex
	var running sync.WaitGroup
	for began := time.Now(); time.Since(began) < duration; time.Sleep(100 * time.Millisecond) {
		n := sent
		sent++
		running.Add(1)
		go func() {
			defer running.Done()
			c := f.directClient(e, 1)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			var err error
			if n%2 == 0 {
				_, err = c.Complete(ctx, api.CompletionRequest{Model: "model", Prompt: fmt.Sprint("prompt ", n), MaxTokens: 20}, client.Options{AtMostOnce: n%4 != 0}, nil)
			} else {
				_, err = c.Call(ctx, "dispatch", []string{"lookup", "truck"}[n/2%2], []byte("{}"), client.Options{AtMostOnce: n/2%2 != 0})
			}
			lock.Lock()
			defer lock.Unlock()
			if err == nil {
				answered++
			} else {
				f.t.Logf("request %d: %v", n, err)
			}
		}()
	}
	running.Wait()
	return answered, sent
}

// Guards against requests being refused at an entry that reaches no engine and no service, while other entries do:
// from three seconds on they are answered as elsewhere, however the connections fail, and callers are named other
// entries. After the end the entry is named again.
func TestEntryWithoutUpstreamsAnswersThroughOthers(t *testing.T) {
	for name, kind := range cutKinds {
		t.Run(name, func(t *testing.T) {
			withTestFleet(t, 3, 3, func(f *testFleet) {
				is := is.New(t)
				time.Sleep(5 * time.Second) // until keepers have reports of their engines
				e := f.entries[1]
				for _, upstream := range f.upstreamHosts() {
					kind.begin(f.net, e.host, upstream)
				}
				f.tryOnce(e, 3*time.Second)
				answered, sent := f.tryOnce(e, 9*time.Second)
				t.Logf("%d of %d answered", answered, sent)
				is.True(float64(answered) >= 0.95*float64(sent))
				isNamed := func() bool {
					addresses, err := f.client(1).Addresses(context.Background())
					is.NoErr(err)
					for _, a := range addresses {
						if a.Name == e.name {
							return true
						}
					}
					return false
				}
				is.True(!isNamed())
				for _, upstream := range f.upstreamHosts() {
					kind.end(f.net, e.host, upstream)
				}
				time.Sleep(3 * time.Second)
				is.True(isNamed())
				answered, sent = f.tryOnce(e, 3*time.Second)
				is.Equal(answered, sent)
			})
		})
	}
}

// Guards against an entry that stops waiting for connections that others keep open through it, without a request: it
// exits as soon as any other, and an entry that is cut off uses another relay.
func TestStoppingRelayLeavesIdleConnections(t *testing.T) {
	withTestFleet(t, 3, 3, func(f *testFleet) {
		is := is.New(t)
		time.Sleep(5 * time.Second) // until keepers have reports of their engines
		for _, upstream := range f.upstreamHosts() {
			f.net.Disconnect(f.entries[1].host, upstream)
		}
		f.tryOnce(f.entries[1], 5*time.Second)
		relay := f.entries[0]
		if relay.server.tunneler.Served() == 0 {
			relay = f.entries[2]
		}
		is.True(relay.server.tunneler.Served() > 0)
		relay.stop()
		answered, sent := f.tryOnce(f.entries[1], 5*time.Second)
		is.True(float64(answered) >= 0.95*float64(sent))
		is.True(relay.hasEnded(time.Second))
	})
}

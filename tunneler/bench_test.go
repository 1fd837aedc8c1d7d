package tunneler_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/tunneler"
)

// BenchmarkTunnel measures what a piece of 1 KB that an upstream echoes costs through a tunnel, with the work of
// both entries and the upstream, on the loopback network.
func BenchmarkTunnel(b *testing.B) {
	listen := func(serve func(net.Conn)) netip.AddrPort {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				go serve(connection)
			}
		}()
		return netip.MustParseAddrPort(listener.Addr().String())
	}
	upstream := listen(func(c net.Conn) { _, _ = io.Copy(c, c) })
	var relays []tunneler.Relay
	newEntry := func(name string, dial connector.DialFunc) *tunneler.Tunneler {
		tunnels := tunneler.New(tunneler.Config{
			Name: name, DataCentre: "a", Dial: dial, Relays: func() []tunneler.Relay { return relays }, OnCutOff: func(time.Time) {}, CloseIdle: func() {},
			Log: zap.NewNop(), Scope: tally.NoopScope,
		})
		b.Cleanup(tunnels.Close)
		tunnels.SetUpstreams([]tunneler.Upstream{{Address: upstream, DataCentre: "a"}})
		return tunnels
	}
	var dialer net.Dialer
	calls := rpc.NewServer()
	if err := newEntry("relay", dialer.DialContext).Register(calls); err != nil {
		b.Fatal(err)
	}
	relays = []tunneler.Relay{{Name: "relay", Address: listen(func(c net.Conn) { calls.ServeConn(connector.NewQueuedConn(c, nil)) }), DataCentre: "a"}}
	cutOff := newEntry("cut-off", func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == upstream.String() {
			return nil, context.DeadlineExceeded
		}
		return dialer.DialContext(ctx, network, address)
	})
	connection, err := cutOff.Dial(context.Background(), "tcp", upstream.String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	piece := make([]byte, 1024)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := connection.Write(piece); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(connection, piece); err != nil {
			b.Fatal(err)
		}
	}
}

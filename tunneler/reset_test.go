package tunneler_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/standin/network"
	"github.com/sapphireramp/sapphireramp/tunneler"
)

// Guards against an end of a tunnel that is none of the upstream's: it reset the connection of the relay, and the call that
// writes learned of that in place of the one for data.
func TestResetThatTheRelaysWriterLearnsOfIsNoEnd(t *testing.T) {
	for name, test := range map[string]struct {
		order      network.Order
		writeErr   error
		endsInVain bool
	}{
		"reset, write returns first":    {network.WriteBeforeEnd, syscall.ECONNRESET, true},
		"reset, read returns first":     {network.WriteAfterEnd, syscall.ECONNRESET, true},
		"in order, write returns first": {network.WriteBeforeEnd, syscall.EPIPE, false},
		"in order, read returns first":  {network.WriteAfterEnd, syscall.EPIPE, false},
		"in order, write blocks":        {network.WriteBlocks, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, 1, 1, func(f *fixture) {
				relay := tunneler.Relay{Name: "entry-1", Address: netip.AddrPortFrom(entryHost(1), 83), DataCentre: "a"}
				f.relays["entry-0"] = []tunneler.Relay{relay}
				f.startEntry(relay, func(context.Context, string, string) (net.Conn, error) {
					return network.NewPlayedConn(test.order, "part", test.writeErr, nil), nil
				})
				f.cutOff(0)
				near, err := f.dial(0, 0)
				f.is.NoErr(err)
				go func() { _, _ = near.Write([]byte("request")) }()
				got, err := io.ReadAll(near) // nil stands for io.EOF
				f.is.Equal(string(got), "part")
				f.is.Equal(err != nil, test.endsInVain)
				f.is.NoErr(near.Close())
			})
		})
	}
}

// listenAndServe passes each connection to a loopback address to a function, until the end of the test.
func listenAndServe(t *testing.T, serve func(net.Conn)) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// Guards against the same on real sockets: an upstream that answers a long upload at once and resets the connection 0 to
// 20 ms later, while the upload is being written.
func TestResetDuringAnUploadIsNoEndOnRealSockets(t *testing.T) {
	is := is.New(t)
	var accepted atomic.Int64
	upstream := listenAndServe(t, func(c net.Conn) {
		n := accepted.Add(1)
		_, _ = c.Read(make([]byte, 1000))
		_, _ = io.WriteString(c, "part")
		time.Sleep(time.Duration(n%21) * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0) // makes Close reset the connection
		_ = c.Close()
	})
	start := func(name string, dial connector.DialFunc, relays ...tunneler.Relay) *tunneler.Tunneler {
		tunnels := tunneler.New(tunneler.Config{
			Name: name, DataCentre: "a", Dial: dial, Relays: func() []tunneler.Relay { return relays }, OnCutOff: func(time.Time) {}, CloseIdle: func() {},
			Log: zap.NewNop(), Scope: tally.NoopScope,
		})
		t.Cleanup(tunnels.Close)
		tunnels.SetUpstreams([]tunneler.Upstream{{Address: upstream, DataCentre: "a"}})
		return tunnels
	}
	dialer := net.Dialer{}
	calls := rpc.NewServer()
	is.NoErr(start("relay", dialer.DialContext).Register(calls))
	relay := listenAndServe(t, func(c net.Conn) { calls.ServeConn(connector.NewQueuedConn(c, nil)) })
	cutOff := start("cut-off", func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == upstream.String() {
			return nil, errors.New("no route to the upstream")
		}
		return dialer.DialContext(ctx, network, address)
	}, tunneler.Relay{Name: "relay", Address: relay, DataCentre: "a"})
	upload := bytes.Repeat([]byte("x"), 4<<20)
	for n := range 42 {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			near, err := cutOff.Dial(t.Context(), "tcp", upstream.String())
			is.NoErr(err)
			defer func() { _ = near.Close() }()
			go func() { _, _ = near.Write(upload) }()
			_, err = io.ReadAll(near)
			is.True(err != nil)
		})
	}
}

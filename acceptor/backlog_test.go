package acceptor_test

import (
	"bytes"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/acceptor"
	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/standin/crowd"
)

// Guards against connections that nobody has accepted yet, and for which the kernel holds bytes without a bound.
func TestConnectionsThatWaitAreBounded(t *testing.T) {
	is := is.New(t)
	host := netip.MustParseAddr("127.77.0.1")
	raw, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(host, 0)))
	is.NoErr(err)
	defer func() { _ = raw.Close() }()
	const backlog, buffer, clients = 8, 16 << 10, 100
	a := acceptor.New(acceptor.Config{Account: accountant.New(1 << 20), Limits: func() acceptor.Limits { return acceptor.Limits{} }, Log: zap.NewNop(), Scope: tally.NoopScope})
	listener := a.Listen(raw, acceptor.ListenerConfig{Name: "test", IsHTTP: true, ReceiveBuffer: buffer, Backlog: backlog})
	for range clients {
		go func() {
			connection, err := net.DialTimeout("tcp", listener.Addr().String(), time.Second)
			if err != nil {
				return
			}
			defer func() { _ = connection.Close() }()
			_ = connection.SetDeadline(time.Now().Add(3 * time.Second))
			_, _ = connection.Write(bytes.Repeat([]byte("x"), 1<<20))
		}()
	}
	most := int64(0)
	for range 20 {
		time.Sleep(50 * time.Millisecond)
		use, err := crowd.Measure(os.Getpid(), host)
		is.NoErr(err)
		most = max(most, use.Unread)
	}
	t.Logf("%d KiB unread", most>>10)
	is.True(most > 0)
	is.True(most <= (backlog+1)*2*buffer) // the kernel lets one more wait, and doubles the buffer
}

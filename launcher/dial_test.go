package launcher

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against connections between entries that stay open for minutes once the other end is out of reach: both
// ends, the one that dials and the one that accepts, have the short timeouts.
func TestPeerConnectionsFailWithinSeconds(t *testing.T) {
	is := is.New(t)
	config := Config{PeerAddress: netip.MustParseAddrPort("127.0.0.1:0")}.withSystemDefaults()
	listener, err := config.Listen(config.PeerAddress)
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	dialed, err := config.Dial(context.Background(), "tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = dialed.Close() }()
	accepted, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()
	for _, connection := range []net.Conn{dialed, accepted} {
		raw, err := connection.(*net.TCPConn).SyscallConn()
		is.NoErr(err)
		got := map[int]int{}
		is.NoErr(raw.Control(func(fd uintptr) {
			for _, option := range []int{unix.TCP_USER_TIMEOUT, unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL} {
				got[option], err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
				is.NoErr(err)
			}
		}))
		is.Equal(got, map[int]int{unix.TCP_USER_TIMEOUT: int(ackTimeout.Milliseconds()), unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1})
	}
}

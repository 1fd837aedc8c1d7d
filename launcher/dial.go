package launcher

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAlivePeriod is the time without traffic on a connection before the first
	// TCP keep-alive probe, and the time between two probes. Linux supports no
	// shorter time than one second.
	keepAlivePeriod = time.Second
	// keepAliveProbes is the number of consecutive unanswered keep-alive probes
	// after which the connection is closed.
	keepAliveProbes = 2
	// ackTimeout is how long sent data may stay without a TCP acknowledgement
	// before the connection is closed. It allows several retransmissions within a
	// region, and is shorter than the time for which callers wait for a response.
	ackTimeout = 1500 * time.Millisecond
)

// keepAlive makes idle connections fail within seconds if the remote instance is
// unreachable. With ackTimeout, Linux ends them at the first probe that is due after
// that time, whatever the number of probes.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveProbes}

// newDialer returns a dialer whose connections fail within seconds if the remote
// instance disappears or becomes unreachable without closing them.
func newDialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: keepAlive, Control: setTCPUserTimeout}
}

// listenForPeers listens for connections of other entries, which fail as those of
// newDialer do. Callers' connections do not: a caller may read slowly.
func listenForPeers(address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setTCPUserTimeout}
	config.SetMultipathTCP(false) // kernels may not support the option there
	return config.Listen(context.Background(), "tcp", address.String())
}

// setTCPUserTimeout sets the socket option TCP_USER_TIMEOUT of a connection to
// ackTimeout. It is used as the Control function of a net.Dialer or a net.ListenConfig,
// whose accepted connections inherit the option.
func setTCPUserTimeout(_, _ string, connection syscall.RawConn) error {
	var sockoptErr error
	err := connection.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("access socket: %w", err)
	}
	if sockoptErr != nil {
		return fmt.Errorf("set TCP user timeout: %w", sockoptErr)
	}
	return nil
}

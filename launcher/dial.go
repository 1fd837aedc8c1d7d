package launcher

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAlivePeriod is the idle time before the first keep-alive probe and the
	// time between probes. One second is the shortest that Linux supports.
	keepAlivePeriod = time.Second
	// keepAliveProbes is how many probes may go unanswered before the connection
	// is closed.
	keepAliveProbes = 2
	// ackTimeout is how long sent data may stay unacknowledged before the
	// connection is closed. It allows several retransmissions within a region and
	// is shorter than the time for which callers wait.
	ackTimeout = 1500 * time.Millisecond
)

// newDialer returns a dialer whose connections fail within seconds if the remote
// instance disappears or becomes unreachable without closing them.
func newDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveProbes},
		Control:         setTCPUserTimeout,
	}
}

// setTCPUserTimeout sets ackTimeout on a socket. It is used as the Control of a
// net.Dialer.
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

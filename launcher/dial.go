package launcher

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAlivePeriod is the silence after which a connection is probed, and the
	// period of the probes: the shortest that the system takes.
	keepAlivePeriod = time.Second
	// keepAliveProbes may go unanswered; then the peer is gone.
	keepAliveProbes = 2
	// ackTimeout is how long sent bytes may go unacknowledged: several
	// retransmissions within a region, and less than callers wait.
	ackTimeout = 1500 * time.Millisecond
)

// newDialer returns a dialer whose connections fail soon after the peer's
// instance is gone or cut off, though it never says so.
func newDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveProbes},
		Control:         setTCPUserTimeout,
	}
}

func setTCPUserTimeout(_, _ string, connection syscall.RawConn) error {
	var sockoptErr error
	err := connection.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("reach socket: %w", err)
	}
	if sockoptErr != nil {
		return fmt.Errorf("set user timeout: %w", sockoptErr)
	}
	return nil
}

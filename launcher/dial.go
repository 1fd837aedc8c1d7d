package launcher

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveTime is the silence after which a connection is probed, and the
	// period of the probes: the shortest that the system takes.
	keepAliveTime = time.Second
	// keepAliveProbes may go unanswered; then the peer is gone.
	keepAliveProbes = 2
	// unacknowledgedTime is how long sent bytes may go unacknowledged: several
	// retransmissions within a region, and less than callers wait.
	unacknowledgedTime = 1500 * time.Millisecond
)

// newDialer returns a dialer whose connections fail soon after the peer's
// instance is gone or cut off, though it never says so.
func newDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveTime, Interval: keepAliveTime, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
}

func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	var failed error
	err := connection.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTime.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("reach socket: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("set user timeout: %w", failed)
	}
	return nil
}

package tunneler

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"
)

// serviceName is the net/rpc service name of a relay.
const serviceName = "Tunnel"

// Outcome is the result of opening a tunnel.
type Outcome string

// The outcomes of opening a tunnel.
const (
	// Opened means that the relay has connected to the upstream.
	Opened Outcome = "opened"
	// Refused means that the upstream refused the connection of the relay, Unreachable that it did not answer
	// in time. In both cases the relay has reached another upstream since it tried.
	Refused     Outcome = "refused"
	Unreachable Outcome = "unreachable"
	// CutOff means that the relay does not reach any upstream either.
	CutOff Outcome = "cut_off"
	// Busy means that the relay serves as many tunnels as it may, Stopping that it shuts down.
	Busy     Outcome = "busy"
	Stopping Outcome = "stopping"
	// Unlisted means that no upstream with this address is in the relay's list.
	Unlisted Outcome = "unlisted"
)

// showsFault reports whether the outcome shows that the upstream itself can't be reached.
func (o Outcome) showsFault() bool { return o == Refused || o == Unreachable }

// OpenArgs holds the arguments of the net/rpc call Open, by which a relay connects to an upstream.
type OpenArgs struct {
	// RequestID is the ID of the request for which the tunnel is opened, From the name of the entry that
	// opens it; both are for the log.
	RequestID, From string
	// Upstream is the address of a listed upstream.
	Upstream netip.AddrPort
	// Timeout is the time in which the relay is to connect.
	Timeout time.Duration
}

// OpenReply is the reply to OpenArgs.
type OpenReply struct {
	Outcome Outcome
	// ID identifies the tunnel at the relay; 0 unless Outcome is Opened.
	ID uint64
}

// ReadArgs holds the arguments of the net/rpc call Read, which returns the next bytes of the upstream.
type ReadArgs struct {
	ID uint64
	// Wait is the time after which the reply is sent without data if there is none. If it is 0, the call only
	// extends the lease of the tunnel.
	Wait time.Duration
}

// ReadReply is the reply to ReadArgs.
type ReadReply struct {
	Data []byte
	// IsEnded is true if the upstream has closed the connection after Data, and IsBroken if the connection
	// has ended otherwise.
	IsEnded, IsBroken bool
	// IsStopping is true once the relay shuts down. It then waits for the tunnels that are in use.
	IsStopping bool
}

// WriteArgs holds the arguments of the net/rpc call Write, which sends bytes to the upstream.
type WriteArgs struct {
	ID   uint64
	Data []byte
}

// WriteReply is the reply to WriteArgs.
type WriteReply struct {
	// Written is the number of bytes written: fewer than sent if the upstream reads slowly. IsBroken is true
	// if the connection accepts no more.
	Written  int
	IsBroken bool
}

// CloseArgs holds the arguments of the net/rpc call Close, which ends a tunnel.
type CloseArgs struct{ ID uint64 }

// RelayError is the error of a connection through a relay that was not opened.
type RelayError struct {
	// Relay is the name of the relay.
	Relay   string
	Outcome Outcome
}

func (e RelayError) Error() string { return fmt.Sprintf("relay %s: %s", e.Relay, e.Outcome) }

func (e RelayError) Unwrap() error {
	if e.Outcome == Refused {
		return syscall.ECONNREFUSED
	}
	return nil
}

// TunnelLostError is the error of a connection whose tunnel ended, while nothing is known of the upstream.
type TunnelLostError struct {
	// Relay is the name of the relay.
	Relay string
	// Cause is the error of the call to the relay.
	Cause error
}

func (e TunnelLostError) Error() string {
	return fmt.Sprintf("tunnel through %s lost: %v", e.Relay, e.Cause)
}

func (e TunnelLostError) Unwrap() error { return e.Cause }

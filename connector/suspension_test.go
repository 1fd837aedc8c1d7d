package connector

import (
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// suspensionTimeout is the timeout of the calls of the process that is suspended, suspensionTime how long it is.
	suspensionTimeout, suspensionTime = 500 * time.Millisecond, time.Second
	// suspendedPeerVariable is the environment variable with the address that the process calls.
	suspendedPeerVariable = "CONNECTOR_TEST_PEER"
)

// Suspender is a net/rpc service that suspends the process that calls it.
type Suspender struct{}

// Suspend suspends the process with the given ID for suspensionTime, and replies meanwhile.
func (Suspender) Suspend(pid int, reply *int) error {
	if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
		return err
	}
	time.AfterFunc(suspensionTime, func() { _ = syscall.Kill(pid, syscall.SIGCONT) })
	*reply = pid
	return nil
}

// An entry that was frozen gave up its call to a relay when it ran again, although the reply had arrived: a stream whose
// request had been sent through the relay was begun a second time.
func TestReplyThatArrivesDuringASuspensionIsRead(t *testing.T) {
	if peer := os.Getenv(suspendedPeerVariable); peer != "" {
		callSuspender(netip.MustParseAddrPort(peer))
		return
	}
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	calls := rpc.NewServer()
	is.NoErr(calls.Register(Suspender{}))
	go calls.Accept(listener)
	caller := exec.Command(os.Args[0], "-test.run=^TestReplyThatArrivesDuringASuspensionIsRead$")
	caller.Env = append(os.Environ(), suspendedPeerVariable+"="+listener.Addr().String())
	output, err := caller.CombinedOutput()
	is.NoErr(err)
	is.True(strings.Contains(string(output), "result: <nil>")) // the error of the call
}

// callSuspender calls the Suspender at an address and prints the error of the call.
func callSuspender(peer netip.AddrPort) {
	p := NewPool((&net.Dialer{}).DialContext, nil)
	defer p.Close()
	reply := 0
	fmt.Println("result:", p.Call(peer, "Suspender.Suspend", os.Getpid(), &reply, suspensionTimeout))
}

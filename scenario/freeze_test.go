package scenario

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// freeze sends a process SIGSTOP and returns once all of its threads have stopped.
func (p *process) freeze() error {
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return fmt.Errorf("send SIGSTOP to %s: %w", p.name, err)
	}
	for {
		err := unix.Waitid(unix.P_PID, p.cmd.Process.Pid, nil, unix.WSTOPPED, nil)
		if err == nil {
			return nil
		}
		if !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("wait until %s has stopped: %w", p.name, err)
		}
	}
}

// Guards against a freeze that returns before all threads have stopped, as SIGSTOP is
// asynchronous. In the script once-frozen-entry, threads that still ran accepted a call
// and connected to the service, and then stood still past the call's time limit. The
// call never ran; its outcome "unknown" was correct, but the script expects one execution.
func TestFrozenProcessServesNothing(t *testing.T) {
	is := is.New(t)
	f := &fleet{dir: t.TempDir(), binaries: binaries, dataCentres: 1, processes: map[string]*process{}, options: defaultOptions()}
	f.addProcess("service-1", 3, 1, func(p *process) []string {
		return []string{"standin", "service", "--address", p.listenAddress.String(), "--name", "dispatch"}
	})
	is.NoErr(f.startProcess("service-1"))
	t.Cleanup(f.stopAll)
	p := f.processes["service-1"]
	client := &http.Client{}
	for range 100 {
		is.True(canServe(client, p.listenAddress, time.Second)) // running
		is.NoErr(p.freeze())
		is.True(!canServe(client, p.listenAddress, 10*time.Millisecond)) // frozen
		is.NoErr(p.cmd.Process.Signal(syscall.SIGCONT))
	}
}

// canServe reports whether the service at an address answers within the limit.
func canServe(client *http.Client, address netip.AddrPort, limit time.Duration) bool {
	client.Timeout = limit
	response, err := client.Get("http://" + address.String() + "/control/executions")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}

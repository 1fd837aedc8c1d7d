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

// freeze stops a process and returns once none of its threads runs any more.
func (p *process) freeze() error {
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return fmt.Errorf("stop %s: %w", p.name, err)
	}
	for {
		err := unix.Waitid(unix.P_PID, p.cmd.Process.Pid, nil, unix.WSTOPPED, nil)
		if err == nil {
			return nil
		}
		if !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("wait until %s is stopped: %w", p.name, err)
		}
	}
}

// The ticket's entry was sent SIGSTOP and the call posted at once: threads
// that had not stopped yet took the call to where its connection to the
// service was had. It slept there beyond its time limit and nothing was run,
// which "unknown" says truly, while the scenario waited for one run.
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
		is.True(canServe(client, p.listenAddress, time.Second)) // thawed
		is.NoErr(p.freeze())
		is.True(!canServe(client, p.listenAddress, 10*time.Millisecond)) // frozen
		is.NoErr(p.cmd.Process.Signal(syscall.SIGCONT))
	}
}

// canServe reports whether a service answers within the limit.
func canServe(client *http.Client, address netip.AddrPort, limit time.Duration) bool {
	client.Timeout = limit
	response, err := client.Get("http://" + address.String() + "/control/executions")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}

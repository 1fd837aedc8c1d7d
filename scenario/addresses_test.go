package scenario

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// Guards against two test processes on one machine that choose the same address
// and fail with "bind: address already in use".
func TestConcurrentRunsShareNoAddress(t *testing.T) {
	is := is.New(t)
	const pid, processes, ports = 4_194_000, 300, 700
	owners := map[netip.AddrPort]int{}
	for p := pid; p < pid+processes; p++ {
		host := loopbackHost(p, 1, 1)
		for n := range uint32(ports) {
			address := netip.AddrPortFrom(host, portFor(p, n))
			owner, taken := owners[address]
			is.True(!taken || owner == p) // no two processes share an address
			owners[address] = p
		}
	}
}

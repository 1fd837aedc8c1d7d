package tunneler_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/standin/network"
	"github.com/sapphireramp/sapphireramp/tunneler"
)

// fixture has entries with a tunneler each and upstreams, on a simulated network.
type fixture struct {
	is        *is.I
	net       *network.Network
	tunnelers []*tunneler.Tunneler
	upstreams []tunneler.Upstream
	// relays are the entries that each entry believes to reach upstreams, by name of the entry; all others if
	// there are none.
	relays map[string][]tunneler.Relay
	// accepted receives each connection that an upstream accepts.
	accepted chan net.Conn
	// cutOffs counts the calls of OnCutOff.
	cutOffs atomic.Int64
}

func entryHost(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}) }

func upstreamHost(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 100, 0, byte(i)}) }

// withFixture runs a test with entries and upstreams in virtual time.
func withFixture(t *testing.T, entries, upstreams int, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{is: is.New(t), net: network.New(), relays: map[string][]tunneler.Relay{}, accepted: make(chan net.Conn, 1000)}
		for i := range upstreams {
			f.upstreams = append(f.upstreams, tunneler.Upstream{Address: netip.AddrPortFrom(upstreamHost(i), 80), DataCentre: "a"})
			f.listen(f.upstreams[i].Address, func(c net.Conn) { f.accepted <- c })
		}
		var all []tunneler.Relay
		for i := range entries {
			all = append(all, tunneler.Relay{Name: fmt.Sprint("entry-", i), Address: netip.AddrPortFrom(entryHost(i), 83), DataCentre: "a"})
		}
		for i := range entries {
			f.relays[all[i].Name] = slices.Delete(slices.Clone(all), i, i+1)
			f.startEntry(all[i], f.net.Dialer(entryHost(i)))
		}
		defer f.stop()
		test(f)
	})
}

// stop ends all entries and upstreams, and waits until their goroutines have ended.
func (f *fixture) stop() {
	for i, tunnels := range f.tunnelers {
		tunnels.Close()
		f.net.KillHost(entryHost(i))
	}
	for i := range f.upstreams {
		f.net.KillHost(upstreamHost(i))
	}
	time.Sleep(5 * time.Second)
}

// startEntry starts the tunneler of an entry.
func (f *fixture) startEntry(entry tunneler.Relay, dial connector.DialFunc) {
	tunnels := tunneler.New(tunneler.Config{
		Name: entry.Name, DataCentre: entry.DataCentre, Dial: dial, Relays: func() []tunneler.Relay { return f.relays[entry.Name] },
		OnCutOff: func(time.Time) { f.cutOffs.Add(1) }, CloseIdle: func() {}, Log: zap.NewNop(), Scope: tally.NoopScope,
	})
	tunnels.SetUpstreams(f.upstreams)
	f.tunnelers = append(f.tunnelers, tunnels)
	calls := rpc.NewServer()
	f.is.NoErr(tunnels.Register(calls))
	f.listen(entry.Address, func(c net.Conn) { calls.ServeConn(connector.NewQueuedConn(c, nil)) })
}

// listen passes each connection to an address to a function, on a goroutine of its own.
func (f *fixture) listen(address netip.AddrPort, serve func(net.Conn)) {
	listener, err := f.net.Listen(address)
	f.is.NoErr(err)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(connection)
		}
	}()
}

// cutOff disconnects an entry from all upstreams.
func (f *fixture) cutOff(entry int) {
	for i := range f.upstreams {
		f.net.Disconnect(entryHost(entry), upstreamHost(i))
	}
}

// dial connects from the entry with an index to an upstream.
func (f *fixture) dial(entry, upstream int) (net.Conn, error) {
	return f.tunnelers[entry].Dial(context.Background(), "tcp", f.upstreams[upstream].Address.String())
}

// dialTunnel connects from entry 0, which is cut off, to upstream 0. It returns both ends.
func (f *fixture) dialTunnel() (near, far net.Conn) {
	f.cutOff(0)
	near, err := f.dial(0, 0)
	f.is.NoErr(err)
	return near, <-f.accepted
}

func isCutOffError(err error) bool {
	var cutOff tunneler.CutOffError
	return errors.As(err, &cutOff)
}

func isLost(err error) bool {
	var lost tunneler.TunnelLostError
	return errors.As(err, &lost)
}

// A tunnel carries bytes both ways, more than fit into one call, and an end of the upstream is one here.
func TestTunnelCarriesBytes(t *testing.T) {
	withFixture(t, 2, 1, func(f *fixture) {
		near, far := f.dialTunnel()
		sent := bytes.Repeat([]byte("0123456789abcdef"), 20000)
		for _, ends := range [][2]net.Conn{{near, far}, {far, near}} {
			go func() { _, _ = ends[0].Write(sent) }()
			got := make([]byte, len(sent))
			_, err := io.ReadFull(ends[1], got)
			f.is.NoErr(err)
			f.is.True(bytes.Equal(got, sent))
		}
	})
}

// An answer whose end is that of its connection is complete only if the upstream has closed it.
func TestOnlyUpstreamEndsAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(f *fixture, far net.Conn)
		want func(error) bool
	}{
		"upstream closes":       {func(_ *fixture, far net.Conn) { _ = far.Close() }, func(err error) bool { return errors.Is(err, io.EOF) }},
		"relay exits":           {func(f *fixture, _ net.Conn) { f.tunnelers[1].Close() }, isLost},
		"relay is killed":       {func(f *fixture, _ net.Conn) { f.net.KillHost(entryHost(1)) }, isLost},
		"relay is disconnected": {func(f *fixture, _ net.Conn) { f.net.Disconnect(entryHost(0), entryHost(1)) }, isLost},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, 2, 1, func(f *fixture) {
				near, far := f.dialTunnel()
				_, err := far.Write([]byte("event"))
				f.is.NoErr(err)
				buffer := make([]byte, 10)
				n, err := near.Read(buffer)
				f.is.NoErr(err)
				f.is.Equal(string(buffer[:n]), "event")
				ended := time.Now()
				test.end(f, far)
				_, err = near.Read(buffer)
				f.is.True(test.want(err))
				f.is.True(time.Since(ended) <= 1500*time.Millisecond)
			})
		})
	}
}

// The upstream learns at once that a tunnel is closed, and within the lease that the entry which opened it is
// out of reach.
func TestUpstreamLearnsOfEnd(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(f *fixture, near net.Conn)
		want time.Duration
	}{
		"closed":       {func(_ *fixture, near net.Conn) { _ = near.Close() }, 100 * time.Millisecond},
		"disconnected": {func(f *fixture, _ net.Conn) { f.net.Disconnect(entryHost(0), entryHost(1)) }, 3500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, 2, 1, func(f *fixture) {
				near, far := f.dialTunnel()
				time.Sleep(time.Second)
				ended := time.Now()
				test.end(f, near)
				_, err := far.Read(make([]byte, 1))
				f.is.True(err != nil)
				f.is.True(time.Since(ended) <= test.want)
				f.is.Equal(f.tunnelers[1].Served(), 0)
			})
		})
	}
}

// A tunnel outlasts a caller that reads nothing for longer than the lease.
func TestSlowReaderKeepsTunnel(t *testing.T) {
	withFixture(t, 2, 1, func(f *fixture) {
		near, far := f.dialTunnel()
		sent := bytes.Repeat([]byte("x"), 100000)
		go func() {
			_, _ = far.Write(sent)
			_ = far.Close()
		}()
		time.Sleep(20 * time.Second)
		got, err := io.ReadAll(near)
		f.is.NoErr(err)
		f.is.Equal(len(got), len(sent))
	})
}

// While an entry is in contact, an upstream that can't be reached is at fault, and the entry is not cut off. The
// error tells a refused connection, which shows that the upstream has exited, from a silent one.
func TestUnreachableUpstreamIsAtFault(t *testing.T) {
	for _, entries := range []int{1, 3} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			withFixture(t, entries, 6, func(f *fixture) {
				f.net.KillHost(upstreamHost(0))
				for i := range entries {
					f.net.Disconnect(entryHost(i), upstreamHost(1))
				}
				for range 5 {
					_, err := f.dial(0, 0)
					f.is.True(errors.Is(err, syscall.ECONNREFUSED))
					began := time.Now()
					_, err = f.dial(0, 1)
					f.is.True(err != nil && !isCutOffError(err) && !errors.Is(err, syscall.ECONNREFUSED))
					f.is.True(time.Since(began) <= 250*time.Millisecond)
				}
				time.Sleep(time.Second)
				f.is.True(!f.tunnelers[0].IsCutOff())
				f.is.Equal(f.cutOffs.Load(), int64(0))
			})
		})
	}
}

// An entry that is cut off connects through others from the first connection on, soon without delay, and directly
// again within two seconds after the end of the partition.
func TestCutOffEntryConnectsThroughOthers(t *testing.T) {
	withFixture(t, 3, 6, func(f *fixture) {
		f.cutOff(0)
		for i := range 6 {
			began := time.Now()
			_, err := f.dial(0, i)
			f.is.NoErr(err)
			f.is.True(time.Since(began) <= 60*time.Millisecond)
			time.Sleep(300 * time.Millisecond)
		}
		f.is.True(f.tunnelers[0].IsCutOff())
		f.is.True(f.tunnelers[0].Contact().Err() != nil)
		f.is.Equal(f.cutOffs.Load(), int64(1))
		began := time.Now()
		connection, err := f.dial(0, 0)
		f.is.NoErr(err)
		f.is.True(time.Since(began) < time.Millisecond)
		_, isTunnel := connection.(*tunneler.Tunnel)
		f.is.True(isTunnel)
		for i := range f.upstreams {
			f.net.Reconnect(entryHost(0), upstreamHost(i))
		}
		time.Sleep(2 * time.Second)
		f.is.True(!f.tunnelers[0].IsCutOff())
		f.is.NoErr(f.tunnelers[0].Contact().Err())
		connection, err = f.dial(0, 0)
		f.is.NoErr(err)
		_, isTunnel = connection.(*tunneler.Tunnel)
		f.is.True(!isTunnel)
	})
}

// Where all entries are cut off, nothing shows that an upstream is at fault, also where connections are refused,
// and no entry asks a second one through a first.
func TestNobodyIsBlamedWhereAllAreCutOff(t *testing.T) {
	withFixture(t, 3, 6, func(f *fixture) {
		for entry := range 3 {
			for i := range f.upstreams {
				f.net.RefuseConnections(entryHost(entry), upstreamHost(i))
			}
		}
		for i := range 6 {
			_, err := f.dial(i%3, i)
			f.is.True(isCutOffError(err))
			f.is.True(!errors.Is(err, syscall.ECONNREFUSED))
		}
		for range 3 {
			_, _ = f.dial(0, 1)
			_, _ = f.dial(0, 2)
			_, _ = f.dial(0, 3)
		}
		f.is.True(f.tunnelers[0].IsCutOff())
		f.is.True(!f.tunnelers[0].IsUnavailable()) // others may be in contact, as far as it knows
		f.relays["entry-0"] = nil
		time.Sleep(2500 * time.Millisecond)
		f.is.True(f.tunnelers[0].IsUnavailable())
		retryAfter := f.tunnelers[0].RetryAfter()
		f.is.True(retryAfter > 2*time.Second && retryAfter < 3*time.Second)
		began := time.Now()
		_, err := f.dial(0, 0)
		f.is.True(isCutOffError(err))
		f.is.Equal(time.Since(began), time.Duration(0))
	})
}

// Where a relay is dead, does not answer, is cut off itself or stops, another is used in time.
func TestRelayThatCannotServeIsReplaced(t *testing.T) {
	for name, fail := range map[string]func(f *fixture, i int){
		"killed":       func(f *fixture, i int) { f.net.KillHost(entryHost(i)) },
		"disconnected": func(f *fixture, i int) { f.net.Disconnect(entryHost(0), entryHost(i)) },
		"cut off":      func(f *fixture, i int) { f.cutOff(i) },
		"stopping":     func(f *fixture, i int) { f.tunnelers[i].Stop() },
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, 4, 6, func(f *fixture) {
				f.cutOff(0)
				fail(f, 1)
				fail(f, 2)
				for i := range 30 {
					connection, err := f.dial(0, i%6)
					f.is.NoErr(err)
					f.is.NoErr(connection.Close())
					time.Sleep(100 * time.Millisecond)
				}
			})
		})
	}
}

// A relay connects to listed upstreams only.
func TestRelayIsNoOpenProxy(t *testing.T) {
	withFixture(t, 2, 6, func(f *fixture) {
		f.cutOff(0)
		unlisted := f.upstreams[0].Address
		f.tunnelers[1].SetUpstreams(f.upstreams[1:])
		_, err := f.tunnelers[0].Dial(context.Background(), "tcp", unlisted.String())
		f.is.True(err != nil)
		_, err = f.dial(0, 1)
		f.is.NoErr(err)
	})
}

// In a large fleet an entry that is cut off uses few relays, and different entries use different ones.
func TestRelaysAreSpread(t *testing.T) {
	withFixture(t, 0, 0, func(f *fixture) {
		const entries = 600
		f.upstreams = []tunneler.Upstream{{Address: netip.AddrPortFrom(upstreamHost(1), 80), DataCentre: "b"}}
		for i := range entries {
			name := fmt.Sprint("entry-", i)
			f.relays[""] = append(f.relays[""], tunneler.Relay{Name: name, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i / 200), byte(i % 200)}), 83), DataCentre: string(rune('a' + i%3))})
		}
		var lock sync.Mutex
		uses := map[string]int{}
		for i := range 50 {
			name := fmt.Sprint("cut-off-", i)
			f.relays[name] = f.relays[""]
			own := map[string]bool{}
			f.startEntry(tunneler.Relay{Name: name, Address: netip.AddrPortFrom(entryHost(i), 83), DataCentre: "a"}, func(_ context.Context, _, address string) (net.Conn, error) {
				if netip.MustParseAddrPort(address).Addr() == upstreamHost(1) {
					return nil, syscall.ECONNREFUSED
				}
				lock.Lock()
				own[address] = true
				uses[address]++
				lock.Unlock()
				near, far := net.Pipe()
				go func() {
					calls := rpc.NewServer()
					f.is.NoErr(f.tunnelers[0].Register(calls)) // answers that it is cut off
					calls.ServeConn(far)
				}()
				return near, nil
			})
			for range 100 {
				_, _ = f.tunnelers[i].Dial(context.Background(), "tcp", f.upstreams[0].Address.String())
			}
			lock.Lock()
			f.is.True(len(own) <= 12)
			lock.Unlock()
		}
		for relay, n := range uses {
			if n > 10 {
				t.Errorf("%s is used by %d of 50 entries", relay, n)
			}
		}
	})
}

// Guards against crashes of most upstreams being taken for a partition: those that refuse connections are at fault, at
// an entry that has reached nobody yet and behind a relay that has not, and work is direct again soon after a partition.
func TestManyDownUpstreamsAreNoPartition(t *testing.T) {
	const upstreams, down = 11, 8
	for range 20 {
		withFixture(t, 2, upstreams, func(f *fixture) {
			for i := range down {
				f.net.KillHost(upstreamHost(i))
			}
			for i := range down {
				_, err := f.dial(1, i)
				f.is.True(errors.Is(err, syscall.ECONNREFUSED))
			}
			f.is.True(!f.tunnelers[1].IsCutOff())
			f.cutOff(0)
			for i := range upstreams {
				_, _ = f.dial(0, i)
			}
			time.Sleep(time.Second)
			f.is.True(f.tunnelers[0].IsCutOff())
			for i := range down {
				_, err := f.dial(0, i)
				f.is.True(errors.Is(err, syscall.ECONNREFUSED))
			}
			f.is.True(!f.tunnelers[1].IsCutOff())
			for i := range upstreams {
				f.net.Reconnect(entryHost(0), upstreamHost(i))
			}
			time.Sleep(2 * time.Second)
			f.is.True(!f.tunnelers[0].IsCutOff())
		})
	}
}

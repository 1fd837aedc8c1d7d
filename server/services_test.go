package server

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

// crashingServices are instances of a service that crash under calls with the body crashingBody and restart
// after 2.5 s.
type crashingServices struct {
	fleet *testFleet
	lock  sync.Mutex
	// crashedAt holds the times of all crashes.
	crashedAt []time.Time
	// frozen is the address of an instance that accepts calls and answers none; zero for none.
	frozen netip.Addr
	// spoiled writes what the instance at an address sends in place of its answers; nil for none.
	spoiled map[netip.Addr]func(net.Conn)
	// answers is the number of calls answered, by instance.
	answers map[netip.Addr]int
	// servers holds the servers of the running instances; nil once all are closed.
	servers map[netip.Addr]*http.Server
}

const crashingBody = `{"crash":true}`

func (c *crashingServices) serve(address netip.Addr) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.servers == nil {
		return
	}
	c.servers[address] = c.fleet.serve(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if spoil := c.spoiledBy(address); spoil != nil {
			connection, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				spoil(connection)
				_ = connection.Close()
			}
			return
		}
		if c.isFrozen(address) {
			<-r.Context().Done()
			return
		}
		if string(body) != crashingBody {
			time.Sleep(50 * time.Millisecond)
			c.lock.Lock()
			c.answers[address]++
			c.lock.Unlock()
			_, _ = io.WriteString(w, "{}")
			return
		}
		c.crash(address)
		time.AfterFunc(2500*time.Millisecond, func() { c.serve(address) })
		panic(http.ErrAbortHandler)
	}))
}

func (c *crashingServices) freeze(address netip.Addr) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.frozen = address
}

func (c *crashingServices) isFrozen(address netip.Addr) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.frozen == address
}

// spoil makes the instance at an address send what write writes in place of its answers.
func (c *crashingServices) spoil(address netip.Addr, write func(net.Conn)) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.spoiled[address] = write
}

func (c *crashingServices) spoiledBy(address netip.Addr) func(net.Conn) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.spoiled[address]
}

func (c *crashingServices) crash(address netip.Addr) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.crashedAt = append(c.crashedAt, time.Now())
	c.fleet.net.KillHost(address)
	_ = c.servers[address].Close()
}

func (c *crashingServices) close() {
	c.lock.Lock()
	defer c.lock.Unlock()
	for address, web := range c.servers {
		c.fleet.net.KillHost(address)
		_ = web.Close()
	}
	c.servers = nil
}

func (c *crashingServices) crashTimes() []time.Time {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.crashedAt
}

func (c *crashingServices) answerCounts() map[netip.Addr]int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return maps.Clone(c.answers)
}

// withCrashingServices runs f on a fleet of three entries whose service has instances that a call can
// crash.
func withCrashingServices(t *testing.T, instances int, f func(*testFleet, *crashingServices)) {
	withTestFleet(t, 3, 6, func(fleet *testFleet) {
		c := &crashingServices{fleet: fleet, answers: map[netip.Addr]int{}, spoiled: map[netip.Addr]func(net.Conn){}, servers: map[netip.Addr]*http.Server{}}
		defer c.close()
		var names []string
		for i := range instances {
			name, address := fmt.Sprintf("crashing-%d", i+1), host(4, i+1)
			names = append(names, name)
			c.serve(address)
			fleet.addInstance(name, api.KindService, address)
		}
		fleet.publishList()
		document := testDocument(2, 6, "")
		document = strings.Replace(document, "Instances: [service-1]", "Instances: ["+strings.Join(names, ", ")+"]", 1)
		fleet.platform.Publish([]byte(document), false)
		time.Sleep(3 * time.Second)
		f(fleet, c)
	})
}

package launcher_test

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/sapphireramp/sapphireramp/standin/caller"
)

// regionsOfTest are two regions: dc-0 and dc-1 are in one, dc-2 is the other.
var regionsOfTest = map[string]string{"dc-0": "west", "dc-1": "west", "dc-2": "east"}

// homesPeriod is a time from which on a configuration with home regions was written to the store.
type homesPeriod struct {
	began time.Time
	homes map[string][]string
}

// regionTest is a fleet of nine entries in two regions, with callers in both.
type regionTest struct {
	*fleet
	periods []homesPeriod
	relays  *observer.ObservedLogs
	lock    sync.Mutex
	results []caller.Result
	// zones holds the data centre of the caller of each result.
	zones   []string
	sending sync.WaitGroup
}

// withRegions runs a test with home regions of routes, whose callers send requests all the time.
func withRegions(t *testing.T, homes map[string][]string, test func(x *regionTest)) {
	synctest.Test(t, func(t *testing.T) {
		x := &regionTest{fleet: newFleet(t, 0)}
		defer x.shutDown()
		core, relays := observer.New(zapcore.InfoLevel)
		x.regions, x.hasStarted, x.log, x.relays = regionsOfTest, false, zap.New(core), relays
		x.setHomes(2, homes)
		for range 2 {
			for range 3 {
				x.addWorker("app")
				x.addWorker("lm")
			}
		}
		for i := range 9 {
			x.entries = append(x.entries, x.startEntry(i))
		}
		time.Sleep(3 * time.Second)
		stop := make(chan struct{})
		for n, path := range []string{"/once/x", "/safe/x", "/stream/x", "/long/x"} {
			for _, zone := range []string{"dc-0", "dc-2"} {
				for k := range 3 {
					x.sending.Add(1)
					go x.send(stop, n*10+k, path, zone)
				}
			}
		}
		test(x)
		close(stop)
		x.sending.Wait()
		x.check()
	})
}

// setHomes writes a configuration with other home regions to the store.
func (x *regionTest) setHomes(version int, homes map[string][]string) {
	x.homes = homes
	x.putConfig(version, "key-1")
	x.periods = append(x.periods, homesPeriod{began: time.Now(), homes: homes})
}

// send sends requests of one caller until stop is closed.
func (x *regionTest) send(stop chan struct{}, seed int, path, zone string) {
	defer x.sending.Done()
	c := x.newCaller(uint64(seed))
	defer c.Close()
	c.DataCentre = zone
	c.BodyOf = func(id string) string { return id }
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(70 * time.Millisecond):
		}
		r := c.Do(path, fmt.Sprintf("%s-%s-%d-%d", strings.Split(path, "/")[1], zone, seed, n), "key-1", shortTimeout)
		x.lock.Lock()
		x.results, x.zones = append(x.results, r), append(x.zones, zone)
		x.lock.Unlock()
	}
}

// hostsIn returns the hosts of the entries and of the upstreams of a region.
func (x *regionTest) hostsIn(region string) []netip.Addr {
	var hosts []netip.Addr
	for i := range x.entries {
		if regionsOfTest[fmt.Sprintf("dc-%d", i%3)] == region {
			hosts = append(hosts, entryHost(i))
		}
	}
	for id, host := range x.workerHosts {
		if regionsOfTest[dataCentreOf(id)] == region {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// mayRun reports whether a request of a route may be processed in a region at a time: by the configuration then, or by
// one that was replaced within the time in which a change takes effect.
func (x *regionTest) mayRun(route, region string, at time.Time) bool {
	for i, p := range x.periods {
		isOver := i+1 < len(x.periods) && at.After(x.periods[i+1].began.Add(maxPropagation))
		if homes := p.homes[route]; !at.Before(p.began) && !isOver && (len(homes) == 0 || slices.Contains(homes, region)) {
			return true
		}
	}
	return false
}

// check checks that no request was processed or relayed outside of its home regions, and that each caller was sent to
// entries of its own region only, or of one that is the home of all.
func (x *regionTest) check() {
	x.t.Helper()
	routeOf := func(id string) string { return strings.Split(id, "-")[0] }
	atHome := 0
	for id, w := range x.workers {
		for _, e := range w.Executions() {
			if len(x.homes[routeOf(e.RequestID)]) > 0 {
				atHome++
			}
			if !x.mayRun(routeOf(e.RequestID), regionsOfTest[dataCentreOf(id)], e.Began) {
				x.t.Errorf("%s ran on %s in %s", e.RequestID, id, regionsOfTest[dataCentreOf(id)])
			}
		}
	}
	relayed := 0
	for _, line := range x.relays.FilterMessage("relay").All() {
		fields := line.ContextMap()
		request, _ := fields["request"].(string)
		var relay int
		_, _ = fmt.Sscanf(fmt.Sprint(fields["relay"]), "entry-%d", &relay)
		relayed++
		if region := regionsOfTest[fmt.Sprintf("dc-%d", relay%3)]; request != "" && !x.mayRun(routeOf(request), region, line.Time) {
			x.t.Errorf("%s was passed to the relay entry-%d in %s", request, relay, region)
		}
	}
	for i, r := range x.results {
		if region := regionsOfTest[fmt.Sprintf("dc-%d", (r.Entry.Addr().As4()[3]-10)%3)]; r.Entry.IsValid() && region != regionsOfTest[x.zones[i]] && !x.isHomeOfAll(region, r.StartedAt) {
			x.t.Errorf("%s of a caller in %s was sent to an entry in %s", r.ID, x.zones[i], region)
		}
	}
	x.t.Logf("%d requests, %d executions of routes with homes at the end, %d relays asked", len(x.results), atHome, relayed)
}

// isHomeOfAll reports whether requests of all routes may be processed in a region at a time.
func (x *regionTest) isHomeOfAll(region string, at time.Time) bool {
	return !slices.ContainsFunc(allRoutes, func(route string) bool { return !x.mayRun(route, region, at) })
}

// served returns how many requests of a route from a data centre that began between two times were served, and how many
// there were.
func (x *regionTest) served(route, zone string, from, to time.Time) (served, sent int) {
	x.lock.Lock()
	defer x.lock.Unlock()
	for i, r := range x.results {
		if strings.HasPrefix(r.ID, route+"-") && x.zones[i] == zone && r.StartedAt.After(from) && r.StartedAt.Before(to) {
			sent++
			if r.IsServed() {
				served++
			}
		}
	}
	return served, sent
}

// checkServed checks that requests of all given routes and data centres that began since a time are served.
func (x *regionTest) checkServed(what string, since time.Time, routes, zones []string) {
	x.t.Helper()
	for _, route := range routes {
		for _, zone := range zones {
			served, sent := x.served(route, zone, since, time.Now().Add(-time.Second))
			x.t.Logf("%s: %s from %s: %d of %d served", what, route, zone, served, sent)
			if sent < 5 || float64(served) < 0.95*float64(sent) {
				x.t.Errorf("%s: %d of %d requests of %s from %s served", what, served, sent, route, zone)
			}
		}
	}
}

var (
	allRoutes = []string{"once", "safe", "stream", "long"}
	allZones  = []string{"dc-0", "dc-2"}
	eastHomes = map[string][]string{"once": {"east"}, "stream": {"east"}}
)

// Guards against requests that leave their home region while the region is cut off from the other one, while entries of
// either region reach no upstream and need relays, while all upstreams at home crash, and while none is listed.
func TestRequestsStayInHomeRegions(t *testing.T) {
	withRegions(t, eastHomes, func(x *regionTest) {
		time.Sleep(4 * time.Second)
		x.checkServed("calm", time.Now().Add(-4*time.Second), allRoutes, allZones)

		x.net.DisconnectAll(x.hostsIn("east"), append(x.hostsIn("west"), storeHost))
		time.Sleep(8 * time.Second)
		x.checkServed("regions divided", time.Now().Add(-5*time.Second), []string{"once", "stream"}, []string{"dc-2"})
		x.checkServed("regions divided", time.Now().Add(-5*time.Second), []string{"safe", "long"}, []string{"dc-0"})
		for _, a := range x.hostsIn("east") {
			for _, b := range append(x.hostsIn("west"), storeHost) {
				x.net.Reconnect(a, b)
			}
		}
		time.Sleep(6 * time.Second)

		reconnect := x.cutOffAll([]int{0, 1, 2}, cutHangs)
		time.Sleep(8 * time.Second)
		x.checkServed("entries cut off", time.Now().Add(-5*time.Second), allRoutes, allZones)
		reconnect()
		time.Sleep(2 * time.Second)

		for id := range x.workers {
			if regionsOfTest[dataCentreOf(id)] == "east" {
				x.crashWorker(id, serviceOf(id))
			}
		}
		time.Sleep(8 * time.Second)

		readmit := x.evacuate("dc-2")
		time.Sleep(maxPropagation)
		evacuated := time.Now()
		time.Sleep(3 * time.Second)
		x.lock.Lock()
		for _, r := range x.results {
			if len(eastHomes[strings.Split(r.ID, "-")[0]]) > 0 && r.StartedAt.After(evacuated) && (r.Status != 503 || r.RetryAfter == "" || !strings.Contains(r.Body, "no_upstream_in_home_region")) {
				t.Errorf("%s without an upstream at home: status %d, Retry-After %q, %s %v", r.ID, r.Status, r.RetryAfter, r.Body, r.Err)
			}
		}
		x.lock.Unlock()
		x.checkServed("home evacuated", evacuated, []string{"safe", "long"}, allZones)
		readmit()
		time.Sleep(4 * time.Second)
		x.checkServed("at the end", time.Now().Add(-3*time.Second), allRoutes, allZones)
	})
}

// Guards against requests that reach the former home region after the time in which a change takes effect, and against
// requests that fail through a change of homes under load.
func TestHomesChangeUnderLoad(t *testing.T) {
	withRegions(t, eastHomes, func(x *regionTest) {
		began := time.Now()
		for version, homes := range []map[string][]string{
			{"once": {"west"}, "stream": {"west"}, "long": {"east"}}, {"safe": {"west", "east"}, "stream": {"east"}}, eastHomes, nil, {"long": {"west"}, "safe": {"east"}},
		} {
			time.Sleep(4 * time.Second)
			x.setHomes(version+3, homes)
		}
		time.Sleep(4 * time.Second)
		x.checkServed("homes change", began, allRoutes, allZones)
	})
}

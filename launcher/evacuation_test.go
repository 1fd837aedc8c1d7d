package launcher_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// propagationTime is the time in which all entries know a change while nothing fails.
const propagationTime = 300 * time.Millisecond

// coldTime is the time for which a worker is cold after it has restarted cold.
const coldTime = 3 * time.Second

// evacuate requests the evacuation of a data centre, and returns the function that withdraws it.
func (f *fleet) evacuate(dataCentre string) (readmit func()) {
	key := "op/evacuate/" + dataCentre
	f.store.Put(key, struct{}{})
	return func() { f.store.Delete(key) }
}

// returnCold restarts all workers of a data centre as cold ones, as after an outage of all of it.
func (f *fleet) returnCold(dataCentre string) {
	for _, id := range f.workersIn(dataCentre) {
		f.lock.Lock()
		f.coldUntil[id] = time.Now().Add(coldTime)
		f.lock.Unlock()
		f.restartWorker(id, serviceOf(id))
	}
}

// workersIn returns the instance IDs of the workers in a data centre.
func (f *fleet) workersIn(dataCentre string) []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(f.workers)) {
		if dataCentreOf(id) == dataCentre {
			ids = append(ids, id)
		}
	}
	return ids
}

// No request reaches an upstream of an evacuated data centre after the time in which a change has to take
// effect, though an entry is cut off from the store and others are killed or stop meanwhile. All requests
// are served by the others, and by those of the data centre once the evacuation is withdrawn.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.shutDown()
		x := f.startTraffic(12)
		time.Sleep(2 * time.Second)
		f.net.Disconnect(entryHost(2), storeHost)
		readmit := f.evacuate("dc-1")
		time.Sleep(maxPropagation)
		evacuated := time.Now()
		f.stopEntry(f.entries[3])
		time.Sleep(time.Second)
		f.killEntry(f.entries[4])
		<-f.entries[4].exited
		f.entries[4] = f.startEntry(4)
		time.Sleep(4 * time.Second)
		readmit()
		readmitted := time.Now()
		time.Sleep(3 * time.Second)
		x.stopAndCheck()
		usedAgain := 0
		for _, id := range f.workersIn("dc-1") {
			for _, e := range f.workers[id].Executions() {
				if e.Began.After(evacuated) && e.Began.Before(readmitted) {
					t.Errorf("request %s reached %s %s after the evacuation had to take effect", e.RequestID, id, e.Began.Sub(evacuated))
				}
				if e.Began.After(readmitted) {
					usedAgain++
				}
			}
		}
		if usedAgain == 0 {
			t.Error("no request reached the data centre after the end of its evacuation")
		}
	})
}

// Where all upstreams of a data centre have returned cold before a burst, none of them gets more requests in a second
// than a cold one tolerates, each gets some before it is warm, and all requests are served.
func TestDataCentreReturnsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.shutDown()
		f.returnCold("dc-1")
		returned := time.Now()
		time.Sleep(propagationTime)
		x := f.startTraffic(30)
		time.Sleep(coldTime - propagationTime)
		served, sent := x.stopAndCheck()
		if served < sent {
			t.Errorf("%d of %d requests are served", served, sent)
		}
		for _, id := range f.workersIn("dc-1") {
			if most := f.mostWhileCold(id, returned); most == 0 || float64(most) > maxColdRequests {
				t.Errorf("%s got %d requests in a second while it was cold, want 1 to %g", id, most, maxColdRequests)
			}
		}
	})
}

// mostWhileCold returns the largest number of requests that a worker which returned cold at a time began within any
// second while it was cold.
func (f *fleet) mostWhileCold(id string, returned time.Time) int {
	var times []time.Time
	for _, e := range f.workers[id].Executions() {
		if e.Began.After(returned) && e.Began.Before(returned.Add(coldTime)) {
			times = append(times, e.Began)
		}
	}
	return mostInASecond(times)
}

// mostInASecond returns the largest number of times within any second.
func mostInASecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// dataCentreOf returns the data centre of a worker with the given instance ID. Workers are spread over
// three.
func dataCentreOf(id string) string {
	number, _ := strconv.Atoi(id[strings.LastIndex(id, "-")+1:])
	return fmt.Sprintf("dc-%d", number%3)
}

// serviceOf returns the service of a worker with the given instance ID.
func serviceOf(id string) string { return strings.Split(id, "-")[1] }

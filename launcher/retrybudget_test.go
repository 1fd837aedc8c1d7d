package launcher_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// The tests in this file guard against more retries in a window than the budget that all entries share, whatever
// happens to entries meanwhile. Engines break off most streams, so that callers need more retries than it allows.

const (
	// brokenShare is the fraction of streams that each engine breaks off.
	brokenShare = 0.85
	// streamsPerSecond is the number of streams per second that callers request, of all entries together.
	streamsPerSecond = 60
	// retryTestTime is the time for which callers do so: three windows and a half.
	retryTestTime = 35 * time.Second
	// useInterval is the time between the beginnings of two windows that are looked at.
	useInterval = 20 * time.Millisecond
	// minBudgetUse is the fraction of the budget that is to be used where callers need it and no entry stops.
	minBudgetUse = 0.75
)

// retryTest is a fleet of six entries and 14 engines that break off brokenShare of all streams, with callers that
// try once.
type retryTest struct {
	*fleet
	sending sync.WaitGroup
	// lock guards sentAt, the times at which callers sent their requests, by request ID.
	lock   sync.Mutex
	sentAt map[string]time.Time
}

// withRetryTest runs a test while callers request streams.
func withRetryTest(t *testing.T, disrupt func(r *retryTest), check func(r *retryTest)) {
	synctest.Test(t, func(t *testing.T) {
		r := &retryTest{fleet: newFleet(t, 6), sentAt: map[string]time.Time{}}
		defer r.shutDown()
		for range 11 {
			r.addWorker("lm")
		}
		for _, w := range r.workers {
			w.SetFaultShare(worker.FaultBrokenOff, brokenShare)
		}
		time.Sleep(100 * time.Millisecond)
		r.sending.Add(1)
		go r.sendStreams(time.Now().Add(retryTestTime))
		disrupt(r)
		r.sending.Wait()
		check(r)
	})
}

// sendStreams requests streams from the entries in turn until a point in time.
func (r *retryTest) sendStreams(until time.Time) {
	defer r.sending.Done()
	for n := 0; time.Now().Before(until); n++ {
		r.sending.Add(1)
		go r.sendStream(n)
		time.Sleep(time.Second / streamsPerSecond)
	}
}

func (r *retryTest) sendStream(n int) {
	defer r.sending.Done()
	c := r.newCaller(uint64(n))
	defer c.Close()
	c.SetFixedAddress(netip.AddrPortFrom(entryHost(n%len(r.entries)), entryPort))
	id := fmt.Sprintf("retry-%d", n)
	r.lock.Lock()
	r.sentAt[id] = time.Now()
	r.lock.Unlock()
	c.Do("/stream/x", id, "key-1", shortTimeout)
}

// restartEntry kills the entry with index i and starts it again.
func (r *retryTest) restartEntry(i int, downtime time.Duration) {
	r.killEntry(r.entries[i])
	time.Sleep(downtime)
	r.entries[i] = r.startEntry(i)
}

// during calls disrupt at intervals while callers request streams.
func during(interval time.Duration, disrupt func(r *retryTest, n int)) func(r *retryTest) {
	return func(r *retryTest) {
		for n := range int(retryTestTime / interval) {
			time.Sleep(interval)
			disrupt(r, n)
		}
	}
}

// retries returns the times at which requests reached engines after their first time, the earliest first.
func (r *retryTest) retries() []time.Time {
	var retries []time.Time
	for id := range r.sentAt {
		arrivals := append(worker.ExecutionsOf(maps.Values(r.workers), id), worker.RefusalsOf(maps.Values(r.workers), id)...)
		slices.SortFunc(arrivals, func(a, b worker.Execution) int { return a.Began.Compare(b.Began) })
		for _, a := range arrivals[min(1, len(arrivals)):] {
			retries = append(retries, a.Began)
		}
	}
	slices.SortFunc(retries, time.Time.Compare)
	return retries
}

// countWithin returns how many of the times are within the window that begins at from.
func countWithin(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(retryBudget.Window)) {
			n++
		}
	}
	return n
}

// budgetUse returns the retries in each window, as a fraction of those that the budget allows there. Windows begin
// useInterval apart, the first with the first request and the last one window before the last.
func (r *retryTest) budgetUse() []float64 {
	sent := slices.SortedFunc(maps.Values(r.sentAt), time.Time.Compare)
	retries := r.retries()
	var use []float64
	for from := sent[0]; !from.Add(retryBudget.Window).After(sent[len(sent)-1]); from = from.Add(useInterval) {
		allowed := retryBudget.Ratio*float64(countWithin(sent, from)) + float64(retryBudget.BaseRetries)
		use = append(use, float64(countWithin(retries, from))/allowed)
	}
	return use
}

// checkWithinBudget fails the test if a window has more retries than the budget allows.
func (r *retryTest) checkWithinBudget() {
	r.t.Helper()
	worst := slices.Max(r.budgetUse())
	r.t.Logf("%.2f of the budget in the worst window", worst)
	if worst > 1 {
		r.t.Errorf("%.2f of the budget in the worst window, want at most 1", worst)
	}
}

// Guards against a budget that is kept because retries are refused that it allows, from the first window after the
// start of all entries on.
func TestRetryBudgetIsUsed(t *testing.T) {
	withRetryTest(t, func(*retryTest) {}, func(r *retryTest) {
		r.checkWithinBudget()
		use, sum := r.budgetUse(), 0.0
		for _, u := range use {
			sum += u
		}
		mean := sum / float64(len(use))
		t.Logf("%.2f of the budget in the first window, %.2f in the mean", use[0], mean)
		if use[0] < minBudgetUse || mean < minBudgetUse {
			t.Errorf("%.2f of the budget in the first window, %.2f in the mean, want at least %.2f", use[0], mean, minBudgetUse)
		}
	})
}

// Entries stop and start one after the other.
func TestRetriesStayWithinBudgetWhileEntriesStopInTurn(t *testing.T) {
	withRetryTest(t, func(r *retryTest) {
		for i, e := range r.entries {
			r.stopEntry(e)
			<-e.exited
			r.entries[i] = r.startEntry(i)
		}
	}, (*retryTest).checkWithinBudget)
}

// restartAll kills all entries at once and starts them again.
func restartAll(r *retryTest, _ int) {
	for _, e := range r.entries {
		r.killEntry(e)
	}
	time.Sleep(500 * time.Millisecond)
	for i := range r.entries {
		r.entries[i] = r.startEntry(i)
	}
}

// All entries are killed at once, again and again.
func TestRetriesStayWithinBudgetWhileAllEntriesAreKilled(t *testing.T) {
	withRetryTest(t, during(2500*time.Millisecond, restartAll), (*retryTest).checkWithinBudget)
}

// Entries are killed one after the other.
func TestRetriesStayWithinBudgetWhileEntriesAreKilledInTurn(t *testing.T) {
	withRetryTest(t, during(500*time.Millisecond, func(r *retryTest, n int) {
		r.restartEntry(n%len(r.entries), 200*time.Millisecond)
	}), (*retryTest).checkWithinBudget)
}

// Entries are killed one after the other while half of them are cut off from the other half.
func TestRetriesStayWithinBudgetWhileEntriesAreCutOffAndKilled(t *testing.T) {
	withRetryTest(t, func(r *retryTest) {
		time.Sleep(2 * time.Second)
		r.divideEntries(func(i int) bool { return i%2 == 0 })
		for n := range 20 {
			time.Sleep(time.Second)
			r.restartEntry(n%len(r.entries), 200*time.Millisecond)
		}
	}, (*retryTest).checkWithinBudget)
}

// Entries that reach no upstream send retries through others.
func TestRetriesStayWithinBudgetThroughTunnels(t *testing.T) {
	withRetryTest(t, func(r *retryTest) {
		time.Sleep(5 * time.Second)
		reconnect := r.cutOffAll([]int{1, 4}, cutResets)
		time.Sleep(15 * time.Second)
		reconnect()
	}, (*retryTest).checkWithinBudget)
}

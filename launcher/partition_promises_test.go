package launcher_test

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/explainer"
	"github.com/sapphireramp/sapphireramp/logger"
	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// The tests in this file guard the promises to callers and upstreams where entries reach upstreams only through
// other entries, or not at all.

// logBuffer holds the log lines of a fleet.
type logBuffer struct {
	lock  sync.Mutex
	lines bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.lines.Write(p)
}

// text returns all lines.
func (b *logBuffer) text() string {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.lines.String()
}

// contains reports whether a text was logged.
func (b *logBuffer) contains(text string) bool { return strings.Contains(b.text(), text) }

// withLoggedFleet runs a test in virtual time with a fleet whose entries all log to one buffer.
func withLoggedFleet(t *testing.T, entries int, test func(f *fleet, logs *logBuffer)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0)
		defer f.shutDown()
		logs := &logBuffer{}
		loggers, err := logger.New(logger.Config{Level: "info", Output: logs})
		if err != nil {
			t.Fatal(err)
		}
		f.log = loggers.Layer(logger.LayerEntry)
		for i := range entries {
			f.entries = append(f.entries, f.startEntry(i))
		}
		time.Sleep(2 * time.Second)
		test(f, logs)
	})
}

// Guards against cut off entries being refused by entries that stop, die or restart beside them: the first tries at
// cut off entries are served, and what was on its way through a stopping entry ends there.
func TestCutOffEntriesServeWhileOthersStopAndDie(t *testing.T) {
	for _, kind := range allCutKinds {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 6)
				defer f.shutDown()
				cut := []int{1, 4}
				reconnect := f.cutOffAll(cut, kind)
				began := time.Now()
				x := f.startFirstTries("s", cut, 25*time.Second)
				time.Sleep(4 * time.Second)
				f.stopEntry(f.entries[0])
				time.Sleep(time.Second)
				f.killEntry(f.entries[3])
				<-f.entries[3].exited
				time.Sleep(2 * time.Second)
				f.entries[3] = f.startEntry(3)
				<-f.entries[0].exited
				f.entries[0] = f.startEntry(0)
				time.Sleep(2 * time.Second)
				f.stopEntry(f.entries[2])
				f.stopEntry(f.entries[5])
				<-f.entries[5].exited
				f.entries[2], f.entries[5] = f.startEntry(2), f.startEntry(5)
				x.wait()
				reconnect()
				x.checkServed("cut off entries", began.Add(contactTime), time.Now(), isOneOf(cut))
			})
		})
	}
}

// Guards against prompts over one engine's memory being refused at cut off entries: their memory is reserved
// through other entries too, and released.
func TestCutOffEntriesServePromptsOverOneEnginesMemory(t *testing.T) {
	for _, kind := range allCutKinds {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newCrashFleet(t) // has enough engines for such prompts
				defer f.shutDown()
				reconnect := f.cutOffAll([]int{1, 4}, kind)
				defer reconnect()
				time.Sleep(contactTime)
				for n := range 8 {
					c := f.newCaller(uint64(n))
					c.SetFixedAddress(netip.AddrPortFrom(entryHost([]int{1, 4}[n%2]), entryPort))
					c.TokenUsage = "330000,200"
					id := fmt.Sprint("long-", n)
					r := c.Do("/long/x", id, "key-1", 8*time.Second)
					is.True(r.IsServed())
					is.Equal(len(r.Violations(f.executionCount(id), streamEvents)), 0)
					c.Close()
				}
				time.Sleep(time.Second)
				for _, w := range f.workers {
					is.Equal(len(w.ReservedTokens()), 0)
				}
			})
		})
	}
}

// Guards against requests waiting for nothing where all entries are cut off: they are refused at once, with a time
// that lies within the length of the partition, and nobody is blamed. Work is back soon after the end.
func TestAllEntriesCutOff(t *testing.T) {
	for _, kind := range allCutKinds {
		t.Run(kind.String(), func(t *testing.T) {
			withLoggedFleet(t, 6, func(f *fleet, logs *logBuffer) {
				all := []int{0, 1, 2, 3, 4, 5}
				x := f.startFirstTries("a", all, time.Second+partitionTime+2*contactTime)
				time.Sleep(time.Second)
				began := time.Now()
				reconnect := f.cutOffAll(all, kind)
				time.Sleep(partitionTime)
				ended := time.Now()
				reconnect()
				x.wait()
				for _, r := range x.results {
					if r.StartedAt.Before(began.Add(contactTime)) || r.EndedAt().After(ended) {
						continue
					}
					retryAfter, err := strconv.ParseFloat(r.RetryAfter, 64)
					if r.Status != http.StatusServiceUnavailable || r.Duration > 20*time.Millisecond || err != nil || retryAfter < 1 || retryAfter > partitionTime.Seconds() {
						t.Errorf("%s %s: status %d after %s, Retry-After %q", r.Path, r.ID, r.Status, r.Duration, r.RetryAfter)
					}
				}
				x.checkServed("all entries, from contactTime after the partition,", ended.Add(contactTime), time.Now(), isOneOf(all))
				for _, event := range []string{"event=quarantined", "event=upstream_ended"} {
					if logs.contains(event) {
						t.Errorf("the log has %s", event)
					}
				}
			})
		})
	}
}

// Guards against a partition's being told of an upstream that is silent for a second, or of crashed ones: no entry is cut
// off, and nothing goes through another entry for longer than that.
func TestSilentUpstreamIsNoPartition(t *testing.T) {
	withLoggedFleet(t, 4, func(f *fleet, logs *logBuffer) {
		x := f.startTraffic(12)
		for _, id := range []string{"i-lm-2", "i-app-1", "i-lm-4"} {
			time.Sleep(time.Second)
			for i := range f.entries {
				f.net.Disconnect(entryHost(i), f.workerHosts[id])
			}
			time.Sleep(time.Second)
			for i := range f.entries {
				f.net.Reconnect(entryHost(i), f.workerHosts[id])
			}
		}
		f.crashWorker("i-lm-6", "lm")
		f.crashWorker("i-app-3", "app")
		time.Sleep(4 * time.Second)
		x.stopAndCheck()
		if logs.contains("event=upstreams_lost") {
			t.Error("an entry took silent or crashed upstreams for a partition")
		}
	})
}

// Guards against callers being sent to entries that reach no upstream: these are out of the directory within two
// seconds, and back within three of the end.
func TestDirectoryLeavesOutCutOffEntries(t *testing.T) {
	withFleet(t, 6, func(is *is.I, f *fleet) {
		x := f.startTraffic(12)
		listed := func() map[netip.AddrPort]bool {
			out := map[netip.AddrPort]bool{}
			for n := range 60 {
				c := f.newCaller(uint64(n))
				out[c.Do("/safe/x", fmt.Sprint("d", time.Now().UnixNano(), n), "key-1", time.Second).Entry] = true
				c.Close()
			}
			return out
		}
		is.Equal(len(listed()), 6)
		reconnect := f.cutOffAll([]int{1, 4}, cutHangs)
		time.Sleep(2 * time.Second)
		named := listed()
		is.True(!named[netip.AddrPortFrom(entryHost(1), entryPort)])
		is.True(!named[netip.AddrPortFrom(entryHost(4), entryPort)])
		is.Equal(len(named), 4)
		reconnect()
		time.Sleep(3 * time.Second)
		is.Equal(len(listed()), 6)
		x.stopAndCheck()
	})
}

// Guards against limits that are counted twice, or not, where requests go through other entries: upstreams with a
// rate limit and cold ones get no more than they tolerate.
func TestCutOffEntriesKeepLimits(t *testing.T) {
	withFleet(t, 7, func(is *is.I, f *fleet) {
		x := f.startTraffic(24)
		time.Sleep(3 * time.Second)
		f.workers["i-app-1"].SetRateLimit(2)
		f.workers["i-lm-2"].SetRateLimit(1.2)
		reconnect := f.cutOffAll([]int{1, 4, 5}, cutHangs)
		time.Sleep(3 * time.Second)
		returned := time.Now()
		f.returnCold("dc-1")
		time.Sleep(6 * time.Second)
		reconnect()
		time.Sleep(3 * time.Second)
		x.stopAndCheck()
		f.checkRateLimits(x)
		for _, id := range f.workersIn("dc-1") {
			is.True(float64(f.mostWhileCold(id, returned)) <= maxColdRequests)
		}
	})
}

// Guards against a request that crashes engines being sent on without end by way of other entries: it is quarantined
// as soon as elsewhere, though all that get it are cut off.
func TestRequestThatCrashesUpstreamsThroughOthersIsQuarantined(t *testing.T) {
	for _, kind := range allCutKinds {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleet(t)
				defer f.shutDown()
				reconnect := f.cutOffAll([]int{1, 4}, kind)
				defer reconnect()
				time.Sleep(contactTime)
				x := f.startRepeater(3, 150*time.Millisecond, 1, 4)
				time.Sleep(12 * time.Second)
				x.Stop()
				for _, b := range x.RepeatViolations(f.evidence()) {
					t.Error(b)
				}
				crashes := map[string]bool{}
				for id, w := range f.workers {
					for _, e := range w.Executions() {
						if e.Crashed {
							crashes[fmt.Sprint(id, e.Incarnation)] = true
						}
					}
				}
				if len(crashes) < 3 {
					t.Errorf("%d incarnations crashed, so that nothing was quarantined", len(crashes))
				}
			})
		})
	}
}

// Guards against a story that ends at the first entry: explain finds the lines of both for a request that went
// through another.
func TestExplainJoinsBothEntries(t *testing.T) {
	withLoggedFleet(t, 6, func(f *fleet, logs *logBuffer) {
		is := is.New(t)
		reconnect := f.cutOffAll([]int{1}, cutHangs)
		defer reconnect()
		x := f.startFirstTries("e", []int{1}, contactTime)
		x.wait()
		for _, r := range x.results {
			explanation, err := explainer.Explain(strings.NewReader(logs.text()), r.ID)
			is.NoErr(err)
			is.Equal(len(explanation.MissingLines), 0)
			story := strings.Join(explanation.Lines, "\n")
			is.True(strings.Contains(story, "event=relay") && strings.Contains(story, "event=tunnel") && strings.Contains(story, "from=entry-1"))
			is.True(strings.Contains(explanation.Cause, "through entry-"))
		}
	})
}

// Guards against an upstream that works on for callers who have left, and for longer than they wait, behind another
// entry.
func TestUpstreamBehindAnotherEntryLearnsOfCaller(t *testing.T) {
	withFleet(t, 3, func(is *is.I, f *fleet) {
		for _, w := range f.workers {
			w.SetFault(worker.FaultNoAnswer)
		}
		reconnect := f.cutOffAll([]int{1}, cutHangs)
		defer reconnect()
		time.Sleep(contactTime)
		for n, path := range firstTryPaths {
			c := f.newCaller(uint64(n))
			c.SetFixedAddress(netip.AddrPortFrom(entryHost(1), entryPort))
			id := "left-" + path
			r := c.Do(path, id, "key-1", 700*time.Millisecond)
			is.True(!r.IsServed())
			c.Close()
			time.Sleep(500 * time.Millisecond)
			executions := worker.ExecutionsOf(maps.Values(f.workers), id)
			is.True(len(executions) > 0)
			for _, e := range executions {
				is.True(e.Remaining <= 700*time.Millisecond)
				is.True(!e.Ended.IsZero() && e.Ended.Sub(r.EndedAt()) <= 500*time.Millisecond)
			}
		}
	})
}

// Guards against answers that break off or change where an entry through which they come dies: streams that may be
// resumed are whole, and nothing runs twice that must not.
func TestStreamsOutliveTheEntryTheyComeThrough(t *testing.T) {
	withFleet(t, 3, func(is *is.I, f *fleet) {
		reconnect := f.cutOffAll([]int{1}, cutHangs)
		defer reconnect()
		time.Sleep(contactTime)
		x := f.startFirstTries("o", []int{1}, 2*time.Second)
		time.Sleep(time.Second)
		f.killEntry(f.entries[2])
		x.wait()
		served, sent := 0, 0
		for _, r := range x.results {
			if r.Path == "/stream/x" {
				sent++
				if r.IsServed() {
					served++
				}
			}
		}
		is.Equal(served, sent)
	})
}

// Guards against upstreams being avoided because entries lost their links: from contactTime on no entry, cut off or not,
// expects any request to fail, and none is quarantined, during the partition and after.
func TestCutBlamesNoUpstream(t *testing.T) {
	for _, kind := range allCutKinds {
		t.Run(kind.String(), func(t *testing.T) {
			withLoggedFleet(t, 6, func(f *fleet, logs *logBuffer) {
				all := []int{0, 1, 2, 3, 4, 5}
				x := f.startFirstTries("b", all, 10*time.Second)
				time.Sleep(time.Second)
				reconnect := f.cutOffAll([]int{1, 4, 5}, kind)
				time.Sleep(contactTime)
				before := len(logs.text())
				time.Sleep(3 * time.Second)
				reconnect()
				x.wait()
				placed := 0
				for line := range strings.Lines(logs.text()[before:]) {
					if !strings.Contains(line, "event=place ") {
						continue
					}
					placed++
					if !strings.Contains(line, "failure_rate=0 ") {
						t.Errorf("an upstream is blamed: %s", line)
					}
				}
				if placed == 0 || logs.contains("event=quarantined") || logs.contains("event=upstream_ended") {
					t.Errorf("%d placements, and quarantines or crashes", placed)
				}
			})
		})
	}
}

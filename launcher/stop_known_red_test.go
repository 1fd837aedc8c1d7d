//go:build knownred

package launcher_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/standin/caller"
	"github.com/sapphireramp/sapphireramp/standin/worker"
)

const (
	// heavyUsage is a prompt that takes an engine over a second, groupUsage one that needs the
	// memory of two; their answers are long.
	heavyUsage, groupUsage = "200000,1000", "320000,1000"
)

// A day of stops in series: callers that still had the address of a stopping entry saw
// streams break off in the middle. It began them three seconds after the order to stop, as
// most answers would have ended in the time that it had left; these took longer, and were
// cut with its process.
func TestStoppingEntryCutsNoStream(t *testing.T) {
	for _, path := range []string{"/stream/x", "/fixed/x"} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprint(path[1:], " kept ", kept), func(t *testing.T) {
				withLongAnswers(t, func(_ *is.I, f *fleet) {
					f.checkNoneLost(question{path: path, usage: longUsage, kept: kept}.over(0))
				})
			})
		}
	}
}

// Plain calls are cut as streams are, where the route allows longer answers than the stopping
// entry has left: it looks at the target of the route only, not at the deadline.
func TestStoppingEntryCutsNoSlowCall(t *testing.T) {
	for _, path := range []string{"/once/slow/x", "/safe/slow/x"} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprint(path[1:], " kept ", kept), func(t *testing.T) {
				withLongAnswers(t, func(_ *is.I, f *fleet) {
					f.checkNoneLost(question{path: path, kept: kept}.over(0))
				})
			})
		}
	}
}

// A request whose body comes slowly is passed on when that is whole, seconds after its header
// came: with a header before the order to stop nobody asks whether the entry stops, and after
// it only when the header comes.
func TestStoppingEntryCutsNoLateBody(t *testing.T) {
	for _, path := range []string{"/stream/x", "/fixed/x", "/once/slow/x"} {
		t.Run(path[1:], func(t *testing.T) {
			withLongAnswers(t, func(_ *is.I, f *fleet) {
				q := question{path: path, usage: longUsage}
				early, late := q, q
				early.at, late.body = -500*time.Millisecond, 2500*time.Millisecond
				f.checkNoneLost(append(late.over(0), early.bodiesUntil(7*time.Second)...))
			})
		})
	}
}

// A prompt that needs the memory of two engines is begun and cut like a short one.
func TestStoppingEntryCutsNoPromptOfAGroup(t *testing.T) {
	for _, path := range []string{"/stream/heavy/x", "/fixed/heavy/x"} {
		t.Run(path[1:], func(t *testing.T) {
			withLongAnswers(t, func(_ *is.I, f *fleet) {
				f.checkNoneLost(question{path: path, usage: groupUsage}.over(0))
			})
		})
	}
}

// Prompts that wait for a place when their entry is told to stop are begun at once, at engines
// that are busy, however long their answers take.
func TestStoppingEntryCutsNoWaitingPrompt(t *testing.T) {
	for _, path := range []string{"/stream/heavy/x", "/fixed/heavy/x"} {
		t.Run(path[1:], func(t *testing.T) {
			withLongAnswers(t, func(is *is.I, f *fleet) {
				var questions []question
				for range 3 { // they keep all engines busy, and end before the entry
					questions = append(questions, question{path: path, usage: "200000,100", at: -700 * time.Millisecond})
				}
				for at := -300 * time.Millisecond; at < 0; at += 20 * time.Millisecond {
					questions = append(questions, question{path: path, usage: heavyUsage, at: at})
				}
				var begun []bool
				time.AfterFunc(time.Second-time.Millisecond, func() {
					for i := range questions {
						begun = append(begun, f.runs(f.id(i)) > 0)
					}
				})
				waited := 0
				for i, r := range f.askStopping(f.entries[0], questions) {
					if begun[i] {
						continue
					}
					waited++
					if err := f.lost(r); err != nil {
						t.Errorf("%s waited since %s after the order to stop: %v", r.Path, questions[i].at, err)
					}
				}
				is.True(waited > 0)
			})
		})
	}
}

// An upstream says nothing, and the request is sent to another when the entry has less time
// left than that takes.
func TestStoppingEntryBeginsNoLateAttempt(t *testing.T) {
	for _, c := range []struct {
		path string
		// sound is when upstreams are sound again, after the order to stop.
		sound, from, until time.Duration
	}{
		{"/stream/x", 1500 * time.Millisecond, -650 * time.Millisecond, 1500 * time.Millisecond},
		{"/stream/brief/x", 4 * time.Second, 1750 * time.Millisecond, 3500 * time.Millisecond},
	} {
		t.Run(c.path[1:], func(t *testing.T) {
			withLongAnswers(t, func(_ *is.I, f *fleet) {
				f.setAll(worker.Mute)
				time.AfterFunc(time.Second+c.sound, func() { f.setAll(worker.Sound) })
				var questions []question
				for _, q := range (question{path: c.path, usage: longUsage}).over(c.from) {
					if q.at < c.until {
						questions = append(questions, q)
					}
				}
				for i, r := range f.askStopping(f.entries[0], questions) {
					unsure := r.Err == nil && r.Status == http.StatusBadGateway // the silent upstream may have run it
					if err := f.lost(r); err != nil && !unsure {
						t.Errorf("%s asked %s after the order to stop: %v", r.Path, questions[i].at, err)
					}
				}
			})
		})
	}
}

// Entries are stopped a second apart, so that several stop at once, and started again, while
// callers keep connections and the directory's answers as long as they may.
func TestStopsInSeriesCutNothing(t *testing.T) {
	withFleet(t, 5, func(is *is.I, f *fleet) {
		f.lengthen()
		over := make(chan struct{})
		var work sync.WaitGroup
		var lock sync.Mutex
		var results []caller.Result
		for n := range 60 {
			work.Go(func() {
				for r := range f.ask(n, over) {
					lock.Lock()
					results = append(results, r)
					lock.Unlock()
				}
			})
		}
		time.Sleep(2 * time.Second)
		var stops sync.WaitGroup
		for i := range 4 {
			stops.Go(func() {
				f.entries[i].stop()
				<-f.entries[i].ended
				f.entries[i] = f.start(i)
			})
			time.Sleep(time.Second)
		}
		stops.Wait()
		close(over)
		work.Wait()
		for _, r := range results {
			if err := f.lost(r); err != nil {
				t.Errorf("%s at %s: %v", r.Path, r.Entry, err)
			}
		}
		is.True(len(results) > 100)
	})
}

// ask has a caller ask in turn a short call and, while the directory's answer to that lives, one
// that takes long.
func (f *fleet) ask(n int, over <-chan struct{}) func(yield func(caller.Result) bool) {
	long := []string{"/stream/x", "/fixed/x", "/once/slow/x"}
	return func(yield func(caller.Result) bool) {
		c := f.newCaller(uint64(n))
		defer c.Close()
		c.AddressLife, c.Usage = 3*time.Second, longUsage
		for i := 0; ; i++ {
			wait, path := time.Duration(20+n)*time.Millisecond, "/once/x"
			if i%2 == 1 {
				wait, path = time.Duration(n%6+1)*480*time.Millisecond, long[(n+i/2)%len(long)]
			}
			select {
			case <-over:
				return
			case <-time.After(wait):
			}
			if !yield(c.Ask(path, fmt.Sprintf("s%d-%d", n, i), "key-1", longPatience)) {
				return
			}
		}
	}
}

package server

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/client"
	"github.com/sapphireramp/sapphireramp/standin/engine"
	"github.com/sapphireramp/sapphireramp/standin/platform"
)

// TestMain fixes rapid's seed and number of checks, so that every run has the same result, unless they are
// given on the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "15", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

var soakSeconds = flag.Int("soak.seconds", 20, "virtual seconds of failures in each random run")

// soak is one random run: callers send requests while a random schedule of faults is applied. It checks
// every answer, and the state of the system after all requests have ended.
type soak struct {
	*testFleet
	lock sync.Mutex
	sent int
	// processLock is held while processes are ended or started. It is a channel because virtual time does
	// not advance while a goroutine waits for a mutex.
	processLock chan struct{}
	// ranks are the ranks of the two organisations, in the order of their keys.
	ranks      [2]int
	outcomes   map[api.Outcome]int
	background sync.WaitGroup
}

// callerSlack is how long after its time limit a caller may receive the outcome.
const callerSlack = deadlineSlack

func (s *soak) sendPrompt(n int) {
	defer s.background.Done()
	r := api.CompletionRequest{
		Model: "model", Stream: n%3 != 0, MaxTokens: 5 + n%40,
		Prompt: strings.Repeat(fmt.Sprintf("%07d ", n), 100+(n%7)*500+(n%11/10)*14_000),
	}
	limit := time.Duration(2+n%8) * time.Second
	start := time.Now()
	result, err := s.clientOf([]string{testKey, smallKey}[n%2], 2).Complete(context.Background(), r, client.Options{Timeout: limit}, nil)
	if took := time.Since(start); took > limit+callerSlack {
		s.t.Errorf("request %d took %s with a limit of %s", n, took, limit)
	}
	if err == nil {
		s.checkWhole(n, r, result)
	}
	s.countOutcome(err)
}

// checkWhole checks that an answer belongs to its request and contains each token once.
func (s *soak) checkWhole(n int, r api.CompletionRequest, result client.Result) {
	var want strings.Builder
	tag := engine.AnswerTag(r)
	for i := range r.MaxTokens {
		want.WriteString(engine.AnswerToken(tag, i))
	}
	if result.Text != want.String() {
		s.t.Errorf("request %d: got %q", n, result.Text)
	}
}

func (s *soak) countOutcome(err error) {
	outcome := api.OutcomeAnswered
	var refused *client.EntryError
	switch {
	case errors.As(err, &refused):
		outcome = refused.Detail.Outcome
	case err != nil:
		outcome = api.OutcomeUnknown
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.outcomes[outcome]++
	s.sent++
}

// callAtMostOnce sends an at-most-once call with retries and checks that the number of its executions
// agrees with the outcome.
func (s *soak) callAtMostOnce(n int) {
	defer s.background.Done()
	body := fmt.Sprintf(`{"truck":%d}`, n)
	c := s.client(4)
	result, err := c.Call(context.Background(), "dispatch", "truck", []byte(body), client.Options{Timeout: 5 * time.Second, AtMostOnce: true})
	if err != nil && result.Ticket != "" {
		_, err = s.client(3).Call(context.Background(), "dispatch", "truck", []byte(body), client.Options{Timeout: 5 * time.Second, Ticket: result.Ticket})
	}
	s.countOutcome(err)
	var refused *client.EntryError
	notRun := errors.As(err, &refused) && refused.Detail.Outcome == api.OutcomeNotRun
	time.Sleep(10 * time.Second)
	ran := 0
	for _, e := range s.service.Executions() {
		if e.Body == body {
			ran++
		}
	}
	if ran > 1 {
		s.t.Errorf("truck %d ran %d times", n, ran)
	}
	if err == nil && ran != 1 {
		s.t.Errorf("truck %d was answered, but ran %d times", n, ran)
	}
	if notRun && ran != 0 {
		s.t.Errorf("truck %d was reported as not run, but ran", n)
	}
}

// fault is one random fault. Delay is the time from the start of the run to the fault, Duration the time for
// which the fault lasts. Kind selects what fails, First and Second select the affected entries or engine.
type fault struct {
	Delay         time.Duration
	Kind          int
	First, Second int
	Duration      time.Duration
}

func generateFaults(t *rapid.T, seconds int) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Delay:    time.Duration(rapid.IntRange(0, seconds*1000).Draw(t, "after")) * time.Millisecond,
			Kind:     rapid.IntRange(0, 10).Draw(t, "kind"),
			First:    rapid.IntRange(0, 100).Draw(t, "a"),
			Second:   rapid.IntRange(0, 100).Draw(t, "b"),
			Duration: time.Duration(rapid.IntRange(100, 8000).Draw(t, "length")) * time.Millisecond,
		}
	}), 1, 8).Draw(t, "faults")
}

func (s *soak) inject(f fault) {
	defer s.background.Done()
	time.Sleep(f.Delay)
	entry := s.entries[f.First%len(s.entries)]
	target := s.engines[f.Second%len(s.engines)]
	switch f.Kind {
	case 0:
		s.endAndRestart(func() bool { return s.liveEntries() > 1 && !entry.dead }, func() { s.killEntry(entry) }, f.Duration, func() { s.startEntry(entry) })
	case 1:
		s.endAndRestart(func() bool { return !target.dead }, func() { s.killEngine(target) }, f.Duration, func() { s.startEngine(target) })
	case 2:
		s.cutFor(entry.host, target.host, f.Duration)
	case 3:
		s.cutFor(entry.host, s.entries[f.Second%len(s.entries)].host, f.Duration)
	case 4:
		s.cutFor(entry.host, host(9, 1), f.Duration)
	case 5:
		s.cutFor(callerHost, entry.host, f.Duration)
	case 6:
		s.cutFor(entry.host, host(3, 1), f.Duration)
	case 7, 8, 9:
		s.platform.SetMode([]string{platform.ModeDown, platform.ModeStale, platform.ModePrevious}[f.Kind-7])
		time.Sleep(f.Duration)
		s.platform.SetMode(platform.ModeUp)
	case 10:
		s.endAndRestart(func() bool { return !target.dead }, func() { s.leaveEngine(target) }, f.Duration, func() { s.startEngine(target) })
	}
}

// leaveEngine has an engine announce that it is leaving while callers continue, and kills it after 5 s.
func (s *soak) leaveEngine(e *testEngine) {
	e.server.Drain(context.Background())
	time.Sleep(5 * time.Second)
	if n := s.engineReport(e).LateAfterLeaving; n != 0 {
		s.t.Errorf("%s received %d streams late after it announced that it was leaving", e.name, n)
	}
	s.killEngine(e)
}

func (s *soak) liveEntries() int {
	n := 0
	for _, e := range s.entries {
		if !e.dead {
			n++
		}
	}
	return n
}

// endAndRestart ends a process if allowed returns true, and starts it again after the given time.
func (s *soak) endAndRestart(allowed func() bool, end func(), length time.Duration, start func()) {
	s.processLock <- struct{}{}
	ok := allowed()
	if ok {
		end()
	}
	<-s.processLock
	if !ok {
		return
	}
	time.Sleep(length)
	s.processLock <- struct{}{}
	start()
	<-s.processLock
}

func (s *soak) cutFor(a, b netip.Addr, length time.Duration) {
	if a == b {
		return
	}
	s.net.Disconnect(a, b)
	time.Sleep(length)
	s.net.Reconnect(a, b)
}

// checkAtRest checks, after all faults and callers have ended, that no memory is held, no request is in
// flight and all entries have the same document.
func (s *soak) checkAtRest() {
	lease := s.entries[0].settings.Timing.Lease
	time.Sleep(3*lease + 5*time.Second)
	for _, e := range s.engines {
		if used := s.engineReport(e).UsedTokens; used != 0 {
			s.t.Errorf("%s still holds %d tokens", e.name, used)
		}
	}
	revisions := map[string]bool{}
	for _, e := range s.entries {
		if n := e.server.inFlight(); n != 0 {
			s.t.Errorf("%s still has %d requests in flight", e.name, n)
		}
		revisions[e.server.current.Load().accepted.Version.Digest] = true
	}
	if len(revisions) != 1 {
		s.t.Errorf("%d documents in force", len(revisions))
	}
}

func (s *soak) run(faults []fault, seconds int) {
	for _, f := range faults {
		s.background.Add(1)
		go s.inject(f)
	}
	s.platform.Publish([]byte(rankedDocument(2, len(s.engines), "", s.ranks[0], s.ranks[1])), false)
	time.Sleep(3 * time.Second)
	for n := range seconds * 5 {
		s.background.Add(1)
		go s.sendPrompt(n)
		if n%10 == 0 {
			s.background.Add(1)
			go s.callAtMostOnce(n)
		}
		if n == seconds {
			s.platform.Publish([]byte(rankedDocument(3, len(s.engines), "one", s.ranks[1], s.ranks[0])), false)
		}
		if n == seconds+1 {
			s.platform.Publish([]byte(rankedDocument(3, len(s.engines), "two", s.ranks[1], s.ranks[0])), false)
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.background.Wait()
	s.checkAtRest()
}

// TestSoak runs random schedules of faults in virtual time; they are the same in every run, unless -rapid.seed
// or -rapid.checks is given. Guards against wrong or incomplete answers, requests that overrun their time
// limit, calls that run twice or ran though reported as not run, streams sent late to a leaving engine, and
// memory, requests or differing documents left over at the end.
func TestSoak(t *testing.T) {
	total := map[api.Outcome]int{}
	runs := 0
	rapid.Check(t, func(rt *rapid.T) {
		faults := generateFaults(rt, *soakSeconds)
		rank := rapid.IntRange(0, 9)
		ranks := [2]int{rank.Draw(rt, "rank of team"), rank.Draw(rt, "rank of small")}
		s := &soak{ranks: ranks, outcomes: map[api.Outcome]int{}}
		runs++
		ok := t.Run(fmt.Sprintf("run%d", runs), func(t *testing.T) {
			withTestFleet(t, 3, 3, func(f *testFleet) {
				s.testFleet, s.processLock = f, make(chan struct{}, 1)
				s.run(faults, *soakSeconds)
			})
		})
		for o, n := range s.outcomes {
			total[o] += n
		}
		if !ok {
			rt.Fatalf("checks failed under the faults %+v", faults)
		}
	})
	t.Logf("runs %d, answered %d, not run %d, unknown %d", runs, total[api.OutcomeAnswered], total[api.OutcomeNotRun], total[api.OutcomeUnknown])
}

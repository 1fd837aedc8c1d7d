package launcher_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/caller"
	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// The tests in this file guard against a part of prompts that crashes each engine that begins to write an answer on
// it, whatever else the prompt holds. No two requests with such a part are alike, so that nothing that counts
// whole requests finds it.

const (
	// badPart and otherBadPart are the IDs of parts that crash engines while badParts lists them.
	badPart, otherBadPart = "bad0", "bad1"
	// commonPart is the ID of the part with which every prompt of a partTest begins.
	commonPart = "c0"
	// partCrashes is the number of crashes of engines after which a part counts as found. maxPartCrashes is the
	// maximum number of crashes by one part.
	partCrashes, maxPartCrashes = 5, 12
	// partContactTime is the time after the last of partCrashes from when on no request with the part reaches an
	// engine. Twice as long after it requests without the part are served as before the first crash.
	partContactTime = 3 * time.Second
	// soundRate is the number of requests per second that crash no engine.
	soundRate = 36
	// calmTime is the time before the first request with a part that crashes engines, badTime the time in which
	// such requests come.
	calmTime, badTime = 5 * time.Second, 22 * time.Second
)

// partTest is a fleet of six entries and 14 engines that are back 2.5 s after a crash, with the callers of a test.
type partTest struct {
	*fleet
	// lock guards badParts.
	lock sync.Mutex
	// badParts holds the IDs of the parts that crash engines at present.
	badParts map[string]bool
	// crash is how they crash engines.
	crash *worker.WriteCrash
}

// withPartTest runs a test with a partTest whose engines crash in a way.
func withPartTest(t *testing.T, kind crashKind, crash worker.WriteCrash, test func(p *partTest)) {
	synctest.Test(t, func(t *testing.T) {
		p := &partTest{fleet: newFleet(t, 6), badParts: map[string]bool{badPart: true, otherBadPart: true}, crash: &crash}
		defer p.shutDown()
		p.crashKind = kind
		crash.IsDue = p.isBad
		for range 11 {
			p.addWorker("lm")
		}
		for _, w := range p.workers {
			w.SetWriteCrash(&crash)
		}
		time.Sleep(2 * time.Second)
		test(p)
	})
}

// isBad reports whether a prompt has a part that crashes engines, which the last part does not.
func (p *partTest) isBad(promptParts string) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	parts := strings.Split(promptParts, ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(part string) bool {
		id, _, _ := strings.Cut(part, ":")
		return p.badParts[id]
	})
}

// setBad sets which parts crash engines.
func (p *partTest) setBad(parts ...string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.badParts = map[string]bool{}
	for _, id := range parts {
		p.badParts[id] = true
	}
}

// promptSender sends prompts at even intervals to the entries in turn, at which callers try once.
type promptSender struct {
	test    *partTest
	name    string
	lock    sync.Mutex
	results []caller.Result
	sending sync.WaitGroup
}

// sendPrompts sends count prompts at a time, period apart, for a duration. The function parts returns the IDs of
// the shared parts of the n-th one, joined by commas.
func (p *partTest) sendPrompts(name string, count int, period, duration time.Duration, parts func(n int) string) *promptSender {
	x := &promptSender{test: p, name: name}
	x.sending.Add(1)
	go func() {
		defer x.sending.Done()
		began, n := time.Now(), 0
		for time.Since(began) < duration {
			for range count {
				x.sending.Add(1)
				go x.send(n, parts(n))
				n++
			}
			time.Sleep(period)
		}
	}()
	return x
}

// send sends one prompt whose last part belongs to it alone.
func (x *promptSender) send(n int, parts string) {
	defer x.sending.Done()
	c := x.test.newCaller(uint64(n))
	defer c.Close()
	c.BodyOf = func(id string) string { return id }
	c.PromptPartsOf = func(string) string {
		return strings.ReplaceAll(parts, ",", ":300,") + fmt.Sprintf(":300,%x:200", 1<<40+len(x.name)<<32+n)
	}
	c.SetFixedAddress(netip.AddrPortFrom(entryHost(n%len(x.test.entries)), entryPort))
	r := c.Do("/stream/x", fmt.Sprintf("%s-%d", x.name, n), "key-1", shortTimeout)
	x.lock.Lock()
	defer x.lock.Unlock()
	x.results = append(x.results, r)
}

// served returns how many requests that were sent in a span of time were served, and how many were sent.
func (x *promptSender) served(from, to time.Time) (served, sent int) {
	for _, r := range x.results {
		if r.StartedAt.Before(from) || !r.StartedAt.Before(to) {
			continue
		}
		sent++
		if r.IsServed() {
			served++
		}
	}
	return served, sent
}

// executions returns the executions of the requests, the earliest start first.
func (x *promptSender) executions() []worker.Execution {
	var all []worker.Execution
	for _, r := range x.results {
		all = append(all, worker.ExecutionsOf(maps.Values(x.test.workers), r.ID)...)
	}
	slices.SortFunc(all, func(a, b worker.Execution) int { return a.Began.Compare(b.Began) })
	return all
}

// crashes returns the times of the crashes of engines, the earliest first: one for each crashed incarnation.
func (p *partTest) crashes() []time.Time {
	ended := map[string]time.Time{}
	for _, w := range p.workers {
		for _, e := range w.Executions() {
			key := fmt.Sprint(e.WorkerID, e.Incarnation)
			if at, ok := ended[key]; e.Crashed && (!ok || e.Ended.Before(at)) {
				ended[key] = e.Ended
			}
		}
	}
	return slices.SortedFunc(maps.Values(ended), time.Time.Compare)
}

// checkPart checks the requests of senders with parts that crash engines, and beside them sound ones, which were
// all sent from began on: the former reach no engine from partContactTime after crash partCrashes on, and are refused at
// once; the latter are served as before.
func (p *partTest) checkPart(began time.Time, sound *promptSender, badPartCount int, bad ...*promptSender) {
	p.t.Helper()
	sound.sending.Wait()
	for _, x := range bad {
		x.sending.Wait()
	}
	crashes := p.crashes()
	if len(crashes) < 2 {
		p.t.Fatalf("%d engines crashed", len(crashes))
	}
	found := crashes[min(len(crashes), partCrashes*badPartCount)-1]
	late, arrivals, refused, slow, sent := 0, 0, 0, 0, 0
	for _, x := range bad {
		for _, e := range x.executions() {
			arrivals++
			if e.Began.After(found.Add(partContactTime)) {
				late++
			}
		}
		for _, r := range x.results {
			if !r.StartedAt.After(found.Add(partContactTime)) {
				continue
			}
			sent++
			if r.Status == 503 && r.RetryAfter != "" {
				refused++
			}
			if r.Duration > 100*time.Millisecond {
				slow++
			}
		}
	}
	servedBefore, sentBefore := sound.served(began, began.Add(calmTime))
	servedDuring, sentDuring := sound.served(began.Add(calmTime), found.Add(2*partContactTime))
	served, soundSent := sound.served(found.Add(2*partContactTime), began.Add(calmTime+badTime))
	p.t.Logf("%d crashes, the last that counts after %s; %d arrivals, %d late; %d of %d refused later, %d not at once; sound: %d of %d before, %d of %d meanwhile, %d of %d later",
		len(crashes), found.Sub(began.Add(calmTime)), arrivals, late, refused, sent, slow, servedBefore, sentBefore, servedDuring, sentDuring, served, soundSent)
	if late > 0 {
		p.t.Errorf("%d requests with a part that crashes engines reached engines over %s after %d crashes", late, partContactTime, partCrashes)
	}
	if len(crashes) > maxPartCrashes*badPartCount {
		p.t.Errorf("%d crashes, want at most %d", len(crashes), maxPartCrashes*badPartCount)
	}
	if refused < sent || slow > 0 {
		p.t.Errorf("%d of %d requests with such a part are refused with Retry-After, %d not at once", refused, sent, slow)
	}
	if float64(served)*float64(sentBefore) < 0.95*float64(servedBefore)*float64(soundSent) || soundSent == 0 {
		p.t.Errorf("%d of %d sound requests are served, before %d of %d", served, soundSent, servedBefore, sentBefore)
	}
	for _, r := range sound.results {
		if strings.Contains(r.Body, "quarantined") {
			p.t.Errorf("%s, sent %s after the first crash: sound, but refused as quarantined", r.ID, r.StartedAt.Sub(crashes[0]))
		}
	}
}

// soundParts returns the parts of the n-th sound prompt: the common one, and the companion of bad ones in a third of
// them, one of many topics in another third.
func soundParts(n int) string {
	switch n % 3 {
	case 0:
		return commonPart
	case 1:
		return commonPart + ",c1"
	}
	return fmt.Sprintf("%s,%x", commonPart, 4096+n%40)
}

// partCase is a way in which requests with a part that crashes engines come: count at a time, period apart, with parts.
type partCase struct {
	name   string
	kind   crashKind
	crash  worker.WriteCrash
	count  int
	period time.Duration
	parts  func(n int) string
}

// inTheMiddle returns the parts of the n-th request in which the bad part stands between the common one and another.
func inTheMiddle(n int) string { return commonPart + "," + badPart + fmt.Sprintf(",%x", 8192+n) }

// checkParts runs checkPart for each case.
func checkParts(t *testing.T, cases []partCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withPartTest(t, c.kind, c.crash, func(p *partTest) {
				began := time.Now()
				sound := p.sendPrompts("sound", 1, time.Second/soundRate, calmTime+badTime, soundParts)
				time.Sleep(calmTime)
				bad := p.sendPrompts("bad", c.count, c.period, badTime, c.parts)
				p.checkPart(began, sound, 1, bad)
			})
		})
	}
}

// Guards against requests with one part that crash engines one after the other, since only whole requests were
// counted: however many of them come.
func TestPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	checkParts(t, []partCase{
		{name: "five a second", count: 1, period: 200 * time.Millisecond, parts: inTheMiddle},
		{name: "rare", count: 1, period: 1500 * time.Millisecond, parts: inTheMiddle},
		{name: "many at once", count: 20, period: 2 * time.Second, parts: inTheMiddle},
	})
}

// The same wherever the part stands and whatever stands beside it.
func TestPartIsQuarantinedInAnyCompany(t *testing.T) {
	checkParts(t, []partCase{
		{name: "first part", count: 1, period: 200 * time.Millisecond, parts: func(n int) string { return fmt.Sprintf("%s,c1,%x", badPart, 8192+n) }},
		{name: "fixed companion", count: 1, period: 200 * time.Millisecond, parts: func(int) string { return commonPart + ",c1," + badPart }},
		{name: "companion seen nowhere else", count: 1, period: 200 * time.Millisecond, parts: func(int) string { return commonPart + "," + badPart + ",c2" }},
		{name: "no other shared part", count: 1, period: 200 * time.Millisecond, parts: func(int) string { return badPart }},
	})
}

// The same however the engines end: before the first event, after several, in streams without a length or chunks, and
// behind addresses that go on listening.
func TestPartIsQuarantinedHoweverEnginesEnd(t *testing.T) {
	checkParts(t, []partCase{
		{name: "after three events", crash: worker.WriteCrash{EventsBefore: 3}, count: 1, period: 200 * time.Millisecond, parts: inTheMiddle},
		{name: "unframed", crash: worker.WriteCrash{EventsBefore: 2, Unframed: true}, count: 1, period: 200 * time.Millisecond, parts: inTheMiddle},
		{name: "unframed before the first event", crash: worker.WriteCrash{Unframed: true}, count: 1, period: 200 * time.Millisecond, parts: inTheMiddle},
		{name: "connections dropped", kind: dropsConnections, count: 1, period: 400 * time.Millisecond, parts: inTheMiddle},
		{name: "requests dropped", kind: dropsRequests, count: 1, period: 400 * time.Millisecond, parts: inTheMiddle},
		{name: "restarts at once", kind: restartsAtOnce, count: 1, period: 400 * time.Millisecond, parts: inTheMiddle},
	})
}

// Two parts crash engines at a time, while an entry starts anew and another is cut off from all engines. Guards against
// crashes being counted for one part only, and forgotten by entries that start or reach engines through others.
func TestTwoPartsWhileEntriesStartAndAreCutOff(t *testing.T) {
	withPartTest(t, refusesConnections, worker.WriteCrash{EventsBefore: 1}, func(p *partTest) {
		began := time.Now()
		p.cutOffAll([]int{4}, cutRefuses)
		sound := p.sendPrompts("sound", 1, time.Second/soundRate, calmTime+badTime, soundParts)
		time.Sleep(calmTime)
		bad := p.sendPrompts("bad", 1, 300*time.Millisecond, badTime, inTheMiddle)
		other := p.sendPrompts("other", 1, 700*time.Millisecond, badTime, func(n int) string { return fmt.Sprintf("%s,c1,%s", commonPart, otherBadPart) })
		time.Sleep(8 * time.Second)
		p.restartEntry(2)
		sound.sending.Wait()
		sound.results = slices.DeleteFunc(sound.results, func(r caller.Result) bool { return r.Entry.Addr() == entryHost(2) })
		bad.sending.Wait()
		bad.results = slices.DeleteFunc(bad.results, func(r caller.Result) bool { return r.Status == 0 }) // at the entry that was down
		other.sending.Wait()
		other.results = slices.DeleteFunc(other.results, func(r caller.Result) bool { return r.Status == 0 })
		p.checkPart(began, sound, 2, bad, other)
	})
}

// restartEntry kills an entry and starts it anew.
func (f *fleet) restartEntry(i int) {
	f.killEntry(f.entries[i])
	<-f.entries[i].exited
	f.entries[i] = f.startEntry(i)
}

// A part that was answered until now crashes engines from a moment on. Guards against answers before the first crash
// acquitting the part.
func TestPartThatWasSoundIsQuarantined(t *testing.T) {
	withPartTest(t, refusesConnections, worker.WriteCrash{}, func(p *partTest) {
		p.setBad()
		began := time.Now()
		sound := p.sendPrompts("sound", 1, time.Second/soundRate, calmTime+badTime, soundParts)
		earlier := p.sendPrompts("earlier", 1, 200*time.Millisecond, calmTime-time.Second, inTheMiddle)
		p.crashWorker("i-lm-2", "lm") // with some of them
		time.Sleep(calmTime)
		earlier.sending.Wait()
		p.setBad(badPart)
		bad := p.sendPrompts("bad", 1, 200*time.Millisecond, badTime, inTheMiddle)
		p.checkPart(began, sound, 1, bad)
	})
}

// A part that no longer crashes engines is answered again after its quarantine, within one more try.
func TestPartIsAnsweredAfterItsQuarantine(t *testing.T) {
	withPartTest(t, refusesConnections, worker.WriteCrash{}, func(p *partTest) {
		sound := p.sendPrompts("sound", 1, 200*time.Millisecond, 90*time.Second, soundParts)
		bad := p.sendPrompts("bad", 1, 300*time.Millisecond, 6*time.Second, inTheMiddle)
		bad.sending.Wait()
		crashes := len(p.crashes())
		p.setBad()
		time.Sleep(70 * time.Second)
		again := p.sendPrompts("again", 1, 500*time.Millisecond, 10*time.Second, inTheMiddle)
		sound.sending.Wait()
		again.sending.Wait()
		served, sent := again.served(time.Now().Add(-15*time.Second), time.Now())
		t.Logf("%d crashes; after the quarantine %d of %d are served", crashes, served, sent)
		if crashes == 0 || 2*served < sent || len(p.crashes()) != crashes {
			t.Errorf("%d crashes before, %d after the quarantine; %d of %d are served then", crashes, len(p.crashes())-crashes, served, sent)
		}
	})
}

// Half of the engines end, at once or one after the other within three seconds, again and again, while all prompts
// share their first part. Guards against an outage being blamed on the parts of prompts that met it.
func TestOutageBlamesNoPart(t *testing.T) {
	for name, between := range map[string]time.Duration{"at once": 0, "one after the other": 400 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			withPartTest(t, refusesConnections, worker.WriteCrash{}, func(p *partTest) {
				p.setBad()
				sound := p.sendPrompts("sound", 1, time.Second/soundRate, 25*time.Second, soundParts)
				time.Sleep(time.Second)
				for range 4 {
					for n := range 7 {
						p.crashWorker(fmt.Sprintf("i-lm-%d", 7+n), "lm")
						time.Sleep(between)
					}
					time.Sleep(6*time.Second - 7*between)
				}
				sound.sending.Wait()
				suspected := 0
				for _, r := range sound.results {
					if strings.Contains(r.Body, "quarantined") {
						t.Errorf("%s: refused as quarantined", r.ID)
					}
					if strings.Contains(r.Body, "suspected") {
						suspected++
					}
				}
				after := p.sendPrompts("after", 1, 25*time.Millisecond, 3*time.Second, soundParts)
				after.sending.Wait()
				served, sent := after.served(time.Time{}, time.Now())
				t.Logf("%d of %d refused as suspected; after the outages %d of %d are served", suspected, len(sound.results), served, sent)
				if served < sent {
					t.Errorf("after the outages %d of %d are served", served, sent)
				}
			})
		})
	}
}

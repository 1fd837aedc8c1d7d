package isolator_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/isolator"
	"github.com/sapphireramp/sapphireramp/quarantiner"
)

var start = time.Date(2026, 3, 6, 8, 0, 0, 0, time.UTC)

// fleet is a set of entries that exchange heartbeats in simulated time.
type fleet struct {
	now     time.Time
	entries []*isolator.Isolator
	names   []string
	random  *rand.Rand
	// lastIncarnation is the number of incarnations that have crashed.
	lastIncarnation quarantiner.IncarnationHash
	upstreams       int
	decisions       []isolator.Decision
	// onSend, if not nil, is called with every update that is sent.
	onSend func(api.PartNews)
}

func newFleet(entries, upstreams int) *fleet {
	f := &fleet{now: start, random: rand.New(rand.NewPCG(1, 1)), upstreams: upstreams}
	for n := range entries {
		f.names = append(f.names, fmt.Sprintf("entry-%d", n))
	}
	for _, name := range f.names {
		f.entries = append(f.entries, f.newEntry(name))
	}
	return f
}

func (f *fleet) newEntry(name string) *isolator.Isolator {
	e := isolator.New(name)
	e.SetUpstreamCount(f.upstreams)
	e.SetEntries(f.names)
	for n := range 8 {
		e.RecordRequest(isolator.PartsOf("crew", []string{fmt.Sprint("earlier", n)}))
	}
	return e
}

// advance simulates a period in which each entry exchanges a heartbeat with four others, at most, and evaluates its
// crashes every 200 ms.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(200 * time.Millisecond)
		for n, e := range f.entries {
			for k := range min(4, len(f.entries)-1) {
				other := f.entries[(n+1+k)%len(f.entries)]
				if len(f.entries) > 20 && k > 0 {
					other = f.entries[f.random.IntN(len(f.entries))]
				}
				sent := e.TakeHeartbeatUpdate(f.now)
				other.ApplyUpdate(f.now, sent, f.names[n])
				reply := other.TakeReplyUpdate(f.now, sent)
				e.ApplyUpdate(f.now, reply, "reply")
				if f.onSend != nil {
					f.onSend(sent)
					f.onSend(reply)
				}
			}
		}
		for _, e := range f.entries {
			f.decisions = append(f.decisions, e.Evaluate(f.now)...)
		}
	}
}

// parts returns the parts of a prompt of an organisation.
func parts(organisation string, ids ...string) []isolator.Part {
	return isolator.PartsOf(organisation, ids)
}

// crash simulates the exit of an upstream that ran requests for 100 ms. Each request is reported by another entry.
func (f *fleet) crash(requests ...[]isolator.Part) {
	f.lastIncarnation++
	for n, p := range requests {
		f.entries[(int(f.lastIncarnation)+n)%len(f.entries)].RecordCrash(f.now, isolator.Crash{Parts: p, Incarnation: f.lastIncarnation, Tried: f.isTried(p), Sent: f.now.Add(-100 * time.Millisecond), Ended: f.now})
	}
}

// isTried reports whether an entry tries a request with the given parts because it is suspected.
func (f *fleet) isTried(p []isolator.Part) bool {
	isTried := false
	for _, e := range f.entries[:min(9, len(f.entries))] {
		if trial, _ := e.Admit(f.now, p, false); trial != nil {
			isTried = isTried || trial.IsOfSuspects
			trial.End(f.now, false)
		}
	}
	return isTried || len(f.entries) > 9
}

// survive simulates a request that an upstream began to answer 400 ms ago and has completed.
func (f *fleet) survive(entry int, p []isolator.Part) {
	f.entries[entry].RecordSurvival(f.now, p, f.now.Add(-400*time.Millisecond))
}

// refusing returns the number of entries that refuse requests with the given parts as quarantined, and restricting
// the number of those that don't send them like any other.
func (f *fleet) refusing(p []isolator.Part) (refusing, restricting int) {
	for _, e := range f.entries {
		trial, refusal := e.Admit(f.now, p, false)
		if refusal != nil && refusal.IsCertain {
			refusing++
		}
		if refusal != nil || trial != nil {
			restricting++
		}
		if trial != nil {
			trial.End(f.now, false)
		}
	}
	return refusing, restricting
}

// crashInTurn simulates a number of crashes by a part beside a common one and one of its own, 400 ms apart.
func (f *fleet) crashInTurn(count int, organisation, bad string) {
	for range count {
		f.crash(parts(organisation, "common", bad, fmt.Sprint("own", f.lastIncarnation)), parts(organisation, "common", fmt.Sprint("beside", f.lastIncarnation%2)))
		f.advance(400 * time.Millisecond)
		f.survive(0, parts(organisation, "common", "other"))
	}
}

func TestPartIsFoundAmongChangingCompanions(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 14)
	f.crashInTurn(4, "crew", "bad")
	f.advance(2 * time.Second)
	refusing, _ := f.refusing(parts("crew", "common", "bad", "new"))
	is.Equal(refusing, 7)
	_, restricting := f.refusing(parts("crew", "common", "new"))
	is.Equal(restricting, 0)
	for _, d := range f.decisions {
		if d.Kind == isolator.Quarantined {
			is.Equal(d.Parts, parts("crew", "bad"))
		}
	}
	refusing, restricting = f.refusing(parts("office", "common", "bad"))
	is.Equal(refusing+restricting, 0) // another organisation's
}

// Requests with a suspected part are tried one at a time, at one entry. Guards against each entry trying the part on
// an engine of its own.
func TestSuspectedPartIsTriedByOneEntry(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 14)
	f.crashInTurn(2, "crew", "bad")
	var trials []*isolator.Trial
	for range 3 {
		for _, e := range f.entries {
			trial, refusal := e.Admit(f.now, parts("crew", "common", "bad"), false)
			is.True(trial != nil || refusal != nil && !refusal.IsCertain && refusal.RetryAfter > 0)
			if trial != nil {
				trials = append(trials, trial)
			}
		}
	}
	is.Equal(len(trials), 1)
	trials[0].End(f.now, true)
	_, restricting := f.refusing(parts("crew", "bad"))
	is.Equal(restricting, 7) // until it is known whether the upstream has crashed
	f.advance(1200 * time.Millisecond)
	f.survive(3, parts("crew", "bad"))
	f.advance(time.Second)
	_, restricting = f.refusing(parts("crew", "bad"))
	is.Equal(restricting, 0)
}

// A part that always stands beside one that crashes upstreams is refused only together with it, and not any more
// once it is answered alone.
func TestCompanionIsNotRefusedAlone(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 14)
	for range 4 {
		f.crash(parts("crew", "common", "bad", "companion"))
		f.advance(400 * time.Millisecond)
		f.survive(0, parts("crew", "common"))
	}
	f.advance(2 * time.Second)
	refusing, _ := f.refusing(parts("crew", "bad", "companion"))
	is.Equal(refusing, 7)
	refusing, _ = f.refusing(parts("crew", "common", "companion"))
	is.Equal(refusing, 0)
	f.survive(2, parts("crew", "common", "companion"))
	f.advance(time.Second)
	_, restricting := f.refusing(parts("crew", "common", "companion"))
	is.Equal(restricting, 0)
	refusing, _ = f.refusing(parts("crew", "bad", "another"))
	is.Equal(refusing, 7)
}

// The bad part of two that were always together is found by one crash without the other.
func TestPartIsFoundWithoutItsCompanion(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 14)
	for range 4 {
		f.crash(parts("crew", "bad", "companion"))
		f.advance(600 * time.Millisecond)
		f.survive(0, parts("crew", "other"))
	}
	f.advance(2 * time.Second)
	refusing, _ := f.refusing(parts("crew", "bad", "another"))
	is.Equal(refusing, 0)
	f.crash(parts("crew", "bad", "another"))
	f.advance(time.Second)
	refusing, _ = f.refusing(parts("crew", "bad", "a third"))
	is.Equal(refusing, 7)
	refusing, _ = f.refusing(parts("crew", "companion"))
	is.Equal(refusing, 0)
}

// What was sound a moment ago may crash upstreams now: survivals that began before the first crash acquit nothing.
func TestSurvivalsBeforeFirstCrashAcquitNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 14)
	for n := range 20 {
		f.survive(n%7, parts("crew", "common", "bad"))
		f.advance(200 * time.Millisecond)
	}
	f.crash(parts("crew", "common", "bad"))
	before := f.now.Add(-100 * time.Millisecond)
	for range 3 {
		f.entries[1].RecordSurvival(f.now, parts("crew", "common", "bad"), before)
		f.advance(600 * time.Millisecond)
		f.crash(parts("crew", "common", "bad", "x"))
		f.survive(2, parts("crew", "common"))
	}
	f.advance(600 * time.Millisecond)
	f.survive(2, parts("crew", "common"))
	f.advance(3 * time.Second)
	refusing, _ := f.refusing(parts("crew", "common", "bad"))
	is.Equal(refusing, 7)
	// Crashes of other causes, with survivals in between, delay it by little.
	f = newFleet(7, 14)
	f.crash(parts("crew", "common", "bad"))
	f.advance(600 * time.Millisecond)
	f.survive(1, parts("crew", "common", "bad"))
	f.advance(2 * time.Second)
	f.crashInTurn(4, "crew", "bad")
	f.advance(2 * time.Second)
	refusing, _ = f.refusing(parts("crew", "common", "bad"))
	is.Equal(refusing, 7)
}

// Outages end half of all upstreams, at once or one after the other, again and again, while each request has the
// same first part and one of few others.
func TestOutagesBlameNoPart(t *testing.T) {
	for name, between := range map[string]time.Duration{"at once": 0, "one after the other": 400 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(7, 14)
			for range 4 {
				for n := range 7 {
					var requests [][]isolator.Part
					for k := range 6 {
						requests = append(requests, parts("crew", "common", fmt.Sprint("topic", (5*n+k)%12)))
					}
					f.crash(requests...)
					if between > 0 {
						f.advance(between)
						for k := range 12 { // at the upstreams that are left
							f.survive(n, parts("crew", "common", fmt.Sprint("topic", k)))
						}
					}
				}
				for n := range 12 {
					f.advance(200 * time.Millisecond)
					f.survive(n%7, parts("crew", "common", fmt.Sprint("topic", n)))
				}
			}
			f.advance(2 * time.Second)
			for n := range 12 {
				refusing, restricting := f.refusing(parts("crew", "common", fmt.Sprint("topic", n)))
				is.Equal(refusing+restricting, 0)
			}
			for _, d := range f.decisions {
				is.True(d.Kind != isolator.Quarantined)
			}
		})
	}
}

// After a quarantine one request is tried. If it crashes its upstream, the quarantine begins again and lasts longer;
// if not, it ends at all entries.
func TestQuarantineIsTestedBeforeItEnds(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 14)
	f.crashInTurn(4, "crew", "bad")
	f.advance(2 * time.Second)
	bad := parts("crew", "common", "bad")
	_, refusal := f.entries[0].Admit(f.now, bad, false)
	is.True(refusal.IsCertain)
	lasted := refusal.RetryAfter
	f.advance(lasted + time.Second)
	trials := 0
	for _, e := range f.entries {
		if trial, _ := e.Admit(f.now, bad, false); trial != nil {
			trials++
			trial.End(f.now, true)
		}
	}
	is.Equal(trials, 1)
	f.crash(bad)
	f.advance(time.Second)
	refusing, _ := f.refusing(bad)
	is.Equal(refusing, 7)
	_, refusal = f.entries[0].Admit(f.now, bad, false)
	is.True(refusal.RetryAfter > lasted+10*time.Second)
	f.advance(refusal.RetryAfter + time.Second)
	f.survive(4, bad)
	f.advance(time.Second)
	_, restricting := f.refusing(bad)
	is.Equal(restricting, 0)
	f.advance(time.Minute)
	_, restricting = f.refusing(bad) // it is not adopted again from an entry that has it still
	is.Equal(restricting, 0)
}

// A part that crashes upstreams in the prompts of many organisations is refused in those of all; one organisation
// can't get the requests of others refused.
func TestPartOfSeveralOrganisations(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 14)
	for n := range 5 {
		f.crash(parts(fmt.Sprint("organisation", n), "bad", fmt.Sprint(n)))
		f.advance(600 * time.Millisecond)
		f.survive(0, parts("crew", "other"))
	}
	f.advance(2 * time.Second)
	refusing, _ := f.refusing(parts("crew", "bad"))
	is.Equal(refusing, 7)
	f = newFleet(7, 14)
	f.crashInTurn(8, "attacker", "common to all")
	f.advance(2 * time.Second)
	refusing, _ = f.refusing(parts("attacker", "common to all"))
	is.Equal(refusing, 7)
	_, restricting := f.refusing(parts("crew", "common to all"))
	is.Equal(restricting, 0)
}

// Two parts crash upstreams in turn; both are found, and nothing else.
func TestTwoPartsAtATime(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 14)
	for n := range 6 {
		f.crash(parts("crew", "common", "bad", fmt.Sprint(n)), parts("crew", "common", fmt.Sprint("beside", n%3)))
		f.advance(200 * time.Millisecond)
		f.crash(parts("crew", "common", "worse", fmt.Sprint(n)), parts("crew", "common", fmt.Sprint("beside", n%3)))
		f.advance(200 * time.Millisecond)
		f.survive(n, parts("crew", "common"))
	}
	f.advance(2 * time.Second)
	for _, p := range []string{"bad", "worse"} {
		refusing, _ := f.refusing(parts("crew", p))
		is.Equal(refusing, 7)
	}
	refusing, _ := f.refusing(parts("crew", "common"))
	is.Equal(refusing, 0)
}

// An entry that starts later adopts quarantines that are no longer broadcast.
func TestNewEntryAdoptsQuarantines(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 14)
	f.crashInTurn(4, "crew", "bad")
	f.advance(10 * time.Second)
	f.entries[4] = f.newEntry("entry-4")
	f.advance(600 * time.Millisecond)
	refusing, _ := f.refusing(parts("crew", "bad"))
	is.Equal(refusing, 7)
}

// Requests that are sent to the address of an upstream that has crashed, and break off there too, blame no part.
func TestDownUpstreamBlamesNoPart(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 14)
	f.crash(parts("crew", "bad"))
	for n := range 6 {
		f.advance(400 * time.Millisecond)
		f.entries[n%3].RecordCrash(f.now, isolator.Crash{Parts: parts("crew", "sound"), Incarnation: f.lastIncarnation, Sent: f.now.Add(-10 * time.Millisecond), Ended: f.now})
	}
	f.advance(3 * time.Second)
	_, restricting := f.refusing(parts("crew", "sound"))
	is.Equal(restricting, 0)
}

// Whatever crashes are recorded, memory, updates and the time of a request stay bounded; in the end all state expires.
func TestMemoryAndUpdatesAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 600)
	invented := func(n int) []isolator.Part {
		var ids []string
		for k := range 32 {
			ids = append(ids, fmt.Sprintf("%x", 1000*n+k))
		}
		return parts("crew", ids...)
	}
	for n := range 2000 {
		f.entries[n%3].RecordRequest(invented(n))
		f.crash(invented(n))
		if n%100 == 0 {
			f.crash(invented(n % 7))
			f.advance(200 * time.Millisecond)
		}
	}
	for _, e := range f.entries {
		is.True(encodedSize(t, e.TakeHeartbeatUpdate(f.now)) < 2<<10)
		is.True(encodedSize(t, e.TakeReplyUpdate(f.now, api.PartNews{Digest: 1})) < 16<<10)
		took := processorTime(t, func() {
			for n := range 1000 {
				_, _ = e.Admit(f.now, invented(n), false)
			}
		})
		is.True(took < time.Second) // a tenth of this on the machine of the developers
	}
	f.advance(5 * time.Second)
	update := f.entries[0].TakeHeartbeatUpdate(f.now)
	is.Equal(len(update.Crashes)+len(update.Survivals), 0)
	f.now = f.now.Add(30 * time.Minute)
	f.advance(time.Second)
	is.Equal(f.entries[0].QuarantinedCount(), 0)
	is.True(encodedSize(t, f.entries[0].TakeReplyUpdate(f.now, api.PartNews{Digest: 1})) < 700)
}

// processorTime returns the processor time that a function takes on its thread. Unlike the time that passes, it does not
// depend on what else the machine does.
func processorTime(t *testing.T, run func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	used := func() time.Duration {
		const ofThread = 1 // RUSAGE_THREAD
		var usage syscall.Rusage
		if err := syscall.Getrusage(ofThread, &usage); err != nil {
			t.Fatal(err)
		}
		return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	before := used()
	run()
	return used() - before
}

// encodedSize returns the size of an update on the wire, type descriptions included.
func encodedSize(t *testing.T, n api.PartNews) int {
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(n); err != nil {
		t.Fatal(err)
	}
	return out.Len()
}

// At 380 entries and 600 upstreams all entries refuse a part within 3 s of its fourth crash, and each sends less than
// 3 KB/s meanwhile, and in an outage of a fifth of all upstreams.
func TestTrafficOfTargetFleet(t *testing.T) {
	is := is.New(t)
	f := newFleet(380, 600)
	sent, out := 0, bytes.Buffer{}
	encoder := gob.NewEncoder(&out)
	is.NoErr(encoder.Encode(api.PartNews{})) // type descriptions are sent once per connection
	f.onSend = func(n api.PartNews) {
		out.Reset()
		is.NoErr(encoder.Encode(n))
		sent += out.Len()
	}
	perSecond := func(d time.Duration) int { return int(float64(sent) / d.Seconds() / float64(len(f.entries))) }
	f.advance(time.Second)
	is.True(perSecond(time.Second) < 300) // nothing to broadcast
	sent = 0
	bystanders := func(n int) (requests [][]isolator.Part) {
		for k := range 10 {
			requests = append(requests, parts("crew", "common", fmt.Sprint("topic", 100*n+k)))
		}
		return requests
	}
	for n := range 4 {
		f.crash(append(bystanders(n), parts("crew", "common", "bad"))...)
		f.advance(time.Second)
		f.survive(n, parts("crew", "common"))
	}
	f.advance(2 * time.Second)
	refusing, _ := f.refusing(parts("crew", "bad"))
	is.Equal(refusing, 380)
	is.True(perSecond(5*time.Second) < 3<<10)
	sent = 0
	for n := range 120 {
		f.crash(bystanders(1000 + n)...)
	}
	f.advance(5 * time.Second)
	is.True(perSecond(15*time.Second) < 3<<10) // averaged over 15 s
	refusing, _ = f.refusing(parts("crew", "common"))
	is.Equal(refusing, 0)
}

// For crashes at random times, with random parts beside, all entries refuse the cause after at most six crashes, and
// nothing without it.
func TestDecisionsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFleet(rapid.IntRange(1, 9).Draw(r, "entries"), rapid.IntRange(6, 600).Draw(r, "upstreams"))
		bad := parts("crew", "bad")
		for crashes := 0; ; crashes++ {
			if refusing, _ := f.refusing(bad); refusing == len(f.entries) {
				break
			}
			if crashes >= 6 {
				r.Fatalf("not refused after %d crashes", crashes)
			}
			ids := []string{"common", "bad", fmt.Sprint("own", crashes)}
			for range rapid.IntRange(0, 2).Draw(r, "moves") {
				a, b := rapid.IntRange(0, 2).Draw(r, "from"), rapid.IntRange(0, 2).Draw(r, "to")
				ids[a], ids[b] = ids[b], ids[a]
			}
			requests := [][]isolator.Part{parts("crew", ids...)}
			for range rapid.IntRange(0, 8).Draw(r, "beside") {
				requests = append(requests, parts("crew", "common", fmt.Sprint("topic", rapid.IntRange(0, 30).Draw(r, "topic"))))
			}
			f.crash(requests...)
			f.advance(time.Duration(rapid.IntRange(3, 12).Draw(r, "gap")) * 200 * time.Millisecond)
			f.survive(0, parts("crew", "common"))
			for _, p := range requests[1:] { // a suspected part is tried alone, sooner or later
				if crashes >= 3 || rapid.Bool().Draw(r, "answered") {
					f.survive(0, p)
				}
			}
			if crashes >= 2 {
				f.advance(2 * time.Second)
			}
		}
		for n := range 31 {
			if refusing, _ := f.refusing(parts("crew", "common", fmt.Sprint("topic", n))); refusing > 0 {
				r.Fatalf("topic %d is refused by %d entries", n, refusing)
			}
		}
	})
}

// The parts of two organisations differ, and each has a readable form.
func TestPartsOf(t *testing.T) {
	is := is.New(t)
	a, b := parts("a", "1", "2"), parts("b", "1", "2")
	is.Equal(len(a), 2)
	is.True(a[0] != b[0] && a[0].ID == b[0].ID && a[0] != a[1])
	is.Equal(isolator.JoinParts(a[:1]), a[0].String())
	is.True(slices.Equal(parts("a"), nil))
	is.True(parts("", "1")[0].Organisation != 0)
}

// Of two requests whose responses broke off, one is sent again first. Guards against the other one being refused for good,
// like one with a suspected part, while the first one takes long.
func TestRetriesWaitForEachOtherAsAPrecaution(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 14)
	trial, refusal := f.entries[0].Admit(f.now, parts("crew", "common", "sound"), true)
	is.True(trial != nil && refusal == nil)
	_, refusal = f.entries[0].Admit(f.now, parts("crew", "common", "other"), true)
	is.True(refusal.IsPrecaution)
	f.crashInTurn(2, "crew", "bad")
	refused := 0
	for _, e := range f.entries {
		if _, refusal := e.Admit(f.now, parts("crew", "bad"), true); refusal != nil {
			is.True(!refusal.IsPrecaution && refusal.Crashes > 0)
			refused++
		}
	}
	is.True(refused > 0)
}

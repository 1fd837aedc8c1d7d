package quarantiner

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sapphireramp/sapphireramp/api"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fingerprint(name string) Fingerprint { return FingerprintOf([]byte(name)) }

// fleet is a set of entries that exchange heartbeats on a simulated clock.
type fleet struct {
	now     time.Time
	entries []*Quarantiner
	// random selects half of the neighbours in each round. If it is nil, each entry has only its
	// successor in a ring as neighbour.
	random *rand.Rand
	// decisions counts the decisions of all entries.
	decisions int
	// onSend, if not nil, is called with every update that is sent.
	onSend func(api.QuarantineNews)
}

// newFleet returns a fleet that exchanges heartbeats along a ring.
func newFleet(entries, upstreams int) *fleet {
	f := &fleet{now: start}
	for range entries {
		q := New()
		q.SetUpstreamCount(upstreams)
		f.entries = append(f.entries, q)
	}
	return f
}

// newGossipFleet returns a fleet whose entries select half of their neighbours at random, as real
// entries do.
func newGossipFleet(entries, upstreams int) *fleet {
	f := newFleet(entries, upstreams)
	f.random = rand.New(rand.NewPCG(1, 1))
	return f
}

// advance simulates a period in which each entry exchanges a heartbeat with its neighbours and
// evaluates its crashes every 200 ms.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(200 * time.Millisecond)
		for i, q := range f.entries {
			for _, other := range f.neighbours(i) {
				sent := q.TakeHeartbeatUpdate(f.now)
				other.ApplyUpdate(f.now, sent)
				reply := other.TakeReplyUpdate(f.now, sent)
				q.ApplyUpdate(f.now, reply)
				if f.onSend != nil {
					f.onSend(sent)
					f.onSend(reply)
				}
			}
		}
		for _, q := range f.entries {
			f.decisions += len(q.Evaluate(f.now))
		}
	}
}

// neighbours returns the entries with which entry i exchanges heartbeats in a round.
func (f *fleet) neighbours(i int) []*Quarantiner {
	if f.random == nil {
		return []*Quarantiner{f.entries[(i+1)%len(f.entries)]}
	}
	out := []*Quarantiner{f.entries[(i+1)%len(f.entries)], f.entries[(i+2)%len(f.entries)]}
	for range 2 {
		out = append(out, f.entries[f.random.IntN(len(f.entries))])
	}
	return out
}

// crash simulates the exit of an incarnation that ran the given fingerprints for the time ran. The
// crash of each fingerprint is recorded by a different entry.
func (f *fleet) crash(incarnation IncarnationHash, ran time.Duration, fingerprints ...Fingerprint) {
	for i, fp := range fingerprints {
		f.entries[(int(incarnation)+i)%len(f.entries)].RecordCrash(f.now, Crash{Fingerprint: fp, Incarnation: incarnation, LastSent: f.now.Add(-ran), Ended: f.now})
	}
}

// crashInTurn simulates a number of incarnations that exit one after the other while running a
// fingerprint.
func (f *fleet) crashInTurn(first IncarnationHash, count int, fp Fingerprint) {
	for n := range count {
		f.crash(first+IncarnationHash(n), 100*time.Millisecond, fp)
		f.advance(400 * time.Millisecond)
	}
}

// refusing returns the number of entries at which a fingerprint is quarantined.
func (f *fleet) refusing(fp Fingerprint) int {
	n := 0
	for _, q := range f.entries {
		if _, ok := q.QuarantinedUntil(f.now, fp); ok {
			n++
		}
	}
	return n
}

func TestFingerprintWithThreeCrashesIsRefusedByAllEntries(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 14)
	f.crashInTurn(0, 3, fingerprint("bad"))
	f.advance(time.Second)
	is.Equal(f.refusing(fingerprint("bad")), 7)
	is.Equal(f.refusing(fingerprint("other")), 0)
	until, _ := f.entries[0].QuarantinedUntil(f.now, fingerprint("bad"))
	is.True(until.Sub(f.now) > QuarantineDuration-5*time.Second) // the remaining time of the quarantine
	f.now = f.now.Add(QuarantineDuration)
	f.advance(time.Second)
	is.Equal(f.refusing(fingerprint("bad")), 0) // the quarantine has expired
	f.crash(10, 100*time.Millisecond, fingerprint("bad"))
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("bad")), 7) // a single new crash is enough
}

func TestTwoCrashesAreNotEnough(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 117)
	for n := range 2 {
		f.crash(IncarnationHash(n), 100*time.Millisecond, fingerprint("unlucky"))
		f.advance(2 * time.Second)
	}
	is.Equal(f.refusing(fingerprint("unlucky")), 0)
}

// A request that ran on the same incarnations as the crashing one, except on one, must not be
// quarantined with it.
func TestConcurrentRequestsAreNotRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 14)
	f.crash(1, time.Second, fingerprint("bad"), fingerprint("beside"), fingerprint("once"))
	f.advance(400 * time.Millisecond)
	f.crash(2, 100*time.Millisecond, fingerprint("beside"), fingerprint("bad"))
	f.advance(400 * time.Millisecond)
	f.crash(3, 100*time.Millisecond, fingerprint("beside"), fingerprint("bad"))
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("bad"))+f.refusing(fingerprint("beside")), 0) // both have the same crashes
	f.crash(4, 100*time.Millisecond, fingerprint("bad"), fingerprint("late"))
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("bad")), 7)
	is.Equal(f.refusing(fingerprint("beside")), 0)
	f.crash(5, 100*time.Millisecond, fingerprint("beside"))
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("beside")), 0) // its earlier crashes are explained by "bad"
}

// Outages end many upstreams in several bursts, and retries of the requests that ran on them meet
// the next burst. None of these requests must be quarantined.
func TestOutageOfManyUpstreamsRefusesNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 40)
	incarnation := IncarnationHash(0)
	for burst := range 4 {
		for n := range 12 { // of 40
			incarnation++
			f.crash(incarnation, 300*time.Millisecond, fingerprint("unlucky"+fmt.Sprint(n%4)), fingerprint(fmt.Sprint(burst, n)))
		}
		f.advance(time.Second)
	}
	f.advance(2 * time.Second)
	for n := range 4 {
		is.Equal(f.refusing(fingerprint("unlucky"+fmt.Sprint(n))), 0)
	}
}

// Three outages each end less than a third of all upstreams, too far apart to be seen as one
// outage. A request whose retries met all three must not be quarantined.
func TestOutagesFarApartRefuseNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 40)
	incarnation := IncarnationHash(0)
	for burst := range 3 {
		for n := range 12 {
			incarnation++
			fingerprints := []Fingerprint{fingerprint(fmt.Sprint(burst, n))}
			if n == 0 {
				fingerprints = append(fingerprints, fingerprint("unlucky"))
			}
			f.crash(incarnation, 300*time.Millisecond, fingerprints...)
		}
		f.advance(5 * time.Second)
	}
	is.Equal(f.refusing(fingerprint("unlucky")), 0)
}

// A request running on many upstreams at once when they exit has met a single outage, not several.
func TestConcurrentCrashesCountOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 117)
	for n := range 8 {
		f.crash(IncarnationHash(n), time.Second, fingerprint("popular"))
	}
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("popular")), 0)
}

func TestSuccessClearsCrashes(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 117)
	for n := range 9 {
		f.crash(IncarnationHash(n), 100*time.Millisecond, fingerprint("popular"))
		f.advance(400 * time.Millisecond)
		f.entries[n%7].RecordSuccess(f.now, fingerprint("popular"))
		f.advance(400 * time.Millisecond)
	}
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("popular")), 0)
}

// The success of a request that was sent before its fingerprint was quarantined lifts the
// quarantine at all entries.
func TestSuccessLiftsQuarantine(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 117)
	f.crashInTurn(0, 3, fingerprint("slow"))
	f.advance(time.Second)
	is.Equal(f.refusing(fingerprint("slow")), 7)
	f.entries[3].RecordSuccess(f.now, fingerprint("slow"))
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("slow")), 0)
}

// An entry that starts, or was disconnected, receives quarantines that are no longer broadcast,
// because its digest differs.
func TestNewEntryReceivesAllQuarantines(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 14)
	f.crashInTurn(0, 3, fingerprint("bad"))
	f.now = f.now.Add(time.Minute)
	f.advance(time.Second)
	f.entries[4] = New()
	f.advance(600 * time.Millisecond)
	is.Equal(f.refusing(fingerprint("bad")), 7)
}

// Whatever crashes are recorded, memory and updates stay bounded; after the last crash, updates
// become empty and all state expires.
func TestMemoryAndUpdatesAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 600)
	for n := range 20000 {
		f.entries[n%3].RecordCrash(f.now, Crash{Fingerprint: Fingerprint(n % 7000), Incarnation: IncarnationHash(n), LastSent: f.now.Add(-time.Second), Ended: f.now})
	}
	for n := range 1000 {
		f.entries[0].addQuarantine(f.now, Fingerprint(n), f.now.Add(time.Duration(n)))
	}
	for _, q := range f.entries {
		is.True(len(q.suspects) <= maxSuspects)
		is.True(len(q.quarantined) <= maxQuarantined)
		is.True(encodedSize(t, q.TakeHeartbeatUpdate(f.now)) < 2<<10)
		is.True(encodedSize(t, q.TakeReplyUpdate(f.now, api.QuarantineNews{Digest: 1})) < 8<<10)
	}
	f.advance(5 * time.Second)
	update := f.entries[0].TakeHeartbeatUpdate(f.now)
	is.Equal(len(update.Strikes)+len(update.Answers)+len(update.Quarantined), 0)
	is.True(encodedSize(t, update) < 300) // the part of a heartbeat when there is nothing to broadcast
	f.now = f.now.Add(max(QuarantineDuration, crashTTL))
	f.advance(time.Second)
	for _, q := range f.entries {
		is.Equal(len(q.suspects)+len(q.quarantined), 0)
	}
}

// encodedSize returns the size of an update on the wire, type descriptions included.
func encodedSize(t *testing.T, n api.QuarantineNews) int {
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(n); err != nil {
		t.Fatal(err)
	}
	return out.Len()
}

// For crashes at random times with random concurrent requests, all entries quarantine the cause
// after at most six crashes, and nothing else.
func TestDecisionsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFleet(rapid.IntRange(2, 9).Draw(r, "entries"), rapid.IntRange(14, 600).Draw(r, "upstreams"))
		incarnation := IncarnationHash(0)
		crashes := 0
		for f.refusing(fingerprint("bad")) < len(f.entries) {
			if crashes++; crashes > 6 {
				r.Fatalf("not refused after %d crashes", crashes-1)
			}
			incarnation++
			concurrent := []Fingerprint{fingerprint("bad")}
			for n := range rapid.IntRange(0, 15).Draw(r, "concurrent") {
				concurrent = append(concurrent, Fingerprint(1000*crashes+n)) // most run on a single incarnation
				if n < 4 && crashes < 3 {
					concurrent = append(concurrent, Fingerprint(n))
				}
			}
			f.crash(incarnation, 100*time.Millisecond, concurrent...)
			f.advance(time.Duration(rapid.IntRange(2, 20).Draw(r, "gap")) * 200 * time.Millisecond)
			if crashes >= 3 {
				f.advance(time.Second)
			}
		}
		for _, q := range f.entries {
			if len(q.quarantined) != 1 {
				r.Fatalf("%d fingerprints are refused", len(q.quarantined))
			}
		}
	})
}

// A popular request is running on every upstream that exits. A success of it at any entry shows
// that it is not the cause.
func TestPopularFingerprintIsNotRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 6)
	popular := fingerprint("popular")
	for n := range 2 {
		f.crash(IncarnationHash(n), 100*time.Millisecond, fingerprint("bad"), popular)
		f.advance(200 * time.Millisecond)
	}
	f.crash(2, 100*time.Millisecond, popular, fingerprint("other"))
	f.entries[5].RecordSuccess(f.now, popular)
	f.advance(2 * time.Second)
	is.Equal(f.refusing(popular), 0)
}

// At 380 entries and 600 upstreams, all entries refuse a fingerprint within 3 s of its third crash,
// sooner than is required even of entries that exchange heartbeats directly, and each entry sends
// less than 3 KB/s of updates.
func TestTrafficOfTargetFleet(t *testing.T) {
	is := is.New(t)
	f := newGossipFleet(380, 600)
	sent, out := 0, bytes.Buffer{}
	encoder := gob.NewEncoder(&out)
	is.NoErr(encoder.Encode(api.QuarantineNews{})) // type descriptions are sent once per connection
	f.onSend = func(n api.QuarantineNews) {
		out.Reset()
		is.NoErr(encoder.Encode(n))
		sent += out.Len()
	}
	perSecond := func(d time.Duration) int { return int(float64(sent) / d.Seconds() / float64(len(f.entries))) }
	f.advance(time.Second)
	is.True(perSecond(time.Second) < 300) // nothing to broadcast
	sent = 0
	for n := range 3 { // each with 15 concurrent requests
		var concurrent []Fingerprint
		for k := range 15 {
			concurrent = append(concurrent, Fingerprint(100*n+k))
		}
		f.crash(IncarnationHash(n), 100*time.Millisecond, append(concurrent, fingerprint("bad"))...)
		f.advance(time.Second)
	}
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("bad")), 380)
	is.True(perSecond(5*time.Second) < 3<<10)
	sent = 0
	f.advance(5 * time.Second)
	is.True(perSecond(5*time.Second) < 600) // one fingerprint is quarantined
	sent = 0
	for n := range 120 { // a fifth of all upstreams exits at once
		var concurrent []Fingerprint
		for k := range 16 {
			concurrent = append(concurrent, Fingerprint(100000+100*n+k))
		}
		f.crash(IncarnationHash(1000+n), 100*time.Millisecond, concurrent...)
	}
	f.advance(4 * time.Second)                 // everything has been broadcast by then
	is.True(perSecond(15*time.Second) < 3<<10) // averaged over 15 s
	for _, q := range f.entries {
		is.Equal(len(q.quarantined), 1)
	}
}

// In an outage, a popular request is running on each upstream that exits. It succeeded shortly
// before at one entry, and that success must reach every entry that would otherwise quarantine it.
func TestOutageDuringPopularRequest(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 6)
	popular := fingerprint("popular")
	f.entries[4].RecordSuccess(f.now, popular)
	f.advance(20 * time.Second)
	f.crashInTurn(0, 6, popular)
	f.advance(2 * time.Second)
	is.Equal(f.refusing(popular), 0)
	is.Equal(f.decisions, 0)
	// A restarted entry has lost the success and records the crashes until another entry reports it.
	f.entries[1] = New()
	f.entries[1].SetUpstreamCount(6)
	for n := range 4 {
		f.entries[1].RecordCrash(f.now, Crash{Fingerprint: popular, Incarnation: IncarnationHash(20 + n), LastSent: f.now.Add(-100 * time.Millisecond), Ended: f.now})
		f.advance(400 * time.Millisecond)
	}
	f.advance(2 * time.Second)
	is.Equal(f.refusing(popular), 0)
	f.advance(successTTL)
	// Once successTTL has passed, the fingerprint is quarantined for new crashes, even on more than half
	// of the upstreams.
	f.crashInTurn(10, 4, popular)
	f.advance(2 * time.Second)
	is.Equal(f.refusing(popular), 6)
}

// While the store is unavailable, all entries know a restarted upstream by its previous incarnation
// ID. Its next exit must still be recorded as another crash.
func TestRepeatedCrashesOfOneIncarnationID(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 6)
	for range 4 {
		f.crash(1, 100*time.Millisecond, fingerprint("bad"))
		f.advance(2 * time.Second)
	}
	f.advance(time.Second)
	is.Equal(f.refusing(fingerprint("bad")), 6)
}

// More fingerprints crash upstreams than can be quarantined at once. The number of quarantines must
// stay within the limit, which bounds the memory and the size of updates.
func TestMoreCrashingFingerprintsThanQuarantineLimit(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 6000)
	for n := range 3 {
		for k := range maxQuarantined + 50 {
			f.crash(IncarnationHash(n*1000+k), 100*time.Millisecond, Fingerprint(k))
		}
		f.advance(time.Second)
	}
	f.advance(time.Second)
	for _, q := range f.entries {
		is.Equal(len(q.quarantined), maxQuarantined)
	}
}

// If half of all upstreams exit within two seconds, a popular request may have been running on each
// of them before its first success. It is quarantined only after a fourth crash.
func TestOutageOfHalfOfUpstreams(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 6)
	f.crashInTurn(0, 3, fingerprint("popular"))
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("popular")), 0)
	f.crashInTurn(3, 1, fingerprint("popular")) // a fourth crash after they have restarted
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("popular")), 6)
}

// A popular request is running in two outages, and then runs on an upstream that another request
// crashes, which is not quarantined yet. Only that other request must be quarantined.
func TestOutageBeforeCrashingRequest(t *testing.T) {
	is := is.New(t)
	f := newGossipFleet(6, 6)
	f.crashInTurn(0, 2, fingerprint("popular"))
	f.advance(4 * time.Second)
	f.crash(2, 60*time.Millisecond, fingerprint("popular"), fingerprint("bad"))
	for n := range 3 {
		f.advance(200 * time.Millisecond)
		f.crash(IncarnationHash(3+n), 60*time.Millisecond, fingerprint("bad"))
	}
	f.advance(4 * time.Second)
	is.Equal(f.refusing(fingerprint("bad")), 6)
	is.Equal(f.refusing(fingerprint("popular")), 0)
}

// A popular request had been running for half a second on every upstream that another request
// crashed. One crash of that other request was lost with the entry that recorded it, so the popular
// request has more crashes. Only the other request must be quarantined.
func TestLongerRunningRequestIsNotRefused(t *testing.T) {
	is := is.New(t)
	f := newGossipFleet(6, 6)
	for n := range 7 {
		f.crash(IncarnationHash(n), 550*time.Millisecond, fingerprint("popular"))
		if n > 0 {
			f.crash(IncarnationHash(n), 60*time.Millisecond, fingerprint("bad"))
		}
		f.advance(1200 * time.Millisecond)
	}
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("bad")), 6)
	is.Equal(f.refusing(fingerprint("popular")), 0)
}

// Two callers in step crash all three engines at once, which looks like an outage. The fourth crash
// rules that out, and the fingerprint must be quarantined within 600 ms.
func TestFourthCrashIsEvaluatedSoon(t *testing.T) {
	is := is.New(t)
	f := newGossipFleet(6, 6)
	for n := range 3 {
		f.crash(IncarnationHash(n), 60*time.Millisecond, fingerprint("bad"))
		f.now = f.now.Add(60 * time.Millisecond)
	}
	f.advance(2500 * time.Millisecond)
	f.crash(3, 60*time.Millisecond, fingerprint("bad"))
	f.advance(600 * time.Millisecond)
	is.Equal(f.refusing(fingerprint("bad")), 6)
}

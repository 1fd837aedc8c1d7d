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

// fleet is entries that tell each other what they learn.
type fleet struct {
	now     time.Time
	entries []*Quarantiner
	// random, where not nil, draws the neighbours of a round; one in a ring otherwise.
	random *rand.Rand
	// decisions counts those of all entries.
	decisions int
	// onSend, where not nil, is told of what is sent.
	onSend func(api.QuarantineNews)
}

func newFleet(entries, upstreams int) *fleet {
	f := &fleet{now: start}
	for range entries {
		q := New()
		q.SetUpstreamCount(upstreams)
		f.entries = append(f.entries, q)
	}
	return f
}

// newGossipFleet returns a fleet whose entries draw half of their neighbours, as they do.
func newGossipFleet(entries, upstreams int) *fleet {
	f := newFleet(entries, upstreams)
	f.random = rand.New(rand.NewPCG(1, 1))
	return f
}

// advance lets time pass, with a heartbeat of each entry to its neighbour every 200 ms.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(200 * time.Millisecond)
		for i, q := range f.entries {
			for _, other := range f.neighbours(i) {
				sent := q.HeartbeatUpdate(f.now)
				other.ApplyUpdate(f.now, sent)
				reply := other.ReplyUpdate(f.now, sent)
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

// neighbours are the entries that one exchanges heartbeats with in a round.
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

// crash has a run end that worked on contents, each known to an entry of its own.
func (f *fleet) crash(incarnation Incarnation, ran time.Duration, fingerprints ...Fingerprint) {
	for i, fp := range fingerprints {
		f.entries[(int(incarnation)+i)%len(f.entries)].RecordCrash(f.now, Crash{Fingerprint: fp, Incarnation: incarnation, LastSent: f.now.Add(-ran), Ended: f.now})
	}
}

// crashInTurn has runs end one after the other that worked on a content.
func (f *fleet) crashInTurn(first Incarnation, count int, fp Fingerprint) {
	for n := range count {
		f.crash(first+Incarnation(n), 100*time.Millisecond, fp)
		f.advance(400 * time.Millisecond)
	}
}

// refusing is how many entries refuse a content.
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
	is.True(until.Sub(f.now) > QuarantineDuration-5*time.Second) // as long as it holds
	f.now = f.now.Add(QuarantineDuration)
	f.advance(time.Second)
	is.Equal(f.refusing(fingerprint("bad")), 0) // it is tried again
	f.crash(10, 100*time.Millisecond, fingerprint("bad"))
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("bad")), 7) // once
}

func TestTwoCrashesAreNotEnough(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 117)
	for n := range 2 {
		f.crash(Incarnation(n), 100*time.Millisecond, fingerprint("unlucky"))
		f.advance(2 * time.Second)
	}
	is.Equal(f.refusing(fingerprint("unlucky")), 0)
}

// What ran beside the cause each time but one is not refused.
func TestConcurrentRequestsAreNotRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 14)
	f.crash(1, time.Second, fingerprint("bad"), fingerprint("beside"), fingerprint("once"))
	f.advance(400 * time.Millisecond)
	f.crash(2, 100*time.Millisecond, fingerprint("beside"), fingerprint("bad"))
	f.advance(400 * time.Millisecond)
	f.crash(3, 100*time.Millisecond, fingerprint("beside"), fingerprint("bad"))
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("bad"))+f.refusing(fingerprint("beside")), 0) // nothing tells them apart
	f.crash(4, 100*time.Millisecond, fingerprint("bad"), fingerprint("late"))
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("bad")), 7)
	is.Equal(f.refusing(fingerprint("beside")), 0)
	f.crash(5, 100*time.Millisecond, fingerprint("beside"))
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("beside")), 0) // what ran beside the cause is explained
}

// Outages take upstreams in two bursts while repeats of what ran there meet the next.
func TestOutageOfManyUpstreamsRefusesNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 40)
	run := Incarnation(0)
	for burst := range 4 {
		for n := range 12 { // of 40
			run++
			f.crash(run, 300*time.Millisecond, fingerprint("unlucky"+fmt.Sprint(n%4)), fingerprint(fmt.Sprint(burst, n)))
		}
		f.advance(time.Second)
	}
	f.advance(2 * time.Second)
	for n := range 4 {
		is.Equal(f.refusing(fingerprint("unlucky"+fmt.Sprint(n))), 0)
	}
}

// Three outages, so far apart that they are not taken for one, each of which takes less than a third of all
// upstreams: what repeats of one request met each time was no doing of its own.
func TestOutagesFarApartRefuseNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 40)
	run := Incarnation(0)
	for burst := range 3 {
		for n := range 12 {
			run++
			contents := []Fingerprint{fingerprint(fmt.Sprint(burst, n))}
			if n == 0 {
				contents = append(contents, fingerprint("unlucky"))
			}
			f.crash(run, 300*time.Millisecond, contents...)
		}
		f.advance(5 * time.Second)
	}
	is.Equal(f.refusing(fingerprint("unlucky")), 0)
}

// The same content under way at many upstreams at once meets one outage, not many.
func TestConcurrentCrashesCountOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 117)
	for n := range 8 {
		f.crash(Incarnation(n), time.Second, fingerprint("popular"))
	}
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("popular")), 0)
}

func TestSuccessClearsCrashes(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 117)
	for n := range 9 {
		f.crash(Incarnation(n), 100*time.Millisecond, fingerprint("popular"))
		f.advance(400 * time.Millisecond)
		f.entries[n%7].RecordSuccess(f.now, fingerprint("popular"))
		f.advance(400 * time.Millisecond)
	}
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("popular")), 0)
}

// An answer that an attempt of before brings lifts the quarantine at all entries.
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

// An entry that starts or was cut off hears of quarantines that are no news any more.
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

// Whatever comes, memory and messages are bounded, and when nothing more comes
// nothing is told and at last nothing is kept.
func TestMemoryAndUpdatesAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 600)
	for n := range 20000 {
		f.entries[n%3].RecordCrash(f.now, Crash{Fingerprint: Fingerprint(n % 7000), Incarnation: Incarnation(n), LastSent: f.now.Add(-time.Second), Ended: f.now})
	}
	for n := range 1000 {
		f.entries[0].addQuarantine(f.now, Fingerprint(n), f.now.Add(time.Duration(n)))
	}
	for _, q := range f.entries {
		is.True(len(q.suspects) <= maxSuspects)
		is.True(len(q.quarantined) <= maxQuarantined)
		is.True(encodedSize(t, q.HeartbeatUpdate(f.now)) < 2<<10)
		is.True(encodedSize(t, q.ReplyUpdate(f.now, api.QuarantineNews{Digest: 1})) < 8<<10)
	}
	f.advance(5 * time.Second)
	told := f.entries[0].HeartbeatUpdate(f.now)
	is.Equal(len(told.Strikes)+len(told.Answers)+len(told.Quarantined), 0)
	is.True(encodedSize(t, told) < 300) // a heartbeat's share when there is nothing to tell
	f.now = f.now.Add(max(QuarantineDuration, crashTTL))
	f.advance(time.Second)
	for _, q := range f.entries {
		is.Equal(len(q.suspects)+len(q.quarantined), 0)
	}
}

// encodedSize is that of news on the wire, types included.
func encodedSize(t *testing.T, n api.QuarantineNews) int {
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(n); err != nil {
		t.Fatal(err)
	}
	return out.Len()
}

// In drawn orders of ends, with drawn company, all entries come to the same verdict about the cause
// within three ends more, and none about what crashes nothing.
func TestDecisionsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFleet(rapid.IntRange(2, 9).Draw(r, "entries"), rapid.IntRange(14, 600).Draw(r, "upstreams"))
		run := Incarnation(0)
		ends := 0
		for f.refusing(fingerprint("bad")) < len(f.entries) {
			if ends++; ends > 6 {
				r.Fatalf("not refused after %d ends", ends-1)
			}
			run++
			company := []Fingerprint{fingerprint("bad")}
			for n := range rapid.IntRange(0, 15).Draw(r, "company") {
				company = append(company, Fingerprint(1000*ends+n)) // asked once or twice
				if n < 4 && ends < 3 {
					company = append(company, Fingerprint(n))
				}
			}
			f.crash(run, 100*time.Millisecond, company...)
			f.advance(time.Duration(rapid.IntRange(2, 20).Draw(r, "gap")) * 200 * time.Millisecond)
			if ends >= 3 {
				f.advance(time.Second)
			}
		}
		for _, q := range f.entries {
			if len(q.quarantined) != 1 {
				r.Fatalf("%d contents are refused", len(q.quarantined))
			}
		}
	})
}

// A content that is asked for everywhere is under way wherever an upstream ends. The runs
// that it did not end prove that it is not why, whichever entry saw that.
func TestPopularFingerprintIsNotRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 6)
	popular := fingerprint("popular")
	for n := range 2 {
		f.crash(Incarnation(n), 100*time.Millisecond, fingerprint("bad"), popular)
		f.advance(200 * time.Millisecond)
	}
	f.crash(2, 100*time.Millisecond, popular, fingerprint("other"))
	f.entries[5].RecordSuccess(f.now, popular)
	f.advance(2 * time.Second)
	is.Equal(f.refusing(popular), 0)
}

// With 380 entries before 600 upstreams all refuse what has ended three, before entries that are in
// contact have to, and what each entry sends for it stays within 3 KB/s.
func TestTrafficOfTargetFleet(t *testing.T) {
	is := is.New(t)
	f := newGossipFleet(380, 600)
	sent, out := 0, bytes.Buffer{}
	encoder := gob.NewEncoder(&out)
	is.NoErr(encoder.Encode(api.QuarantineNews{})) // the types are sent once a connection
	f.onSend = func(n api.QuarantineNews) {
		out.Reset()
		is.NoErr(encoder.Encode(n))
		sent += out.Len()
	}
	perSecond := func(d time.Duration) int { return int(float64(sent) / d.Seconds() / float64(len(f.entries))) }
	f.advance(time.Second)
	is.True(perSecond(time.Second) < 300) // nothing to tell
	sent = 0
	for n := range 3 { // each beside 15 others
		var company []Fingerprint
		for k := range 15 {
			company = append(company, Fingerprint(100*n+k))
		}
		f.crash(Incarnation(n), 100*time.Millisecond, append(company, fingerprint("bad"))...)
		f.advance(time.Second)
	}
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("bad")), 380)
	is.True(perSecond(5*time.Second) < 3<<10)
	sent = 0
	f.advance(5 * time.Second)
	is.True(perSecond(5*time.Second) < 600) // something is refused
	sent = 0
	for n := range 120 { // a fifth of all upstreams at once
		var company []Fingerprint
		for k := range 16 {
			company = append(company, Fingerprint(100000+100*n+k))
		}
		f.crash(Incarnation(1000+n), 100*time.Millisecond, company...)
	}
	f.advance(4 * time.Second)                 // all of it is told by then
	is.True(perSecond(15*time.Second) < 3<<10) // within a quarter of a minute
	for _, q := range f.entries {
		is.Equal(len(q.quarantined), 1)
	}
}

// What many ask for is under way wherever an upstream ends in an outage. It was answered a
// moment before, by some entry, and whoever would judge it is told so.
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
	// An entry that starts anew judges by itself, and is told better.
	f.entries[1] = New()
	f.entries[1].SetUpstreamCount(6)
	for n := range 4 {
		f.entries[1].RecordCrash(f.now, Crash{Fingerprint: popular, Incarnation: Incarnation(20 + n), LastSent: f.now.Add(-100 * time.Millisecond), Ended: f.now})
		f.advance(400 * time.Millisecond)
	}
	f.advance(2 * time.Second)
	is.Equal(f.refusing(popular), 0)
	f.advance(successTTL)
	// it may have become what ends them since: more than half of them
	f.crashInTurn(10, 4, popular)
	f.advance(2 * time.Second)
	is.Equal(f.refusing(popular), 6)
}

// While the store is away, an upstream that starts again has the name of its run before at all entries.
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

// More contents than are refused at the most may end upstreams at once.
func TestMoreCrashingFingerprintsThanQuarantineLimit(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 6000)
	for n := range 3 {
		for k := range maxQuarantined + 50 {
			f.crash(Incarnation(n*1000+k), 100*time.Millisecond, Fingerprint(k))
		}
		f.advance(time.Second)
	}
	f.advance(time.Second)
	for _, q := range f.entries {
		is.Equal(len(q.quarantined), maxQuarantined)
	}
}

// Where half of all upstreams end within a second or two, what many ask for may be under way at
// each of them, and no answer came yet.
func TestOutageOfHalfOfUpstreams(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 6)
	f.crashInTurn(0, 3, fingerprint("popular"))
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("popular")), 0)
	f.crashInTurn(3, 1, fingerprint("popular")) // once more when they are back
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("popular")), 6)
}

// A content that met an outage twice was under way once more where the one ended an upstream that
// ends them, which was not known yet.
func TestOutageBeforeCrashingRequest(t *testing.T) {
	is := is.New(t)
	f := newGossipFleet(6, 6)
	f.crashInTurn(0, 2, fingerprint("popular"))
	f.advance(4 * time.Second)
	f.crash(2, 60*time.Millisecond, fingerprint("popular"), fingerprint("bad"))
	for n := range 3 {
		f.advance(200 * time.Millisecond)
		f.crash(Incarnation(3+n), 60*time.Millisecond, fingerprint("bad"))
	}
	f.advance(4 * time.Second)
	is.Equal(f.refusing(fingerprint("bad")), 6)
	is.Equal(f.refusing(fingerprint("popular")), 0)
}

// What many ask for was under way wherever the cause ended an upstream, and had been there for half a
// second each time; a strike of the cause was lost with an entry.
func TestLongerRunningRequestIsNotRefused(t *testing.T) {
	is := is.New(t)
	f := newGossipFleet(6, 6)
	for n := range 7 {
		f.crash(Incarnation(n), 550*time.Millisecond, fingerprint("popular"))
		if n > 0 {
			f.crash(Incarnation(n), 60*time.Millisecond, fingerprint("bad"))
		}
		f.advance(1200 * time.Millisecond)
	}
	f.advance(2 * time.Second)
	is.Equal(f.refusing(fingerprint("bad")), 6)
	is.Equal(f.refusing(fingerprint("popular")), 0)
}

// Three engines are all there are, and two callers in step end them all at once: the outage that this
// looks like is over with the fourth end, which has the content refused half a second later.
func TestFourthCrashIsEvaluatedSoon(t *testing.T) {
	is := is.New(t)
	f := newGossipFleet(6, 6)
	for n := range 3 {
		f.crash(Incarnation(n), 60*time.Millisecond, fingerprint("bad"))
		f.now = f.now.Add(60 * time.Millisecond)
	}
	f.advance(2500 * time.Millisecond)
	f.crash(3, 60*time.Millisecond, fingerprint("bad"))
	f.advance(600 * time.Millisecond)
	is.Equal(f.refusing(fingerprint("bad")), 6)
}

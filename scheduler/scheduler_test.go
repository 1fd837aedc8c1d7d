package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sapphireramp/sapphireramp/apportioner"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// constantPart returns a function for Config.Part that always returns the same part.
func constantPart(part float64) func(time.Time, string, float64, bool) Part {
	return func(time.Time, string, float64, bool) Part { return Part{Fraction: part, Unit: part} }
}

func newTest(seed uint64, part float64) *Scheduler {
	return New(Config{Random: rand.New(rand.NewPCG(seed, 1)), Part: constantPart(part), IsFirstStart: true})
}

func testAsk(key Key) Ask {
	return Ask{Service: "app", Organisation: 7, Rank: 2, Key: key, Share: 10, Use: 1, WorkTime: 100 * time.Millisecond, Patience: 3 * time.Second}
}

// promised is the step of a clock in which a place was given out, and the rate promised in it.
type promised struct {
	from, until time.Time
	rate        float64
}

// promise calls Promise and returns the step of the place.
func promise(t *rapid.T, s *Scheduler, now time.Time, a Ask) (promised, bool) {
	p, ok := s.Promise(now, a)
	if !ok {
		return promised{}, false
	}
	until := s.clocks[clockKey{NewService(a.Service), a.Organisation, a.Rank, 0}].free
	step := a.step(s.part(now, a.Service).Fraction)
	if p.Due.Before(until.Add(-step)) || p.Due.After(until) || p.Due.Before(now.Add(minAhead)) || p.Due.Sub(now) > min(a.Patience, MaxAhead) {
		t.Fatalf("place due %s after now, step until %s after now, patience %s", p.Due.Sub(now), until.Sub(now), a.Patience)
	}
	return promised{until.Add(-step), until, a.Use * a.WorkTime.Seconds() / step.Seconds()}, true
}

// Shares, costs and patience differ from call to call. Guards against steps of a clock that overlap or are
// shorter than the share of their call allows.
func TestPromisesNeverExceedShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := newTest(rapid.Uint64().Draw(t, "seed"), 0.5), start
		var last promised
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			a := testAsk(1)
			a.Share, a.WorkTime = rapid.Float64Range(0, 20).Draw(t, "share"), time.Duration(rapid.IntRange(1, 2000).Draw(t, "work"))*time.Millisecond
			a.Patience, a.Earliest = time.Duration(rapid.IntRange(0, 15000).Draw(t, "patience"))*time.Millisecond, time.Duration(rapid.IntRange(0, 2000).Draw(t, "earliest"))*time.Millisecond
			next, ok := promise(t, s, now, a)
			if !ok {
				continue
			}
			if next.from.Before(last.until) || next.rate > a.Share*ReturnShare*0.5*1.001 {
				t.Fatalf("step from %s until %s with rate %g for share %g follows one until %s", next.from, next.until, next.rate, a.Share, last.until)
			}
			last = next
		}
	})
}

// Entries with parts that add up to the whole give out places, while messages are lost, late and repeated
// and entries are killed and restarted. Guards against more promises for a moment than the share, as after
// a restart that forgets what was promised, and against places that are claimed twice at one entry.
func TestPromisesOfAllEntriesNeverExceedShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count, now := rapid.IntRange(1, 5).Draw(t, "entries"), start
		entries, claimed := make([]*Scheduler, count), make([]map[uint32]bool, count)
		restart := func(i int, isFirst bool) {
			c := Config{Random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), Part: constantPart(1 / float64(count)), StartedAt: now, IsFirstStart: isFirst}
			entries[i], claimed[i] = New(c), map[uint32]bool{}
		}
		for i := range entries {
			restart(i, true)
		}
		var steps []promised
		var messages [][]byte
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, count-1).Draw(t, "entry")
			switch rapid.SampledFrom([]string{"ask", "ask", "ask", "return", "send", "receive", "restart"}).Draw(t, "event") {
			case "ask":
				a := testAsk(Key(rapid.IntRange(1, 3).Draw(t, "key")))
				a.Patience = time.Duration(rapid.IntRange(0, 15000).Draw(t, "patience")) * time.Millisecond
				if p, ok := promise(t, entries[i], now, a); ok {
					steps = append(steps, p)
				}
			case "return":
				p, ok := entries[i].Claim(now, Key(rapid.IntRange(1, 3).Draw(t, "key")))
				if ok && claimed[i][p.ID] {
					t.Fatalf("place %d is claimed twice at entry %d", p.ID, i)
				}
				claimed[i][p.ID] = true
			case "send":
				messages = append(messages, Encode(now, entries[i].TakeChanges())...)
			case "receive":
				if len(messages) > 0 {
					u, err := Decode(now, rapid.SampledFrom(messages).Draw(t, "message"))
					if err != nil {
						t.Fatal(err)
					}
					entries[i].Apply(now, u)
				}
			case "restart":
				restart(i, false)
			}
		}
		for _, at := range steps {
			sum := 0.0
			for _, p := range steps {
				if !p.from.After(at.from) && p.until.After(at.from) {
					sum += p.rate
				}
			}
			if sum > 10*ReturnShare*1.001 {
				t.Fatalf("a rate of %g is promised, of %g", sum, 10*ReturnShare)
			}
		}
	})
}

// A return is recognised once, at any entry that knows the place, from 50 ms before until 300 ms after the
// due time, and is reserved for until then. Guards against returns that are taken for new requests at other
// entries, and against places that come back with late or repeated messages.
func TestReturnIsRecognizedOnceAtAnotherEntry(t *testing.T) {
	const before, after = 50 * time.Millisecond, 300 * time.Millisecond
	for _, test := range []struct {
		name       string
		at         time.Duration
		order      string // of messages to the second entry: p the place, c its claim at a third
		recognized bool
	}{
		{"in time", 0, "p", true},
		{"place twice", 0, "pp", true},
		{"first moment", -before, "p", true},
		{"last moment", after, "p", true},
		{"too early", -before - 2*time.Millisecond, "p", false},
		{"too late", after + 2*time.Millisecond, "p", false},
		{"unknown place", 0, "", false},
		{"claimed", 0, "pc", false},
		{"claim before place", 0, "cp", false},
		{"place after claim", 0, "pcp", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			first, second, third := newTest(1, 1), newTest(2, 1), newTest(3, 1)
			p, ok := first.Promise(start, testAsk(5))
			is.True(ok)
			place := Encode(start, first.TakeChanges())[0]
			apply := func(s *Scheduler, message []byte) {
				u, err := Decode(start, message)
				is.NoErr(err)
				s.Apply(start, u)
			}
			apply(third, place)
			due := third.places[p.ID].Due // in whole milliseconds
			_, ok = third.Claim(due, 5)
			is.True(ok)
			claim := Encode(start, third.TakeChanges())[0]
			for _, m := range test.order {
				apply(second, map[rune][]byte{'p': place, 'c': claim}[m])
			}
			now := due.Add(test.at)
			if test.recognized {
				is.Equal(second.ReservedUse(now, "app", 7, 2), 1.0) // also for equally urgent requests
				is.Equal(second.ReservedUse(now, "app", 7, 1), 0.0) // not for more urgent ones
				is.Equal(second.ReservedUse(now, "app", 8, 2), 0.0) // not for other organisations
				is.Equal(second.ReservedUse(now, "api", 7, 2), 0.0) // not at other services
			}
			_, ok = second.Claim(now, 6)
			is.True(!ok)
			_, ok = second.Claim(now, 5)
			is.Equal(ok, test.recognized)
			_, ok = second.Claim(now, 5)
			is.True(!ok)
			if test.recognized {
				is.Equal(second.ReservedUse(now, "app", 7, 2), 0.0)
			}
		})
	}
}

// Guards against places that are counted as unclaimed although a peer told of their claim, and against
// ones that are never counted.
func TestUnclaimedPlacesAreCountedWhereTheyWerePromised(t *testing.T) {
	is := is.New(t)
	s, told := newTest(1, 1), 0
	s.config.OnUnclaimed = func() { told++ }
	p, ok := s.Promise(start, testAsk(1))
	is.True(ok)
	_, ok = s.Promise(start, testAsk(2))
	is.True(ok)
	s.Apply(p.Due, Update{Claims: []uint32{p.ID}, Places: []Place{{ID: p.ID + 1, Key: 9, Due: p.Due}}})
	is.Equal(s.Counts(start.Add(MaxAhead)), Counts{Promised: 2, Unclaimed: 1})
	is.Equal(told, 1)
	is.Equal(len(s.places)+len(s.queues)+len(s.byKey), 0)
	s.Expire(start.Add(2 * MaxAhead))
	is.Equal(len(s.ended), 0)
}

// Guards against memory that grows with the number of refused organisations, of promises, of places and
// claims of peers, and of changes that nobody takes.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	s := newTest(1, 1)
	for i := range 3 * MaxPlaces {
		a := testAsk(Key(i))
		a.Organisation, a.Share = apportioner.Organisation(i), 1000
		s.Promise(start, a)
		s.Apply(start, Update{Claims: []uint32{uint32(i)}, Places: []Place{{ID: uint32(i), Due: start}}})
		s.Claim(start.Add(minAhead), Key(i))
		for name, size := range map[string]int{"places": len(s.places), "ended": len(s.ended), "changes": len(s.newPlaces), "claims": len(s.newClaims), "clocks": len(s.clocks)} {
			if size > MaxPlaces {
				t.Fatalf("%s: %d", name, size)
			}
		}
	}
	is.True(len(s.clocks) == maxClocks)
	_, ok := s.Promise(start.Add(time.Minute), testAsk(1))
	is.True(ok) // once the others have expired
}

// Guards against callers that are sent away without a time, against a place that is reserved beyond the
// caller's patience, and against an invented time where none is known.
func TestCallerWithoutPlaceIsToldTheNextTime(t *testing.T) {
	is := is.New(t)
	s, a := newTest(1, 1), testAsk(1)
	for range 1000 {
		s.Promise(start, a)
	}
	// 3 s at 85 places a second, less the first 50 ms.
	is.True(len(s.places) >= 249 && len(s.places) <= 252)
	p, ok := s.Promise(start, a)
	is.True(!ok)
	is.True(p.Due.Sub(start) > a.Patience && p.Due.Sub(start) < a.Patience+100*time.Millisecond)
	again, _ := s.Promise(start, a)
	is.Equal(again.Due, p.Due) // the time isn't drawn anew
	a.Organisation, a.Share = 8, 0
	p, ok = s.Promise(start, a)
	is.True(!ok && p.Due.IsZero())
	restarted := New(Config{Random: rand.New(rand.NewPCG(1, 1)), StartedAt: start})
	p, ok = restarted.Promise(start, testAsk(1))
	is.True(!ok && p.Due.IsZero())
	p, ok = restarted.Promise(start.Add(MaxAhead-2*time.Second), testAsk(1))
	is.True(ok && !p.Due.Before(start.Add(MaxAhead)))
}

// Any update is the same after encoding and decoding, in datagrams of limited size, but for the units of
// time and use. Guards against fields that are lost on the way.
func TestUpdatesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var u, got Update
		for range rapid.IntRange(0, 150).Draw(t, "places") {
			n := rapid.Uint32()
			u.Places = append(u.Places, Place{
				ID: n.Draw(t, "id"), Key: Key(n.Draw(t, "key")), Service: Service(n.Draw(t, "service")), Organisation: apportioner.Organisation(n.Draw(t, "organisation")),
				Rank: apportioner.Rank(n.Draw(t, "rank")), Due: start.Add(time.Duration(rapid.IntRange(0, 10000).Draw(t, "due")) * time.Millisecond),
				Use: float64(rapid.IntRange(0, maxUseUnits).Draw(t, "use")) * useUnit,
			})
		}
		u.Claims = rapid.SliceOfN(rapid.Uint32(), 0, 400).Draw(t, "claims")
		for _, m := range Encode(start, u) {
			if len(m) > maxUpdate {
				t.Fatalf("update has %d bytes", len(m))
			}
			part, err := Decode(start, m)
			if err != nil {
				t.Fatal(err)
			}
			got.Places, got.Claims = append(got.Places, part.Places...), append(got.Claims, part.Claims...)
		}
		if !slices.Equal(got.Places, u.Places) || !slices.Equal(got.Claims, u.Claims) {
			t.Fatalf("%v became %v", u, got)
		}
	})
}

// Guards against messages that make the decoder fail otherwise than by its error, or that hold places
// further ahead than any entry promises.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(start, Update{Places: []Place{{ID: 1, Key: 2, Service: 3, Organisation: 4, Rank: 1 << 11, Due: start.Add(time.Second), Use: 0.3}}, Claims: []uint32{9}})[0])
	f.Fuzz(func(t *testing.T, m []byte) {
		u, err := Decode(start, m)
		if err != nil && fmt.Sprint(u) != fmt.Sprint(Update{}) {
			t.Fatal("a malformed update is not empty")
		}
		for _, p := range u.Places {
			if p.Due.After(start.Add(MaxAhead)) || p.Due.Before(start) || p.Use < 0 || p.Use > maxUseUnits*useUnit {
				t.Fatalf("%v", p)
			}
		}
	})
}

// BenchmarkPromise measures a refusal with a place while the other places are known.
func BenchmarkPromise(b *testing.B) {
	s, now := newTest(1, 1), start
	for i := range b.N {
		a := testAsk(Key(i))
		a.Share = 1000
		now = now.Add(time.Millisecond)
		s.Promise(now, a)
	}
}

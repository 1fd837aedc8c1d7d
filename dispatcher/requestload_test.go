package dispatcher

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/matcher"
)

// Any request loads are the same after encoding and decoding.
func TestLoadUpdatesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var loads []RequestLoad
		for range rapid.IntRange(0, 40).Draw(t, "loads") {
			s := RequestLoad{ID: CompactID(rapid.Uint32().Draw(t, "request")), Ended: rapid.Bool().Draw(t, "ended")}
			if s.Ended {
				s.Outcome = rapid.SampledFrom([]ReportedOutcome{OutcomeUnknown, OutcomeAnswered, OutcomeFailed}).Draw(t, "outcome")
			}
			if s.Outcome == OutcomeFailed {
				s.Assignments = []AssignmentLoad{{Upstream: CompactID(rapid.Uint32().Draw(t, "failed")), Decodes: true}}
			}
			if !s.Ended {
				s.Organisation, s.Rank = apportioner.Organisation(rapid.Uint32().Draw(t, "organisation")), apportioner.Rank(rapid.Uint32().Draw(t, "rank"))
				s.Waited = time.Duration(rapid.IntRange(0, 60000).Draw(t, "waited")) * time.Millisecond
				s.Remaining = time.Duration(rapid.IntRange(0, 60000).Draw(t, "remaining")) * time.Millisecond
				s.FirstByteSeen = rapid.Bool().Draw(t, "begun")
				s.Age = time.Duration(rapid.IntRange(0, 60000).Draw(t, "age")) * time.Millisecond
				s.PromptTokens, s.AnswerTokens = rapid.IntRange(0, 1<<20).Draw(t, "prompt"), rapid.IntRange(0, 1<<16).Draw(t, "answer")
				s.FirstByteTarget = time.Duration(rapid.IntRange(0, 60000).Draw(t, "first-byte target")) * time.Millisecond
				s.GapTarget = time.Duration(rapid.IntRange(0, 5000).Draw(t, "gap target")) * time.Millisecond
				for range rapid.IntRange(1, 17).Draw(t, "assignments") {
					s.Assignments = append(s.Assignments, AssignmentLoad{
						Upstream: CompactIDOf(rapid.String().Draw(t, "id")), MemoryTokens: memoryUnit * rapid.IntRange(0, 1<<14).Draw(t, "memory"), Decodes: len(s.Assignments) == 0,
					})
				}
			}
			loads = append(loads, s)
		}
		var got []RequestLoad
		for _, m := range EncodeLoadUpdates(CompactIDOf("entry-1"), loads) {
			if len(m) > maxLoadUpdate {
				t.Fatalf("load update has %d bytes, more than maxLoadUpdate", len(m))
			}
			from, decoded, err := DecodeLoadUpdate(m)
			if err != nil || from != CompactIDOf("entry-1") {
				t.Fatalf("decoding a load update from %d: %v", from, err)
			}
			got = append(got, decoded...)
		}
		if len(got) != len(loads) {
			t.Fatalf("decoded %d of %d loads", len(got), len(loads))
		}
		for i, s := range loads {
			if !reflect.DeepEqual(got[i], s) {
				t.Fatalf("got %+v, want %+v", got[i], s)
			}
		}
	})
}

func TestMalformedLoadUpdates(t *testing.T) {
	is := is.New(t)
	for _, m := range [][]byte{nil, {0}, {loadUpdateFormat}, {loadUpdateFormat, 200}, {loadUpdateFormat, 1, 0, 0, 0, 9}} {
		_, _, err := DecodeLoadUpdate(m)
		is.Equal(err, ErrMalformedLoadUpdate)
	}
}

// During an upgrade, entries receive messages of the previous format. These are not mistaken for
// relayed load updates, and entries of that format do not mistake relayed ones for their own.
func TestEarlierFormatIsNoRelay(t *testing.T) {
	is := is.New(t)
	message := EncodeLoadUpdates(1, []RequestLoad{{ID: 2, Assignments: []AssignmentLoad{{Upstream: 3}}}})[0]
	for _, before := range []byte{6, 8, 10} {
		old := append([]byte{before}, message[1:]...)
		r, rest := UnwrapRelay(old)
		is.Equal(r, RelayToNone)
		_, _, err := DecodeLoadUpdate(rest)
		is.Equal(err, ErrMalformedLoadUpdate)
		for _, r := range []RelayTarget{RelayToPlacing, RelayToAll} {
			is.True(WrapForRelay(r, message)[0] != before)
		}
	}
	for _, r := range []RelayTarget{RelayToPlacing, RelayToAll} {
		got, rest := UnwrapRelay(WrapForRelay(r, message))
		is.Equal(got, r)
		is.Equal(rest, message)
	}
}

// Guards against a load update that its receiver takes for a rate limit update or a relayed message, and drops.
func TestLoadUpdateIsNoOtherMessage(t *testing.T) {
	is := is.New(t)
	message := EncodeLoadUpdates(1, []RequestLoad{{ID: 2, Assignments: []AssignmentLoad{{Upstream: 3}}}})[0]
	is.True(!IsRateLimitUpdate(message))
	r, _ := UnwrapRelay(message)
	is.Equal(r, RelayToNone)
}

func FuzzDecodeLoadUpdate(f *testing.F) {
	f.Add(EncodeLoadUpdates(1, []RequestLoad{{ID: 2, Assignments: []AssignmentLoad{{Upstream: 3}}}})[0])
	f.Add(EncodeLoadUpdates(1, []RequestLoad{{ID: 2, Ended: true, Outcome: OutcomeFailed, Assignments: []AssignmentLoad{{Upstream: 3}}}})[0])
	f.Fuzz(func(_ *testing.T, m []byte) { _, _, _ = DecodeLoadUpdate(m) })
}

// The changes of an unreported dispatcher are never taken, so it must not collect any.
func TestUnreportedDispatcherHasNoLoadChanges(t *testing.T) {
	is := is.New(t)
	b := NewUnreported("dc", rand.New(rand.NewPCG(1, 2)))
	b.UpdateUpstreams(&matcher.Table{}, []Instance{{ID: "i-1", Service: "plain", Slots: 4}})
	for range 100 {
		p, refusal := b.Place(time.Now(), Demand{Service: "plain"})
		is.True(refusal == nil)
		p.RecordFirstByte(time.Now())
		p.End(time.Now(), Answered)
	}
	is.Equal(len(b.LoadChanged), 0)
	is.Equal(len(b.TakeLoadChanges(time.Now(), true)), 0)
}

// Guards against reports of requests that do not exist, which take memory without a bound.
func TestPeerRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	b := testDispatcher(t, 2)
	for n := range CompactID(maxPeerRequests + 1000) {
		b.ApplyPeerLoads(startTime, 7, []RequestLoad{{ID: n}})
	}
	is.Equal(len(b.peerRequests), maxPeerRequests)
	b.ApplyPeerLoads(startTime, 7, []RequestLoad{{ID: 0, Ended: true}, {ID: maxPeerRequests + 1}})
	_, known := b.peerRequests[peerRequestKey{peer: 7, id: maxPeerRequests + 1}]
	is.True(known)
}

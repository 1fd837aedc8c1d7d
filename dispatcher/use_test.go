package dispatcher

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/matcher"
)

// Guards against use that stays behind, or becomes negative, when requests end after the slots, the engine profile or
// the list of upstreams have changed, or when a peer reports requests at upstreams that are listed later.
func TestUseEndsWithRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := New("a", rand.New(rand.NewPCG(1, 2))), startTime
		var placed []*Placement
		list := func() {
			engine := testEngine
			engine.Slots, engine.MemoryTokens = rapid.IntRange(1, 20).Draw(t, "slots"), rapid.IntRange(200000, 400000).Draw(t, "memory")
			table, err := matcher.New(matcher.Config{Services: []matcher.Service{{Name: "lm", Engine: &engine}, {Name: "app"}}})
			if err != nil {
				t.Fatal(err)
			}
			instances := []Instance{{ID: "e", Service: "lm", Slots: 16}, {ID: "s", Service: "app", Slots: rapid.IntRange(0, 4).Draw(t, "plain slots")}}
			b.UpdateUpstreams(table, instances[rapid.IntRange(0, 2).Draw(t, "missing"):])
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				list()
			case 1:
				d := rapid.SampledFrom([]Demand{shortDemand, longDemand, {Service: "app"}}).Draw(t, "demand")
				d.Organisation, d.Rank = apportioner.Organisation(rapid.IntRange(0, 3).Draw(t, "organisation")), apportioner.Rank(rapid.IntRange(0, 2).Draw(t, "rank"))
				if p, refusal := b.Place(now, d); refusal == nil {
					placed = append(placed, p)
				}
			case 2:
				load := RequestLoad{ID: CompactID(rapid.IntRange(0, 9).Draw(t, "id")), Organisation: 1, PromptTokens: 40000, FirstByteTarget: time.Second, GapTarget: time.Second}
				load.FirstByteSeen, load.Ended = rapid.Bool().Draw(t, "seen"), rapid.Bool().Draw(t, "ended")
				load.Assignments = []AssignmentLoad{{Upstream: Instance{ID: "e"}.IncarnationID(), MemoryTokens: 40000, Decodes: true}}
				b.ApplyPeerLoads(now, 7, []RequestLoad{load})
			case 3:
				if len(placed) > 0 {
					placed[0].RecordFirstByte(now)
				}
			case 4:
				if len(placed) > 0 {
					placed[0].End(now, Answered)
					placed = placed[1:]
				}
			}
		}
		for _, p := range placed {
			p.End(now, Answered)
		}
		b.ForgetPeer(now, 7)
		for service, s := range b.uses {
			if s.all.Count() != 0 || s.all.Total() != 0 || s.own.Count() != 0 {
				t.Fatalf("%d requests with use %g, %d own, of %s are left", s.all.Count(), s.all.Total(), s.own.Count(), service)
			}
		}
	})
}

// Guards against a prompt that counts as prefilled too early or for all of its answer: its use falls at its first
// event, at its own entry and at a peer.
func TestPrefillCountsUntilFirstEvent(t *testing.T) {
	is := is.New(t)
	b, peer := testDispatcher(t, 2), testDispatcher(t, 2)
	d := withPrompt(longDemand, 120000)
	d.Organisation, d.NoHelpers = 1, true
	p := place(t, b, startTime, d)
	peer.ApplyPeerLoads(startTime, 1, b.TakeLoadChanges(startTime, false))
	before := b.UseOf("lm", 1)
	is.True(before > 1) // prefill of 2.1 s within 3 s, and two fifths of the memory
	is.True(peer.UseOf("lm", 1)-before < 0.001)
	p.RecordFirstByte(startTime.Add(time.Second))
	peer.ApplyPeerLoads(startTime, 1, b.TakeLoadChanges(startTime, false))
	is.True(b.UseOf("lm", 1) < 0.4)
	is.Equal(peer.UseOf("lm", 1), b.UseOf("lm", 1))
}

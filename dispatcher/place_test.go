package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

// The engine profile of the first deployments, and demands for their three kinds of prompt: 5,000,
// 45,000 and 154,000 tokens.
var (
	testEngine = matcher.EngineProfile{
		Slots: 16, MemoryTokens: 315000, StepsPerPass: 51, StepTime: 850 * time.Microsecond, TimePerSequence: 4250 * time.Nanosecond,
		TimePerThousandTokens: 2850 * time.Nanosecond, PrefillTokensPerSecond: 177000, TimePerMillionPairs: 184 * time.Microsecond, ChunkTokens: 2048,
	}
	shortDemand  = Demand{Service: "lm", PromptTokens: 5000, AnswerTokens: 1650, FirstByteTarget: 300 * time.Millisecond, GapTarget: 250 * time.Millisecond, MaxWait: 2 * time.Second}
	mediumDemand = Demand{Service: "lm", PromptTokens: 45000, AnswerTokens: 1000, FirstByteTarget: 1500 * time.Millisecond, GapTarget: 600 * time.Millisecond, MaxWait: 6 * time.Second}
	longDemand   = Demand{Service: "lm", PromptTokens: 154000, AnswerTokens: 800, FirstByteTarget: 3 * time.Second, GapTarget: time.Second, MaxWait: 12 * time.Second}
)

// withPrompt returns the demand with another prompt length.
func withPrompt(d Demand, tokens int) Demand {
	d.PromptTokens = tokens
	return d
}

func testDispatcher(t *testing.T, engines int) *Dispatcher {
	t.Helper()
	table, err := matcher.New(matcher.Config{
		Services: []matcher.Service{{Name: "lm", Engine: &testEngine}, {Name: "app"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	b := New("a", rand.New(rand.NewPCG(1, 2)))
	var instances []Instance
	for i := range engines {
		instances = append(instances, Instance{ID: fmt.Sprintf("e%02d", i), Service: "lm", DataCentre: "a", Slots: 16})
	}
	for i := range 3 {
		instances = append(instances, Instance{ID: fmt.Sprintf("s%d", i), Service: "app", DataCentre: string(rune('a' + i)), Slots: 6})
	}
	b.UpdateUpstreams(table, instances)
	return b
}

func place(t *testing.T, b *Dispatcher, now time.Time, d Demand) *Placement {
	t.Helper()
	p, refusal := b.Place(now, d)
	if refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
	return p
}

// enginesUsed returns the number of placements that use each engine.
func enginesUsed(placements ...*Placement) map[string]int {
	used := map[string]int{}
	for _, p := range placements {
		used[p.First.ID]++
		for _, h := range p.Helpers {
			used[h.ID]++
		}
	}
	return used
}

// placeStreaming places n requests and records the first byte of each.
func placeStreaming(t *testing.T, b *Dispatcher, now time.Time, d Demand, n int) []*Placement {
	t.Helper()
	var out []*Placement
	for range n {
		p := place(t, b, now, d)
		p.RecordFirstByte(now)
		out = append(out, p)
	}
	return out
}

// accepts reports whether an upstream accepts a request.
func accepts(b *Dispatcher, now time.Time, d Demand) bool {
	_, ok := b.FindAccepting(now, d)
	return ok
}

var startTime = time.Unix(1000, 0)

// A long prompt on an idle fleet is on time by a wide margin. One engine alone would need 3.05 s of
// its 3 s target.
func TestLongPromptIsPrefilledByManyEngines(t *testing.T) {
	is := is.New(t)
	p := place(t, testDispatcher(t, 14), startTime, longDemand)
	is.True(len(p.Helpers) >= 3)
	is.True(p.ExpectedFirstByte < 1500*time.Millisecond)
}

// Bursts of callers bring many short prompts, then many long ones. Two seconds of short prompts, at
// 28 a second and over two seconds each, fit on four of 14 engines. Spread over all engines, some
// of them would be stopped by every shard of a long prompt.
func TestShortPromptsLeaveEnginesToLongOnes(t *testing.T) {
	is := is.New(t)
	b := testDispatcher(t, 14)
	shortPrompts := enginesUsed(placeStreaming(t, b, startTime, shortDemand, 56)...)
	is.True(len(shortPrompts) <= 6)
	p := place(t, b, startTime, longDemand)
	for id := range enginesUsed(p) {
		is.Equal(shortPrompts[id], 0) // a long prompt avoids engines that decode other answers
	}
}

// Medium prompts, 14 a second, are each prefilled by two engines, and their answers are decoded on
// few engines. If each engine decoded one of these answers, shards of long prompts would stop every
// answer. With seven such answers, the packing cost of an engine is 0.
func TestMediumPromptsLeaveEnginesToLongOnes(t *testing.T) {
	is := is.New(t)
	b := testDispatcher(t, 14)
	decoding := map[string]int{}
	for i := range 20 {
		p := place(t, b, startTime.Add(time.Duration(i)*70*time.Millisecond), mediumDemand)
		p.RecordFirstByte(startTime.Add(time.Duration(i)*70*time.Millisecond + p.ExpectedFirstByte))
		decoding[p.First.ID]++
	}
	is.True(len(decoding) <= 3) // engines that decode
}

// In a burst of 68 short prompts a second, with 150 of 224 slots taken, no prompt waits for a slot
// while another engine has a free one.
func TestBurstFillsNoEngineBeyondItsSlots(t *testing.T) {
	is := is.New(t)
	b := testDispatcher(t, 14)
	for _, n := range enginesUsed(placeStreaming(t, b, startTime, shortDemand, 150)...) {
		is.True(n <= testEngine.Slots) // slots of each engine
	}
}

// Engines prefill the newest shard first. A shard placed later does not wait, but delays those
// already on the same engines, and the dispatcher accounts for the delay.
func TestNewestShardDelaysOthers(t *testing.T) {
	is := is.New(t)
	b := testDispatcher(t, 4)
	first := place(t, b, startTime, withPrompt(longDemand, 250000))
	is.Equal(len(first.Helpers), 3)
	before := first.request.prefilledAt()
	now, d := startTime.Add(100*time.Millisecond), withPrompt(longDemand, 60000)
	candidates := b.newCandidates(now, d, b.usableUpstreams(now, d))
	s := search{simulator: &b.simulator}
	joint := s.bestJoint(now, d, candidates, 2)
	is.True(joint.prefillDelay < time.Second)
	for _, o := range joint.estimates {
		o.upstream.add(now, &assignment{upstream: o.upstream, request: first.request, job: o.job})
	}
	b.newCandidates(now, d, b.usableUpstreams(now, d))
	is.True(first.request.prefilledAt().After(before.Add(150 * time.Millisecond))) // half of the prompt takes 0.3 s
}

// A prompt is not prefilled first, as shards are, where the work that it overtakes would become a
// gap in its own answer. With 1.7 s of prefill left on all engines, a prompt that begins at once
// has a gap of 1.3 s after its first event, whereas one that waits is on time.
func TestPromptWaitsToAvoidGaps(t *testing.T) {
	is := is.New(t)
	b := testDispatcher(t, 4)
	place(t, b, startTime, withPrompt(longDemand, 250000))
	now := startTime.Add(100 * time.Millisecond)
	second := place(t, b, now, withPrompt(longDemand, 60000))
	is.True(second.ExpectedFirstByte < longDemand.FirstByteTarget)
	b.newCandidates(now, longDemand, b.usableUpstreams(now, longDemand))
	for _, u := range b.upstreams {
		for _, f := range u.projections {
			is.True(f.MaxGap < longDemand.GapTarget)
		}
	}
}

// A shard of a long prompt is not placed where it would cause a gap of two seconds in a long
// answer, beyond the answer's gap target, whether or not the answer has had its first event.
func TestShardsAvoidEnginesDecodingLongAnswers(t *testing.T) {
	is := is.New(t)
	for _, begun := range []bool{false, true} {
		b := testDispatcher(t, 8)
		first := place(t, b, startTime, withPrompt(longDemand, 228000))
		now := startTime.Add(first.ExpectedFirstByte - 20*time.Millisecond)
		if begun {
			now = startTime.Add(first.ExpectedFirstByte + 500*time.Millisecond)
			first.RecordFirstByte(startTime.Add(first.ExpectedFirstByte))
		}
		place(t, b, now, withPrompt(longDemand, 224000))
		b.newCandidates(now, longDemand, b.usableUpstreams(now, longDemand))
		for _, f := range first.request.assignments[0].upstream.projections {
			is.True(f.MaxGap < longDemand.GapTarget)
		}
	}
}

// Bursts of short prompts meet the rest of a burst of long ones. With 190 of 224 slots taken, each
// shard of a long prompt keeps thirteen answers in their slots for longer. When long prompts were
// placed in this state, all slots filled up, and nine of ten short prompts were late for eight
// seconds.
func TestLongPromptWaitsWhileSlotsAreScarce(t *testing.T) {
	is := is.New(t)
	b := testDispatcher(t, 14)
	placeStreaming(t, b, startTime, shortDemand, 190)
	now := startTime.Add(time.Second)
	short := withPrompt(longDemand, 100000) // each of 14 engines would prefill for 106 ms
	_, refusal := b.Place(now, short)
	is.True(refusal != nil && refusal.Deferrable)
	// The same number of answers on 40 engines is no reason to defer the prompt.
	b = testDispatcher(t, 40)
	placeStreaming(t, b, startTime, shortDemand, 190)
	_, refusal = b.Place(now, short)
	is.True(refusal == nil)
}

// In a burst that fills all slots, a request that waits for a slot at a silent engine is not
// accepted elsewhere, where it would wait as well and be prefilled again.
func TestNoRequestIsAcceptedWhileSlotsAreFull(t *testing.T) {
	is := is.New(t)
	b := testDispatcher(t, 4)
	placeStreaming(t, b, startTime, shortDemand, 40)
	is.True(accepts(b, startTime, shortDemand))
	placeStreaming(t, b, startTime, shortDemand, 24)
	is.True(!accepts(b, startTime, shortDemand))
	is.True(accepts(b, startTime, Demand{Service: "app"}))
}

// A long prompt is deferred while engines have a long prefill backlog, and placed once the backlog
// is shorter; the longer it has waited, the longer the backlog it is placed at. Placed at once, it
// would keep the engines busy with prefill when a burst of short prompts arrives.
func TestLongPromptWaitsWhileEnginesAreBusy(t *testing.T) {
	is := is.New(t)
	b := testDispatcher(t, 12)
	place(t, b, startTime, withPrompt(longDemand, 300000))
	now := startTime.Add(100 * time.Millisecond)
	_, refusal := b.Place(now, longDemand)
	is.True(refusal != nil)
	is.True(refusal.Deferrable)
	for _, s := range []struct {
		d     Demand
		early bool
	}{{shortDemand, false}, {longDemand, true}} {
		_, refusal := b.choose(now, s.d)
		is.Equal(refusal != nil && refusal.Deferrable, s.early)
	}
	waited := longDemand
	for waited.Waited = 0; waited.Waited < longDemand.FirstByteTarget; waited.Waited += 25 * time.Millisecond {
		if _, refusal := b.choose(now.Add(waited.Waited), waited); refusal == nil {
			break
		}
	}
	is.True(waited.Waited > 200*time.Millisecond && waited.Waited < 700*time.Millisecond) // 0.75 s of prefill were left
}

// A prompt that would be late because of other requests, and would delay them, is refused at once
// with a retry time. In the scale scenarios of condor-sapphire, long prompts that were placed at
// any cost left seven seconds of prefill to the burst of short prompts that followed.
func TestCostlyPromptIsRefusedUnderBacklog(t *testing.T) {
	is := is.New(t)
	b := testDispatcher(t, 4)
	refused := (*Refusal)(nil)
	for range 10 {
		_, refused = b.Place(startTime, withPrompt(longDemand, 280000))
		if refused != nil {
			break
		}
	}
	is.True(refused != nil)
	is.Equal(refused.Reason, "too_costly")
	is.True(refused.RetryAfter >= minRetryAfter && refused.RetryAfter <= maxRetryAfter)
	_, refused = b.Place(startTime, shortDemand)
	is.True(refused == nil) // short prompts are still accepted
}

// After all entries were killed at once, each packed its prompts onto the same engines, since none
// knew what the others placed (scenario scale-1 of condor-sapphire, seed 11).
func TestIsolatedEntriesSpreadRequests(t *testing.T) {
	is := is.New(t)
	used := map[string]int{}
	for seed := range 7 {
		b := testDispatcher(t, 14)
		b.random = rand.New(rand.NewPCG(uint64(seed), 9))
		b.SetPeers(6, true)
		for id, n := range enginesUsed(placeStreaming(t, b, startTime, shortDemand, 10)...) {
			used[id] += n
		}
	}
	for id, n := range used {
		if n > testEngine.Slots {
			t.Errorf("engine %s has %d requests for its %d slots", id, n, testEngine.Slots)
		}
	}
	is.True(len(used) >= 10)
}

// Larger deployments have bursts of 217 short prompts a second through 71 entries, which receive
// each other's choices 20 ms later. The four prompts that arrive in that time must not all be
// placed on one engine: each further one there is prefilled before the others' next event, for 28
// ms.
func TestSimultaneousChoicesSpread(t *testing.T) {
	is := is.New(t)
	b := testDispatcher(t, 54)
	b.SetPeers(70, false)
	random := rand.New(rand.NewPCG(3, 4))
	for _, p := range placeStreaming(t, b, startTime, shortDemand, 400) {
		if random.Float64() < 0.2 {
			p.End(startTime, Answered)
		}
	}
	collisions, maxSame := 0, 0
	for range 50 {
		used := map[string]int{}
		for range 4 {
			p, refusal := b.choose(startTime, shortDemand)
			is.True(refusal == nil)
			used[p.First.ID]++
		}
		for _, n := range used {
			collisions += n - 1
			maxSame = max(maxSame, n)
		}
	}
	is.True(maxSame <= 3)
	is.True(collisions <= 50*4/4) // prompts that meet another on an engine: at most a quarter
}

// The load that peers report is added to that of own requests until it expires.
func TestPeerLoadCountsUntilItExpires(t *testing.T) {
	is := is.New(t)
	local, peer := testDispatcher(t, 2), testDispatcher(t, 2)
	placeStreaming(t, peer, startTime, shortDemand, 14)
	local.ApplyPeerLoads(startTime, CompactIDOf("far"), peer.TakeLoadChanges(startTime, false))
	loads := map[string]int{}
	for id, u := range local.upstreams {
		loads[id] = u.load(startTime).Running
	}
	is.Equal(loads["e00"]+loads["e01"], 14)
	late := startTime.Add(requestLoadTTL + time.Second)
	local.TakeLoadChanges(late, true)
	is.Equal(local.upstreams["e00"].load(late).Running+local.upstreams["e01"].load(late).Running, 0)
}

// A load update that arrives before its upstreams are listed adds its load once they are. An entry
// that has just started receives updates before it has read the store.
func TestPeerRequestsResolveUpstreamsListedLater(t *testing.T) {
	is := is.New(t)
	local, peer := New("a", rand.New(rand.NewPCG(3, 4))), testDispatcher(t, 2)
	now := time.Now()
	placeStreaming(t, peer, now, shortDemand, 9)
	local.ApplyPeerLoads(now, CompactIDOf("far"), peer.TakeLoadChanges(now, false))
	table, err := matcher.New(matcher.Config{Services: []matcher.Service{{Name: "lm", Engine: &testEngine}}})
	is.NoErr(err)
	local.UpdateUpstreams(table, []Instance{{ID: "e00", Service: "lm"}, {ID: "e01", Service: "lm"}})
	sum := 0
	for _, row := range local.Upstreams(now) {
		sum += row.Load.Running
	}
	is.Equal(sum, 9)
}

// An upstream that accepts no connection is avoided for a while. One that fails requests is the
// last choice until it has answered again.
func TestFailingUpstreamsAreAvoided(t *testing.T) {
	is := is.New(t)
	b := testDispatcher(t, 2)
	d := Demand{Service: "app"}
	down := place(t, b, startTime, d)
	down.End(startTime, Unreachable)
	for range 20 {
		p := place(t, b, startTime.Add(100*time.Millisecond), d)
		is.True(p.First.ID != down.First.ID)
		p.End(startTime, Answered)
	}
	failing := place(t, b, startTime, d)
	for range 4 {
		b.upstreams[failing.First.ID].health.recordFailure(startTime)
	}
	failing.End(startTime, Failed)
	for range 20 {
		p := place(t, b, startTime, d)
		is.True(p.First.ID != failing.First.ID)
		p.End(startTime, Answered)
	}
	tried := false
	for range 50 { // after half a minute it is tried again
		p := place(t, b, startTime.Add(30*time.Second), d)
		tried = tried || p.First.ID == failing.First.ID
	}
	is.True(tried)
}

// The memory for a prompt that is longer than one engine's memory is split so that all of it is
// held, and no engine holds more than it has.
func TestMemoryIsSplitAmongEngines(t *testing.T) {
	is := is.New(t)
	b := testDispatcher(t, 14)
	p := place(t, b, startTime, withPrompt(longDemand, 600000))
	total := 0
	for _, tokens := range p.HelperMemoryTokens {
		is.True(tokens <= testEngine.MemoryTokens)
		total += tokens
	}
	is.True(total >= 600000+longDemand.AnswerTokens-testEngine.MemoryTokens)
	is.True(len(p.HelperMemoryTokens) <= 3) // each engine that holds memory costs an order to it
}

// A prompt that fits on one engine is not refused for lack of memory while all engines are full for
// a moment: engines free memory within a second or two. Five such prompts were refused in an
// incident.
func TestPromptThatFitsIsNotRefusedForMemory(t *testing.T) {
	is := is.New(t)
	b := testDispatcher(t, 2)
	for _, u := range b.upstreams {
		if u.engine != nil {
			u.assignments[&assignment{upstream: u, memoryTokens: testEngine.MemoryTokens, request: &request{firstByteSeen: true}, job: predictor.Job{Decodes: true}}] = true
		}
	}
	for _, tokens := range []int{5000, 15000, 45000} {
		_, refusal := b.Place(startTime, withPrompt(shortDemand, tokens))
		if refusal != nil {
			t.Errorf("%d tokens: %v", tokens, refusal)
		}
	}
	_, refusal := b.Place(startTime, withPrompt(longDemand, 400000))
	is.True(refusal != nil) // this prompt fits on no engine
}

// A dispatcher whose requests have all ended has no load left.
func TestDispatcherIsEmptyAtRest(t *testing.T) {
	is := is.New(t)
	b := testDispatcher(t, 14)
	var all []*Placement
	for i := range 60 {
		all = append(all, place(t, b, startTime, []Demand{shortDemand, mediumDemand}[i%2]))
	}
	for i, p := range all {
		if i%3 > 0 {
			p.RecordFirstByte(startTime)
		}
		p.End(startTime, PlacementResult(i%4))
	}
	for _, u := range b.upstreams {
		is.Equal(len(u.assignments), 0)
		l := u.load(startTime)
		is.Equal(l.Running, 0)
		is.Equal(l.PrefillBacklog, time.Duration(0))
	}
}

func BenchmarkPlaceShort(b *testing.B) { benchmarkPlace(b, shortDemand) }
func BenchmarkPlaceLong(b *testing.B)  { benchmarkPlace(b, longDemand) }

func benchmarkPlace(b *testing.B, d Demand) {
	dispatcher := New("a", rand.New(rand.NewPCG(1, 2)))
	table, err := matcher.New(matcher.Config{Services: []matcher.Service{{Name: "lm", Engine: &testEngine}}})
	if err != nil {
		b.Fatal(err)
	}
	var instances []Instance
	for i := range 54 {
		instances = append(instances, Instance{ID: fmt.Sprintf("e%02d", i), Service: "lm", Slots: 16})
	}
	dispatcher.UpdateUpstreams(table, instances)
	b.ReportAllocs()
	for b.Loop() {
		p, refusal := dispatcher.Place(startTime, d)
		if refusal != nil {
			b.Fatal(refusal)
		}
		p.End(startTime, Answered)
	}
}

// An answer that is already late must still end before its caller leaves, so a long prompt goes
// where no such answer is at risk. On the largest deployment, after the load had turned to long
// prompts, 21 of 40 short answers that never ended had been late for seconds, by gaps of 1.3 to 2.5
// s. Their engines received one long prompt after the other, since lateness could cost nothing more
// there.
func TestLongPromptLeavesAnswersTimeToEnd(t *testing.T) {
	for _, long := range []string{"e00", "e01"} {
		is := is.New(t)
		b := testDispatcher(t, 2)
		only := func(now time.Time, d Demand, id string) *Placement {
			for other := range b.upstreams {
				if other != id {
					d.Avoid = append(d.Avoid, Instance{ID: other})
				}
			}
			d.NoHelpers, d.SentBefore = true, true
			return place(t, b, now, d)
		}
		now := startTime.Add(2 * time.Second)
		for _, id := range []string{"e00", "e01"} {
			d := shortDemand
			d.AnswerTokens, d.Remaining = 51*5, 7*time.Second
			if id == long {
				d.AnswerTokens = 51 * 80
			}
			only(startTime, d, id).RecordFirstByte(startTime.Add(40 * time.Millisecond))
			// This prompt causes a gap of over a second in the answer.
			only(startTime.Add(50*time.Millisecond), withPrompt(mediumDemand, 80000), id)
			b.upstreams[id].queue.Advance(now)
		}
		d := withPrompt(longDemand, 130000)
		d.NoHelpers, d.SentBefore, d.Remaining = true, true, 15*time.Second
		p := place(t, b, now, d)
		is.True(p.First.ID != long)
	}
}

// A request is not moved away from a silent upstream while all others are known to accept no
// connections. One that was moved failed, although the silent upstream would have answered it.
func TestUnreachableUpstreamsAcceptNothing(t *testing.T) {
	is := is.New(t)
	b, now := testDispatcher(t, 1), time.Now()
	call := Demand{Service: "app"}
	is.True(accepts(b, now, call))
	for _, id := range []string{"s0", "s1", "s2"} {
		b.upstreams[id].health.recordUnreachable(now)
	}
	is.True(!accepts(b, now, call))
	place(t, b, now, call) // a request without another upstream is sent there all the same
	is.True(accepts(b, now.Add(minBlock), call))
}

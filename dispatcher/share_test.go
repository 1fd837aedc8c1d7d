package dispatcher

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/predictor"
)

// offer is a kind of request that arrives at a rate per second.
type offer struct {
	demand    Demand
	perSecond float64
}

// withKind returns the demand of an organisation and rank.
func withKind(d Demand, o apportioner.Organisation, r apportioner.Rank) Demand {
	d.Organisation, d.Rank = o, r
	return d
}

// offerResult is what became of the requests of an offer after the first second: how many were sent, placed, and
// placed so that the first byte is expected on time.
type offerResult struct{ sent, placed, onTime float64 }

// offerAll offers requests for a time to one entry, which tries to place each once, and ends the placed ones as the
// upstreams would: plain ones after 100 ms in a slot, prompts after the passes of their answers.
func offerAll(b *Dispatcher, from time.Time, duration time.Duration, offers ...offer) []offerResult {
	type event struct {
		at     time.Time
		happen func(now time.Time)
	}
	var events []event
	freeAt := map[string][]time.Time{} // of each slot of plain upstreams
	results, due := make([]offerResult, len(offers)), make([]float64, len(offers))
	const step = time.Millisecond
	for now := from; now.Before(from.Add(duration)); now = now.Add(step) {
		slices.SortStableFunc(events, func(a, b event) int { return a.at.Compare(b.at) })
		for len(events) > 0 && !events[0].at.After(now) {
			events[0].happen(now)
			events = events[1:]
		}
		for i, o := range offers {
			for due[i] += o.perSecond * step.Seconds(); due[i] >= 1; due[i]-- {
				p, refusal := b.Place(now, o.demand)
				counts := now.Sub(from) >= time.Second
				if counts {
					results[i].sent++
				}
				if refusal != nil {
					continue
				}
				if counts {
					results[i].placed++
				}
				first, end := now.Add(p.ExpectedFirstByte), now
				if e := p.request.assignments[0].upstream.engine; e != nil {
					pass := predictor.DecodePassTime(e, p.Load.Running+1, p.Load.MemoryTokens)
					end = first.Add(time.Duration(o.demand.AnswerTokens/e.StepsPerPass+1) * pass)
				} else {
					slots := freeAt[p.First.ID]
					if slots == nil {
						slots = make([]time.Time, p.First.Slots)
						freeAt[p.First.ID] = slots
					}
					slices.SortFunc(slots, time.Time.Compare)
					if slots[0].Before(now) {
						slots[0] = now
					}
					slots[0] = slots[0].Add(100 * time.Millisecond)
					first, end = slots[0], slots[0]
				}
				if counts && first.Sub(now) <= o.demand.FirstByteTarget {
					results[i].onTime++
				}
				events = append(events, event{first, p.RecordFirstByte}, event{end, func(now time.Time) { p.End(now, Answered) }})
			}
		}
	}
	return results
}

// Guards against short prompts of a greedy organisation that delay those of others: the four engines answer some 21 a
// second.
func TestShortPromptsOfGreedyOrganisation(t *testing.T) {
	got := offerAll(testDispatcher(t, 4), startTime, 6*time.Second, offer{withKind(shortDemand, 1, 0), 150}, offer{withKind(shortDemand, 2, 0), 5})
	t.Logf("greedy %+v, modest %+v", got[0], got[1])
	if got[1].onTime < 0.95*got[1].sent {
		t.Errorf("%.0f of %.0f prompts of the modest organisation placed on time, want 0.95", got[1].onTime, got[1].sent)
	}
}

// Guards against short prompts of a greedy organisation that keep longer ones of others from being placed, which need
// more of an engine each. Long prompts are refused as too costly beside them, as before.
func TestMediumPromptsBesideGreedyOrganisation(t *testing.T) {
	got := offerAll(testDispatcher(t, 8), startTime, 11*time.Second, offer{withKind(shortDemand, 1, 0), 200}, offer{withKind(mediumDemand, 2, 0), 4})
	t.Logf("greedy %+v, modest %+v", got[0], got[1])
	if got[1].onTime < 0.95*got[1].sent {
		t.Errorf("%.0f of %.0f medium prompts of the modest organisation placed on time, want 0.95", got[1].onTime, got[1].sent)
	}
}

// Guards against prompts whose rank has no effect, and against less urgent ones that starve.
func TestUrgentPromptsAreServedFirst(t *testing.T) {
	got := offerAll(testDispatcher(t, 4), startTime, 6*time.Second, offer{withKind(shortDemand, 1, 0), 12}, offer{withKind(shortDemand, 2, 2), 150})
	t.Logf("urgent %+v, other %+v", got[0], got[1])
	if got[0].onTime < 0.95*got[0].sent || got[1].placed == 0 {
		t.Errorf("%.0f of %.0f urgent prompts placed on time, want 0.95; %.0f of the others, want some", got[0].onTime, got[0].sent, got[1].placed)
	}
}

// Guards against admission control that serves the prompts of an organisation worse that is alone.
func TestGreedyOrganisationAloneAtEngines(t *testing.T) {
	for name, d := range map[string]Demand{"short": shortDemand, "medium": mediumDemand, "long": longDemand} {
		perSecond := map[string]float64{"short": 150, "medium": 30, "long": 6}[name]
		alone := offerAll(testDispatcher(t, 6), startTime, 6*time.Second, offer{withKind(d, 1, 3), perSecond})[0]
		unnamed := offerAll(testDispatcher(t, 6), startTime, 6*time.Second, offer{d, perSecond})[0]
		t.Logf("%s prompts of one organisation %+v, without organisation %+v", name, alone, unnamed)
		if alone.onTime < unnamed.onTime {
			t.Errorf("%.0f %s prompts of the organisation on time, %.0f without one", alone.onTime, name, unnamed.onTime)
		}
	}
}

var plainDemand = Demand{Service: "app", FirstByteTarget: 300 * time.Millisecond}

// Guards against a rank that counts for requests which arrived after it was changed in the configuration: an
// organisation that loses its precedence under load. The service serves 180 requests a second.
func TestOrganisationIsRerankedUnderLoad(t *testing.T) {
	is := is.New(t)
	b := testDispatcher(t, 1)
	before := offerAll(b, startTime, 4*time.Second, offer{withKind(plainDemand, 1, 0), 300}, offer{withKind(plainDemand, 2, 1), 100})
	after := offerAll(b, startTime.Add(4*time.Second), 4*time.Second, offer{withKind(plainDemand, 1, 2), 300}, offer{withKind(plainDemand, 2, 1), 100})
	t.Logf("before %+v, after %+v", before, after)
	is.True(before[1].placed < 0.5*before[1].sent)
	is.True(after[1].placed > 0.95*after[1].sent)
	is.True(after[0].placed > 0.15*after[0].sent)
}

// Guards against an entry that starts under load and serves a greedy organisation as if there were no others, and
// against one that serves nobody until it has measured the work time.
func TestStartingEntryKnowsShares(t *testing.T) {
	is := is.New(t)
	peer, starting := testDispatcher(t, 1), testDispatcher(t, 1)
	for range 36 {
		place(t, peer, startTime, withKind(plainDemand, 1, 0))
	}
	for _, m := range EncodeLoadUpdates(1, peer.OwnRequestLoads(startTime)) {
		from, loads, err := DecodeLoadUpdate(m)
		is.NoErr(err)
		starting.ApplyPeerLoads(startTime, from, loads)
	}
	_, refusal := starting.Place(startTime, withKind(plainDemand, 1, 0))
	is.True(refusal != nil && refusal.Reason == ReasonOverShare && refusal.Temporary)
	is.Equal(refusal.Share.Use, 36.0)
	for range 18 {
		place(t, starting, startTime, withKind(plainDemand, 2, 0))
	}
	share, cost := starting.Share(startTime, withKind(plainDemand, 1, 0))
	is.True(share > 8.9 && share < 9.1) // half of the slots
	is.Equal(cost, 0.0)                 // nothing was measured
}

// Guards against a limit that leaves slots idle, or refuses what upstreams would queue for callers that accept it.
func TestLimitOfPlainService(t *testing.T) {
	is := is.New(t)
	limit := func(work, target time.Duration) float64 {
		s := serviceUse{workTime: workTime{mean: work}}
		return s.plainUse(10, target)
	}
	is.Equal(limit(0, 300*time.Millisecond), 20.0)                     // not measured
	is.Equal(limit(100*time.Millisecond, 300*time.Millisecond), 20.0)  // 100 ms of queueing
	is.Equal(limit(20*time.Millisecond, 300*time.Millisecond), 80.0)   // 140 ms
	is.Equal(limit(250*time.Millisecond, 300*time.Millisecond), 11.6)  // the least time, 40 ms
	is.Equal(limit(2000*time.Millisecond, 300*time.Millisecond), 20.0) // never on time
}

// Guards against a work time that includes queueing, and against an entry that never measures it under load.
func TestWorkTimeIsThatOfFreeSlots(t *testing.T) {
	is := is.New(t)
	var w workTime
	w.record(300*time.Millisecond, 2)
	is.Equal(w.mean, 100*time.Millisecond)
	w.record(80*time.Millisecond, 0)
	is.Equal(w.mean, 80*time.Millisecond)
	w.record(time.Second, 1)
	is.Equal(w.mean, 80*time.Millisecond)
	w.record(100*time.Millisecond, 0)
	is.Equal(w.mean, 81*time.Millisecond)
}

// Guards against entries that each use all of a service while they are cut off from each other.
func TestIsolatedEntryUsesItsPart(t *testing.T) {
	is := is.New(t)
	b := testDispatcher(t, 1)
	b.SetPeers(5, false)
	b.SetPeers(0, true)
	placed := 0
	for range 40 {
		if _, refusal := b.Place(startTime, withKind(plainDemand, 1, 0)); refusal == nil {
			placed++
		}
	}
	is.Equal(placed, 6) // three of 18 slots, and as many queued
	place(t, b, startTime, withKind(plainDemand, 2, 0))
}

// Guards against requests that are refused for a share although they may have run, return at a time that they were
// given, or belong to a deployment without organisations.
func TestRequestsThatAreNotLimited(t *testing.T) {
	is := is.New(t)
	b := testDispatcher(t, 1)
	for range 60 {
		place(t, b, startTime, plainDemand)
	}
	full := testDispatcher(t, 1)
	for range 36 {
		place(t, full, startTime, withKind(plainDemand, 1, 0))
	}
	_, refusal := full.Place(startTime, withKind(plainDemand, 1, 0))
	is.Equal(refusal.Reason, ReasonOverShare)
	returning, mayHaveRun := withKind(plainDemand, 1, 0), withKind(plainDemand, 1, 0)
	returning.Returns, mayHaveRun.MayHaveRun = true, true
	place(t, full, startTime, returning)
	place(t, full, startTime, mayHaveRun)
}

// Load updates of 2,500 requests per second at 380 entries, for 4,300 organisations with ranks of up to two levels. The
// fields take 4 bytes for the organisation and 1 to 3 for the rank.
func TestBytesOfOrganisationAndRank(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	// An entry places 2,500/380 requests a second, which last a second; each is reported when it is placed, and by
	// every full update, each 0.7 s, until it ends.
	const perSecond, fullUpdates = 2500.0 / 380, 1 / 0.7
	size := func(named bool) (change, full float64) {
		const n = 10000
		for range n {
			load := RequestLoad{ID: CompactID(random.Uint32()), Age: time.Duration(random.IntN(1000)) * time.Millisecond, Remaining: 3 * time.Second, FirstByteTarget: 300 * time.Millisecond, Assignments: []AssignmentLoad{{Upstream: 1, Decodes: true}}}
			if named {
				load.Organisation = apportioner.NewOrganisation(string(rune(random.IntN(4300))))
				load.Rank = apportioner.NewRank(random.IntN(3), random.IntN(2))
			}
			end := RequestLoad{ID: load.ID, Ended: true, Outcome: OutcomeAnswered}
			change += float64(len(appendLoad(nil, load)) + len(appendLoad(nil, end)))
			full += float64(len(appendLoad(nil, load)))
		}
		return change / n, full / n
	}
	const unused = 5 // bytes of an organisation and a rank of 0, which format 10 did not have
	change, full := size(false)
	before := perSecond*(change-unused) + perSecond*fullUpdates*(full-unused)
	change, full = size(true)
	after := perSecond*change + perSecond*fullUpdates*full
	t.Logf("bytes per entry and second to each peer: %.0f before, %.0f with organisation and rank; from 379 peers: %.0f and %.0f kB/s", before, after, before*379/1000, after*379/1000)
	if after > 1.4*before {
		t.Errorf("%.0f bytes per entry and second, more than 1.4 times the %.0f without organisation and rank", after, before)
	}
}

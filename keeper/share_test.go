package keeper_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/keeper"
)

// traffic is the prompts of one organisation.
type traffic struct {
	organisation string
	rank         apportioner.Rank
	// perSecond is the mean number of prompts a second, each of which takes tokens of memory, all of them to be
	// prefilled, for the time length.
	perSecond float64
	tokens    int
	length    time.Duration
	remaining time.Duration
}

// waiter is a prompt that waits for a grant.
type waiter struct {
	id   string
	kind int
	// isCounted is true if it was sent after the first 5 s.
	isCounted bool
	asksAt    time.Time
	giveUpAt  time.Time
}

// run simulates an engine and its keeper for 40 s and returns the fraction of the prompts of each kind that were
// granted, without those of the first 5 s, and the mean fraction of the memory in use. As in package placer, prompts
// ask every 50 ms for a quarter of their time. Each, if not nil, is called after every step of 10 ms.
func run(kinds []traffic, each func(step int, k **keeper.Keeper, kinds []traffic)) (served []float64, memory float64) {
	start := time.Unix(1_000_000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	k := keeper.New(config)
	ends := map[string]time.Time{}
	holds := map[string]int{}
	var waiting []waiter
	offered, granted := make([]float64, len(kinds)), make([]float64, len(kinds))
	for step := range 4000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		used := 0
		for id, end := range ends {
			if now.After(end) {
				delete(ends, id)
				delete(holds, id)
			}
			used += holds[id]
		}
		memory += float64(used) / float64(load.MemoryTokens) / 4000
		report := load
		report.UsedTokens = used
		if step%20 == 0 {
			var listed []api.EngineHold
			for id, tokens := range holds {
				listed = append(listed, api.EngineHold{ID: id, Tokens: tokens})
			}
			k.RecordLoadAndHolds(now, report, listed)
		}
		for i, t := range kinds {
			if random.Float64() < t.perSecond/100 {
				waiting = append(waiting, waiter{id: fmt.Sprint(i, "-", step), kind: i, isCounted: step >= 500, asksAt: now, giveUpAt: now.Add(t.remaining / 4)})
				if step >= 500 {
					offered[i]++
				}
			}
		}
		var still []waiter
		random.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
		for _, w := range waiting {
			t := kinds[w.kind]
			if now.Before(w.asksAt) {
				still = append(still, w)
				continue
			}
			r := newRequest(w.id, t.tokens)
			r.Organisation, r.Rank, r.Remaining = t.organisation, t.rank, t.remaining
			reply := k.RequestGrant(now, r)
			switch {
			case reply.Granted:
				holds[w.id], ends[w.id] = t.tokens, now.Add(reply.QueueWait+t.length)
				if w.isCounted {
					granted[w.kind]++
				}
			case reply.Reason != keeper.TooLate && now.Before(w.giveUpAt):
				w.asksAt = now.Add(50 * time.Millisecond)
				still = append(still, w)
			}
		}
		waiting = still
		if each != nil {
			each(step, &k, kinds)
		}
	}
	for i := range offered {
		served = append(served, granted[i]/max(1, offered[i]))
	}
	return served, memory
}

// withFastPrefill has the engine prefill 10,000 tokens a second, so that its memory is what is short.
func withFastPrefill(t *testing.T) {
	before := config.PrefillRate
	config.PrefillRate = 10_000
	t.Cleanup(func() { config.PrefillRate = before })
}

// short is traffic of prompts of 50 tokens that take a second, of which an engine runs 20.
func short(organisation string, rank int, perSecond float64) traffic {
	return traffic{organisation: organisation, rank: apportioner.NewRank(rank, 0), perSecond: perSecond, tokens: 50, length: time.Second, remaining: 4 * time.Second}
}

// Guards against an organisation that asks for more than the engine has and takes the room of another.
func TestGreedyOrganisationLeavesRoom(t *testing.T) {
	withFastPrefill(t)
	is := is.New(t)
	alone, memoryAlone := run([]traffic{short("greedy", 0, 60)}, nil)
	served, memory := run([]traffic{short("greedy", 0, 60), short("small", 0, 5)}, nil)
	t.Logf("served %.2f, memory %.2f; alone %.2f, memory %.2f", served, memory, alone, memoryAlone)
	is.True(served[1] >= 0.98)
	is.True(memory >= memoryAlone-0.05) // the room is used by others while the small organisation needs none
}

// Guards against less urgent prompts that take the room of urgent ones, and against urgent ones that leave nothing.
func TestUrgentOrganisationGoesFirst(t *testing.T) {
	withFastPrefill(t)
	is := is.New(t)
	served, memory := run([]traffic{short("urgent", 0, 60), short("later", 2, 60)}, nil)
	t.Logf("served %.2f, memory %.2f", served, memory)
	is.True(served[0] >= 3*served[1])
	is.True(served[1] >= 0.04) // a fifth of the 17 that are served a second, of 60
	served, _ = run([]traffic{short("urgent", 0, 8), short("later", 2, 60)}, nil)
	t.Logf("served %.2f", served)
	is.True(served[0] >= 0.97)
}

// long is traffic of prompts that take 0.6 of the engine for three seconds.
func long(organisation string, perSecond float64) traffic {
	return traffic{organisation: organisation, perSecond: perSecond, tokens: 600, length: 3 * time.Second, remaining: time.Minute}
}

// Guards against long prompts that never find room beside another organisation's short ones, and against short ones
// that get less than their share.
func TestLongPromptsBesideShortOnes(t *testing.T) {
	withFastPrefill(t)
	is := is.New(t)
	served, memory := run([]traffic{short("greedy", 0, 60), long("careful", 0.15)}, nil)
	t.Logf("served %.2f, memory %.2f", served, memory)
	is.True(served[1] >= 0.8)
	served, memory = run([]traffic{long("greedy", 3), short("small", 0, 5)}, nil)
	t.Logf("served %.2f, memory %.2f", served, memory)
	is.True(served[1] >= 0.95)
}

// Guards against an organisation whose many prompts fill the prefill queue, so that those of another would be too late.
func TestPrefillQueueIsShared(t *testing.T) {
	is := is.New(t)
	config.PrefillRate = 200
	t.Cleanup(func() { config.PrefillRate = 100 })
	fast := func(organisation string, perSecond float64) traffic {
		return traffic{organisation: organisation, perSecond: perSecond, tokens: 20, length: 10 * time.Millisecond, remaining: time.Second}
	}
	alone, _ := run([]traffic{fast("greedy", 60)}, nil)
	served, _ := run([]traffic{fast("greedy", 60), fast("small", 2)}, nil)
	t.Logf("served %.2f, alone %.2f", served, alone)
	is.True(served[1] >= 0.9)
	is.True(served[0]*60+served[1]*2 >= 0.95*alone[0]*60)
}

// Guards against an engine that is kept idle for an organisation whose prompts have too little time.
func TestShortDeadlinesKeepNoEngineIdle(t *testing.T) {
	is := is.New(t)
	greedy := traffic{organisation: "greedy", perSecond: 60, tokens: 20, length: 10 * time.Millisecond, remaining: 2 * time.Second}
	hasty := traffic{organisation: "hasty", perSecond: 5, tokens: 20, length: 10 * time.Millisecond, remaining: 210 * time.Millisecond}
	alone, _ := run([]traffic{greedy}, nil)
	served, _ := run([]traffic{greedy, hasty}, nil)
	t.Logf("served %.3f, alone %.3f", served, alone)
	is.True(served[0]*60+served[1]*5 >= 0.96*alone[0]*60)
}

// Guards against a keeper that divides wrongly after it took over an engine whose holds it did not grant, and against
// one that grants nothing until they end.
func TestKeeperThatTakesOver(t *testing.T) {
	withFastPrefill(t)
	is := is.New(t)
	served, memory := run([]traffic{short("greedy", 0, 60), short("small", 0, 5)}, func(step int, k **keeper.Keeper, _ []traffic) {
		if step%1000 == 999 {
			*k = keeper.New(config)
		}
	})
	t.Logf("served %.2f, memory %.2f", served, memory)
	is.True(served[1] >= 0.9)
	is.True(memory >= 0.75)
}

// Guards against a prompt that an engine has begun to answer and that is refused as if it were new, and against an ask
// that is refused though there is room for all.
func TestPromptSentBeforeIsNotRefused(t *testing.T) {
	withFastPrefill(t)
	is := is.New(t)
	now := time.Now()
	k := keeper.New(config)
	k.RecordLoadAndHolds(now, load, nil)
	ask := func(id, organisation string, tokens int, sentBefore bool) keeper.Reason {
		r := newRequest(id, tokens)
		r.Organisation, r.SentBefore = organisation, sentBefore
		return k.RequestGrant(now, r).Reason
	}
	is.Equal(ask("a", "greedy", 800, false), keeper.MemoryFree)
	is.Equal(ask("b", "small", 250, false), keeper.MemoryFull)
	is.Equal(ask("c", "greedy", 100, false), keeper.OverShare)
	is.Equal(k.LastShare().Ahead, "small")
	is.Equal(ask("c", "greedy", 100, true), keeper.MemoryFree)
	k.EndAttempt("a")
	is.Equal(ask("d", "greedy", 100, false), keeper.MemoryFree)
}

// Guards against a keeper that forgets what it was told of holds before the engine listed them.
func TestOwnerToldBeforeListing(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	k := keeper.New(config)
	k.RecordOwner("a", "team", 0)
	k.RecordOwner("gone", "team", 0)
	k.RecordLoadAndHolds(now, load, []api.EngineHold{{ID: "a", Tokens: 300}, {ID: "b", Tokens: 200}})
	is.Equal(k.Use(now, "team"), 0.3)
	is.Equal(k.Use(now, ""), 0.2)
	k.RecordOwner("b", "other", 0)
	is.Equal(k.Use(now, "other"), 0.2)
}

// Guards against ranks that count only for organisations that appear after a change.
func TestRankChangesUnderLoad(t *testing.T) {
	withFastPrefill(t)
	is := is.New(t)
	var uses [2][2]float64
	_, _ = run([]traffic{short("one", 0, 60), short("other", 2, 60)}, func(step int, k **keeper.Keeper, kinds []traffic) {
		if step == 2000 {
			kinds[0].rank, kinds[1].rank = kinds[1].rank, kinds[0].rank
		}
		if step%2000 >= 500 {
			for i, t := range kinds {
				uses[step/2000][i] += (*k).Use(time.Unix(1_000_000, 0), t.organisation) / 1500
			}
		}
	})
	t.Logf("uses %.2f", uses)
	is.True(uses[0][0] > 3*uses[0][1])
	is.True(uses[1][1] > 3*uses[1][0])
}

// Guards against room that stays unused because all that wait leave it to each other: organisations of three ranks, of
// which each may go before the next, and more organisations than prompts that fit.
func TestRoomIsUsedByManyOrganisations(t *testing.T) {
	withFastPrefill(t)
	is := is.New(t)
	var three, many []traffic
	for rank := range 3 {
		three = append(three, short(fmt.Sprint("rank-", rank), rank, 30))
	}
	for i := range 40 {
		many = append(many, short(fmt.Sprint("equal-", i), 0, 2))
	}
	served, memory := run(three, nil)
	t.Logf("served %.2f, memory %.2f", served, memory)
	is.True(memory >= 0.82)
	is.True(served[0] > served[2])
	served, memory = run(many, nil)
	t.Logf("served %.2f, memory %.2f", served, memory)
	is.True(memory >= 0.82)
	is.True(slices.Min(served) > 0.1)
	is.True(slices.Max(served) < 0.45)
}

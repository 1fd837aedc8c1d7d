package dispatcher

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// memoryFleet is a fleet of dispatchers in front of a few engines, to which more prompts come than have room.
type memoryFleet struct {
	dispatchers []*Dispatcher
	// held are the placements that have not ended, with the time at which each ends.
	held map[*Placement]time.Time
	// settling are placements that were not sent to their engines yet, with the time at which they may be.
	settling map[*Placement]time.Time
	// over is the largest number of tokens by which the requests of an engine exceeded its memory, exceeded the number of
	// placements by which one did. placed and refused count prompts.
	over, exceeded, placed, refused int
}

// run places prompts at random entries for 4 s, one each interval on average. Load updates are exchanged every delay; 0 stands for at once.
func (f *memoryFleet) run(t *testing.T, seed uint64, interval, delay time.Duration) {
	random := rand.New(rand.NewPCG(seed, 3))
	f.held, f.settling = map[*Placement]time.Time{}, map[*Placement]time.Time{}
	nextExchange, nextFull := startTime, startTime
	for now := startTime; now.Before(startTime.Add(4 * time.Second)); now = now.Add(time.Duration(random.Int64N(int64(2 * interval)))) {
		for p, end := range f.held {
			if !end.After(now) {
				p.End(now, Answered)
				delete(f.held, p)
			}
		}
		if !nextExchange.After(now) {
			isFull := !nextFull.After(now)
			exchangeUpdates(t, now, f.dispatchers, isFull)
			nextExchange = now.Add(delay)
			if isFull {
				nextFull = now.Add(700 * time.Millisecond)
			}
		}
		for p, at := range f.settling {
			if !at.After(now) {
				delete(f.settling, p)
				f.settle(now, p, random)
			}
		}
		d := []Demand{shortDemand, shortDemand, mediumDemand, longDemand}[random.IntN(4)]
		d.PromptTokens = d.PromptTokens/2 + random.IntN(d.PromptTokens)
		d.SentBefore = random.IntN(4) == 0
		p, refusal := f.dispatchers[random.IntN(len(f.dispatchers))].Place(now, d)
		if refusal != nil {
			f.refused++
			continue
		}
		if p.ShouldSettle() {
			f.settling[p] = now.Add(SettleDelay)
			continue
		}
		f.send(now, p, random)
	}
}

// settle sends a placement to its engines that has settled, or withdraws it.
func (f *memoryFleet) settle(now time.Time, p *Placement, random *rand.Rand) {
	if p.ShouldYield(now) {
		p.Withdraw(now)
		f.refused++
		return
	}
	f.send(now, p, random)
}

// send sends a placement to its engines.
func (f *memoryFleet) send(now time.Time, p *Placement, random *rand.Rand) {
	before := f.usedTokens()
	f.placed++
	f.held[p] = now.Add(2*time.Second + time.Duration(random.IntN(4000))*time.Millisecond)
	f.measure(before)
}

// usedTokens returns what the requests at each engine need.
func (f *memoryFleet) usedTokens() map[string]int {
	used := map[string]int{}
	for p := range f.held {
		for _, a := range p.request.assignments {
			used[a.upstream.instance.ID] += a.memoryTokens
		}
	}
	return used
}

// measure compares what the requests at each engine need with its memory, after the latest placement.
func (f *memoryFleet) measure(before map[string]int) {
	for id, tokens := range f.usedTokens() {
		if tokens > testEngine.MemoryTokens && tokens > before[id] {
			f.exceeded++
			f.over = max(f.over, tokens-testEngine.MemoryTokens)
		}
	}
}

// Guards against engines that are sent requests whose memory together is more than they have, which can crash them:
// short, medium and long prompts, split ones, and those that were sent before.
func TestEnginesAreNotSentMoreThanTheirMemory(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(2) {
		for _, size := range []int{1, 6} {
			f := &memoryFleet{dispatchers: newPeers(t, size, 4)}
			f.run(t, seed, 10*time.Millisecond, 0)
			is.Equal(f.over, 0) // no engine exceeds its memory while entries know each other's requests
			is.True(f.placed > 40)
			is.True(f.refused > 40)
		}
	}
}

// Guards against entries that learn of each other's requests late and overfill engines often: at ten prompts a second
// and engine, and more than have room, at most one in 50 may exceed an engine's memory, by less than one long prompt.
func TestEnginesAreSeldomOverfilledWithinAMessageDelay(t *testing.T) {
	worst, exceeded, placed := 0, 0, 0
	for seed := range uint64(3) {
		f := &memoryFleet{dispatchers: newPeers(t, 6, 10)}
		f.run(t, seed, 10*time.Millisecond, 10*time.Millisecond)
		worst, exceeded, placed = max(worst, f.over), exceeded+f.exceeded, placed+f.placed
	}
	if worst > longDemand.PromptTokens || exceeded*50 > placed {
		t.Errorf("%d of %d placements exceed an engine's memory, by up to %d tokens", exceeded, placed, worst)
	}
	t.Logf("at most %d tokens over the memory of %d, by %d of %d placements", worst, testEngine.MemoryTokens, exceeded, placed)
}

package server

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/client"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/validator"
)

const smallKey = "small-key"

// rankedDocument returns the test document with a second organisation, named small, and the given ranks.
func rankedDocument(revision, engines int, comment string, teamRank, smallRank int) string {
	team := "MaxInFlight: 500}]"
	small := fmt.Sprintf("{Name: small, KeyDigest: %s, Models: [model], Services: [dispatch], MaxInFlight: 500, Rank: %d}]", validator.Digest([]byte(smallKey)), smallRank)
	return strings.Replace(testDocument(revision, engines, comment), team, fmt.Sprintf("MaxInFlight: 500, Rank: %d}, ", teamRank)+small, 1)
}

// promptLoad sends prompts of 1,800 tokens whose answers take 4 s, of which an engine of a test fleet runs 10 at a time.
type promptLoad struct {
	key string
	// entries are the entries that the prompts are sent to, in turn.
	entries []*testEntry
	// interval is the time between two prompts.
	interval time.Duration
	// sent and answered are the numbers of prompts sent, and answered completely.
	sent, answered int
}

func (l *promptLoad) fraction() float64 { return float64(l.answered) / float64(l.sent) }

// sendPrompts sends the prompts of all loads for the given time and waits for their ends. Prompts of the first warmUp are
// not counted.
func (f *testFleet) sendPrompts(warmUp, length time.Duration, loads ...*promptLoad) {
	var lock sync.Mutex
	var background sync.WaitGroup
	start := time.Now()
	for _, l := range loads {
		background.Go(func() {
			for n := 0; time.Since(start) < length; n++ {
				entry := l.entries[n%len(l.entries)]
				counted := time.Since(start) >= warmUp
				background.Go(func() {
					c := client.New(client.Config{APIKey: l.key, MaxTries: 1, HTTPClient: f.httpClient(), SeedsOnly: true, Seeds: []netip.AddrPort{entry.settings.Address}})
					prompt := strings.Repeat(fmt.Sprintf("%07d ", n), 900)
					_, err := c.Complete(context.Background(), api.CompletionRequest{Model: "model", Prompt: prompt, MaxTokens: 200}, client.Options{Timeout: 14 * time.Second}, nil)
					lock.Lock()
					defer lock.Unlock()
					if counted {
						l.sent++
					}
					if counted && err == nil {
						l.answered++
					}
				})
				time.Sleep(l.interval)
			}
		})
	}
	background.Wait()
}

// withRankedFleet runs a function on a fleet of two entries and three engines, which answer 7 prompts of promptLoad a
// second, with two organisations.
func withRankedFleet(t *testing.T, teamRank, smallRank int, run func(*testFleet)) {
	withReadyFleet(t, func(f *testFleet) {
		f.platform.Publish([]byte(rankedDocument(2, len(f.engines), "", teamRank, smallRank)), false)
		time.Sleep(3 * time.Second)
		run(f)
	})
}

// Guards against an organisation that gets only the part of its prompts that it has of all prompts offered, where another,
// greedy one asks all entries and it asks one.
func TestGreedyOrganisationAtAllEntries(t *testing.T) {
	withRankedFleet(t, 0, 0, func(f *testFleet) {
		is := is.New(t)
		greedy := &promptLoad{key: testKey, entries: f.entries, interval: 45 * time.Millisecond}
		small := &promptLoad{key: smallKey, entries: f.entries[:1], interval: 800 * time.Millisecond}
		f.sendPrompts(5*time.Second, 30*time.Second, greedy, small)
		t.Logf("answered: greedy %d of %d, small %d of %d", greedy.answered, greedy.sent, small.answered, small.sent)
		is.True(small.fraction() >= 0.96)
		is.True(greedy.answered+small.answered >= 150) // of 180 that the engines can answer
	})
}

// Guards against the same where the greedy organisation asks one entry and the other entry, which is the keeper of some
// engines, is killed.
func TestGreedyOrganisationWhileKeepersChange(t *testing.T) {
	withRankedFleet(t, 0, 0, func(f *testFleet) {
		is := is.New(t)
		greedy := &promptLoad{key: testKey, entries: f.entries[:1], interval: 45 * time.Millisecond}
		small := &promptLoad{key: smallKey, entries: f.entries[:1], interval: 800 * time.Millisecond}
		time.AfterFunc(12*time.Second, func() { f.killEntry(f.entries[1]) })
		f.sendPrompts(5*time.Second, 30*time.Second, greedy, small)
		t.Logf("answered: greedy %d of %d, small %d of %d", greedy.answered, greedy.sent, small.answered, small.sent)
		is.True(small.fraction() >= 0.9)
	})
}

// Guards against entries of two versions that don't understand each other's asks.
func TestAskOfAnotherVersion(t *testing.T) {
	is := is.New(t)
	type earlierAskArgs struct {
		Engine        string
		PrefillTokens int
	}
	transfer := func(from, to any) {
		var b bytes.Buffer
		is.NoErr(gob.NewEncoder(&b).Encode(from))
		is.NoErr(gob.NewDecoder(&b).Decode(to))
	}
	var earlier earlierAskArgs
	transfer(api.AskArgs{Engine: "e", PrefillTokens: 7, Organisation: "small", Rank: 3, SentBefore: true}, &earlier)
	is.Equal(earlier, earlierAskArgs{Engine: "e", PrefillTokens: 7})
	var current api.AskArgs
	transfer(earlier, &current)
	is.Equal(current, api.AskArgs{Engine: "e", PrefillTokens: 7})
}

// Guards against holds that count for no organisation: the shards of a group, which no keeper grants, and holds at engines
// whose keeper has changed.
func TestKeepersKnowWhoseHoldsAre(t *testing.T) {
	withReadyFleet(t, func(f *testFleet) {
		is := is.New(t)
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			_, err := f.directClient(f.entries[0], 1).Complete(context.Background(), groupPrompt(), client.Options{Timeout: 100 * time.Second}, nil)
			is.NoErr(err)
		}()
		checkUses := func(entries ...*testEntry) {
			kept := 0
			for _, e := range entries {
				e.server.onControl(func(c *control) {
					for _, k := range c.keepers {
						kept++
						is.True(k.Use(time.Now(), "team") > 0.5)
						is.Equal(k.Use(time.Now(), ""), 0.0)
					}
				})
			}
			is.Equal(kept, len(f.engines))
		}
		time.Sleep(4 * time.Second)
		is.True(len(f.entries[1].server.keptEngines()) > 0)
		checkUses(f.entries...)
		f.killEntry(f.entries[1])
		time.Sleep(8 * time.Second)
		checkUses(f.entries[0])
		<-answered
	})
}

// Guards against a call that is refused for the share of its organisation and is reported as having run, or without the
// time after which it may be tried again.
func TestCallOverShare(t *testing.T) {
	withReadyFleet(t, func(f *testFleet) {
		is := is.New(t)
		s := f.entries[0].server
		x := &exchange{server: s, service: &validator.Service{Name: "dispatch"}, organisation: &validator.Organisation{Name: "team"}}
		refused := s.callRefusal(x, &dispatcher.Refusal{Reason: dispatcher.ReasonOverShare, RetryAfter: 1200 * time.Millisecond})
		detail := x.errorDetail(refused)
		is.Equal(detail.Code, api.CodeOverloaded)
		is.Equal(detail.Outcome, api.OutcomeNotRun)
		is.Equal(detail.RetryAfterSeconds, 1.2)
		is.True(s.callRefusal(x, &dispatcher.Refusal{Reason: dispatcher.ReasonOverShare}).retryAfter > 0)
		is.Equal(s.callRefusal(x, &dispatcher.Refusal{Reason: "no_upstream"}).code, api.CodeNoUpstream)
	})
}

// Guards against ranks that are ignored, and against a document that changes them and applies only to new entries or
// engines.
func TestRanksChangeUnderLoad(t *testing.T) {
	withRankedFleet(t, 0, 2, func(f *testFleet) {
		is := is.New(t)
		phase := func() (team, small *promptLoad) {
			team = &promptLoad{key: testKey, entries: f.entries, interval: 90 * time.Millisecond}
			small = &promptLoad{key: smallKey, entries: f.entries, interval: 90 * time.Millisecond}
			f.sendPrompts(5*time.Second, 17*time.Second, team, small)
			t.Logf("answered: team %d of %d, small %d of %d", team.answered, team.sent, small.answered, small.sent)
			return team, small
		}
		team, small := phase()
		is.True(team.answered > 2*small.answered)
		is.True(small.answered > 0)
		f.platform.Publish([]byte(rankedDocument(3, len(f.engines), "", 2, 0)), false)
		team, small = phase()
		is.True(small.answered > 2*team.answered)
		is.True(team.answered > 0)
	})
}

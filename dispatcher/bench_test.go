package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/matcher"
)

// loadedDispatcher returns a dispatcher with the engines of the largest deployment, 112 of 10
// slots, each of which answers the given number of requests, as in a burst.
func loadedDispatcher(b testing.TB, answers int) *Dispatcher {
	b.Helper()
	engine := testEngine
	engine.Slots, engine.StepsPerPass = 10, 80
	table, err := matcher.New(matcher.Config{Services: []matcher.Service{{Name: "lm", Engine: &engine}}})
	if err != nil {
		b.Fatal(err)
	}
	dispatcher := New("a", rand.New(rand.NewPCG(1, 2)))
	var instances []Instance
	for i := range 112 {
		instances = append(instances, Instance{ID: fmt.Sprintf("e%03d", i), Service: "lm", DataCentre: "a", Slots: 10})
	}
	dispatcher.UpdateUpstreams(table, instances)
	dispatcher.SetPeers(94, false)
	for i := range 112 * answers {
		d := shortDemand
		d.SentBefore = true
		if i%20 == 0 {
			d = mediumDemand
			d.SentBefore = true
		}
		p, refusal := dispatcher.Place(startTime, d)
		if refusal != nil {
			b.Fatal(refusal)
		}
		p.RecordFirstByte(startTime.Add(time.Millisecond))
	}
	return dispatcher
}

// BenchmarkPlace measures the choice of engines for a short prompt and for a long one, which may
// also be deferred.
func BenchmarkPlace(b *testing.B) {
	for _, answers := range []int{1, 6} {
		dispatcher := loadedDispatcher(b, answers)
		now := startTime.Add(10 * time.Millisecond)
		for name, d := range map[string]Demand{"short": shortDemand, "long": withPrompt(longDemand, 220000)} {
			b.Run(fmt.Sprintf("%s/answers=%d", name, answers), func(b *testing.B) {
				for range b.N {
					dispatcher.lock.Lock()
					dispatcher.choose(now, d)
					dispatcher.lock.Unlock()
				}
			})
		}
	}
}

// BenchmarkRefuseOverShare measures the refusal of a request for its share while 300 organisations have requests in
// progress.
func BenchmarkRefuseOverShare(b *testing.B) {
	dispatcher := New("a", rand.New(rand.NewPCG(1, 2)))
	dispatcher.UpdateUpstreams(&matcher.Table{}, []Instance{{ID: "i", Service: "app", Slots: 300}})
	for i := range 660 {
		if _, refusal := dispatcher.Place(startTime, withKind(plainDemand, apportioner.Organisation(1+i%300), 0)); refusal != nil {
			break
		}
	}
	for range b.N {
		if _, refusal := dispatcher.Place(startTime, withKind(plainDemand, 1, 0)); refusal == nil {
			b.Fatal("placed")
		}
	}
}

// BenchmarkApplyPeerLoads measures the decoding and application of the load of all requests of a
// peer.
func BenchmarkApplyPeerLoads(b *testing.B) {
	dispatcher, peer := loadedDispatcher(b, 6), loadedDispatcher(b, 1)
	messages := EncodeLoadUpdates(CompactIDOf("far"), peer.TakeLoadChanges(startTime, true))
	b.ResetTimer()
	for range b.N {
		for _, m := range messages {
			peer, loads, err := DecodeLoadUpdate(m)
			if err != nil {
				b.Fatal(err)
			}
			dispatcher.ApplyPeerLoads(startTime, peer, loads)
		}
	}
	b.ReportMetric(float64(len(messages)), "messages/op")
}

package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/matcher"
)

// loadedBoard is a board of 112 engines of 10 slots, of which each answers as many
// requests as given: the size of the largest deployment and its load in a burst.
func loadedBoard(b testing.TB, answers int) *Dispatcher {
	b.Helper()
	engine := testEngine
	engine.Slots, engine.Stride = 10, 80
	table, err := matcher.New(matcher.Config{Services: []matcher.Service{{Name: "lm", Engine: &engine}}})
	if err != nil {
		b.Fatal(err)
	}
	board := New("a", rand.New(rand.NewPCG(1, 2)))
	var instances []Instance
	for i := range 112 {
		instances = append(instances, Instance{ID: fmt.Sprintf("e%03d", i), Service: "lm", DataCentre: "a", Slots: 10})
	}
	board.Update(table, instances)
	board.SetPeers(94, false)
	for i := range 112 * answers {
		d := tower
		d.Admitted = true
		if i%20 == 0 {
			d = span
			d.Admitted = true
		}
		p, refusal := board.Place(start, d)
		if refusal != nil {
			b.Fatal(refusal)
		}
		p.FirstByteSeen(start.Add(time.Millisecond))
	}
	return board
}

// BenchmarkPlace is the processor time of a choice, for a short and a long prompt and for a
// long one that is told to wait.
func BenchmarkPlace(b *testing.B) {
	for _, answers := range []int{1, 6} {
		board := loadedBoard(b, answers)
		now := start.Add(10 * time.Millisecond)
		for name, d := range map[string]Demand{"short": tower, "long": withPrompt(audit, 220000)} {
			b.Run(fmt.Sprintf("%s/answers=%d", name, answers), func(b *testing.B) {
				for range b.N {
					board.lock.Lock()
					board.find(now, d)
					board.lock.Unlock()
				}
			})
		}
	}
}

// BenchmarkImport is the processor time of one message of a peer.
func BenchmarkImport(b *testing.B) {
	board, far := loadedBoard(b, 6), loadedBoard(b, 1)
	messages := EncodeLoadUpdates(WireIDOf("far"), far.Export(start, true))
	b.ResetTimer()
	for range b.N {
		for _, m := range messages {
			peer, shares, err := DecodeLoadUpdate(m)
			if err != nil {
				b.Fatal(err)
			}
			board.Import(start, peer, shares)
		}
	}
	b.ReportMetric(float64(len(messages)), "messages/op")
}

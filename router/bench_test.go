package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func newBenchIndex(engines int) *EngineIndex {
	var list []*Engine
	for i := range engines {
		list = append(list, &Engine{
			Name: fmt.Sprintf("engine-%d", i), Model: fmt.Sprintf("model-%d", i%4), Version: "1",
			MemoryTokens: 400_000, PrefillRate: 20_000, Load: &Load{},
		})
	}
	return NewEngineIndex(list)
}

// BenchmarkChoose measures the cost of choosing engines for one request, with concurrent goroutines
// as in operation.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{14, 150, 600, 1200} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			index := newBenchIndex(engines)
			now := time.Now()
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				random := rand.New(rand.NewPCG(1, 2))
				needs := Requirements{Model: "model-1", PrefillTokens: 1000, MemoryTokens: 1100}
				for pb.Next() {
					index.Choose(now, Predicted, needs, 3, random)
				}
			})
		})
	}
}

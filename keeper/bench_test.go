package keeper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/apportioner"
	"github.com/sapphireramp/sapphireramp/keeper"
)

// BenchmarkRequestGrantWhileShort measures an ask at an engine with 100 prompts of 20 organisations, while 400 asks of 40
// organisations with three ranks wait.
func BenchmarkRequestGrantWhileShort(b *testing.B) {
	now := time.Now()
	c := config
	c.MemoryTokens, c.PrefillRate = 100_000, 1_000_000
	large := load
	large.MemoryTokens = 100_000
	k := keeper.New(c)
	k.RecordLoadAndHolds(now, large, nil)
	ask := func(i, organisations, tokens int) keeper.Reason {
		r := newRequest(fmt.Sprint("attempt-", i), tokens)
		r.Organisation, r.Rank = fmt.Sprint("organisation-", i%organisations), apportioner.NewRank(i%3, 0)
		return k.RequestGrant(now, r).Reason
	}
	for i := range 99 {
		ask(i, 20, 1000)
	}
	for i := range 400 {
		ask(100+i, 40, 2000)
	}
	for b.Loop() {
		if reason := ask(2000, 20, 900); reason != keeper.OverShare {
			b.Fatal(reason)
		}
	}
}

package launcher_test

import (
	"testing"
	"time"
)

func restartAll(r *retryTest, _ int) {
	for _, e := range r.entries {
		r.killEntry(e)
	}
	time.Sleep(500 * time.Millisecond)
	for i := range r.entries {
		r.entries[i] = r.startEntry(i)
	}
}

// All entries are killed at once, again and again.
func TestRetriesStayWithinBudgetWhileAllEntriesAreKilled(t *testing.T) {
	withRetryTest(t, during(2500*time.Millisecond, restartAll), (*retryTest).checkWithinBudget)
}

// Entries are killed one after the other.
func TestRetriesStayWithinBudgetWhileEntriesAreKilledInTurn(t *testing.T) {
	withRetryTest(t, during(500*time.Millisecond, func(r *retryTest, n int) {
		r.restartEntry(n%len(r.entries), 200*time.Millisecond)
	}), (*retryTest).checkWithinBudget)
}

package budgeter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/budgeter"
)

var config = budgeter.Config{Ratio: 0.2, Window: 10 * time.Second, BaseRetries: 70}

// Seven entries that retry as often as they are allowed to stay within the shared budget in every
// window, however requests are distributed among them.
func TestEntriesStayWithinSharedBudget(t *testing.T) {
	is := is.New(t)
	const entries = 7
	start := time.Unix(1000, 0)
	var requested, retried []time.Time
	for entry := range entries {
		b := budgeter.New(start, config)
		for tick := range 600 {
			now := start.Add(time.Duration(tick) * 50 * time.Millisecond)
			if tick%(entry+2) == 0 {
				b.RecordRequest(now, "lm")
				requested = append(requested, now)
			}
			if spend(b, now, "lm", entries) {
				retried = append(retried, now)
			}
		}
	}
	within := func(times []time.Time, from time.Time) int {
		n := 0
		for _, t := range times {
			if !t.Before(from) && t.Before(from.Add(config.Window)) {
				n++
			}
		}
		return n
	}
	for tick := range 400 {
		from := start.Add(time.Duration(tick) * 50 * time.Millisecond)
		allowed := config.Ratio*float64(within(requested, from)) + float64(config.BaseRetries)
		is.True(float64(within(retried, from)) <= allowed) // retries in every window
	}
	is.True(len(retried) > 100)
}

func TestBudgetRefills(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	b := budgeter.New(start, config)
	now := start.Add(config.Window)
	for spend(b, now, "lm", 7) {
	}
	is.True(!spend(b, now, "lm", 7))
	is.True(spend(b, now, "app", 7)) // each service has a budget of its own
	is.True(spend(b, now.Add(11*time.Second), "lm", 7))
}

// spend makes a retry if the budget allows it at the time now, and reports whether it does.
func spend(b *budgeter.Budgeter, now time.Time, service string, entries int) bool {
	r, d := b.Reserve(now, service, entries)
	if d.Allowed {
		r.Use(now)
	}
	return d.Allowed
}

// spendAll makes every retry that the budget allows at the time now, and returns their number.
func spendAll(b *budgeter.Budgeter, now time.Time, entries int) int {
	n := 0
	for spend(b, now, "lm", entries) {
		n++
	}
	return n
}

// Guards against an entry that has a whole budget again with each restart, whatever its predecessors have used.
func TestRestartsAddNoBudget(t *testing.T) {
	const tick, requestsPerTick = 50 * time.Millisecond, 3
	for _, lifetime := range []time.Duration{tick, time.Second, 3 * time.Second, 9 * time.Second} {
		t.Run(lifetime.String(), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			b := budgeter.New(now, config)
			advance := func() {
				now = now.Add(tick)
				for range requestsPerTick {
					b.RecordRequest(now, "lm")
				}
			}
			for range 2 * config.Window / tick {
				advance()
			}
			first := now
			retries := spendAll(b, now, 1)
			restartedAt := time.Time{}
			for now.Sub(first) < config.Window-tick {
				if now.Sub(restartedAt) >= lifetime {
					restartedAt, b = now, budgeter.NewAfterRestart(now, config)
				}
				advance()
				retries += spendAll(b, now, 1)
			}
			allowed := config.Ratio*float64(requestsPerTick*config.Window/tick) + float64(config.BaseRetries)
			is.True(float64(retries) <= 0.95*allowed) // within one window
			is.True(float64(retries) > 0.5*allowed)
		})
	}
}

// Guards against an entry that has no retries for longer than those of its predecessor count.
func TestRestartedEntryHasItsBudgetAfterAWindow(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	restarted, first := budgeter.NewAfterRestart(start, config), budgeter.New(start, config)
	is.True(spendAll(restarted, start.Add(config.Window-time.Second), 1) > 0)
	is.Equal(spendAll(restarted, start.Add(2*config.Window), 1), spendAll(first, start.Add(2*config.Window), 1))
}

// Guards against an entry that uses base retries of which it does not know with how many others it shares them.
func TestBaseRetriesAreNotUsedWhereEntriesAreUnknown(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	b := budgeter.New(start, config)
	is.Equal(spendAll(b, start.Add(2*config.Window), 0), 0)
	for range 100 {
		b.RecordRequest(start.Add(2*config.Window), "lm")
	}
	n := spendAll(b, start.Add(2*config.Window), 0)
	is.True(n > 0 && float64(n) <= config.Ratio*100)
}

// Guards against retries that wait until they are sent and are then sent together, when those made before them are not
// counted any more.
func TestRetriesCountWhenTheyAreSent(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	b := budgeter.New(start, config)
	now := start.Add(config.Window)
	var waiting []*budgeter.Reservation
	for range 400 { // two windows
		now = now.Add(config.Window / 200)
		if r, d := b.Reserve(now, "lm", 1); d.Allowed {
			waiting = append(waiting, r)
		}
	}
	for _, r := range waiting {
		r.Use(now)
	}
	sent := len(waiting)
	for range 190 {
		now = now.Add(config.Window / 200)
		sent += spendAll(b, now, 1)
	}
	is.True(sent <= config.BaseRetries)
	is.True(sent > config.BaseRetries/2)
}

// Guards against retries that no upstream got and that are counted all the same.
func TestReleasedReservationsDoNotCount(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	b := budgeter.New(start, config)
	now := start.Add(config.Window)
	for range 1000 {
		r, d := b.Reserve(now, "lm", 1)
		is.True(d.Allowed)
		r.Release()
	}
}

// Guards against an entry with few retries that uses the burst part as one without a steady part, and the latter too
// once a few more requests have come.
func TestPartsTogetherKeepToTheBudgetOfSmallEntries(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	c := config
	c.BaseRetries = 11
	const entries = 2
	b := budgeter.New(start, c)
	now := start.Add(2 * c.Window)
	retries := spendAll(b, now, entries)
	b.RecordRequest(now, "lm")
	for range 99 {
		now = now.Add(c.Window / 100)
		retries += spendAll(b, now, entries)
	}
	is.True(float64(retries) <= 0.95*(c.Ratio+float64(c.BaseRetries)/entries))
	is.True(retries >= 4)
}

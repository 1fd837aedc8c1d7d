package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Where an answer must end before the entry that relays it exits, its maximum length decides
// whether the request is placed. The expected length does not: half of all answers exceed it.
func TestLongestAnswerEndsBeforeEntryStops(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	for _, c := range []struct {
		maxAnswer int
		within    time.Duration
		placed    bool
	}{
		{4500, 7 * time.Second, true},
		{4500, 3 * time.Second, false},
		{400, 3 * time.Second, true},
		{0, 7 * time.Second, false},
	} {
		d := shortDemand
		d.AnswerTokens, d.MaxAnswerTokens, d.EndWithin, d.Remaining = 100, c.maxAnswer, c.within, c.within
		_, refusal := testDispatcher(t, 3).Place(now, d)
		is.Equal(refusal == nil, c.placed)
		is.True(c.placed || refusal.OutlivesEntry)
	}
}

// The latest end of an answer is later on an engine that has been slower than predicted.
func TestSlowEngineExtendsLatestEnd(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := testDispatcher(t, 1)
	for range 20 {
		p := place(t, b, now, shortDemand)
		now = now.Add(3 * (p.ExpectedFirstByte + predictionSlack))
		p.RecordFirstByte(now)
		p.End(now, Answered)
	}
	d := shortDemand
	d.MaxAnswerTokens, d.EndWithin, d.SentBefore = 4500, 7*time.Second, true
	_, refusal := b.Place(now, d)
	is.True(refusal != nil && refusal.OutlivesEntry)
}

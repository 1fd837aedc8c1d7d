package worker

import (
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"time"
)

// AnswerPlan is how long the answers to requests last, by their ids.
type AnswerPlan struct {
	// EventCount is how many events a stream has.
	EventCount func(id string) int
	// CallDuration is how long a plain call is worked on.
	CallDuration func(id, path string) time.Duration
}

// Lengths are drawn from ids, so that a second run of a request lasts as long as
// the first, and callers know what they ask for.
const (
	// MinAnswerDuration and LongestAnswer bound streams; callers wait 7 s.
	MinAnswerDuration = 300 * time.Millisecond
	MaxStreamDuration = 6900 * time.Millisecond
	// usualAnswer bounds three streams in five.
	usualAnswer = 1500 * time.Millisecond
	// quickCall is how long seven plain calls in eight take.
	quickCall = 15 * time.Millisecond
	// longestCall and longestSafeCall bound the eighth. Callers wait 7 s and 4 s;
	// what is safe to repeat may be given up after 0.6 s and run again.
	longestCall     = 6600 * time.Millisecond
	longestSafeCall = 3 * time.Second
)

// RandomPlan draws lengths, with a pause between events.
func RandomPlan(pause time.Duration) *AnswerPlan {
	return &AnswerPlan{EventCount: func(id string) int { return int(drawnAnswer(id) / pause) }, CallDuration: drawnWork}
}

// TokenUsage returns the most tokens that a caller allows for the answer, up to half more than it
// has, and the caller's estimate, which may be too low or too high.
func (p *AnswerPlan) TokenUsage(id string, tokensOfEvent int) (most, hint int) {
	r, tokens := randomOf(id+" usage"), float64(p.EventCount(id)*tokensOfEvent)
	return int(tokens * (1 + r.Float64()/2)), int(tokens * (0.6 + 0.8*r.Float64()))
}

func randomOf(id string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return rand.New(rand.NewPCG(h.Sum64(), 1))
}

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Float64()*float64(most-least))
}

func drawnAnswer(id string) time.Duration {
	r := randomOf(id)
	if r.IntN(5) < 3 {
		return between(r, MinAnswerDuration, usualAnswer)
	}
	return between(r, usualAnswer, MaxStreamDuration)
}

func drawnWork(id, path string) time.Duration {
	r := randomOf(id)
	if r.IntN(8) > 0 {
		return quickCall
	}
	if strings.HasPrefix(path, "/safe/") {
		return between(r, MinAnswerDuration, longestSafeCall)
	}
	return between(r, MinAnswerDuration, longestCall)
}

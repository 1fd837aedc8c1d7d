package worker

import (
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"time"
)

// AnswerPlan determines the length of each answer from the request's ID.
type AnswerPlan struct {
	// EventCount returns the number of events of a stream.
	EventCount func(id string) int
	// CallDuration returns the time until a plain call is answered. It may be
	// nil if there are only streams.
	CallDuration func(id, path string) time.Duration
}

// Durations of RandomPlan. They are derived from the request's ID, so that every
// execution of a request takes the same time and callers can compute it.
const (
	// MinAnswerDuration is the shortest duration of streams and of slow plain
	// calls.
	MinAnswerDuration = 300 * time.Millisecond
	// MaxStreamDuration is the longest duration of streams; their callers wait 7 s.
	MaxStreamDuration = 6900 * time.Millisecond
	// usualStreamDuration is the longest duration of three streams in five, and
	// the shortest of the others.
	usualStreamDuration = 1500 * time.Millisecond
	// quickCallDuration is the duration of seven plain calls in eight.
	quickCallDuration = 15 * time.Millisecond
	// maxCallDuration is the longest duration of the plain calls that are
	// neither quick nor safe to repeat; their callers wait 7 s.
	maxCallDuration = 6600 * time.Millisecond
	// maxSafeCallDuration is the longest duration of the plain calls that are
	// not quick but safe to repeat. Their route times out after 4 s, and an
	// attempt may be given up after 0.6 s and executed again.
	maxSafeCallDuration = 3 * time.Second
)

// RandomPlan returns a plan with random durations, where eventGap is the time
// between two events of a stream.
func RandomPlan(eventGap time.Duration) *AnswerPlan {
	return &AnswerPlan{EventCount: func(id string) int { return int(randomStreamDuration(id) / eventGap) }, CallDuration: randomCallDuration}
}

// TokenUsage returns what a caller states about the length of the answer to a
// request, in tokens: maxTokens is the limit, from 1 to 1.5 times the actual
// length, and hint an estimate, from 0.6 to 1.4 times the actual length.
func (p *AnswerPlan) TokenUsage(id string, tokensPerEvent int) (maxTokens, hint int) {
	r, tokens := seededRandom(id+" usage"), float64(p.EventCount(id)*tokensPerEvent)
	return int(tokens * (1 + r.Float64()/2)), int(tokens * (0.6 + 0.8*r.Float64()))
}

// seededRandom returns a random generator whose seed is a hash of id.
func seededRandom(id string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return rand.New(rand.NewPCG(h.Sum64(), 1))
}

// randomDuration returns a uniformly distributed duration.
func randomDuration(r *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.Float64()*float64(longest-shortest))
}

// randomStreamDuration returns the duration of the stream with the given ID.
func randomStreamDuration(id string) time.Duration {
	r := seededRandom(id)
	if r.IntN(5) < 3 {
		return randomDuration(r, MinAnswerDuration, usualStreamDuration)
	}
	return randomDuration(r, usualStreamDuration, MaxStreamDuration)
}

// randomCallDuration returns the duration of the plain call with the given ID;
// paths under /safe/ are safe to repeat.
func randomCallDuration(id, path string) time.Duration {
	r := seededRandom(id)
	if r.IntN(8) > 0 {
		return quickCallDuration
	}
	if strings.HasPrefix(path, "/safe/") {
		return randomDuration(r, MinAnswerDuration, maxSafeCallDuration)
	}
	return randomDuration(r, MinAnswerDuration, maxCallDuration)
}

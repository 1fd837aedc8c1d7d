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
	// usualStreamDuration bounds three streams in five.
	usualStreamDuration = 1500 * time.Millisecond
	// quickCallDuration is how long seven plain calls in eight take.
	quickCallDuration = 15 * time.Millisecond
	// maxCallDuration and longestSafeCall bound the eighth. Callers wait 7 s and 4 s;
	// what is safe to repeat may be given up after 0.6 s and run again.
	maxCallDuration     = 6600 * time.Millisecond
	maxSafeCallDuration = 3 * time.Second
)

// RandomPlan draws lengths, with a pause between events.
func RandomPlan(eventGap time.Duration) *AnswerPlan {
	return &AnswerPlan{EventCount: func(id string) int { return int(randomStreamDuration(id) / eventGap) }, CallDuration: randomCallDuration}
}

// TokenUsage returns the most tokens that a caller allows for the answer, up to half more than it
// has, and the caller's estimate, which may be too low or too high.
func (p *AnswerPlan) TokenUsage(id string, tokensPerEvent int) (maxTokens, hint int) {
	r, tokens := seededRandom(id+" usage"), float64(p.EventCount(id)*tokensPerEvent)
	return int(tokens * (1 + r.Float64()/2)), int(tokens * (0.6 + 0.8*r.Float64()))
}

func seededRandom(id string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return rand.New(rand.NewPCG(h.Sum64(), 1))
}

func randomDuration(r *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.Float64()*float64(longest-shortest))
}

func randomStreamDuration(id string) time.Duration {
	r := seededRandom(id)
	if r.IntN(5) < 3 {
		return randomDuration(r, MinAnswerDuration, usualStreamDuration)
	}
	return randomDuration(r, usualStreamDuration, MaxStreamDuration)
}

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

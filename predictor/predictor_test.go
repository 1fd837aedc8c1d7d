package predictor_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/predictor"
)

// engine returns the profile of the engines of the first deployments.
func engine() *matcher.EngineProfile {
	return &matcher.EngineProfile{
		Slots: 16, MemoryTokens: 315000, StepsPerPass: 51, StepTime: 850 * time.Microsecond, TimePerSequence: 4250 * time.Nanosecond,
		TimePerThousandTokens: 2850 * time.Nanosecond, PrefillTokensPerSecond: 177000, TimePerMillionPairs: 184 * time.Microsecond, ChunkTokens: 2048,
	}
}

// near reports whether two durations differ by less than within.
func near(got, want, within time.Duration) bool { return got > want-within && got < want+within }

// The pairs of tokens dominate the prefill of a long prompt: 154,000 tokens take 0.87 s at the
// prefill rate and 2.18 s for their pairs.
func TestPrefillTime(t *testing.T) {
	is := is.New(t)
	e := engine()
	is.True(near(predictor.PrefillTime(e, 4960), 30*time.Millisecond, 2*time.Millisecond))
	is.True(near(predictor.PrefillTime(e, 154000), 3050*time.Millisecond, 20*time.Millisecond))
	is.True(near(predictor.ShardPrefillTime(e, 154000, 10), 305*time.Millisecond, 5*time.Millisecond))
	is.Equal(predictor.PrefillTime(e, 0), time.Duration(0))
}

func TestDecodePassTime(t *testing.T) {
	is := is.New(t)
	e := engine()
	is.Equal(predictor.DecodePassTime(e, 0, 0), time.Duration(0))
	is.True(near(predictor.DecodePassTime(e, 10, 66000), 55*time.Millisecond, 2*time.Millisecond))
}

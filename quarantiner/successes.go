package quarantiner

import "time"

// maxGenerationSize is the maximum number of fingerprints in each map of a successCache.
const maxGenerationSize = 4096

// successCache holds the time of the last success of each fingerprint that succeeded recently. A
// fingerprint is evicted only after successes of maxGenerationSize others. The zero value is empty.
type successCache struct {
	// current holds the most recent successes. When current is full, it replaces previous, whose
	// fingerprints are thereby evicted.
	current, previous map[Fingerprint]time.Time
}

// add records a success of a fingerprint at the time now.
func (s *successCache) add(now time.Time, fp Fingerprint) {
	if s.current == nil || len(s.current) >= maxGenerationSize {
		s.current, s.previous = map[Fingerprint]time.Time{}, s.current
	}
	s.current[fp] = now
}

// last returns the time of the last success of a fingerprint, and whether it is in the cache.
func (s *successCache) last(fp Fingerprint) (time.Time, bool) {
	if at, ok := s.current[fp]; ok {
		return at, true
	}
	at, ok := s.previous[fp]
	return at, ok
}

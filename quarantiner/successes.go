package quarantiner

import "time"

// maxGenerationSize bounds each half of an answerCache.
const maxGenerationSize = 4096

// successCache holds when contents were last answered. What is not answered again while
// as many others are is forgotten.
type successCache struct {
	// current are the newest answers; when they are too many they become old, and what was old
	// is forgotten.
	current, previous map[Fingerprint]time.Time
}

func (s *successCache) add(now time.Time, fp Fingerprint) {
	if s.current == nil || len(s.current) >= maxGenerationSize {
		s.current, s.previous = map[Fingerprint]time.Time{}, s.current
	}
	s.current[fp] = now
}

// last is when a content was last answered, as far as remembered.
func (s *successCache) last(fp Fingerprint) (time.Time, bool) {
	if at, ok := s.current[fp]; ok {
		return at, true
	}
	at, ok := s.previous[fp]
	return at, ok
}

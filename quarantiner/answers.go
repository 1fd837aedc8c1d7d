package quarantiner

import "time"

// mostAnswers bounds each half of an answerCache.
const mostAnswers = 4096

// answerCache holds when contents were last answered. What is not answered again while
// as many others are is forgotten.
type answerCache struct {
	// young are the newest answers; when they are too many they become old, and what was old
	// is forgotten.
	young, old map[Fingerprint]time.Time
}

func (a *answerCache) add(now time.Time, c Fingerprint) {
	if a.young == nil || len(a.young) >= mostAnswers {
		a.young, a.old = map[Fingerprint]time.Time{}, a.young
	}
	a.young[c] = now
}

// last is when a content was last answered, as far as remembered.
func (a *answerCache) last(c Fingerprint) (time.Time, bool) {
	if at, ok := a.young[c]; ok {
		return at, true
	}
	at, ok := a.old[c]
	return at, ok
}

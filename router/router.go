// Package router chooses the engines that a prompt is offered to. The choice
// works on an immutable Board and on counters of the entry's own requests,
// so any number of traffic goroutines choose at once without a lock.
package router

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

// Policy names a way of choosing.
type Policy string

// The policies. Predicted is the product's own; the others are baselines to
// measure it against.
const (
	Predicted   Policy = "Predicted"
	PowerOfTwo  Policy = "PowerOfTwo"
	FewestOwn   Policy = "FewestOwn"
	RoundRobin  Policy = "RoundRobin"
	RandomOrder Policy = "RandomOrder"
)

// LengthClass of a prompt's length.
type LengthClass int

// The classes, and the longest prompt of each in multiples of the longest of
// the short class.
const (
	Short LengthClass = iota
	Medium
	Long
	Longest
)

const (
	mediumFactor = 8
	longFactor   = 32
)

// ClassCount is how many classes there are.
const ClassCount = int(Longest) + 1

// TokensByClass is prompt tokens waiting, by class.
type TokensByClass [ClassCount]int

// AheadOf is how many tokens engines prefill before a prompt of the class.
func (q TokensByClass) AheadOf(c LengthClass) int {
	sum := 0
	for _, tokens := range q[:c+1] {
		sum += tokens
	}
	return sum
}

// ClassOf is the class of a prompt, given the longest prompt of the short one.
func ClassOf(tokens, shortTokens int) LengthClass {
	switch {
	case tokens <= shortTokens:
		return Short
	case tokens <= mediumFactor*shortTokens:
		return Medium
	case tokens <= longFactor*shortTokens:
		return Long
	}
	return Longest
}

// Priority is what engines schedule a prompt by: the shorter, the higher, up
// to the weight that the document gives the short class. The weight is 0, or
// at least 3, so that no two classes have one priority.
func Priority(class LengthClass, shortWeight int) int {
	return shortWeight * int(Longest-class) / int(Longest)
}

// sampleSize is how many engines Predicted weighs where there are more: looking
// at all of many on old figures sends every entry to the same one.
const sampleSize = 8

// Load is what an entry knows of an engine's load. Fields are written by any
// goroutine; a reader may see them one update apart.
type Load struct {
	// OwnPrefillTokens is prompt tokens this entry sent and saw no first token of,
	// by class.
	OwnPrefillTokens [ClassCount]atomic.Int64
	// OwnInFlight is this entry's attempts in progress.
	OwnInFlight atomic.Int64
	// QueuedTokens, by class, and Free are as the keeper last said.
	QueuedTokens [ClassCount]atomic.Int64
	FreeTokens   atomic.Int64
	// timePerToken is the time between answer tokens that this entry saw last, and
	// pacedAt when, in nanoseconds; both 0 before the first.
	timePerToken   atomic.Int64
	timePerTokenAt atomic.Int64
	// ReportedAt is when the keeper said so, in nanoseconds since the epoch of
	// the entry's clock; 0 when it never did.
	ReportedAt atomic.Int64
}

// Engine is one engine that may be chosen.
type Engine struct {
	Name         string
	Address      string
	DataCentre   string
	Model        string
	Version      string
	Adapters     []string
	Role         string
	Keeper       string
	MemoryTokens int
	PrefillRate  int
	// OneWayDelay is the time of one way between the entry and the engine.
	OneWayDelay time.Duration
	// Load is shared by successive boards.
	Load *Load
}

// EngineIndex is all engines that may be chosen. It is never changed.
type EngineIndex struct {
	byModel  map[string][]*Engine
	byName   map[string]*Engine
	rotation *atomic.Uint64
}

// NewEngineIndex returns a board of the engines.
func NewEngineIndex(engines []*Engine) *EngineIndex {
	x := &EngineIndex{byModel: map[string][]*Engine{}, byName: make(map[string]*Engine, len(engines)), rotation: &atomic.Uint64{}}
	for _, e := range engines {
		x.byModel[e.Model] = append(x.byModel[e.Model], e)
		x.byName[e.Name] = e
	}
	return x
}

// Engine finds an engine by name.
func (x *EngineIndex) Engine(name string) (*Engine, bool) {
	e, ok := x.byName[name]
	return e, ok
}

// EnginesFor returns the engines that serve a model. The slice is not to be
// changed.
func (x *EngineIndex) EnginesFor(model string) []*Engine { return x.byModel[model] }

// Requirements is what a prompt needs.
type Requirements struct {
	Model   string
	Adapter string
	// Version, where not empty, is the only one that will do: an answer is
	// not continued by another version.
	Version string
	// Class is what the engines schedule the prompt by.
	Class LengthClass
	// PrefillTokens are to be prefilled; MemoryTokens is the memory needed.
	PrefillTokens int
	MemoryTokens  int
	// MaxAnswerTokens is the longest that the answer may be.
	MaxAnswerTokens int
	// Exclude names engines that failed the request already.
	Exclude []string
}

// Choice is one engine to ask, in order of preference.
type Choice struct {
	Engine *Engine
	// PredictedTime is the estimated time to first token and, for an engine much
	// slower than others at the tokens that follow, the time lost by that.
	PredictedTime time.Duration
}

// Choose returns at most most engines to ask, best first. It returns none
// when no engine fits.
func (x *EngineIndex) Choose(now time.Time, policy Policy, needs Requirements, maxChoices int, random *rand.Rand) []Choice {
	serving := x.byModel[needs.Model]
	choices := make([]Choice, 0, min(len(serving), sampleSize))
	start := 0
	if len(serving) > 0 {
		start = random.IntN(len(serving))
	}
	candidateLimit := len(serving)
	if policy == Predicted {
		candidateLimit = sampleSize
	}
	for i := range serving {
		e := serving[(start+i)%len(serving)]
		if !e.satisfies(needs) {
			continue
		}
		choices = append(choices, Choice{Engine: e, PredictedTime: e.PredictFirstToken(now, needs.Class, needs.PrefillTokens)})
		if len(choices) == candidateLimit {
			break
		}
	}
	if policy == Predicted {
		addTokenDelay(now, choices, needs.MaxAnswerTokens)
	}
	x.sortChoices(policy, choices, random)
	return choices[:min(maxChoices, len(choices))]
}

func (e *Engine) satisfies(needs Requirements) bool {
	if needs.MemoryTokens > e.MemoryTokens || slices.Contains(needs.Exclude, e.Name) {
		return false
	}
	if needs.Version != "" && needs.Version != e.Version {
		return false
	}
	return needs.Adapter == "" || slices.Contains(e.Adapters, needs.Adapter)
}

// PredictFirstToken estimates the time to first token of a prompt on the engine: what the
// keeper said was queued before it, less what was prefilled since, or what
// this entry sent, whichever is more.
func (e *Engine) PredictFirstToken(now time.Time, class LengthClass, prefillTokens int) time.Duration {
	rate := float64(max(1, e.PrefillRate))
	queued := float64(sumUpTo(&e.Load.QueuedTokens, class))
	if reportedAt := e.Load.ReportedAt.Load(); reportedAt != 0 {
		queued = max(0, queued-rate*now.Sub(time.Unix(0, reportedAt)).Seconds())
	}
	queued = max(queued, float64(sumUpTo(&e.Load.OwnPrefillTokens, class)))
	seconds := (queued + float64(prefillTokens)) / rate
	return 2*e.OneWayDelay + time.Duration(seconds*float64(time.Second))
}

func sumUpTo(tokens *[ClassCount]atomic.Int64, class LengthClass) int64 {
	sum := int64(0)
	for c := range class + 1 {
		sum += tokens[c].Load()
	}
	return sum
}

func (x *EngineIndex) sortChoices(policy Policy, choices []Choice, random *rand.Rand) {
	switch policy {
	case Predicted:
		slices.SortStableFunc(choices, comparePredictedTime)
	case FewestOwn:
		slices.SortStableFunc(choices, compareInFlight)
	case PowerOfTwo:
		shuffle(choices, random)
		slices.SortStableFunc(choices[:min(2, len(choices))], compareInFlight)
	case RoundRobin:
		rotate(choices, x.rotation.Add(1))
	default:
		shuffle(choices, random)
	}
}

func comparePredictedTime(x, y Choice) int {
	switch {
	case x.PredictedTime < y.PredictedTime:
		return -1
	case x.PredictedTime > y.PredictedTime:
		return 1
	}
	return 0
}

func compareInFlight(x, y Choice) int {
	return int(x.Engine.Load.OwnInFlight.Load() - y.Engine.Load.OwnInFlight.Load())
}

func shuffle(choices []Choice, random *rand.Rand) {
	random.Shuffle(len(choices), func(i, j int) { choices[i], choices[j] = choices[j], choices[i] })
}

func rotate(choices []Choice, rotation uint64) {
	if len(choices) < 2 {
		return
	}
	slices.SortFunc(choices, func(x, y Choice) int {
		switch {
		case x.Engine.Name < y.Engine.Name:
			return -1
		case x.Engine.Name > y.Engine.Name:
			return 1
		}
		return 0
	})
	n := int(rotation % uint64(len(choices)))
	rotated := append(slices.Clone(choices[n:]), choices[:n]...)
	copy(choices, rotated)
}

const (
	// newSampleWeight is the part of the pace that a new sight of it makes up.
	newSampleWeight = 0.5
	// timePerTokenTTL is how long a pace is believed; then the engine is tried again.
	timePerTokenTTL = 2 * time.Minute
	// slowFactor is how much slower than the fastest an engine may be before
	// that counts.
	slowFactor = 2
)

// RecordTimePerToken takes in the time between answer tokens of an attempt.
func (l *Load) RecordTimePerToken(now time.Time, timePerToken time.Duration) {
	if previous := l.recentTimePerToken(now); previous > 0 {
		timePerToken = previous + time.Duration(newSampleWeight*float64(timePerToken-previous))
	}
	l.timePerToken.Store(int64(timePerToken))
	l.timePerTokenAt.Store(now.UnixNano())
}

// recentTimePerToken is the pace, or 0 where none was seen lately.
func (l *Load) recentTimePerToken(now time.Time) time.Duration {
	at := l.timePerTokenAt.Load()
	if at == 0 || now.Sub(time.Unix(0, at)) > timePerTokenTTL {
		return 0
	}
	return time.Duration(l.timePerToken.Load())
}

// addTokenDelay adds what the answer would lose on engines that answer all
// questions in time and work slowly, as a gray failure does.
func addTokenDelay(now time.Time, choices []Choice, maxAnswerTokens int) {
	fastest := time.Duration(0)
	for _, c := range choices {
		pace := c.Engine.Load.recentTimePerToken(now)
		if pace > 0 && (fastest == 0 || pace < fastest) {
			fastest = pace
		}
	}
	for i, c := range choices {
		pace := c.Engine.Load.recentTimePerToken(now)
		if pace > slowFactor*fastest {
			choices[i].PredictedTime += time.Duration(maxAnswerTokens) * (pace - fastest)
		}
	}
}

// RecordReport takes over what a keeper said of the engine.
func (l *Load) RecordReport(now time.Time, queued TokensByClass, freeTokens int) {
	for c, tokens := range queued {
		l.QueuedTokens[c].Store(int64(tokens))
	}
	l.FreeTokens.Store(int64(freeTokens))
	l.ReportedAt.Store(now.UnixNano())
}

// Package router chooses, for a prompt, the engines whose keepers an entry asks for memory. Choosing
// reads an immutable EngineIndex and atomic load counters, so any number of goroutines can choose at
// the same time without a lock.
package router

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

// Policy is the name of a way to order the candidate engines.
type Policy string

// The policies.
const (
	// Predicted orders engines by Candidate.PredictedTime, shortest first. Entries use this policy; the
	// others are baselines for measurements.
	Predicted Policy = "Predicted"
	// PowerOfTwo shuffles the engines and then puts the first two in the order of this entry's attempts
	// in flight at them, fewest first.
	PowerOfTwo Policy = "PowerOfTwo"
	// FewestOwn orders engines by the number of this entry's attempts in flight at them, fewest first.
	FewestOwn Policy = "FewestOwn"
	// RoundRobin orders engines by name, and starts with the next one at each call of Choose.
	RoundRobin Policy = "RoundRobin"
	// RandomOrder shuffles the engines.
	RandomOrder Policy = "RandomOrder"
)

// LengthClass is the class of a prompt by its length. Engines prefill shorter classes first.
type LengthClass int

// The length classes, shortest first. LengthClassOf defines their lengths.
const (
	Short LengthClass = iota
	Medium
	Long
	Longest
)

const (
	// mediumFactor and longFactor are the lengths of the longest prompts of classes Medium and Long, in
	// multiples of the longest prompt of class Short.
	mediumFactor = 8
	longFactor   = 32
)

// ClassCount is the number of length classes.
const ClassCount = int(Longest) + 1

// TokensByClass is a number of queued prompt tokens for each length class.
type TokensByClass [ClassCount]int

// QueuedAheadOf returns the number of queued tokens that an engine prefills before a new prompt of the
// given class: those of the class itself and of the classes of shorter prompts.
func (q TokensByClass) QueuedAheadOf(c LengthClass) int {
	sum := 0
	for _, tokens := range q[:c+1] {
		sum += tokens
	}
	return sum
}

// LengthClassOf returns the length class of a prompt of the given number of tokens. ShortTokens is the
// length in tokens of the longest prompt of class Short.
func LengthClassOf(tokens, shortTokens int) LengthClass {
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

// EnginePriority returns the priority by which engines schedule prompts of a length class, from
// shortWeight for Short down to 0 for Longest. ShortWeight comes from the configuration document. It is
// either 0, which gives all classes priority 0, or at least 3, so that each class has a different
// priority.
func EnginePriority(class LengthClass, shortWeight int) int {
	return shortWeight * int(Longest-class) / int(Longest)
}

// sampleSize is the maximum number of engines that the Predicted policy compares. Of more engines it
// compares a sample of this size: if all entries compared all engines by outdated loads, they would
// all choose the same one.
const sampleSize = 8

// Load is an entry's view of an engine's load. Any goroutine may update the fields, one at a time, so
// a reader may see some fields of one report and others of the next.
type Load struct {
	// OwnPrefillTokens is the number of prompt tokens, by length class, of this entry's attempts at the
	// engine that have not received a first token.
	OwnPrefillTokens [ClassCount]atomic.Int64
	// OwnInFlight is the number of this entry's attempts in flight at the engine.
	OwnInFlight atomic.Int64
	// QueuedTokens is the number of prompt tokens queued at the engine, by length class, as the
	// engine's keeper last reported it.
	QueuedTokens [ClassCount]atomic.Int64
	// FreeTokens is the engine's free memory in tokens, as the engine's keeper last reported it.
	FreeTokens atomic.Int64
	// timePerToken is a moving average of the time between answer tokens, in nanoseconds, as this
	// entry measured it; 0 before the first measurement.
	timePerToken atomic.Int64
	// timePerTokenAt is the time of the last measurement, nil before the first. Like ReportedAt it has a reading of the
	// monotonic clock, which steps of the time of day do not move.
	timePerTokenAt atomic.Pointer[time.Time]
	// ReportedAt is the time of the keeper's last report, by this entry's clock; nil if there is none.
	ReportedAt atomic.Pointer[time.Time]
}

// Engine is an engine that an attempt can be sent to.
type Engine struct {
	Name       string
	Address    string
	DataCentre string
	Model      string
	Version    string
	Adapters   []string
	Role       string
	// Keeper is the name of the entry that grants the engine's memory.
	Keeper string
	// MemoryTokens is the engine's total memory in tokens.
	MemoryTokens int
	// PrefillRate is the engine's prefill rate in tokens a second.
	PrefillRate int
	// OneWayDelay is the assumed network delay between the entry and the engine in one direction.
	OneWayDelay time.Duration
	// Load is shared with the Engine of the same name in earlier and later indexes.
	Load *Load
}

// EngineIndex holds all engines that can be chosen, by model and by name. It is immutable, but for
// the loads of the engines and the counter that RoundRobin uses.
type EngineIndex struct {
	byModel map[string][]*Engine
	byName  map[string]*Engine
	// rotation is the number of calls of Choose with the policy RoundRobin.
	rotation *atomic.Uint64
}

// NewEngineIndex returns an index of the engines.
func NewEngineIndex(engines []*Engine) *EngineIndex {
	x := &EngineIndex{byModel: map[string][]*Engine{}, byName: make(map[string]*Engine, len(engines)), rotation: &atomic.Uint64{}}
	for _, e := range engines {
		x.byModel[e.Model] = append(x.byModel[e.Model], e)
		x.byName[e.Name] = e
	}
	return x
}

// Engine returns the engine with a name, and reports whether there is one.
func (x *EngineIndex) Engine(name string) (*Engine, bool) {
	e, ok := x.byName[name]
	return e, ok
}

// EnginesFor returns the engines that serve a model. The returned slice must not be modified.
func (x *EngineIndex) EnginesFor(model string) []*Engine { return x.byModel[model] }

// Requirements describes a prompt and what an engine must have to run it.
type Requirements struct {
	Model string
	// Adapter is the name of the adapter to apply, empty for none.
	Adapter string
	// Version, if not empty, is the model version that the engine must serve, as an answer can't be
	// resumed by another version.
	Version string
	// Class is the length class of the prompt.
	Class LengthClass
	// PrefillTokens is the number of tokens to prefill.
	PrefillTokens int
	// MemoryTokens is the memory that the prompt and its answer need, in tokens.
	MemoryTokens int
	// MaxAnswerTokens is the maximum length of the answer in tokens.
	MaxAnswerTokens int
	// Exclude holds the names of engines that must not be chosen, because they failed the
	// request before.
	Exclude []string
}

// Candidate is an engine that can run a prompt, with the predicted time by which Choose compares it.
type Candidate struct {
	Engine *Engine
	// PredictedTime is the predicted time to first token. For an engine that generates much more slowly
	// than the fastest candidate, the Predicted policy adds the time by which its answer would take
	// longer to generate than that candidate's (see addGenerationDelay).
	PredictedTime time.Duration
}

// Choose returns up to maxCandidates engines that satisfy the needs, in the order of the policy, best
// first. The Predicted policy compares only the first sampleSize such engines after a random position
// among the engines of the model.
func (x *EngineIndex) Choose(now time.Time, policy Policy, needs Requirements, maxCandidates int, random *rand.Rand) []Candidate {
	serving := x.byModel[needs.Model]
	candidates := make([]Candidate, 0, min(len(serving), sampleSize))
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
		candidates = append(candidates, Candidate{Engine: e, PredictedTime: e.PredictFirstToken(now, needs.Class, needs.PrefillTokens)})
		if len(candidates) == candidateLimit {
			break
		}
	}
	if policy == Predicted {
		addGenerationDelay(now, candidates, needs.MaxAnswerTokens)
	}
	x.sortCandidates(policy, candidates, random)
	return candidates[:min(maxCandidates, len(candidates))]
}

// satisfies reports whether the engine can run a prompt with the given needs, apart from the model,
// which Choose has compared: the engine has enough memory when empty, is not excluded, and has the
// version and the adapter.
func (e *Engine) satisfies(needs Requirements) bool {
	if needs.MemoryTokens > e.MemoryTokens || slices.Contains(needs.Exclude, e.Name) {
		return false
	}
	if needs.Version != "" && needs.Version != e.Version {
		return false
	}
	return needs.Adapter == "" || slices.Contains(e.Adapters, needs.Adapter)
}

// PredictFirstToken predicts the time to first token of a prompt of the given class on the engine:
// the prefill of the tokens queued ahead, the prefill of the prompt itself and a network round
// trip. The tokens queued ahead are those in the keeper's last report, less what the engine can have
// prefilled since, or those of this entry's attempts without a first token, whichever is more.
func (e *Engine) PredictFirstToken(now time.Time, class LengthClass, prefillTokens int) time.Duration {
	rate := float64(max(1, e.PrefillRate))
	queued := float64(sumUpTo(&e.Load.QueuedTokens, class))
	if reportedAt := e.Load.ReportedAt.Load(); reportedAt != nil {
		queued = max(0, queued-rate*now.Sub(*reportedAt).Seconds())
	}
	queued = max(queued, float64(sumUpTo(&e.Load.OwnPrefillTokens, class)))
	seconds := (queued + float64(prefillTokens)) / rate
	return 2*e.OneWayDelay + time.Duration(seconds*float64(time.Second))
}

// sumUpTo returns the sum of the tokens of a class and of all classes of shorter prompts.
func sumUpTo(tokens *[ClassCount]atomic.Int64, class LengthClass) int64 {
	sum := int64(0)
	for c := range class + 1 {
		sum += tokens[c].Load()
	}
	return sum
}

// sortCandidates puts the candidates in the order of the policy, best first.
func (x *EngineIndex) sortCandidates(policy Policy, candidates []Candidate, random *rand.Rand) {
	switch policy {
	case Predicted:
		slices.SortStableFunc(candidates, comparePredictedTime)
	case FewestOwn:
		slices.SortStableFunc(candidates, compareInFlight)
	case PowerOfTwo:
		shuffle(candidates, random)
		slices.SortStableFunc(candidates[:min(2, len(candidates))], compareInFlight)
	case RoundRobin:
		rotate(candidates, x.rotation.Add(1))
	default:
		shuffle(candidates, random)
	}
}

func comparePredictedTime(x, y Candidate) int {
	switch {
	case x.PredictedTime < y.PredictedTime:
		return -1
	case x.PredictedTime > y.PredictedTime:
		return 1
	}
	return 0
}

func compareInFlight(x, y Candidate) int {
	return int(x.Engine.Load.OwnInFlight.Load() - y.Engine.Load.OwnInFlight.Load())
}

func shuffle(candidates []Candidate, random *rand.Rand) {
	random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
}

// rotate sorts the candidates by engine name and rotates them to the left by the given number of
// places.
func rotate(candidates []Candidate, rotation uint64) {
	if len(candidates) < 2 {
		return
	}
	slices.SortFunc(candidates, func(x, y Candidate) int {
		switch {
		case x.Engine.Name < y.Engine.Name:
			return -1
		case x.Engine.Name > y.Engine.Name:
			return 1
		}
		return 0
	})
	n := int(rotation % uint64(len(candidates)))
	rotated := append(slices.Clone(candidates[n:]), candidates[:n]...)
	copy(candidates, rotated)
}

const (
	// newSampleWeight is the weight, from 0 to 1, of a new measurement in the moving average of the
	// time per token.
	newSampleWeight = 0.5
	// timePerTokenTTL is the time after the last measurement for which the average time per token is
	// used. After that a slow engine is chosen like any other, and measured again.
	timePerTokenTTL = 2 * time.Minute
	// slowFactor is the ratio of an engine's time per token to the shortest of all candidates above
	// which addGenerationDelay adds a delay for the engine.
	slowFactor = 2
)

// RecordTimePerToken adds the mean time between the answer tokens of one attempt at the engine to the
// moving average. If the average is older than timePerTokenTTL, it starts anew.
func (l *Load) RecordTimePerToken(now time.Time, timePerToken time.Duration) {
	if previous := l.recentTimePerToken(now); previous > 0 {
		timePerToken = previous + time.Duration(newSampleWeight*float64(timePerToken-previous))
	}
	l.timePerToken.Store(int64(timePerToken))
	l.timePerTokenAt.Store(&now)
}

// recentTimePerToken returns the average time per token, or 0 if nothing was measured within
// timePerTokenTTL.
func (l *Load) recentTimePerToken(now time.Time) time.Duration {
	at := l.timePerTokenAt.Load()
	if at == nil || now.Sub(*at) > timePerTokenTTL {
		return 0
	}
	return time.Duration(l.timePerToken.Load())
}

// addGenerationDelay adds a delay to the predicted time of each engine whose time per token is more than
// slowFactor times the shortest of all candidates: the difference of the two times per token,
// multiplied by the maximum number of answer tokens. This avoids engines with a gray failure, which
// report their load in time but generate slowly.
func addGenerationDelay(now time.Time, candidates []Candidate, maxAnswerTokens int) {
	shortest := time.Duration(0)
	for _, c := range candidates {
		timePerToken := c.Engine.Load.recentTimePerToken(now)
		if timePerToken > 0 && (shortest == 0 || timePerToken < shortest) {
			shortest = timePerToken
		}
	}
	for i, c := range candidates {
		timePerToken := c.Engine.Load.recentTimePerToken(now)
		if timePerToken > slowFactor*shortest {
			candidates[i].PredictedTime += time.Duration(maxAnswerTokens) * (timePerToken - shortest)
		}
	}
}

// RecordReport records a keeper's report of the engine's load, received at the time now. Queued is the
// number of queued prompt tokens by length class.
func (l *Load) RecordReport(now time.Time, queued TokensByClass, freeTokens int) {
	for c, tokens := range queued {
		l.QueuedTokens[c].Store(int64(tokens))
	}
	l.FreeTokens.Store(int64(freeTokens))
	l.ReportedAt.Store(&now)
}

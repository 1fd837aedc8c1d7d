// Package measurer measures the routing and admission policy: it runs the
// product's decision cores against stand-in engines in virtual time, so that
// a figure repeats exactly for a seed. It is for the developers' figures; the
// product never uses it.
package measurer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sapphireramp/sapphireramp/router"
)

// Deployment is where the policy runs.
type Deployment struct {
	Name    string
	Entries int
	Engines int
	// DataCentres is how many data centres entries and engines are spread over.
	DataCentres int
	// Latency is one way between instances, CallerDistance to callers.
	Latency         time.Duration
	CallerLatency   time.Duration
	MemoryTokens    int
	PrefillRate     int
	TokenTime       time.Duration
	MaxGroupEngines int
	Organisations   int
}

// Deployments of the users, as the brief gives them. The brief says nothing
// of an engine's speed and memory: these are assumed.
var Deployments = map[string]Deployment{
	"condor": {
		Name: "condor", Entries: 7, Engines: 14, DataCentres: 3, Latency: time.Millisecond, CallerLatency: time.Millisecond,
		MemoryTokens: 400_000, PrefillRate: 20_000, TokenTime: 30 * time.Millisecond, MaxGroupEngines: 5, Organisations: 10,
	},
	"zeekant": {
		Name: "zeekant", Entries: 7, Engines: 16, DataCentres: 3, Latency: 1500 * time.Microsecond, CallerLatency: 3 * time.Millisecond,
		MemoryTokens: 400_000, PrefillRate: 20_000, TokenTime: 30 * time.Millisecond, MaxGroupEngines: 5, Organisations: 10,
	},
}

// MaxShortTokens is the longest prompt of the short class.
const MaxShortTokens = 4000

// classProfiles of the classes' prompts in tokens, drawn log-uniformly, how many of
// a hundred requests are of each, and their callers' time limits.
var classProfiles = [...]struct {
	minTokens, maxTokens float64
	percent              int
	timeLimit            time.Duration
}{
	router.Short:   {1_000, 4_000, 70, 10 * time.Second},
	router.Medium:  {4_000, 32_000, 20, 30 * time.Second},
	router.Long:    {32_000, 128_000, 8, time.Minute},
	router.Longest: {128_000, 1_000_000, 2, 5 * time.Minute},
}

// answer lengths in tokens.
const (
	minAnswerTokens = 50
	maxAnswerTokens = 300
)

// requestSpec is one request of a run.
type requestSpec struct {
	arrivalOffset time.Duration
	class         router.LengthClass
	promptTokens  int
	answerTokens  int
	entryIndex    int
}

// sampleRequests makes the requests of a run that asks for a part of what the engines
// can prefill.
func sampleRequests(d Deployment, load float64, length time.Duration, seed uint64) []requestSpec {
	random := rand.New(rand.NewPCG(seed, seed))
	mean := 0.0
	for _, l := range classProfiles {
		mean += float64(l.percent) / 100 * (l.maxTokens - l.minTokens) / math.Log(l.maxTokens/l.minTokens)
	}
	rate := load * float64(d.Engines*d.PrefillRate) / mean
	var out []requestSpec
	for at := 0.0; at < length.Seconds(); at += random.ExpFloat64() / rate {
		class := sampleClass(random)
		l := classProfiles[class]
		out = append(out, requestSpec{
			arrivalOffset: time.Duration(at * float64(time.Second)), class: class,
			promptTokens: int(l.minTokens * math.Exp(random.Float64()*math.Log(l.maxTokens/l.minTokens))),
			answerTokens: minAnswerTokens + random.IntN(maxAnswerTokens-minAnswerTokens),
			entryIndex:   random.IntN(d.Entries),
		})
	}
	return out
}

func sampleClass(random *rand.Rand) router.LengthClass {
	n := random.IntN(100)
	for c, l := range classProfiles {
		if n < l.percent {
			return router.LengthClass(c)
		}
		n -= l.percent
	}
	return router.Short
}

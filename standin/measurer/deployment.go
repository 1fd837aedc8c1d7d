// Package measurer compares policies for routing and admission. It runs the decision
// logic of the product against emulated engines in virtual time, so that equal seeds
// give equal results. It is a tool for developers; the product doesn't import it.
package measurer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sapphireramp/sapphireramp/router"
)

// Deployment describes the entries, engines and network that a policy is measured on.
type Deployment struct {
	Name string
	// Entries and Engines are the numbers of entries and engines.
	Entries int
	Engines int
	// DataCentres is the number of data centres, over which the entries and the engines are
	// spread evenly.
	DataCentres int
	// Latency is the one-way network delay between an entry and an engine or keeper.
	Latency time.Duration
	// CallerLatency is the one-way network delay between a caller and an entry.
	CallerLatency time.Duration
	// MemoryTokens is the memory of one engine in tokens of prompts and answers.
	MemoryTokens int
	// PrefillRate is the prefill speed of one engine in prompt tokens per second.
	PrefillRate int
	// TokenTime is the time in which an engine generates one token of each stream.
	TokenTime time.Duration
	// MaxGroupEngines is the maximum number of engines that may share one prompt, each
	// holding a shard of it.
	MaxGroupEngines int
	// Organisations is the number of organisations. The simulation doesn't use it.
	Organisations int
}

// Deployments are the deployments of the users as they specified them, by name. The
// memory and speed of engines are assumptions, as the users didn't specify them.
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

// MaxShortTokens is the length of the longest prompt in the short class, in tokens.
const MaxShortTokens = 4000

// classProfiles describe the requests of each class: the range of prompt lengths in
// tokens, which are distributed log-uniformly, the percentage of all requests that belong
// to the class, and the time limit after which callers give up.
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

// The range of answer lengths in tokens; the maximum is excluded.
const (
	minAnswerTokens = 50
	maxAnswerTokens = 300
)

// requestSpec specifies one request of the simulated load: when it arrives, where, and how
// long its prompt and its answer are.
type requestSpec struct {
	// arrivalOffset is the time from the start of the load until the caller sends the
	// request.
	arrivalOffset time.Duration
	class         router.LengthClass
	promptTokens  int
	answerTokens  int
	// entryIndex is the index of the entry that the caller sends the request to.
	entryIndex int
}

// sampleRequests returns random requests over the given length of time, arriving as a
// Poisson process. Their prompt tokens per second are, on average, load times the
// prefill rate of all engines together. Equal seeds give equal requests.
func sampleRequests(d Deployment, load float64, length time.Duration, seed uint64) []requestSpec {
	random := rand.New(rand.NewPCG(seed, seed))
	mean := 0.0
	for _, profile := range classProfiles {
		mean += float64(profile.percent) / 100 * (profile.maxTokens - profile.minTokens) / math.Log(profile.maxTokens/profile.minTokens)
	}
	rate := load * float64(d.Engines*d.PrefillRate) / mean
	var out []requestSpec
	for at := 0.0; at < length.Seconds(); at += random.ExpFloat64() / rate {
		class := sampleClass(random)
		profile := classProfiles[class]
		out = append(out, requestSpec{
			arrivalOffset: time.Duration(at * float64(time.Second)), class: class,
			promptTokens: int(profile.minTokens * math.Exp(random.Float64()*math.Log(profile.maxTokens/profile.minTokens))),
			answerTokens: minAnswerTokens + random.IntN(maxAnswerTokens-minAnswerTokens),
			entryIndex:   random.IntN(d.Entries),
		})
	}
	return out
}

// sampleClass returns a random class, with the percentages of classProfiles.
func sampleClass(random *rand.Rand) router.LengthClass {
	n := random.IntN(100)
	for c, profile := range classProfiles {
		if n < profile.percent {
			return router.LengthClass(c)
		}
		n -= profile.percent
	}
	return router.Short
}

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

// lengths of the classes' prompts in tokens, drawn log-uniformly, how many of
// a hundred requests are of each, and their callers' time limits.
var lengths = [...]struct {
	low, high float64
	share     int
	limit     time.Duration
}{
	router.Short:   {1_000, 4_000, 70, 10 * time.Second},
	router.Medium:  {4_000, 32_000, 20, 30 * time.Second},
	router.Long:    {32_000, 128_000, 8, time.Minute},
	router.Longest: {128_000, 1_000_000, 2, 5 * time.Minute},
}

// answer lengths in tokens.
const (
	leastAnswer = 50
	mostAnswer  = 300
)

// demand is one request of a run.
type demand struct {
	at     time.Duration
	class  router.LengthClass
	tokens int
	answer int
	entry  int
}

// draw makes the requests of a run that asks for a part of what the engines
// can prefill.
func draw(d Deployment, load float64, length time.Duration, seed uint64) []demand {
	random := rand.New(rand.NewPCG(seed, seed))
	mean := 0.0
	for _, l := range lengths {
		mean += float64(l.share) / 100 * (l.high - l.low) / math.Log(l.high/l.low)
	}
	rate := load * float64(d.Engines*d.PrefillRate) / mean
	var out []demand
	for at := 0.0; at < length.Seconds(); at += random.ExpFloat64() / rate {
		class := drawClass(random)
		l := lengths[class]
		out = append(out, demand{
			at: time.Duration(at * float64(time.Second)), class: class,
			tokens: int(l.low * math.Exp(random.Float64()*math.Log(l.high/l.low))),
			answer: leastAnswer + random.IntN(mostAnswer-leastAnswer),
			entry:  random.IntN(d.Entries),
		})
	}
	return out
}

func drawClass(random *rand.Rand) router.LengthClass {
	n := random.IntN(100)
	for c, l := range lengths {
		if n < l.share {
			return router.LengthClass(c)
		}
		n -= l.share
	}
	return router.Short
}
